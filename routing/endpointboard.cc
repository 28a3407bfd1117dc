// The placement decision and the observations it rests on.

#include "routing/endpointboard.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bamboogap {

namespace {

// Weight of a new observation in the decayed means.
constexpr double kNewWeight = 0.2;
// Bounds of the slowness factor, so that one odd answer cannot exclude an endpoint.
constexpr double kLeastSlowness = 0.5;
constexpr double kMostSlowness = 20;
// Each rank that an endpoint lies further down a prompt's rendezvous order costs
// this much, in milliseconds: routers then agree on the place, also where they
// believe the prompt to be cached at several endpoints.
constexpr double kMillisPerRank = 4;
// Endpoints of a prompt's rendezvous order that are compared for it.
constexpr size_t kRanksCompared = 4;
// Ranks beyond this one cost the same: they hold the prompt by chance only.
constexpr size_t kLastPricedRank = 4;
// A cold endpoint costs this much more, in milliseconds, so that prompts do not come
// and go with the pace that it bears.
constexpr double kColdMillis = 150;
// An endpoint that is newer than this to the fleet holds no prompt that was placed
// before it came: every router has seen most prompts in use by then and knows where
// they are.
constexpr Duration kSettled = std::chrono::seconds(20);
// A placement is told to the other routers if it is about this many tokens for each
// of them: telling costs about 60 bytes a router, reading again the engine's time.
constexpr uint32_t kTokensToldPerRouter = 24;
// Placements kept for the other routers between two reports.
constexpr size_t kMostPlacements = 512;
// A request to another data centre costs this much more, in milliseconds: two
// crossings, and the price of bytes between data centres.
constexpr double kOtherDataCentreMillis = 2.5;
// Usual time of a plain request before any was observed, in milliseconds.
constexpr double kAssumedPlainMillis = 40;
// A full batch makes a request wait for a place: cost for each waiting one.
constexpr double kMillisPerWaiting = 20;

bool offers(const EndpointBoard::Standing &standing, std::string_view model)
{
    return model.empty() || standing.models.empty()
            || std::any_of(standing.models.begin(), standing.models.end(),
                           [model](const ModelOffer &offer) { return offer.name == model; });
}

} // namespace

EndpointBoard::EndpointBoard(BoardSettings settings)
    : settings_(settings)
{
}

void EndpointBoard::update(const MergedRoster &roster, const std::set<std::string> &dataCentresOut,
                           const RouteTable *table, Instant now)
{
    services_.clear();
    if (table) {
        for (const ServiceProfile &service : table->services())
            services_[service.name] = service;
    }
    for (auto &[key, standing] : standings_) {
        standing.usable = false;
        standing.there = false;
    }
    for (const auto &[id, endpoint] : roster.endpoints()) {
        const EndpointRecord &record = endpoint.record;
        Standing &standing = standings_[endpoint.key];
        const bool reborn = standing.id != record.id || standing.bornMillis != record.startMillis;
        if (reborn) {
            const uint32_t running = standing.running;
            const uint32_t unread = standing.unreadTokens;
            standing = {};
            standing.running = running;
            standing.unreadTokens = unread;
        }
        standing.id = record.id;
        standing.address = record.address;
        standing.dataCentre = record.dataCentre;
        standing.service = record.service;
        standing.bornMillis = record.startMillis;
        standing.knownSince = endpoint.knownSince;
        standing.slots = std::max(1U, record.slots);
        standing.models = record.models;
        standing.coldUntil = std::max(standing.coldUntil, endpoint.coldUntil);
        standing.usable = roster.mayUse(endpoint, now);
        standing.there = roster.isPresent(endpoint, now);
        const bool out = dataCentresOut.count(record.dataCentre) > 0;
        const auto profile = services_.find(record.service);
        if (profile != services_.end()) {
            if (profile->second.engine)
                standing.cache.setCapacity(profile->second.engine->cacheTokens);
            if (standing.out && !out)
                standing.coldUntil = std::max(standing.coldUntil, now + profile->second.warmup);
        }
        standing.out = out;
    }
    std::erase_if(standings_, [](const auto &item) {
        return !item.second.there && item.second.running == 0 && !item.second.out;
    });
}

void EndpointBoard::setOthers(std::span<const EndpointUse> uses)
{
    for (auto &[key, standing] : standings_) {
        standing.othersRunning = 0;
        standing.othersUnread = 0;
    }
    for (const EndpointUse &use : uses) {
        const auto found = standings_.find(use.key);
        if (found == standings_.end())
            continue;
        found->second.othersRunning = use.running;
        found->second.othersUnread = use.pendingPrefillTokens;
    }
}

double EndpointBoard::bearablePerSecond(const Standing &standing) const
{
    const auto found = services_.find(standing.service);
    return found == services_.end() ? 0 : found->second.warmupPerSecond;
}

