#include "routing/serviceadmission.h"

#include <algorithm>
#include <cmath>

namespace bamboogap {

namespace {

using std::chrono::milliseconds;

// Work time that is assumed before any response, and the part of a latency that is the network's.
constexpr Duration kInitialWork = milliseconds(40);
constexpr Duration kNetwork = milliseconds(12);
// Share of the latency goal that a request may wait at an endpoint on average. The queue length
// varies by about as much, and the rest of the goal is work and network.
constexpr double kQueueShareOfGoal = 0.16;
constexpr Duration kDefaultGoal = milliseconds(150);
// Time in which a queue that is shorter or longer than its target is corrected. Shorter times than
// the age of the sums oscillate.
constexpr double kFillSeconds = 0.8;
constexpr double kDrainSeconds = 0.5;
// Without a queue while requests are rejected, the capacity is taken to be higher by this factor
// at each sum.
constexpr double kProbeFactor = 1.08;
constexpr double kMaxProbedRate = 2; // of the rate by the work time
constexpr double kRateWeight = 0.4; // of a new observation of the capacity
// Sums are used for this long.
constexpr Duration kSumsLifetime = std::chrono::seconds(1);
// A router sends at most this multiple of its share of what is admitted. The rest is for the
// variation of the shares.
constexpr double kBurstFactor = 1.25;
constexpr double kUnseenFactor = 0.8;
// Tokens that may be saved: one before the sums show that the service is full, since all routers
// spend them at the same time; a few after that, so that a router with few requests a second can
// use its share.
constexpr double kDepthLimited = 3;
constexpr double kDepthSeconds = 0.03;
// A request waits for a token this share of its latency goal.
constexpr double kWaitShare = 0.35;
constexpr double kBlindWaitShare = 0.6;
constexpr Duration kFirstWait = milliseconds(50); // a response is back after this time
// For how long what a response says of its endpoint is used.
constexpr Duration kFreshLoad = milliseconds(100);
constexpr Duration kIdleLoad = milliseconds(300);
// Requests that one report of a low load admits beyond the tokens.
constexpr uint32_t kSendsPerIdleLoad = 2;
constexpr double kOwnRateSeconds = 0.3;
// An endpoint is full if the expected latency there is above this share of the goal. For requests
// that may be sent only once the rest also has to keep them from being rejected.
constexpr double kFullShareOfGoal = 0.9;
constexpr double kFullShareOfGoalSingle = 0.75;

// Reports of this router that are kept: the first one is about as old as the sums.
constexpr size_t kReportsKept = 3;

// While less than this share of what the endpoints can take is served and nothing waits there, more
// is admitted with each sum.
constexpr double kUsedShare = 0.8;
constexpr double kBoostFactor = 1.4;
constexpr double kMaxBoost = 10;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

size_t ServiceAdmission::classOf(uint32_t priority)
{
    return std::min<size_t>(priority, kPriorityClasses - 1);
}

ServiceAdmission::Order ServiceAdmission::orderOf(const ServiceRequest &request)
{
    return { request.priority, request.deadline, request.id };
}

double ServiceAdmission::initialPerSecond(uint32_t slots) const
{
    return slots / seconds(work_ > Duration {} ? work_ : kInitialWork);
}

void ServiceAdmission::setEndpoints(std::span<const EndpointSlots> endpoints)
{
    std::set<EndpointKey> keys;
    for (const EndpointSlots &item : endpoints) {
        keys.insert(item.key);
        Endpoint &endpoint = endpoints_[item.key];
        if (endpoint.perSecond > 0 && endpoint.slots == item.slots)
            continue;
        endpoint.slots = item.slots;
        endpoint.usualPerSecond = initialPerSecond(item.slots);
        endpoint.perSecond = endpoint.usualPerSecond;
    }
    std::erase_if(endpoints_, [&](const auto &item) { return keys.count(item.first) == 0; });
    updateShares();
}

void ServiceAdmission::setFleet(const ServiceDemand &sums, Instant now)
{
    // The sums are about two reports older than the last one of this router.
    constexpr double kWeight = 0.15;
    constexpr size_t kReportsBack = 2;
    if (ownReports_.size() >= kReportsBack && sums.totalArrivals() > 0) {
        ownMean_ += kWeight * (ownReports_.front() - ownMean_);
        fleetMean_ += kWeight * (sums.totalArrivals() - fleetMean_);
    }
    double served = 0;
    bool queued = false;
    for (const ServiceDemand::Endpoint &sum : sums.endpoints) {
        served += sum.answers;
        queued = queued || sum.waiting >= sum.samples;
    }
    // Less was sent than could be served: the demand has fallen since, or counts callers that
    // come back again and again.
    underused_ = limited_ && !queued && served < kUsedShare * admitted_;
    boost_ = underused_ ? std::min(boost_ * kBoostFactor, kMaxBoost)
                        : std::max(1.0, boost_ / kBoostFactor / kBoostFactor);
    fleet_ = sums;
    fleetAt_ = now;
    hasFleet_ = true;
    for (auto &[key, endpoint] : endpoints_) {
        const auto low = static_cast<uint32_t>(key);
        const auto sum = std::find_if(sums.endpoints.begin(), sums.endpoints.end(),
                                      [low](const auto &item) { return item.key == low; });
        if (sum != sums.endpoints.end())
            adapt(endpoint, *sum);
        else
            adapt(endpoint, {});
    }
    updateShares();
}

bool ServiceAdmission::hasSums(Instant now) const
{
    return hasFleet_ && now - fleetAt_ <= kSumsLifetime;
}

void ServiceAdmission::adapt(Endpoint &endpoint, const ServiceDemand::Endpoint &sum) const
{
    endpoint.hasFigures = sum.samples > 0;
    if (!endpoint.hasFigures) {
        // What was told before is not used for longer than the sums: it may have been wrong.
        endpoint.slowness = 1;
        endpoint.perSecond = endpoint.usualPerSecond;
        return;
    }
    const double running = sum.running / sum.samples;
    const double waiting = sum.waiting / sum.samples;
    const double slowness = std::clamp(sum.percent / sum.samples / 100, 0.1, 10.0);
    endpoint.fleetWaiting = waiting;
    endpoint.slowness = slowness;
    // Busy for all of the time that the sums cover. A response may be sent after its slot was
    // freed.
    constexpr double kBusyShare = 0.8;
    constexpr double kBusyWaiting = 3;
    const double served = sum.answers * slowness;
    if (waiting >= kBusyWaiting && running >= kBusyShare * endpoint.slots) {
        endpoint.usualPerSecond += kRateWeight * (served - endpoint.usualPerSecond);
        endpoint.measured = true;
    } else if (served > endpoint.usualPerSecond) {
        endpoint.usualPerSecond += kRateWeight * (served - endpoint.usualPerSecond);
    } else if (!endpoint.measured) {
        endpoint.usualPerSecond
                = std::max(endpoint.usualPerSecond, initialPerSecond(endpoint.slots));
    }
    if (limited_ && !underused_ && waiting < 1) {
        endpoint.usualPerSecond = std::min(endpoint.usualPerSecond * kProbeFactor,
                                           kMaxProbedRate * initialPerSecond(endpoint.slots));
    }
    endpoint.usualPerSecond = std::max(endpoint.usualPerSecond, 1.0);
    endpoint.perSecond = endpoint.usualPerSecond / slowness;
}

// What the endpoints can take, and which part of each priority that is.
void ServiceAdmission::updateShares()
{
    const double goal = seconds(goal_ > Duration {} ? goal_ : kDefaultGoal);
    admitted_ = 0;
    for (auto &[key, endpoint] : endpoints_) {
        const double target = kQueueShareOfGoal * goal * endpoint.perSecond;
        const double waiting = endpoint.hasFigures ? endpoint.fleetWaiting : target;
        constexpr double kLeast = 0.2;
        constexpr double kMost = 1.1;
        endpoint.weight = std::clamp(
                endpoint.perSecond
                        + (target - waiting) / (waiting > target ? kDrainSeconds : kFillSeconds),
                kLeast * endpoint.perSecond, kMost * endpoint.perSecond);
        admitted_ += endpoint.weight;
    }
    double room = admitted_ * boost_;
    limited_ = false;
    for (size_t i = 0; i < kPriorityClasses; ++i) {
        const double demand = hasFleet_ ? fleet_.arrivals[i] : 0;
        shares_[i] = demand <= room ? 1 : std::max(0.0, room) / demand;
        limited_ = limited_ || demand > room;
        room -= std::min(demand, std::max(0.0, room));
    }
}

double ServiceAdmission::bucketDepth() const
{
    return std::max(limited_ ? kDepthLimited : 1.0, kDepthSeconds * tokensPerSecond_);
}

void ServiceAdmission::refill(Instant now)
{
    const double equal = 1.0 / routers_;
    const bool known = hasSums(now) && fleetMean_ > 0;
    const double own = known ? std::min(1.0, ownMean_ / fleetMean_) : equal;
    // The sums don't show yet what the endpoints do.
    const double factor = !limited_ && looksFull(now) ? kUnseenFactor : kBurstFactor;
    tokensPerSecond_ = std::max(0.1, factor * admitted_ * (equal + own) / 2);
    if (now > refilledAt_)
        tokens_ = std::min(bucketDepth(), tokens_ + tokensPerSecond_ * seconds(now - refilledAt_));
    refilledAt_ = now;
}

void ServiceAdmission::updateOwnRate(Instant now)
{
    if (now > ownAt_)
        ownPerSecond_ *= std::exp(-seconds(now - ownAt_) / kOwnRateSeconds);
    ownAt_ = now;
}

void ServiceAdmission::onArrival(uint32_t priority, Instant now)
{
    updateOwnRate(now);
    ownPerSecond_ += 1 / kOwnRateSeconds;
    if (reportedAt_ == Instant {}) {
        reportedAt_ = now;
        reportsFromStart_ = true;
    }
    ++measured_.arrivals[classOf(priority)];
}

// All that this router has heard of a moment ago is idle, and it has not used that up.
bool ServiceAdmission::looksIdle(Instant now) const
{
    bool heard = false;
    for (const auto &[key, endpoint] : endpoints_) {
        if (!endpoint.load || now - endpoint.loadAt > kIdleLoad)
            continue;
        heard = true;
        if (!endpoint.load->isLow() || endpoint.sentSinceLoad >= kSendsPerIdleLoad)
            return false;
    }
    return heard;
}

// An endpoint that has just told this router of a free slot, which it has not used yet.
std::optional<EndpointKey> ServiceAdmission::freeEndpoint(Instant now) const
{
    for (const auto &[key, endpoint] : endpoints_) {
        if (!endpoint.load)
            continue;
        const Duration age = now - endpoint.loadAt;
        const bool hasSlot
                = endpoint.load->waiting == 0 && endpoint.load->running < endpoint.load->slots;
        if ((hasSlot && age <= kFreshLoad && endpoint.sentSinceLoad == 0)
            || (endpoint.load->isLow() && age <= kIdleLoad
                && endpoint.sentSinceLoad < kSendsPerIdleLoad))
            return key;
    }
    return std::nullopt;
}

bool ServiceAdmission::hasUnanswered(Instant now) const
{
    return std::any_of(endpoints_.begin(), endpoints_.end(), [now](const auto &item) {
        return item.second.sentSinceLoad > 0 && now - item.second.unansweredSince < kSumsLifetime;
    });
}

// More requests come than usual, and a response that would tell why is overdue.
bool ServiceAdmission::looksSurging(Instant now) const
{
    // Work and network take up to a few milliseconds more than on average.
    constexpr int kTenths = 13;
    const Duration expected
            = (work_ > Duration {} ? work_ : kInitialWork) * kTenths / 10 + kNetwork;
    return trend() > 1 && std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto &item) {
               const Endpoint &endpoint = item.second;
               return endpoint.sentSinceLoad > 0 && now - endpoint.unansweredSince > expected
                       && now - endpoint.unansweredSince < kSumsLifetime;
           });
}

