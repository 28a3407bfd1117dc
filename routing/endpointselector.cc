// Cost model and selection of endpoints, and the statistics that they are based on.

#include "routing/endpointselector.h"

#include <algorithm>
#include <cmath>
#include <queue>

#include "base/hash.h"

namespace bamboogap {

namespace {

// Weight of a new observation in the decayed means.
constexpr double kAverageWeight = 0.2;
// Bounds of an observed latency ratio, so that a single outlier cannot exclude an endpoint.
constexpr double kMinLatencyRatio = 0.5;
constexpr double kMaxLatencyRatio = 20;
// Cost of each position that an endpoint is further down in a prompt's rendezvous order. It
// makes routers agree on an endpoint, also when they believe the prompt to be cached at
// several.
constexpr double kMillisPerRank = 4;
// Number of endpoints, from the start of a prompt's rendezvous order, that are compared by
// cost.
constexpr size_t kRanksCompared = 4;
// All later ranks cost the same: whether those endpoints have the prompt cached is a matter
// of chance.
constexpr size_t kMaxCostRank = 4;
// Extra cost of a cold endpoint, so that prompts do not alternate between endpoints as the
// warm-up rate limit opens and closes.
constexpr double kColdMillis = 150;
// An endpoint that joined the fleet more recently than this is assumed not to have cached
// prompts that were placed before it joined. By that age every router has seen most prompts
// in use and knows where they are cached.
constexpr Duration kEstablishedAge = std::chrono::seconds(20);
// A placement is reported to the other routers if its shared parts have at least this many
// tokens per router. A report costs about 60 bytes per router; a missing one costs engine
// time for a repeated prefill.
constexpr uint32_t kMinTokensPerRouter = 24;
// Limit of placements that are stored between two reports.
constexpr size_t kMaxPlacements = 512;
// Extra cost of an endpoint in another data centre: the round trip, and the price of traffic
// between data centres.
constexpr double kOtherDataCentreMillis = 2.5;
// Average latency of plain requests that is assumed before any was observed.
constexpr double kInitialPlainMillis = 40;
// Cost per request that exceeds the endpoint's slots: it has to wait for a slot in the
// batch.
constexpr double kMillisPerQueued = 20;

bool offers(const EndpointSelector::EndpointStatus &status, std::string_view model)
{
    return model.empty() || status.models.empty()
            || std::any_of(status.models.begin(), status.models.end(),
                           [model](const ModelOffer &offer) { return offer.name == model; });
}

// Running requests of some endpoints.
struct LoadSum
{
    double load = 0;
    size_t members = 0;