void EndpointBoard::price(Candidate &candidate, const PlacementRequest &request, size_t rank) const
{
    const Standing &standing = *candidate.standing;
    const bool elsewhere = standing.dataCentre != request.dataCentre;
    if (candidate.cold)
        candidate.cost += kColdMillis;
    const double waiting = std::max(0.0, double(standing.load()) - standing.slots);
    candidate.cost += waiting * kMillisPerWaiting + (elsewhere ? kOtherDataCentreMillis : 0);
    if (request.model.empty()) {
        const double usual = standing.usualMillis > 0 ? standing.usualMillis : kAssumedPlainMillis;
        candidate.cost += usual * (1 + double(standing.load()) / standing.slots);
        return;
    }
    const uint32_t own = request.prompt.empty() ? 0 : request.prompt.back().tokens;
    const double missed = candidate.uncached > own ? candidate.uncached - own : 0;
    const double unread
            = double(candidate.uncached) + standing.unreadTokens + standing.othersUnread;
    candidate.cost += standing.slowness
            * (unread / settings_.readTokensPerMilli
               + settings_.millisPerRunning * standing.load());
    candidate.cost += missed / settings_.readTokensPerMilli * settings_.missPenalty
            + kMillisPerRank * double(std::min(rank, kLastPricedRank));
}

// What each candidate would have to read. A prompt whose shared parts this router
// has not placed before was probably placed by others at its first choice. In a large fleet
// that holds for every prompt: one that a router hears to have spilled elsewhere is still at
// its first choice, too.
void EndpointBoard::believeCached(const PlacementRequest &request,
                                  std::vector<Candidate> &candidates) const
{
    const uint32_t own = request.prompt.empty() ? 0 : request.prompt.back().tokens;
    const uint32_t shared = request.promptTokens - std::min(request.promptTokens, own);
    bool known = false;
    for (Candidate &candidate : candidates) {
        const uint32_t cached = candidate.standing->cache.cachedTokens(request.prompt);
        candidate.uncached = request.promptTokens - std::min(request.promptTokens, cached);
        candidate.holds = cached >= shared;
        known = known || candidate.holds;
    }
    if (known && !seesLittle())
        return;
    auto first = std::find_if(candidates.begin(), candidates.end(), [](const auto &candidate) {
        return !candidate.cold && candidate.settled;
    });
    if (first == candidates.end()) {
        first = std::find_if(candidates.begin(), candidates.end(),
                             [](const auto &candidate) { return !candidate.cold; });
    }
    if (first != candidates.end())
        first->uncached = std::min(first->uncached, own);
}

// The endpoint that holds most of what the chosen one lacks of the prompt.
std::string EndpointBoard::copySource(const PlacementRequest &request, const Candidate &chosen,
                                      std::span<const Candidate> candidates, Instant now) const
{
    if (request.model.empty())
        return {};
    const uint32_t held = chosen.standing->cache.cachedTokens(request.prompt);
    const Standing *best = nullptr;
    uint32_t most = held + settings_.leastCopiedTokens;
    for (const auto &[key, standing] : standings_) {
        if (&standing == chosen.standing || standing.service != request.service || !standing.there
            || standing.health.isEjected(now))
            continue;
        const uint32_t cached = standing.cache.cachedTokens(request.prompt);
        if (cached >= most) {
            most = cached;
            best = &standing;
        }
    }
    // A copy of what the chosen one holds after all costs nothing.
    if (!best && seesLittle())
        best = likelyHolder(request, *chosen.standing, now);
    // Otherwise the first choice probably holds it through other routers.
    if (!best && held < settings_.leastCopiedTokens && !candidates.empty()
        && candidates.front().standing != chosen.standing)
        best = candidates.front().standing;
    return best ? best->address : std::string();
}

// The first in the prompt's order that is there at all: prompts were placed in that order
// before endpoints came, were taken out or began to drain.
const EndpointBoard::Standing *EndpointBoard::likelyHolder(const PlacementRequest &request,
                                                           const Standing &except,
                                                           Instant now) const
{
    const Standing *best = nullptr;
    std::pair<bool, uint64_t> highest;
    for (const auto &[key, standing] : standings_) {
        if (&standing == &except || standing.service != request.service || !standing.there
            || standing.health.isEjected(now))
            continue;
        const bool settled = now - standing.knownSince > kSettled;
        const std::pair score { settled, combineHashes(request.affinity, key) };
        if (!best || score > highest) {
            best = &standing;
            highest = score;
        }
    }
    return best;
}