// An endpoint has shown a moment ago that it is full.
bool ServiceAdmission::looksFull(Instant now) const
{
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto &item) {
        const Endpoint &endpoint = item.second;
        const bool rejected
                = endpoint.rejectedAt != Instant {} && now - endpoint.rejectedAt <= kIdleLoad;
        return rejected
                || (endpoint.load && now - endpoint.loadAt <= kIdleLoad
                    && endpoint.load->waiting * 2 >= endpoint.load->slots);
    });
}

// The change of this router's own demand since the one that the sums show. Counts of a few requests
// vary by chance, so small changes are ignored.
double ServiceAdmission::trend() const
{
    constexpr double kPrior = 2; // requests
    constexpr double kIgnored = 1.5;
    if (ownReports_.size() < kReportsKept)
        return 1;
    const double now = ownPerSecond_ * kOwnRateSeconds + kPrior;
    const double then = ownReports_.front() * kOwnRateSeconds + kPrior;
    const double ratio = now / then;
    return ratio > kIgnored ? ratio / kIgnored : ratio < 1 / kIgnored ? ratio * kIgnored : 1;
}

// The part of a priority that can be served, by the sums and the trend since then.
double ServiceAdmission::shareNow(size_t at) const
{
    const double change = trend();
    double room = admitted_ * boost_;
    for (size_t i = 0; i < at; ++i)
        room -= fleet_.arrivals[i] * change;
    const double demand = fleet_.arrivals[at] * change;
    return demand <= room ? 1 : std::max(0.0, room) / demand;
}

