// This project's placement policy and the baselines.

#include "measure/policies.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <set>

#include "base/hash.h"
#include "routing/placement.h"

namespace bamboogap {

namespace {

Instant toInstant(SimulatedSeconds time)
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time + 1)));
}

Duration toDuration(SimulatedSeconds time)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}

std::string engineName(size_t engine)
{
    return "engine-" + std::to_string(engine);
}

// ---- This project's policy ------------------------------------------------------

class BamboogapPolicy final : public Policy
{
public:
    BamboogapPolicy(BamboogapPolicySettings settings, const SimulatedDeployment &deployment,
                    const std::vector<EngineView> &engines)
        : settings_(settings)
        , engines_(engines)
        , incarnations_(engines.size(), 1)
    {
        placement_.newChatMultiple = settings.newChatLoadMultiple;
        for (size_t r = 0; r < deployment.routers; ++r) {
            routers_.push_back(std::make_unique<Router>(*this, settings));
            routers_.back()->dataCentre = r % deployment.dataCentres;
        }
        for (size_t e = 0; e < engines.size(); ++e)
            addEngine(e, deployment);
        heartbeat(0);
    }

    PlacementOutcome place(uint64_t request, const Turn &turn, const RequestKind &kind,
                           size_t router, SimulatedSeconds now) override
    {
        ChatPlacementRequest placementRequest;
        placementRequest.chat
                = hashBytes({ reinterpret_cast<const char *>(&turn.chat), sizeof turn.chat });
        placementRequest.returning = turn.returning;
        placementRequest.pools = { "model/m1" };
        const Candidates candidates
                = placeChat(routers_[router]->loadTable, placement_, placementRequest);
        if (!candidates.primary())
            return {};
        AdmissionRequest admissionRequest;
        admissionRequest.queueEntry
                = { request,       "ws" + std::to_string(turn.workspace), 1,
                    kind.priority, toInstant(now + kind.startWithin),     toInstant(now) };
        const size_t primaryEngine = engineIndex(candidates.primary()->endpoint);
        std::set<size_t> tried;
        for (const Candidate &candidate : candidates.order) {
            const size_t engine = engineIndex(candidate.endpoint);
            if (engine == primaryEngine && settings_.recordMoves) {
                // The owner of the primary endpoint records where the chat ran.
                const auto recorded
                        = routers_[ownerOf_[primaryEngine]]->affinity.find(placementRequest.chat);
                const std::vector<EndpointKey> keys(recorded.begin(), recorded.end());
                for (const EndpointKey key : keys) {
                    const size_t recordedEngine = engineByKey_.at(key);
                    if (!engines_[recordedEngine].outOfService
                        && tried.insert(recordedEngine).second
                        && tryAdmit(admissionRequest, recordedEngine, now))
                        return recordPlacement(placementRequest.chat, primaryEngine,
                                               recordedEngine);
                }
            }
            if (tried.insert(engine).second && tryAdmit(admissionRequest, engine, now))
                return recordPlacement(placementRequest.chat, primaryEngine, engine);
        }
        admissionRequest.endpoint = engineName(primaryEngine);
        admissionRequest.mayWait = true;
        admissionRequest.acceptsEndpoint = [](std::string_view) { return true; };
        const AdmissionResult admitted = routers_[ownerOf_[primaryEngine]]->admission.admit(
                admissionRequest, toInstant(now));
        if (admitted.decision == AdmissionDecision::Run) {
            runningAt_[request] = ownerOf_[primaryEngine];
            return recordPlacement(placementRequest.chat, primaryEngine, primaryEngine);
        }
        if (admitted.decision != AdmissionDecision::Wait)
            return {};
        waitingAt_[request] = ownerOf_[primaryEngine];
        return { false, 0, true };
    }

    void firstToken(uint64_t request, SimulatedSeconds latency) override
    {
        const auto found = runningAt_.find(request);
        if (found != runningAt_.end())
            routers_[found->second]->admission.onFirstToken(request, toDuration(latency));
    }

    void finish(uint64_t request, size_t, SimulatedSeconds now) override
    {
        const auto found = runningAt_.find(request);
        if (found == runningAt_.end())
            return;
        FinishReport report;
        report.completed = true;
        routers_[found->second]->admission.finish(request, report, toInstant(now));
        changedRouters_.insert(found->second);
        runningAt_.erase(found);
    }