EndpointBoard::Gathered EndpointBoard::gather(const PlacementRequest &request, Instant now)
{
    Gathered gathered;
    std::vector<Candidate> ejected; // the last resort
    double load = 0;
    size_t alive = 0; // also those that drain or are out: all count for the mean
    for (auto &[key, standing] : standings_) {
        if (!standing.there || standing.service != request.service
            || !offers(standing, request.model))
            continue;
        ++alive;
        load += standing.load();
        if (!standing.usable || standing.out)
            continue;
        if (request.avoid && request.avoid->count(key) > 0)
            continue;
        if (standing.quiet.isQuiet(now)) {
            gathered.sawQuiet = true;
            continue;
        }
        if (standing.health.isEjected(now)
            || (standing.health.onProbation(now) && standing.running > 0)) {
            ejected.push_back({ key, &standing, request.promptTokens });
            continue;
        }
        const bool cold = now < standing.coldUntil || standing.health.onProbation(now);
        if (cold && !standing.pace.mayTake(bearablePerSecond(standing), fleet_, key, now)) {
            gathered.sawCold = true;
            continue;
        }
        gathered.candidates.push_back({ key, &standing, request.promptTokens, 0, cold,
                                        now - standing.knownSince > kSettled });
    }
    if (gathered.candidates.empty() && !gathered.sawCold)
        gathered.candidates = std::move(ejected);
    gathered.mostLoad = settings_.loadMultiple * load / double(std::max<size_t>(1, alive))
            + settings_.loadAllowance;
    return gathered;
}

// Candidates are in the prompt's rendezvous order. Only the first ranks and those that
// hold the prompt are compared: the order differs from prompt to prompt, so that
// routers with the same late knowledge do not all pick the endpoint that was the least
// loaded a moment ago.
const EndpointBoard::Candidate &EndpointBoard::chooseEngine(const Gathered &gathered)
{
    const std::vector<Candidate> &candidates = gathered.candidates;
    const Candidate *best = nullptr;
    const Candidate *next = nullptr; // in order, under the bound
    const Candidate *least = nullptr; // of the first ranks
    for (size_t rank = 0; rank < candidates.size(); ++rank) {
        const Candidate &candidate = candidates[rank];
        const uint32_t load = candidate.standing->load();
        if (rank < kRanksCompared && (!least || load < least->standing->load()))
            least = &candidate;
        if (load + 1 > gathered.mostLoad)
            continue;
        if (!next && !candidate.cold)
            next = &candidate;
        const bool compared = rank < kRanksCompared || candidate.holds;
        if (compared && (!best || candidate.cost < best->cost))
            best = &candidate;
    }
    return best ? *best : next ? *next : *least;
}

// The better of two at random, for the same reason.
const EndpointBoard::Candidate &EndpointBoard::choosePlain(const Gathered &gathered, double chance)
{
    const size_t count = gathered.candidates.size();
    const double place = chance * double(count);
    const auto first = std::min(count - 1, static_cast<size_t>(place));
    if (count == 1)
        return gathered.candidates[0];
    const double rest = place - double(first); // again uniform in [0, 1)
    const size_t second = (first + 1 + static_cast<size_t>(rest * double(count - 1))) % count;
    const Candidate &a = gathered.candidates[first];
    const Candidate &b = gathered.candidates[second];
    return b.cost < a.cost ? b : a;
}