// Spreads the admitted part evenly over the requests of a priority.
bool ServiceAdmission::grant(const ServiceRequest &request, double chance)
{
    const size_t at = classOf(request.priority);
    const double share = shareNow(at);
    if (share >= 1)
        return true;
    // The random part keeps routers with few requests from admitting at the same time.
    constexpr double kJitter = 0.5;
    credit_[at] = std::min(credit_[at] + share, 1.5);
    if (credit_[at] < 1 - kJitter / 2 + kJitter * chance)
        return false;
    credit_[at] -= 1;
    return true;
}

bool ServiceAdmission::isFull(const Endpoint &endpoint, Instant now, Duration limit) const
{
    if (endpoint.rejectedAt != Instant {} && now - endpoint.rejectedAt <= kFreshLoad)
        return true;
    if (!endpoint.load || now - endpoint.loadAt > kFreshLoad)
        return false;
    const Duration work = fromSeconds(endpoint.slots / std::max(1.0, endpoint.usualPerSecond));
    return endpoint.load->expectedWait(work) + work * endpoint.load->percent / 100 + kNetwork
            > limit;
}

// Endpoints are selected at random, in proportion to what each can take: routers with the same
// sums do not all select the same endpoint.
std::optional<EndpointKey> ServiceAdmission::choose(Instant now, double chance, Duration limit,
                                                    const std::set<EndpointKey> *tried) const
{
    const auto allowed = [&](const auto &item) {
        return !(tried && tried->count(item.first) > 0) && !isFull(item.second, now, limit);
    };
    const auto weightOf = [now](const Endpoint &endpoint) {
        if (!endpoint.load || now - endpoint.loadAt > kIdleLoad)
            return endpoint.weight;
        // This router has heard of a slowness that the sums don't show yet.
        const double slowness = endpoint.load->percent / 100.0;
        return endpoint.weight * std::min(1.0, endpoint.slowness / slowness);
    };
    double total = 0;
    for (const auto &item : endpoints_) {
        if (allowed(item))
            total += weightOf(item.second);
    }
    double at = chance * total;
    std::optional<EndpointKey> chosen;
    for (const auto &item : endpoints_) {
        if (!allowed(item))
            continue;
        chosen = item.first;
        at -= weightOf(item.second);
        if (at < 0)
            break;
    }
    return chosen;
}