    std::vector<DequeuedRequest> advance(SimulatedSeconds now) override
    {
        std::vector<DequeuedRequest> dequeued;
        for (const size_t router : changedRouters_) {
            const QueueUpdate update = routers_[router]->admission.advance(toInstant(now));
            for (const auto &start : update.starts) {
                runningAt_[start.id] = router;
                waitingAt_.erase(start.id);
                dequeued.push_back({ start.id, true, engineIndex(start.endpoint) });
            }
            for (const auto &rejection : update.rejections) {
                waitingAt_.erase(rejection.id);
                dequeued.push_back({ rejection.id, false, 0 });
            }
        }
        changedRouters_.clear();
        return dequeued;
    }

    // Gives every router the load of the others, like the leader's heartbeat replies do.
    void heartbeat(SimulatedSeconds) override
    {
        std::vector<uint32_t> running(engines_.size(), 0);
        uint32_t total = 0;
        for (const auto &router : routers_) {
            for (size_t e = 0; e < engines_.size(); ++e) {
                const uint32_t own = router->loadTable.at(router->indexes[e]).own;
                running[e] += own;
                total += own;
            }
        }
        for (size_t r = 0; r < routers_.size(); ++r) {
            Router &router = *routers_[r];
            for (size_t e = 0; e < engines_.size(); ++e) {
                const std::string name = engineName(e);
                router.loadTable.set(name, "model/m1", engines_[e].capacity,
                                     !engines_[e].outOfService);
                router.loadTable.setOthersRunning(
                        name, running[e] - router.loadTable.at(router.indexes[e]).own);
                if (ownerOf_[e] != r)
                    router.loadTable.setSlowStartLimit(name, slowStartLimitOf(e));
            }
            router.loadTable.setPoolSample("model/m1", total);
            changedRouters_.insert(r);
        }
        for (size_t e = 0; e < engines_.size(); ++e) {
            if (engines_[e].incarnation == incarnations_[e])
                continue;
            incarnations_[e] = engines_[e].incarnation;
            announcements_[e].incarnation = engines_[e].incarnation;
            routers_[ownerOf_[e]]->admission.setEndpoint(announcements_[e], 0);
        }
    }

private:
    struct Router
    {
        Router(const BamboogapPolicy &policy, const BamboogapPolicySettings &settings)
            : loadTable(settings.loadMultiple)
            , admission({}, &loadTable,
                        [&policy](std::string_view id) -> std::optional<std::string> {
                            if (policy.engines_[policy.engineIndex(id)].outOfService)
                                return "data centre out";
                            return std::nullopt;
                        })
            , affinity(46000, settings.maxEndpointsPerChat)
        {
        }

        size_t dataCentre = 0;
        LoadTable loadTable;
        Admission admission;
        AffinityTable affinity;
        std::vector<EndpointIndex> indexes;
    };

    void addEngine(size_t engine, const SimulatedDeployment &deployment)
    {
        const std::string name = engineName(engine);
        engineByKey_[endpointKey(name)] = engine;
        engineByName_[name] = engine;
        Announcement announcement;
        announcement.id = name;
        announcement.incarnation = 1;
        announcement.offers.push_back({ "m1", "", "" });
        announcement.capacity = engines_[engine].capacity;
        announcement.coldCapacity = deployment.coldCapacity;
        announcements_.push_back(announcement);
        for (auto &router : routers_)
            router->indexes.push_back(
                    router->loadTable.set(name, "model/m1", announcement.capacity, true));
        // The owner is a router of the engine's data centre.
        size_t best = 0;
        double bestScore = -1;
        for (size_t r = 0; r < routers_.size(); ++r) {
            if (routers_[r]->dataCentre != engines_[engine].dataCentre)
                continue;
            const double score = rendezvousScore(hashBytes(name), hashBytes(std::to_string(r)), 1);
            if (score > bestScore) {
                best = r;
                bestScore = score;
            }
        }
        ownerOf_.push_back(best);
        routers_[best]->admission.setEndpoint(announcement, announcement.capacity);
    }