    void add(const EndpointSelector::EndpointStatus &status)
    {
        load += status.load();
        ++members;
    }
    double mean() const { return load / double(std::max<size_t>(1, members)); }
};

} // namespace

EndpointSelector::EndpointSelector(EndpointSelectorSettings settings)
    : settings_(settings)
{
}

void EndpointSelector::update(const MergedRoster &roster,
                              const std::set<std::string> &dataCentresOut, const RouteTable *table,
                              Instant now)
{
    services_.clear();
    if (table) {
        for (const ServiceProfile &service : table->services())
            services_[service.name] = service;
    }
    for (auto &[key, status] : statuses_) {
        status.usable = false;
        status.present = false;
    }
    for (const auto &[id, endpoint] : roster.endpoints()) {
        const EndpointRecord &record = endpoint.record;
        EndpointStatus &status = statuses_[endpoint.key];
        const bool restarted = status.id != record.id || status.startMillis != record.startMillis;
        if (restarted) {
            const uint32_t running = status.running;
            const uint32_t pending = status.pendingTokens;
            status = {};
            status.running = running;
            status.pendingTokens = pending;
        }
        status.id = record.id;
        status.address = record.address;
        status.dataCentre = record.dataCentre;
        status.service = record.service;
        status.startMillis = record.startMillis;
        status.knownSince = endpoint.knownSince;
        status.slots = std::max(1U, record.slots);
        status.models = record.models;
        status.softwareVersion = record.softwareVersion;
        status.coldUntil = std::max(status.coldUntil, endpoint.coldUntil);
        status.usable = roster.mayUse(endpoint, now);
        status.present = roster.isPresent(endpoint, now);
        const bool out = dataCentresOut.count(record.dataCentre) > 0;
        const auto profile = services_.find(record.service);
        if (profile != services_.end()) {
            if (profile->second.engine)
                status.cache.setCapacity(profile->second.engine->cacheTokens);
            if (status.dataCentreOut && !out)
                status.coldUntil = std::max(status.coldUntil, now + profile->second.warmup);
        }
        status.dataCentreOut = out;
    }
    std::erase_if(statuses_, [&](const auto &item) {
        const EndpointStatus &status = item.second;
        if (status.present || status.running > 0 || status.dataCentreOut)
            return false;
        // What an endpoint said of itself, and what it was sent, count for its whole incarnation,
        // which goes on if only its heartbeats are late.
        const MergedRoster::Endpoint *known = roster.find(status.id);
        const bool mayReturn = known && known->record.state != EndpointState::Gone;
        return !mayReturn && !status.backoff.isActive(now);
    });
}

void EndpointSelector::setOtherUses(std::span<const EndpointUse> uses)
{
    for (auto &[key, status] : statuses_) {
        status.othersRunning = 0;
        status.othersPending = 0;
    }
    for (const EndpointUse &use : uses) {
        const auto found = statuses_.find(use.key);
        if (found == statuses_.end())
            continue;
        found->second.othersRunning = use.running;
        found->second.othersPending = use.pendingPrefillTokens;
    }
}

void EndpointSelector::setRateLimits(const EndpointRateLimits &limits,
                                     const SharePosition &position, Instant now)
{
    for (auto &[key, status] : statuses_) {
        status.rateLimiter.setLimit(limits.limitOf(key, status.startMillis), key, position, now);
    }
}

double EndpointSelector::sustainablePerSecond(const EndpointStatus &status) const
{
    const auto found = services_.find(status.service);
    return found == services_.end() ? 0 : found->second.warmupPerSecond;
}

void EndpointSelector::addCost(Candidate &candidate, const PlacementRequest &request,
                               size_t rank) const
{
    const EndpointStatus &status = *candidate.status;
    const bool elsewhere = status.dataCentre != request.dataCentre;
    if (candidate.cold)
        candidate.cost += kColdMillis;
    const double waiting = std::max(0.0, double(status.load()) - status.slots);
    candidate.cost += waiting * kMillisPerQueued + (elsewhere ? kOtherDataCentreMillis : 0);
    if (request.model.empty()) {
        const double average
                = status.averageMillis > 0 ? status.averageMillis : kInitialPlainMillis;
        candidate.cost += average * (1 + double(status.load()) / status.slots);
        return;
    }
    const uint32_t own = request.prompt.empty() ? 0 : request.prompt.back().tokens;
    const double missed = candidate.uncached > own ? candidate.uncached - own : 0;
    const double pending = double(candidate.uncached) + status.pendingTokens + status.othersPending;
    candidate.cost += status.latencyRatio
            * (pending / settings_.prefillTokensPerMilli
               + settings_.millisPerRunningRequest * status.load());
    candidate.cost += missed / settings_.prefillTokensPerMilli * settings_.cacheMissPenalty
            + kMillisPerRank * double(std::min(rank, kMaxCostRank));
}

// Estimates the prompt tokens that each candidate would have to prefill. If no candidate is
// believed to have the shared parts cached, other routers probably sent the prompt to its
// primary endpoint. In a large fleet this is assumed of every prompt: if another router
// reported that it placed the prompt elsewhere, it is still cached at its primary endpoint,
// too.
void EndpointSelector::estimateUncached(const PlacementRequest &request,
                                        std::vector<Candidate> &candidates) const
{
    const uint32_t own = request.prompt.empty() ? 0 : request.prompt.back().tokens;
    const uint32_t shared = request.promptTokens - std::min(request.promptTokens, own);
    bool known = false;
    for (Candidate &candidate : candidates) {
        const uint32_t cached = candidate.status->cache.cachedTokens(request.prompt);
        candidate.uncached = request.promptTokens - std::min(request.promptTokens, cached);
        candidate.holdsPrefix = cached >= shared;
        known = known || candidate.holdsPrefix;
    }
    if (known && !seesSmallShare())
        return;
    auto first = std::find_if(candidates.begin(), candidates.end(), [](const auto &candidate) {
        return !candidate.cold && candidate.established;
    });
    if (first == candidates.end()) {
        first = std::find_if(candidates.begin(), candidates.end(),
                             [](const auto &candidate) { return !candidate.cold; });
    }
    if (first != candidates.end())
        first->uncached = std::min(first->uncached, own);
}

// Address of the endpoint with the most cached tokens of the prompt, if it has enough more
// than the selected one; otherwise of the endpoint that probably has it cached, or an empty
// string.
std::string EndpointSelector::copySource(const PlacementRequest &request, const Candidate &chosen,
                                         std::span<const Candidate> candidates, Instant now) const
{
    if (request.model.empty())
        return {};
    const uint32_t cachedByChosen = chosen.status->cache.cachedTokens(request.prompt);
    const EndpointStatus *best = nullptr;
    uint32_t most = cachedByChosen + settings_.minCopyTokens;
    for (const auto &[key, status] : statuses_) {
        if (&status == chosen.status || status.service != request.service || !status.present
            || !request.versions.allows(status.softwareVersion) || status.health.isEjected(now))
            continue;
        const uint32_t cached = status.cache.cachedTokens(request.prompt);
        if (cached >= most) {
            most = cached;
            best = &status;
        }
    }
    // Naming an endpoint is harmless if the selected one has the prompt cached after all:
    // nothing is copied then.
    if (!best && seesSmallShare())
        best = likelyCacheOwner(request, *chosen.status, now);
    // Otherwise other routers probably sent the prompt to its primary endpoint.
    if (!best && cachedByChosen < settings_.minCopyTokens && !candidates.empty()
        && candidates.front().status != chosen.status)
        best = candidates.front().status;
    return best ? best->address : std::string();
}

// The first endpoint in the prompt's rendezvous order that is present at all, with
// established endpoints first: prompts were placed in that order before endpoints joined,
// went out of service or began to drain.
const EndpointSelector::EndpointStatus *
EndpointSelector::likelyCacheOwner(const PlacementRequest &request,
                                   const EndpointStatus &excludedStatus, Instant now) const
{
    const EndpointStatus *best = nullptr;
    std::pair<bool, uint64_t> highest;
    for (const auto &[key, status] : statuses_) {
        if (&status == &excludedStatus || status.service != request.service || !status.present
            || !request.versions.allows(status.softwareVersion) || status.health.isEjected(now))
            continue;
        const bool established = now - status.knownSince > kEstablishedAge;
        const std::pair score { established, combineHashes(request.affinity, key) };
        if (!best || score > highest) {
            best = &status;
            highest = score;
        }
    }
    return best;
}

// Whether the endpoint takes requests of this kind at all.
bool EndpointSelector::isEligible(EndpointKey key, const EndpointStatus &status,
                                  const PlacementRequest &request)
{
    return status.usable && !status.dataCentreOut && status.service == request.service
            && offers(status, request.model) && request.versions.allows(status.softwareVersion)
            && !(request.excluded && request.excluded->count(key) > 0);
}

EndpointSelector::CandidateSet EndpointSelector::gatherCandidates(const PlacementRequest &request,
                                                                  Instant now)
{
    CandidateSet set;
    std::vector<Candidate> ejected; // used only if nothing else is left
    // Includes endpoints that are draining or out of service: all count for the mean, but for those
    // with a rate limit, as long as there are others: they cannot take their part of the load.
    // Endpoints of versions that the request may not use neither raise nor lower the limit.
    LoadSum all;
    LoadSum unlimited;
    for (auto &[key, status] : statuses_) {
        if (!status.present || status.service != request.service || !offers(status, request.model)
            || !request.versions.allows(status.softwareVersion))
            continue;
        all.add(status);
        if (!status.rateLimiter.isLimited())
            unlimited.add(status);
        if (!isEligible(key, status, request))
            continue;
        if (status.backoff.isActive(now)) {
            set.skippedBackoff = true;
            continue;
        }
        if (!status.rateLimiter.maySend(now)) {
            set.skippedRateLimited = true;
            continue;
        }
        if (status.health.isEjected(now)
            || (status.health.onProbation(now) && status.running > 0)) {
            ejected.push_back({ key, &status, request.promptTokens });
            continue;
        }
        const bool cold = now < status.coldUntil || status.health.onProbation(now);
        if (cold
            && !status.warmupLimiter.canAcquire(sustainablePerSecond(status), fleet_, key, now)) {
            set.skippedCold = true;
            continue;
        }
        set.candidates.push_back({ key, &status, request.promptTokens, 0, cold,
                                   now - status.knownSince > kEstablishedAge });
    }
    if (set.candidates.empty() && !set.skippedCold && !set.skippedRateLimited)
        set.candidates = std::move(ejected);
    set.maxLoad = settings_.loadMultiple * (unlimited.members > 0 ? unlimited : all).mean()
            + settings_.loadAllowance;
    return set;
}

// Selects the candidate with the lowest cost. The candidates are in the prompt's rendezvous
// order; only the first ranks, those that have the prompt cached and those with a rate limit are
// compared. The order differs from prompt to prompt, so routers with the same outdated loads do
// not all select the endpoint that was least loaded a moment ago.
const EndpointSelector::Candidate &EndpointSelector::chooseEngine(const CandidateSet &set)
{
    const std::vector<Candidate> &candidates = set.candidates;
    const Candidate *best = nullptr;
    const Candidate *next = nullptr; // first in order with a load below the limit
    const Candidate *least = nullptr; // least loaded of the first ranks
    for (size_t rank = 0; rank < candidates.size(); ++rank) {
        const Candidate &candidate = candidates[rank];
        const uint32_t load = candidate.status->load();
        if (rank < kRanksCompared && (!least || load < least->status->load()))
            least = &candidate;
        if (load + 1 > set.maxLoad)
            continue;
        if (!next && !candidate.cold)
            next = &candidate;
        // A share of a rate limit that is not used now is lost, and no other router sends by it.
        const bool compared = rank < kRanksCompared || candidate.holdsPrefix
                || candidate.status->rateLimiter.isLimited();
        if (compared && (!best || candidate.cost < best->cost))
            best = &candidate;
    }
    return best ? *best : next ? *next : *least;
}

// Selects the cheaper of two random candidates. As in chooseEngine(), routers with the same
// outdated loads then do not all select the same endpoint.
const EndpointSelector::Candidate &
EndpointSelector::choosePlain(const CandidateSet &set, double chance,
                              std::optional<EndpointKey> preferred)
{
    if (preferred) {
        const auto found = std::find_if(
                set.candidates.begin(), set.candidates.end(),
                [preferred](const Candidate &candidate) { return candidate.key == *preferred; });
        if (found != set.candidates.end())
            return *found;
    }
    const size_t count = set.candidates.size();
    const double position = chance * double(count);
    const auto first = std::min(count - 1, static_cast<size_t>(position));
    if (count == 1)
        return set.candidates[0];
    const double rest = position - double(first); // uniform in [0, 1), independent of first
    const size_t second = (first + 1 + static_cast<size_t>(rest * double(count - 1))) % count;
    const Candidate &a = set.candidates[first];
    const Candidate &b = set.candidates[second];
    return b.cost < a.cost ? b : a;
}

tl::expected<Placement, PlacementProblem> EndpointSelector::place(const PlacementRequest &request,
                                                                  Instant now, double chance)
{
    CandidateSet set = gatherCandidates(request, now);
    std::vector<Candidate> &candidates = set.candidates;
    if (candidates.empty()) {
        return tl::unexpected(set.skippedCold                  ? PlacementProblem::Cold
                                      : set.skippedRateLimited ? PlacementProblem::RateLimited
                                      : set.skippedBackoff     ? PlacementProblem::Backoff
                                                               : PlacementProblem::NoEndpoint);
    }
    const bool engine = !request.model.empty();
    if (engine) {
        std::sort(candidates.begin(), candidates.end(), [&](const auto &a, const auto &b) {
            return combineHashes(request.affinity, a.key) > combineHashes(request.affinity, b.key);
        });
        estimateUncached(request, candidates);
    }
    for (size_t rank = 0; rank < candidates.size(); ++rank)
        addCost(candidates[rank], request, rank);
    const Candidate &best
            = engine ? chooseEngine(set) : choosePlain(set, chance, request.preferred);
    EndpointStatus &chosen = *best.status;
    if (best.cold)
        chosen.warmupLimiter.tryAcquire(sustainablePerSecond(chosen), fleet_, best.key, now);
    chosen.rateLimiter.onSent(now);
    Placement placement;
    placement.key = best.key;
    placement.uncachedTokens = engine ? best.uncached : 0;
    placement.running = chosen.load();
    placement.cost = best.cost;
    placement.rank = static_cast<size_t>(&best - candidates.data());
    placement.candidates = candidates.size();
    placement.copyFrom = copySource(request, best, candidates, now);
    return placement;
}

void EndpointSelector::onStarted(EndpointKey key, const PlacementRequest &request,
                                 uint32_t pendingTokens)
{
    EndpointStatus &status = statuses_[key];
    ++status.running;
    if (request.model.empty())
        return;
    status.pendingTokens += pendingTokens;
    if (request.prompt.size() > 1) {
        const auto shared = request.prompt.first(request.prompt.size() - 1);
        uint32_t tokens = 0;
        for (const ChainPart &part : shared)
            tokens += part.tokens;
        const bool worthReporting = tokens >= kMinTokensPerRouter * fleet_.routers;
        if (worthReporting && status.cache.cachedTokens(shared) < tokens
            && placements_.size() < kMaxPlacements)
            placements_.push_back({ key, { shared.begin(), shared.end() } });
    }
    status.cache.insert(request.prompt);
}

std::vector<PromptPlacement> EndpointSelector::takePlacements()
{
    return std::exchange(placements_, {});
}

void EndpointSelector::addPlacements(std::span<const PromptPlacement> placements)
{
    for (const PromptPlacement &placement : placements) {
        const auto found = statuses_.find(placement.endpoint);
        if (found != statuses_.end())
            found->second.cache.insert(placement.parts);
    }
}

void EndpointSelector::onBackoffRequested(EndpointKey key, int64_t startMillis, Duration duration,
                                          Instant now)
{
    const auto found = statuses_.find(key);
    if (found != statuses_.end() && found->second.startMillis == startMillis)
        found->second.backoff.extend(duration, now);
}

Duration EndpointSelector::backoffLeft(std::string_view service, Instant now,
                                       const AllowedVersions &versions) const
{
    Duration least {};
    for (const auto &[key, status] : statuses_) {
        if (status.service != service || !status.usable || status.dataCentreOut
            || !versions.allows(status.softwareVersion))
            continue;
        const Duration left = status.backoff.remaining(now);
        if (left == Duration {})
            return left;
        least = least == Duration {} ? left : std::min(least, left);
    }
    return least;
}

Instant EndpointSelector::rateLimitedUntil(const PlacementRequest &request, size_t ahead,
                                           Instant now) const
{
    // The next times at which each endpoint takes a request, the earliest on top.
    struct Turn
    {
        Instant at {};
        const EndpointRateLimiter *limiter = nullptr;
        size_t number = 0;

        bool operator<(const Turn &other) const { return at > other.at; }
    };
    std::priority_queue<Turn> turns;
    for (const auto &[key, status] : statuses_) {
        if (!isEligible(key, status, request) || status.backoff.isActive(now)
            || status.health.isEjected(now))
            continue;
        if (!status.rateLimiter.isLimited())
            return now;
        const Instant first = status.rateLimiter.sendTime(0, now);
        if (first != Instant::max())
            turns.push({ std::max(first, now), &status.rateLimiter, 0 });
    }
    while (!turns.empty()) {
        Turn turn = turns.top();
        if (ahead == 0)
            return turn.at;
        --ahead;
        turns.pop();
        turn.at = std::max(turn.limiter->sendTime(++turn.number, now), now);
        turns.push(turn);
    }
    return Instant::max();
}

void EndpointSelector::onFirstToken(EndpointKey key, uint32_t pendingTokens, double expectedMillis,
                                    Duration latency)
{
    const auto found = statuses_.find(key);
    if (found == statuses_.end())
        return;
    EndpointStatus &status = found->second;
    status.pendingTokens -= std::min(status.pendingTokens, pendingTokens);
    const double millis = std::chrono::duration<double, std::milli>(latency).count();
    const double ratio = std::clamp(millis / std::max(expectedMillis, 1.0), kMinLatencyRatio,
                                    kMaxLatencyRatio);
    status.latencyRatio += kAverageWeight * (ratio - status.latencyRatio);
}

bool EndpointSelector::onEnded(EndpointKey key, uint32_t pendingTokens, bool hadFirstToken,
                               Outcome outcome, Duration latency, Instant now)
{
    const auto found = statuses_.find(key);
    if (found == statuses_.end())
        return false;
    EndpointStatus &status = found->second;
    status.running -= std::min(status.running, 1U);
    if (!hadFirstToken)
        status.pendingTokens -= std::min(status.pendingTokens, pendingTokens);
    if (outcome == Outcome::Succeeded) {
        const double millis = std::chrono::duration<double, std::milli>(latency).count();
        if (status.averageMillis <= 0)
            status.averageMillis = millis;
        status.averageMillis += kAverageWeight * (millis - status.averageMillis);
    }
    const double peers = peerFailureShare(status.service, key, now);
    return status.health.record(outcome, peers, mayEject(status.service, now), now);
}

bool EndpointSelector::mayEject(std::string_view service, Instant now) const
{
    size_t usable = 0;
    size_t ejected = 0;
    for (const auto &[key, status] : statuses_) {
        if (status.service != service || !status.usable)
            continue;
        ++usable;
        ejected += status.health.isEjected(now);
    }
    return double(ejected + 1) <= std::max(1.0, settings_.maxEjectedShare * double(usable));
}

double EndpointSelector::peerFailureShare(std::string_view service, EndpointKey excludedKey,
                                          Instant now) const
{
    double sum = 0;
    size_t count = 0;
    for (const auto &[key, status] : statuses_) {
        if (key == excludedKey || status.service != service || !status.usable)
            continue;
        sum += status.health.failureShare(now);
        ++count;
    }
    return count == 0 ? 1 : sum / double(count);
}

std::vector<EndpointUse> EndpointSelector::ownUses() const
{
    std::vector<EndpointUse> uses;
    for (const auto &[key, status] : statuses_) {
        if (status.running > 0)
            uses.push_back({ key, status.running, status.pendingTokens });
    }
    return uses;
}

const EndpointSelector::EndpointStatus *EndpointSelector::find(EndpointKey key) const
{
    const auto found = statuses_.find(key);
    return found == statuses_.end() ? nullptr : &found->second;
}

double EndpointSelector::utilization(std::string_view service,
                                     const AllowedVersions &versions) const
{
    double running = 0;
    double slots = 0;
    for (const auto &[key, status] : statuses_) {
        if (!status.usable || status.dataCentreOut || status.service != service
            || !versions.allows(status.softwareVersion))
            continue;
        running += status.load();
        slots += status.slots;
    }
    return slots > 0 ? running / slots : 1;
}

std::string_view placementProblemName(PlacementProblem problem)
{
    switch (problem) {
    case PlacementProblem::NoEndpoint:
        return "no_endpoint";
    case PlacementProblem::Cold:
        return "only_cold_endpoints";
    case PlacementProblem::RateLimited:
        return "only_rate_limited_endpoints";
    case PlacementProblem::Backoff:
        return "only_quiet_endpoints";
    }
    return "no_endpoint";
}

} // namespace bamboogap