ServiceDecision ServiceAdmission::reject(const ServiceRequest &request, Instant now, double chance)
{
    remove(request.id);
    // Callers come back within a third of the time that they have left.
    const double left = std::max(0.1, seconds(request.deadline - now));
    ServiceDecision decision;
    decision.kind = ServiceDecision::Kind::Reject;
    decision.returnAfter = fromSeconds(left * (0.08 + 0.24 * chance));
    return decision;
}

ServiceDecision ServiceAdmission::decide(const ServiceRequest &request, Instant now, double chance)
{
    goal_ = request.latencyGoal;
    updateOwnRate(now);
    refill(now);
    const bool isWaiting = orders_.count(request.id) > 0;
    // Two independent numbers from one.
    const double second = chance * 4096 - std::floor(chance * 4096);
    const auto free = freeEndpoint(now);
    if (!isWaiting && hasSums(now) && !free && !looksIdle(now) && !grant(request, second))
        return reject(request, now, chance);

    const Order order = orderOf(request);
    const auto ahead = double(std::distance(waiting_.begin(), waiting_.lower_bound(order)));
    const Duration limit
            = fromSeconds(seconds(request.latencyGoal)
                          * (request.single ? kFullShareOfGoalSingle : kFullShareOfGoal))
            - (now - request.arrivedAt);
    const auto target = free ? free : choose(now, chance, limit, nullptr);
    const bool token = tokens_ >= ahead + 1 || (ahead == 0 && (free || looksIdle(now)));
    if (target && token) {
        remove(request.id);
        tokens_ = std::max(-1.0, tokens_ - 1);
        ServiceDecision decision;
        decision.endpoint = *target;
        return decision;
    }
    // A router that has just started waits for what the responses to its own requests say.
    const bool blind = !hasFleet_ && hasUnanswered(now);
    const bool full = limited_ || (looksFull(now) && trend() > 1);
    const bool unsure = !full && (blind || !looksSurging(now));
    const double share = blind ? kBlindWaitShare : kWaitShare;
    const Duration most
            = unsure && !blind ? kFirstWait : fromSeconds(seconds(request.latencyGoal) * share);
    const Instant last = request.arrivedAt + most;
    if (now >= last) {
        // Nothing shows that the endpoints are full, so that a rejection may be wrong.
        if (target && unsure && !blind) {
            remove(request.id);
            tokens_ = std::max(-1.0, tokens_ - 1);
            ServiceDecision decision;
            decision.endpoint = *target;
            return decision;
        }
        return reject(request, now, chance);
    }
    Instant until = now + milliseconds(5);
    if (target)
        until = std::max(until, now + fromSeconds((ahead + 1 - tokens_) / tokensPerSecond_));
    // What cannot get a token in time is not kept.
    if (!unsure && until > last)
        return reject(request, now, chance);
    if (!isWaiting) {
        if (waiting_.size() >= settings_.maxWaiting
            || waitingBytes_ + request.bytes > settings_.maxWaitingBytes)
            return reject(request, now, chance);
        waiting_.emplace(order, request);
        orders_.emplace(request.id, order);
        waitingBytes_ += request.bytes;
    }
    ServiceDecision decision;
    decision.kind = ServiceDecision::Kind::Wait;
    decision.until = std::min(until, last);
    return decision;
}