    size_t engineIndex(std::string_view name) const { return engineByName_.at(std::string(name)); }

    uint32_t slowStartLimitOf(size_t engine) const
    {
        const Router &owner = *routers_[ownerOf_[engine]];
        return owner.loadTable.at(owner.indexes[engine]).slowStartLimit;
    }

    bool tryAdmit(AdmissionRequest request, size_t engine, SimulatedSeconds now)
    {
        request.endpoint = engineName(engine);
        const size_t owner = ownerOf_[engine];
        if (routers_[owner]->admission.admit(request, toInstant(now)).decision
            != AdmissionDecision::Run)
            return false;
        runningAt_[request.queueEntry.id] = owner;
        return true;
    }

    PlacementOutcome recordPlacement(ChatKey chat, size_t primaryEngine, size_t engine)
    {
        // Chats that only ran at their primary endpoint have no affinity entry, to save
        // memory.
        AffinityTable &affinity = routers_[ownerOf_[primaryEngine]]->affinity;
        if (engine != primaryEngine || !affinity.find(chat).empty()) {
            if (affinity.find(chat).empty())
                affinity.record(chat, endpointKey(engineName(primaryEngine)));
            affinity.record(chat, endpointKey(engineName(engine)));
        }
        return { true, engine, false };
    }

    BamboogapPolicySettings settings_;
    const std::vector<EngineView> &engines_;
    PlacementSettings placement_;
    std::vector<std::unique_ptr<Router>> routers_;
    std::vector<size_t> ownerOf_; // router by engine
    std::vector<uint64_t> incarnations_;
    std::vector<Announcement> announcements_;
    std::map<EndpointKey, size_t> engineByKey_;
    std::unordered_map<std::string, size_t> engineByName_;
    // The owner of the engine or queue, by request.
    std::unordered_map<uint64_t, size_t> runningAt_;
    std::unordered_map<uint64_t, size_t> waitingAt_;
    std::set<size_t> changedRouters_; // routers on which a queued request may start
};

// ---- Baselines -----------------------------------------------------------------

std::vector<size_t> inService(const std::vector<EngineView> &engines)
{
    std::vector<size_t> list;
    for (size_t e = 0; e < engines.size(); ++e) {
        if (!engines[e].outOfService)
            list.push_back(e);
    }
    return list;
}

// Each router goes through the engines in turn.
class RoundRobin final : public Policy
{
public:
    explicit RoundRobin(const std::vector<EngineView> &engines)
        : engines_(engines)
    {
    }

    PlacementOutcome place(uint64_t, const Turn &, const RequestKind &, size_t router,
                           SimulatedSeconds) override
    {
        const auto list = inService(engines_);
        return { true, list[next_[router]++ % list.size()], false };
    }

private:
    const std::vector<EngineView> &engines_;
    std::map<size_t, size_t> next_;
};

// Sends to the engine with the fewest requests from the same router.
class LeastRequestsPerRouter final : public Policy
{
public:
    explicit LeastRequestsPerRouter(const std::vector<EngineView> &engines)
        : engines_(engines)
    {
    }

    PlacementOutcome place(uint64_t request, const Turn &turn, const RequestKind &, size_t router,
                           SimulatedSeconds) override
    {
        auto &own = running_[router];
        own.resize(engines_.size(), 0);
        size_t best = SIZE_MAX;
        for (const size_t e : inService(engines_)) {
            const auto rank = [&](size_t engine) {
                return std::pair(own[engine], combineHashes(turn.chat + request, engine));
            };
            if (best == SIZE_MAX || rank(e) < rank(best))
                best = e;
        }
        ++own[best];
        routerOf_[request] = router;
        return { true, best, false };
    }

    void finish(uint64_t request, size_t engine, SimulatedSeconds) override
    {
        --running_[routerOf_[request]][engine];
        routerOf_.erase(request);
    }

private:
    const std::vector<EngineView> &engines_;
    std::map<size_t, std::vector<uint32_t>> running_;
    std::unordered_map<uint64_t, size_t> routerOf_;
};

