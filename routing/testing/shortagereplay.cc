#include "routing/testing/shortagereplay.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include <fmt/format.h>

#include "routing/retrywindow.h"
#include "routing/serviceadmission.h"

namespace bamboogap::testing {

namespace {

constexpr int kEndpoints = 3;
constexpr size_t kSlots = 6;
constexpr size_t kQueue = 24;
constexpr double kWork = 0.030;
constexpr double kOneWay = 0.007;
constexpr double kCapacity = kEndpoints * kSlots / kWork;
constexpr double kCalmFactor = 0.33;
constexpr double kWaveStart = 4;
constexpr double kWaveEnd = 12;
constexpr double kAfter = kWaveEnd + 2;
constexpr double kEnd = kAfter + 3;
constexpr double kGoal = 0.150;
constexpr double kDeadline = 1.0;
constexpr double kReportInterval = 0.25;
constexpr double kSumsDelay = 0.2; // between reports and their sums; the interval adds to it
// As in DirectRouter, without and with admission control.
constexpr double kPlainAttemptShare = 0.6;
constexpr double kAdmittedAttemptShare = 1.2;
constexpr double kSpell = 0.6;
constexpr double kSlowness = 2.5;

Instant at(double time)
{
    return Instant {}
    + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1000 + time));
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Call // of a caller, with all its attempts
{
    uint32_t priority = 0;
    uint32_t maxAttempts = 1;
    bool atOnce = false; // comes back at once
    double deadline = 0;
    int attempts = 0;
    bool counted = false;
};

struct Request // one attempt of a caller at a router
{
    Call call;
    int router = 0;
    double arrivedAt = 0;
    std::set<EndpointKey> tried;
    int sends = 0;
    uint32_t runs = 0;
    uint64_t attempt = 0; // tells late events of earlier sends apart
    double sentAt = 0;
    bool open = true;
};

struct Endpoint
{
    struct Item
    {
        uint64_t request;
        uint64_t attempt;
    };
    std::deque<Item> queue;
    size_t running = 0;
    bool crashed = false;
    uint64_t life = 0;
    double slowness = 1;

    ReportedLoad load(bool percent) const
    {
        return { static_cast<uint32_t>(running), static_cast<uint32_t>(queue.size()), kSlots,
                 percent ? static_cast<uint32_t>(slowness * 100) : 100 };
    }
};

struct Router
{
    std::unique_ptr<ServiceAdmission> admission;
    std::unique_ptr<RetryWindow> retries;
    std::array<int, kEndpoints> running {};
    std::array<int, kEndpoints> others {};
    std::array<double, kEndpoints> average {};
    std::array<double, kEndpoints> ejectedUntil {};
    double wakesAt = 0;
    ServiceDemand reported;
    std::array<int, kEndpoints> reportedRunning {};
};

struct Sums
{
    double time = 0;
    ServiceDemand demand;
    std::array<int, kEndpoints> running {};
};

class Replay
{
public:
    explicit Replay(const ReplaySettings &settings)
        : settings_(settings)
        , random_(settings.seed)
        , routers_(settings.routers)
    {
    }

    ReplayResult run()
    {
        for (int i = 0; i < settings_.routers; ++i) {
            startRouter(i);
            after(uniform() * kReportInterval, [this, i] { report(i); });
        }
        after(0, [this] { sumUp(); });
        after(0, [this] { arrive(); });
        scheduleFaults();
        while (!events_.empty() && events_.top().time < kEnd) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
        return result();
    }

private:
    struct Event
    {
        double time;
        uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(time, number) > std::pair(other.time, other.number);
        }
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    void after(double delay, std::function<void()> action)
    {
        events_.push({ now_ + delay, ++eventNumber_, std::move(action) });
    }
    double network() { return kOneWay * (0.85 + 0.3 * uniform()); }
    bool inWave(double time) const { return time >= kWaveStart && time < kWaveEnd; }

    void startRouter(int i)
    {
        Router &router = routers_[i];
        // Replicas keep what the router's last process has reported.
        Router restarted;
        restarted.reported = router.reported;
        router = std::move(restarted);
        router.admission = std::make_unique<ServiceAdmission>();
        router.retries = std::make_unique<RetryWindow>(RetryWindowSettings {}, Instant {});
        // A router takes requests when a replica has answered it.
        router.admission->setRouters(static_cast<uint32_t>(settings_.routers));
        setEndpoints(i);
    }