std::optional<EndpointKey> ServiceAdmission::secondEndpoint(const std::set<EndpointKey> &tried,
                                                            Instant now, double chance) const
{
    if (limited_ || looksFull(now)) {
        // Only by a fresh word that there is room.
        const bool room = std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto &item) {
            const Endpoint &endpoint = item.second;
            return tried.count(item.first) == 0 && endpoint.load
                    && now - endpoint.loadAt <= kFreshLoad && endpoint.load->waiting == 0;
        });
        if (!room)
            return std::nullopt;
    }
    return choose(now, chance,
                  fromSeconds(seconds(goal_ > Duration {} ? goal_ : kDefaultGoal)
                              * kFullShareOfGoalSingle),
                  &tried);
}

void ServiceAdmission::remove(uint64_t id)
{
    const auto found = orders_.find(id);
    if (found == orders_.end())
        return;
    const auto waiting = waiting_.find(found->second);
    waitingBytes_ -= waiting->second.bytes;
    waiting_.erase(waiting);
    orders_.erase(found);
}

std::vector<uint64_t> ServiceAdmission::waiting() const
{
    std::vector<uint64_t> ids;
    ids.reserve(waiting_.size());
    for (const auto &[order, request] : waiting_)
        ids.push_back(request.id);
    return ids;
}