// Sends to the less loaded of two random engines, by the loads of the last heartbeat.
class TwoChoices final : public Policy
{
public:
    explicit TwoChoices(const std::vector<EngineView> &engines)
        : engines_(engines)
        , reported_(engines.size(), 0)
    {
    }

    PlacementOutcome place(uint64_t, const Turn &, const RequestKind &, size_t,
                           SimulatedSeconds) override
    {
        const auto list = inService(engines_);
        const size_t first = list[random_() % list.size()];
        const size_t second = list[random_() % list.size()];
        return { true, reported_[first] <= reported_[second] ? first : second, false };
    }

    void heartbeat(SimulatedSeconds) override
    {
        for (size_t e = 0; e < engines_.size(); ++e)
            reported_[e] = engines_[e].running;
    }

private:
    const std::vector<EngineView> &engines_;
    std::vector<uint32_t> reported_;
    std::mt19937_64 random_ { 7 };
};

// Sends a chat to the engine with the highest hash, whatever its load.
class PlainRendezvous final : public Policy
{
public:
    explicit PlainRendezvous(const std::vector<EngineView> &engines)
        : engines_(engines)
    {
    }

    PlacementOutcome place(uint64_t, const Turn &turn, const RequestKind &, size_t,
                           SimulatedSeconds) override
    {
        size_t best = SIZE_MAX;
        for (const size_t e : inService(engines_)) {
            if (best == SIZE_MAX || combineHashes(turn.chat, e) > combineHashes(turn.chat, best))
                best = e;
        }
        return { true, best, false };
    }

private:
    const std::vector<EngineView> &engines_;
};

// Uses the exact load and cache contents of every engine, without delay, under the load
// bound. Prefers engines below the bound, then cache hits, then low load.
class OraclePolicy final : public Policy
{
public:
    OraclePolicy(double loadMultiple, const std::vector<EngineView> &engines)
        : loadMultiple_(loadMultiple)
        , engines_(engines)
    {
    }

    PlacementOutcome place(uint64_t, const Turn &turn, const RequestKind &, size_t,
                           SimulatedSeconds) override
    {
        const auto list = inService(engines_);
        uint32_t total = 1;
        for (const size_t e : list)
            total += engines_[e].running;
        const auto limit = std::max<uint32_t>(
                1, static_cast<uint32_t>(std::ceil(loadMultiple_ * total / list.size() - 1e-9)));
        size_t best = SIZE_MAX;
        const auto rank = [&](size_t e) {
            const bool full = engines_[e].running >= std::min(limit, engines_[e].capacity);
            const bool cached = engines_[e].cache->contains(turn.chat);
            return std::tuple(full, !cached, engines_[e].running);
        };
        for (const size_t e : list) {
            if (best == SIZE_MAX || rank(e) < rank(best))
                best = e;
        }
        return { true, best, false };
    }

private:
    double loadMultiple_;
    const std::vector<EngineView> &engines_;
};

template<typename T> PolicyFactory make()
{
    return [](const SimulatedDeployment &, const std::vector<EngineView> &engines) {
        return std::make_unique<T>(engines);
    };
}

} // namespace

void Policy::firstToken(uint64_t, SimulatedSeconds) { }
void Policy::finish(uint64_t, size_t, SimulatedSeconds) { }
std::vector<DequeuedRequest> Policy::advance(SimulatedSeconds)
{
    return {};
}
void Policy::heartbeat(SimulatedSeconds) { }

PolicyFactory bamboogapPolicy(BamboogapPolicySettings settings)
{
    return [settings](const SimulatedDeployment &deployment,
                      const std::vector<EngineView> &engines) {
        return std::make_unique<BamboogapPolicy>(settings, deployment, engines);
    };
}

std::vector<NamedPolicy> baselines(double loadMultiple)
{
    return { { "round robin", make<RoundRobin>() },
             { "least requests per router", make<LeastRequestsPerRouter>() },
             { "two choices, lagging reports", make<TwoChoices>() },
             { "plain rendezvous", make<PlainRendezvous>() },
             { "all-knowing, same bound",
               [loadMultiple](const SimulatedDeployment &, const std::vector<EngineView> &engines) {
                   return std::make_unique<OraclePolicy>(loadMultiple, engines);
               } } };
}

} // namespace bamboogap