    void setEndpoints(int i)
    {
        std::vector<ServiceAdmission::EndpointSlots> usable;
        for (int e = 0; e < kEndpoints; ++e) {
            if (now_ >= routers_[i].ejectedUntil[e])
                usable.push_back({ static_cast<EndpointKey>(e), kSlots });
        }
        routers_[i].admission->setEndpoints(usable);
    }

    void scheduleFaults()
    {
        if (settings_.fault == ReplayFault::SlowSpells)
            after(kWaveStart + 1, [this] { slowSpell(0); });
        if (settings_.fault == ReplayFault::Crash) {
            after(kWaveStart + 3, [this] {
                Endpoint &endpoint = endpoints_[0];
                ++endpoint.life;
                endpoint.crashed = true;
                endpoint.running = 0;
                endpoint.queue.clear(); // its callers see the connections end
                for (auto &[id, request] : requests_) {
                    if (request.open && request.sends > 0 && inFlightAt_[id] == 0) {
                        const uint64_t attempt = request.attempt;
                        after(network(), [this, id = id, attempt] { broken(id, attempt, 0); });
                    }
                }
            });
            // Replicas notice the missing heartbeats.
            after(kWaveStart + 5, [this] {
                for (int i = 0; i < settings_.routers; ++i) {
                    routers_[i].ejectedUntil[0] = kEnd;
                    setEndpoints(i);
                }
            });
        }
        if (settings_.fault == ReplayFault::RouterRestarts) {
            after(kWaveStart + 3, [this] {
                for (int i = 0; i < settings_.routers; i += 3) {
                    for (auto &[id, request] : requests_) {
                        if (request.router == i)
                            request.open = false;
                    }
                    startRouter(i);
                }
            });
        }
    }

    void slowSpell(int number)
    {
        for (Endpoint &endpoint : endpoints_)
            endpoint.slowness = 1;
        if (now_ >= kWaveEnd)
            return;
        // Turns: one endpoint is slow for a spell, all are quick for one, the next one is slow.
        if (number % 2 == 0)
            endpoints_[(number / 2) % kEndpoints].slowness = kSlowness;
        after(kSpell, [this, number] { slowSpell(number + 1); });
    }

    void arrive()
    {
        const double factor = inWave(now_) ? settings_.waveFactor : kCalmFactor;
        after(-std::log(1 - uniform()) / (factor * kCapacity), [this] { arrive(); });
        Call call;
        call.priority = uniform() < 0.3 ? 0 : 1;
        call.maxAttempts = uniform() < 0.5 ? 1 : 2;
        call.atOnce = uniform() < 0.2;
        call.deadline = now_ + kDeadline;
        if (inWave(now_))
            ++calls_[call.priority];
        attempt(call);
    }

    void attempt(Call call)
    {
        Request request;
        ++call.attempts;
        request.call = call;
        request.router = static_cast<int>(uniform() * settings_.routers);
        request.arrivedAt = now_;
        const uint64_t id = ++requestNumber_;
        requests_[id] = request;
        ++attempts_;
        if (now_ > kAfter)
            ++attemptsAfter_;
        if (now_ < kWaveStart)
            ++attemptsBefore_;
        Router &router = routers_[request.router];
        router.retries->onRequest(at(now_));
        if (settings_.policy == ReplayPolicy::Admission) {
            router.admission->onArrival(call.priority, at(now_));
            decide(id);
        } else {
            send(id, *twoChoices(router, {}));
        }
    }