void ServiceAdmission::onSent(EndpointKey key, Instant now)
{
    const auto found = endpoints_.find(key);
    if (found == endpoints_.end())
        return;
    if (found->second.sentSinceLoad++ == 0)
        found->second.unansweredSince = now;
}

void ServiceAdmission::onResponse(EndpointKey key, const std::optional<ReportedLoad> &load,
                                  bool served, Duration latency, Instant now)
{
    const auto found = endpoints_.find(key);
    if (found == endpoints_.end())
        return;
    Endpoint &endpoint = found->second;
    ServiceDemand sample;
    sample.endpoints.push_back({ static_cast<uint32_t>(key), served ? 1.0 : 0.0 });
    if (load) {
        endpoint.load = load;
        endpoint.loadAt = now;
        endpoint.sentSinceLoad = 0;
        ServiceDemand::Endpoint &counts = sample.endpoints.front();
        counts.samples = 1;
        counts.running = load->running;
        counts.waiting = load->waiting;
        counts.percent = load->percent;
        // Without a queue the latency is work and network.
        if (served && load->waiting == 0 && load->running < load->slots) {
            const Duration work = std::max(latency - kNetwork, latency / 4);
            work_ = work_ > Duration {} ? work_ + (work - work_) / 10 : work;
        }
    }
    measured_.add(sample);
}

void ServiceAdmission::onRejected(EndpointKey key, Instant now)
{
    const auto found = endpoints_.find(key);
    if (found != endpoints_.end())
        found->second.rejectedAt = now;
}

ServiceDemand ServiceAdmission::takeReport(Instant now)
{
    ServiceDemand report = measured_;
    measured_ = {};
    // The first report begins with the first request, which makes its rate too high for a short
    // time. It is not compared with later ones.
    constexpr double kLeastFirst = 0.25;
    const bool isFirst = reportedAt_ == Instant {} || reportsFromStart_;
    const double elapsed = isFirst && reportedAt_ == Instant {} ? kLeastFirst
            : isFirst ? std::max(kLeastFirst, seconds(now - reportedAt_))
                      : seconds(now - reportedAt_);
    reportedAt_ = now;
    reportsFromStart_ = false;
    if (!isFirst)
        ownReports_.push_back(report.totalArrivals() / std::max(0.05, elapsed));
    if (ownReports_.size() > kReportsKept)
        ownReports_.pop_front();
    const double factor = 1 / std::max(0.05, elapsed);
    for (double &rate : report.arrivals)
        rate *= factor;
    for (ServiceDemand::Endpoint &endpoint : report.endpoints) {
        endpoint.answers *= factor;
        endpoint.samples *= factor;
        endpoint.running *= factor;
        endpoint.waiting *= factor;
        endpoint.percent *= factor;
    }
    return report;
}

} // namespace bamboogap