tl::expected<Placement, PlacementProblem> EndpointBoard::place(const PlacementRequest &request,
                                                               Instant now, double chance)
{
    Gathered gathered = gather(request, now);
    std::vector<Candidate> &candidates = gathered.candidates;
    if (candidates.empty()) {
        return tl::unexpected(gathered.sawCold            ? PlacementProblem::Cold
                                      : gathered.sawQuiet ? PlacementProblem::Quiet
                                                          : PlacementProblem::NoEndpoint);
    }
    const bool engine = !request.model.empty();
    if (engine) {
        std::sort(candidates.begin(), candidates.end(), [&](const auto &a, const auto &b) {
            return combineHashes(request.affinity, a.key) > combineHashes(request.affinity, b.key);
        });
        believeCached(request, candidates);
    }
    for (size_t rank = 0; rank < candidates.size(); ++rank)
        price(candidates[rank], request, rank);
    const Candidate &best = engine ? chooseEngine(gathered) : choosePlain(gathered, chance);
    Standing &chosen = *best.standing;
    if (best.cold)
        chosen.pace.take(bearablePerSecond(chosen), fleet_, best.key, now);
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

void EndpointBoard::began(EndpointKey key, const PlacementRequest &request, uint32_t unreadTokens)
{
    Standing &standing = standings_[key];
    ++standing.running;
    if (request.model.empty())
        return;
    standing.unreadTokens += unreadTokens;
    if (request.prompt.size() > 1) {
        const auto shared = request.prompt.first(request.prompt.size() - 1);
        uint32_t tokens = 0;
        for (const ChainPart &part : shared)
            tokens += part.tokens;
        const bool worthTelling = tokens >= kTokensToldPerRouter * fleet_.routers;
        if (worthTelling && standing.cache.cachedTokens(shared) < tokens
            && placements_.size() < kMostPlacements)
            placements_.push_back({ key, { shared.begin(), shared.end() } });
    }
    standing.cache.insert(request.prompt);
}

std::vector<PromptPlacement> EndpointBoard::takePlacements()
{
    return std::exchange(placements_, {});
}

void EndpointBoard::learn(std::span<const PromptPlacement> placements)
{
    for (const PromptPlacement &placement : placements) {
        const auto found = standings_.find(placement.endpoint);
        if (found != standings_.end())
            found->second.cache.insert(placement.parts);
    }
}

void EndpointBoard::askedForQuiet(EndpointKey key, int64_t bornMillis, Duration duration,
                                  Instant now)
{
    const auto found = standings_.find(key);
    if (found != standings_.end() && found->second.bornMillis == bornMillis)
        found->second.quiet.ask(duration, now);
}

Duration EndpointBoard::quietLeft(std::string_view service, Instant now) const
{
    Duration least {};
    for (const auto &[key, standing] : standings_) {
        if (standing.service != service || !standing.usable || standing.out)
            continue;
        const Duration left = standing.quiet.left(now);
        if (left == Duration {})
            return left;
        least = least == Duration {} ? left : std::min(least, left);
    }
    return least;
}

void EndpointBoard::firstToken(EndpointKey key, uint32_t unreadTokens, double expectedMillis,
                               Duration latency)
{
    const auto found = standings_.find(key);
    if (found == standings_.end())
        return;
    Standing &standing = found->second;
    standing.unreadTokens -= std::min(standing.unreadTokens, unreadTokens);
    const double millis = std::chrono::duration<double, std::milli>(latency).count();
    const double ratio
            = std::clamp(millis / std::max(expectedMillis, 1.0), kLeastSlowness, kMostSlowness);
    standing.slowness += kNewWeight * (ratio - standing.slowness);
}

bool EndpointBoard::ended(EndpointKey key, uint32_t unreadTokens, bool hadFirstToken,
                          Outcome outcome, Duration latency, Instant now)
{
    const auto found = standings_.find(key);
    if (found == standings_.end())
        return false;
    Standing &standing = found->second;
    standing.running -= std::min(standing.running, 1U);
    if (!hadFirstToken)
        standing.unreadTokens -= std::min(standing.unreadTokens, unreadTokens);
    if (outcome == Outcome::Succeeded) {
        const double millis = std::chrono::duration<double, std::milli>(latency).count();
        if (standing.usualMillis <= 0)
            standing.usualMillis = millis;
        standing.usualMillis += kNewWeight * (millis - standing.usualMillis);
    }
    const double peers = peerFailureShare(standing.service, key, now);
    return standing.health.record(outcome, peers, mayEject(standing.service, now), now);
}

bool EndpointBoard::mayEject(std::string_view service, Instant now) const
{
    size_t usable = 0;
    size_t ejected = 0;
    for (const auto &[key, standing] : standings_) {
        if (standing.service != service || !standing.usable)
            continue;
        ++usable;
        ejected += standing.health.isEjected(now);
    }
    return double(ejected + 1) <= std::max(1.0, settings_.mostEjected * double(usable));
}

double EndpointBoard::peerFailureShare(std::string_view service, EndpointKey except,
                                       Instant now) const
{
    double sum = 0;
    size_t count = 0;
    for (const auto &[key, standing] : standings_) {
        if (key == except || standing.service != service || !standing.usable)
            continue;
        sum += standing.health.failureShare(now);
        ++count;
    }
    return count == 0 ? 1 : sum / double(count);
}

std::vector<EndpointUse> EndpointBoard::ownUses() const
{
    std::vector<EndpointUse> uses;
    for (const auto &[key, standing] : standings_) {
        if (standing.running > 0)
            uses.push_back({ key, standing.running, standing.unreadTokens });
    }
    return uses;
}

const EndpointBoard::Standing *EndpointBoard::find(EndpointKey key) const
{
    const auto found = standings_.find(key);
    return found == standings_.end() ? nullptr : &found->second;
}

double EndpointBoard::fill(std::string_view service) const
{
    double running = 0;
    double slots = 0;
    for (const auto &[key, standing] : standings_) {
        if (!standing.usable || standing.out || standing.service != service)
            continue;
        running += standing.load();
        slots += standing.slots;
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
    case PlacementProblem::Quiet:
        return "only_quiet_endpoints";
    }
    return "no_endpoint";
}

} // namespace bamboogap