    void decide(uint64_t id)
    {
        const auto found = requests_.find(id);
        if (found == requests_.end() || !found->second.open)
            return;
        Request &request = found->second;
        ServiceAdmission &admission = *routers_[request.router].admission;
        ServiceRequest asked;
        asked.id = id;
        asked.priority = request.call.priority;
        asked.arrivedAt = at(request.arrivedAt);
        asked.deadline = at(request.call.deadline);
        asked.latencyGoal
                = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kGoal));
        asked.single = request.call.maxAttempts == 1;
        const ServiceDecision decision = admission.decide(asked, at(now_), uniform());
        switch (decision.kind) {
        case ServiceDecision::Kind::Admit:
            send(id, decision.endpoint);
            return;
        case ServiceDecision::Kind::Wait: {
            wake(request.router, now_ + std::max(0.0005, toSeconds(decision.until - at(now_))));
            return;
        }
        case ServiceDecision::Kind::Reject:
            reject(id, toSeconds(decision.returnAfter));
            return;
        }
    }

    // One timer for the router's waiting requests.
    void wake(int router, double time)
    {
        if (routers_[router].wakesAt > now_ && routers_[router].wakesAt <= time)
            return;
        routers_[router].wakesAt = time;
        after(time - now_, [this, router, time] {
            if (routers_[router].wakesAt == time)
                decideWaiting(router);
        });
    }

    void decideWaiting(int router)
    {
        for (const uint64_t id : routers_[router].admission->waiting())
            decide(id);
    }

    // As EndpointSelector does for plain services.
    std::optional<EndpointKey> twoChoices(const Router &router, const std::set<EndpointKey> &tried)
    {
        std::vector<int> candidates;
        for (int e = 0; e < kEndpoints; ++e) {
            if (tried.count(e) == 0 && now_ >= router.ejectedUntil[e])
                candidates.push_back(e);
        }
        if (candidates.empty())
            return std::nullopt;
        const auto cost = [&](int e) {
            const double load = router.running[e] + router.others[e];
            const double average = router.average[e] > 0 ? router.average[e] : 0.040;
            return std::max(0.0, load - kSlots) * 0.020 + average * (1 + load / kSlots);
        };
        std::shuffle(candidates.begin(), candidates.end(), random_);
        if (candidates.size() == 1 || cost(candidates[0]) <= cost(candidates[1]))
            return candidates[0];
        return candidates[1];
    }

    void send(uint64_t id, EndpointKey key)
    {
        Request &request = requests_.at(id);
        Router &router = routers_[request.router];
        request.tried.insert(key);
        ++request.sends;
        request.sentAt = now_;
        const uint64_t attempt = ++request.attempt;
        const int e = static_cast<int>(key);
        inFlightAt_[id] = e;
        ++router.running[e];
        router.admission->onSent(key, at(now_));
        after(network(), [this, id, attempt, e] { reach(id, attempt, e); });
        // An idempotent request that is not answered in time goes to another endpoint.
        const double attemptShare = settings_.policy == ReplayPolicy::Admission
                ? kAdmittedAttemptShare
                : kPlainAttemptShare;
        const double limit = request.runs + 1 < request.call.maxAttempts
                ? attemptShare * kGoal
                : request.call.deadline + 0.06 - now_;
        after(limit, [this, id, attempt, e] {
            const auto found = requests_.find(id);
            if (found != requests_.end() && found->second.open && found->second.attempt == attempt)
                broken(id, attempt, e);
        });
    }

    void reach(uint64_t id, uint64_t attempt, int e)
    {
        Endpoint &endpoint = endpoints_[e];
        if (endpoint.crashed) {
            after(network(), [this, id, attempt, e] { unreachable(id, attempt, e); });
            return;
        }
        if (inWave(now_))
            ++endpointArrivals_;
        if (endpoint.running < kSlots) {
            ++endpoint.running;
            work(id, attempt, e);
        } else if (endpoint.queue.size() < kQueue) {
            endpoint.queue.push_back({ id, attempt });
        } else {
            if (inWave(now_))
                ++endpointRejections_;
            const ReportedLoad load = endpoint.load(settings_.tellsPercent);
            after(network(), [this, id, attempt, e, load] { rejected(id, attempt, e, load); });
        }
    }

    void work(uint64_t id, uint64_t attempt, int e)
    {
        Endpoint &endpoint = endpoints_[e];
        const double time = kWork * (0.9 + 0.2 * uniform()) * endpoint.slowness;
        after(time, [this, id, attempt, e, life = endpoint.life] {
            Endpoint &there = endpoints_[e];
            if (there.life != life)
                return;
            const ReportedLoad load = there.load(settings_.tellsPercent);
            after(network(), [this, id, attempt, e, load] { served(id, attempt, e, load); });
            if (there.queue.empty()) {
                --there.running;
                return;
            }
            const Endpoint::Item next = there.queue.front();
            there.queue.pop_front();
            work(next.request, next.attempt, e);
        });
    }

    // The attempt's request, if the attempt is still under way.
    Request *ended(uint64_t id, uint64_t attempt, int e)
    {
        const auto found = requests_.find(id);
        if (found == requests_.end() || !found->second.open || found->second.attempt != attempt)
            return nullptr;
        --routers_[found->second.router].running[e];
        inFlightAt_.erase(id);
        return &found->second;
    }

    void served(uint64_t id, uint64_t attempt, int e, const ReportedLoad &load)
    {
        Request *request = ended(id, attempt, e);
        if (!request)
            return;
        Router &router = routers_[request->router];
        const double latency = now_ - request->sentAt;
        router.average[e] += router.average[e] > 0 ? 0.2 * (latency - router.average[e]) : latency;
        router.admission->onResponse(
                e, load, true,
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(latency)),
                at(now_));
        const bool inGoal = now_ - request->arrivedAt <= kGoal;
        if (inWave(request->arrivedAt)) {
            ++(inGoal ? inGoal_ : late_);
            ++served_[request->call.priority];
        }
        if (request->arrivedAt > kAfter && inGoal)
            ++inGoalAfter_;
        requests_.erase(id);
        if (settings_.policy == ReplayPolicy::Admission)
            decideWaiting(static_cast<int>(&router - routers_.data()));
    }

    void rejected(uint64_t id, uint64_t attempt, int e, const ReportedLoad &load)
    {
        Request *request = ended(id, attempt, e);
        if (!request)
            return;
        ServiceAdmission &admission = *routers_[request->router].admission;
        admission.onResponse(e, load, false, {}, at(now_));
        admission.onRejected(e, at(now_));
        singleRejected_ += request->call.maxAttempts == 1 && inWave(now_);
        tryAgain(id, *request, true);
    }

    void unreachable(uint64_t id, uint64_t attempt, int e)
    {
        Request *request = ended(id, attempt, e);
        if (!request)
            return;
        eject(request->router, e);
        tryAgain(id, *request, true);
    }

    void broken(uint64_t id, uint64_t attempt, int e)
    {
        Request *request = ended(id, attempt, e);
        if (!request)
            return;
        if (endpoints_[e].crashed)
            eject(request->router, e);
        ++request->runs;
        if (request->runs >= request->call.maxAttempts || now_ >= request->call.deadline) {
            fail(id);
            return;
        }
        tryAgain(id, *request, false);
    }

    void eject(int router, int e)
    {
        constexpr double kEjection = 0.8;
        routers_[router].ejectedUntil[e]
                = std::max(routers_[router].ejectedUntil[e], now_ + kEjection);
        setEndpoints(router);
        after(kEjection + 0.001, [this, router] { setEndpoints(router); });
    }

    void tryAgain(uint64_t id, Request &request, bool notRun)
    {
        constexpr int kMostSends = 4;
        Router &router = routers_[request.router];
        const bool mayRepeat = request.sends < kMostSends && request.call.deadline - now_ > 0.005;
        if (mayRepeat
            && router.retries->take(static_cast<uint32_t>(settings_.routers), at(now_)).granted) {
            const auto next = settings_.policy == ReplayPolicy::Admission
                    ? router.admission->secondEndpoint(request.tried, at(now_), uniform())
                    : twoChoices(router, request.tried);
            if (next) {
                send(id, *next);
                return;
            }
        }
        if (notRun && request.runs == 0)
            reject(id, 0.25 + 0.4 * uniform());
        else
            fail(id);
    }

    void fail(uint64_t id)
    {
        ++failed_;
        requests_.erase(id);
    }

    // The router rejects a caller's attempt, and the caller may come back.
    void reject(uint64_t id, double returnAfter)
    {
        const Call call = requests_.at(id).call;
        const bool sent = requests_.at(id).sends > 0;
        requests_.erase(id);
        if (now_ < kWaveStart)
            ++rejectedBefore_;
        size_t running = 0;
        size_t queued = 0;
        size_t slots = 0;
        for (const Endpoint &endpoint : endpoints_) {
            running += endpoint.running;
            queued += endpoint.queue.size();
            slots += endpoint.crashed ? 0 : kSlots;
        }
        if (!sent && running * 2 < slots && queued == 0)
            ++idleRejections_;
        const double left = call.deadline - now_;
        constexpr int kMostAtOnce = 3;
        constexpr double kRoundTrip = 0.004;
        double back = call.atOnce ? kRoundTrip : returnAfter + kRoundTrip;
        if ((call.atOnce && call.attempts >= kMostAtOnce)
            || (!call.atOnce && returnAfter > left / 3) || left < 0.1)
            return;
        after(back, [this, call] { attempt(call); });
    }

    void report(int i)
    {
        after(kReportInterval, [this, i] { report(i); });
        Router &router = routers_[i];
        router.reported = router.admission->takeReport(at(now_));
        router.reportedRunning = router.running;
        // What the replica answers with is older than the report.
        const auto known = std::find_if(sums_.rbegin(), sums_.rend(), [this](const Sums &sums) {
            return sums.time <= now_ - kSumsDelay;
        });
        if (known == sums_.rend())
            return;
        for (int e = 0; e < kEndpoints; ++e)
            router.others[e] = std::max(0, known->running[e] - router.reportedRunning[e]);
        router.admission->setFleet(known->demand, at(now_));
    }

    void sumUp()
    {
        constexpr double kTick = 0.05;
        after(kTick, [this] { sumUp(); });
        Sums sums;
        sums.time = now_;
        for (const Router &router : routers_) {
            sums.demand.add(router.reported);
            for (int e = 0; e < kEndpoints; ++e)
                sums.running[e] += router.reportedRunning[e];
        }
        sums_.push_back(std::move(sums));
        if (sums_.size() > 20)
            sums_.pop_front();
    }

    ReplayResult result() const
    {
        const auto share = [](double part, double whole) { return whole > 0 ? part / whole : 0; };
        ReplayResult result;
        double capacity = kCapacity * (kWaveEnd - kWaveStart);
        if (settings_.fault == ReplayFault::Crash)
            capacity *= 1 - 5.0 / 8 / kEndpoints;
        if (settings_.fault == ReplayFault::SlowSpells)
            capacity *= 1 - (7.0 / 8) * 0.5 * (1 - 1 / kSlowness) / kEndpoints;
        result.servedInGoal = share(inGoal_, capacity);
        result.lateShare = share(late_, inGoal_ + late_);
        result.endpointRejections = share(endpointRejections_, endpointArrivals_);
        result.failedShare = share(failed_, inGoal_ + late_);
        for (size_t i = 0; i < ReplayResult::kKinds; ++i)
            result.servedByPriority[i] = share(served_[i], calls_[i]);
        result.afterInGoal = share(inGoalAfter_, attemptsAfter_);
        result.calmRejections = share(rejectedBefore_, attemptsBefore_);
        result.idleRejections = idleRejections_;
        result.singleRejected = singleRejected_;
        return result;
    }

    ReplaySettings settings_;
    std::mt19937_64 random_;
    std::priority_queue<Event> events_;
    uint64_t eventNumber_ = 0;
    double now_ = 0;
    std::vector<Router> routers_;
    std::array<Endpoint, kEndpoints> endpoints_;
    std::map<uint64_t, Request> requests_;
    std::map<uint64_t, int> inFlightAt_;
    std::deque<Sums> sums_;
    uint64_t requestNumber_ = 0;

    std::array<double, ReplayResult::kKinds> calls_ {};
    std::array<double, ReplayResult::kKinds> served_ {};
    double attempts_ = 0;
    double attemptsBefore_ = 0;
    double attemptsAfter_ = 0;
    double rejectedBefore_ = 0;
    double inGoal_ = 0;
    double late_ = 0;
    double inGoalAfter_ = 0;
    double failed_ = 0;
    double endpointArrivals_ = 0;
    double endpointRejections_ = 0;
    int idleRejections_ = 0;
    int singleRejected_ = 0;
};

} // namespace

std::string ReplayResult::text() const
{
    return fmt::format("in goal {:5.1f} %  late {:4.1f} %  rejected by endpoints {:4.1f} %  "
                       "failed {:4.1f} %  priority 0 {:5.1f} %  1 {:5.1f} %  after {:5.1f} %  "
                       "rejected in calm {:4.2f} %  while idle {}  single rejected {}",
                       servedInGoal * 100, lateShare * 100, endpointRejections * 100,
                       failedShare * 100, servedByPriority[0] * 100, servedByPriority[1] * 100,
                       afterInGoal * 100, calmRejections * 100, idleRejections, singleRejected);
}

ReplayResult replay(const ReplaySettings &settings)
{
    return Replay(settings).run();
}

} // namespace bamboogap::testing
