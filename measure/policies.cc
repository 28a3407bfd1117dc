// Own policy and baselines.

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

Instant toInstant(ScriptTime time)
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time + 1)));
}

Duration toDuration(ScriptTime time)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}

std::string engineName(size_t engine)
{
    return "engine-" + std::to_string(engine);
}

// ---- This project's policy ------------------------------------------------------

class OwnPolicy final : public Policy
{
public:
    OwnPolicy(OwnSettings settings, const Deployment &deployment,
              const std::vector<EngineView> &engines)
        : settings_(settings)
        , engines_(engines)
        , incarnations_(engines.size(), 1)
    {
        placement_.newChatMultiple = settings.newChatMultiple;
        for (size_t r = 0; r < deployment.routers; ++r) {
            routers_.push_back(std::make_unique<Router>(*this, settings));
            routers_.back()->dataCentre = r % deployment.dataCentres;
        }
        for (size_t e = 0; e < engines.size(); ++e)
            join(e, deployment);
        heartbeat(0);
    }

    Placed place(uint64_t request, const Turn &turn, const Kind &kind, size_t router,
                 ScriptTime now) override
    {
        ChatPlacementRequest ask;
        ask.chat = hashBytes({ reinterpret_cast<const char *>(&turn.chat), sizeof turn.chat });
        ask.returning = turn.returning;
        ask.pools = { "model/m1" };
        const Candidates candidates = placeChat(routers_[router]->board, placement_, ask);
        if (!candidates.primary())
            return {};
        AdmissionRequest base;
        base.queueEntry = { request,       "ws" + std::to_string(turn.workspace), 1,
                            kind.priority, toInstant(now + kind.startWithin),     toInstant(now) };
        const size_t home = number(candidates.primary()->endpoint);
        std::set<size_t> tried;
        for (const Candidate &candidate : candidates.order) {
            const size_t engine = number(candidate.endpoint);
            if (engine == home && settings_.remember) {
                // The owner of the first choice knows where the chat ran.
                const auto known = routers_[owner_[home]]->affinity.find(ask.chat);
                const std::vector<EndpointKey> places(known.begin(), known.end());
                for (const EndpointKey key : places) {
                    const size_t place = byKey_.at(key);
                    if (!engines_[place].out && tried.insert(place).second
                        && tryOn(base, place, now))
                        return ran(ask.chat, home, place);
                }
            }
            if (tried.insert(engine).second && tryOn(base, engine, now))
                return ran(ask.chat, home, engine);
        }
        base.endpoint = engineName(home);
        base.mayWait = true;
        base.acceptsEndpoint = [](std::string_view) { return true; };
        const AdmissionResult admitted
                = routers_[owner_[home]]->admission.admit(base, toInstant(now));
        if (admitted.decision == AdmissionDecision::Run) {
            runsAt_[request] = owner_[home];
            return ran(ask.chat, home, home);
        }
        if (admitted.decision != AdmissionDecision::Wait)
            return {};
        waitsAt_[request] = owner_[home];
        return { false, 0, true };
    }

    void firstToken(uint64_t request, ScriptTime latency) override
    {
        const auto found = runsAt_.find(request);
        if (found != runsAt_.end())
            routers_[found->second]->admission.onFirstToken(request, toDuration(latency));
    }

    void finish(uint64_t request, size_t, ScriptTime now) override
    {
        const auto found = runsAt_.find(request);
        if (found == runsAt_.end())
            return;
        FinishReport report;
        report.completed = true;
        routers_[found->second]->admission.finish(request, report, toInstant(now));
        changed_.insert(found->second);
        runsAt_.erase(found);
    }

    std::vector<Woken> advance(ScriptTime now) override
    {
        std::vector<Woken> woken;
        for (const size_t router : changed_) {
            const QueueUpdate news = routers_[router]->admission.advance(toInstant(now));
            for (const auto &start : news.starts) {
                runsAt_[start.id] = router;
                waitsAt_.erase(start.id);
                woken.push_back({ start.id, true, number(start.endpoint) });
            }
            for (const auto &givenUp : news.rejections) {
                waitsAt_.erase(givenUp.id);
                woken.push_back({ givenUp.id, false, 0 });
            }
        }
        changed_.clear();
        return woken;
    }

    // Every router learns what the others run, as by the leader's sample.
    void heartbeat(ScriptTime) override
    {
        std::vector<uint32_t> running(engines_.size(), 0);
        uint32_t total = 0;
        for (const auto &router : routers_) {
            for (size_t e = 0; e < engines_.size(); ++e) {
                const uint32_t own = router->board.at(router->indexes[e]).own;
                running[e] += own;
                total += own;
            }
        }
        for (size_t r = 0; r < routers_.size(); ++r) {
            Router &router = *routers_[r];
            for (size_t e = 0; e < engines_.size(); ++e) {
                const std::string name = engineName(e);
                router.board.set(name, "model/m1", engines_[e].capacity, !engines_[e].out);
                router.board.setOthersRunning(name,
                                              running[e] - router.board.at(router.indexes[e]).own);
                if (owner_[e] != r)
                    router.board.setSlowStartLimit(name, rampLimit(e));
            }
            router.board.setPoolSample("model/m1", total);
            changed_.insert(r);
        }
        for (size_t e = 0; e < engines_.size(); ++e) {
            if (engines_[e].incarnation == incarnations_[e])
                continue;
            incarnations_[e] = engines_[e].incarnation;
            announcements_[e].incarnation = engines_[e].incarnation;
            routers_[owner_[e]]->admission.setEndpoint(announcements_[e], 0);
        }
    }

private:
    struct Router
    {
        Router(const OwnPolicy &policy, const OwnSettings &settings)
            : board(settings.multiple)
            , admission({}, &board,
                        [&policy](std::string_view id) -> std::optional<std::string> {
                            if (policy.engines_[policy.number(id)].out)
                                return "data centre out";
                            return std::nullopt;
                        })
            , affinity(46000, settings.places)
        {
        }

        size_t dataCentre = 0;
        LoadTable board;
        Admission admission;
        AffinityTable affinity;
        std::vector<EndpointIndex> indexes;
    };

    void join(size_t engine, const Deployment &deployment)
    {
        const std::string name = engineName(engine);
        byKey_[endpointKey(name)] = engine;
        numbers_[name] = engine;
        Announcement announcement;
        announcement.id = name;
        announcement.incarnation = 1;
        announcement.offers.push_back({ "m1", "", "" });
        announcement.capacity = engines_[engine].capacity;
        announcement.coldCapacity = deployment.coldCapacity;
        announcements_.push_back(announcement);
        for (auto &router : routers_)
            router->indexes.push_back(
                    router->board.set(name, "model/m1", announcement.capacity, true));
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
        owner_.push_back(best);
        routers_[best]->admission.setEndpoint(announcement, announcement.capacity);
    }

    size_t number(std::string_view name) const { return numbers_.at(std::string(name)); }

    uint32_t rampLimit(size_t engine) const
    {
        const Router &owner = *routers_[owner_[engine]];
        return owner.board.at(owner.indexes[engine]).slowStartLimit;
    }

    bool tryOn(AdmissionRequest ask, size_t engine, ScriptTime now)
    {
        ask.endpoint = engineName(engine);
        const size_t owner = owner_[engine];
        if (routers_[owner]->admission.admit(ask, toInstant(now)).decision
            != AdmissionDecision::Run)
            return false;
        runsAt_[ask.queueEntry.id] = owner;
        return true;
    }

    Placed ran(ChatKey chat, size_t home, size_t engine)
    {
        // Chats that never went elsewhere take no memory.
        AffinityTable &affinity = routers_[owner_[home]]->affinity;
        if (engine != home || !affinity.find(chat).empty()) {
            if (affinity.find(chat).empty())
                affinity.record(chat, endpointKey(engineName(home)));
            affinity.record(chat, endpointKey(engineName(engine)));
        }
        return { true, engine, false };
    }

    OwnSettings settings_;
    const std::vector<EngineView> &engines_;
    PlacementSettings placement_;
    std::vector<std::unique_ptr<Router>> routers_;
    std::vector<size_t> owner_;
    std::vector<uint64_t> incarnations_;
    std::vector<Announcement> announcements_;
    std::map<EndpointKey, size_t> byKey_;
    std::unordered_map<std::string, size_t> numbers_;
    std::unordered_map<uint64_t, size_t> runsAt_;
    std::unordered_map<uint64_t, size_t> waitsAt_;
    std::set<size_t> changed_;
};

// ---- Baselines -----------------------------------------------------------------

std::vector<size_t> inService(const std::vector<EngineView> &engines)
{
    std::vector<size_t> list;
    for (size_t e = 0; e < engines.size(); ++e) {
        if (!engines[e].out)
            list.push_back(e);
    }
    return list;
}

class RoundRobin final : public Policy
{
public:
    explicit RoundRobin(const std::vector<EngineView> &engines)
        : engines_(engines)
    {
    }

    Placed place(uint64_t, const Turn &, const Kind &, size_t router, ScriptTime) override
    {
        const auto list = inService(engines_);
        return { true, list[next_[router]++ % list.size()], false };
    }

private:
    const std::vector<EngineView> &engines_;
    std::map<size_t, size_t> next_;
};

// Each router sends to the engine on which it itself runs the least.
class RouterLeast final : public Policy
{
public:
    explicit RouterLeast(const std::vector<EngineView> &engines)
        : engines_(engines)
    {
    }

    Placed place(uint64_t request, const Turn &turn, const Kind &, size_t router,
                 ScriptTime) override
    {
        auto &own = own_[router];
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
        router_[request] = router;
        return { true, best, false };
    }

    void finish(uint64_t request, size_t engine, ScriptTime) override
    {
        --own_[router_[request]][engine];
        router_.erase(request);
    }

private:
    const std::vector<EngineView> &engines_;
    std::map<size_t, std::vector<uint32_t>> own_;
    std::unordered_map<uint64_t, size_t> router_;
};

// The less loaded of two random engines by the last heartbeat's reports.
class TwoChoices final : public Policy
{
public:
    explicit TwoChoices(const std::vector<EngineView> &engines)
        : engines_(engines)
        , reported_(engines.size(), 0)
    {
    }

    Placed place(uint64_t, const Turn &, const Kind &, size_t, ScriptTime) override
    {
        const auto list = inService(engines_);
        const size_t first = list[random_() % list.size()];
        const size_t second = list[random_() % list.size()];
        return { true, reported_[first] <= reported_[second] ? first : second, false };
    }

    void heartbeat(ScriptTime) override
    {
        for (size_t e = 0; e < engines_.size(); ++e)
            reported_[e] = engines_[e].running;
    }

private:
    const std::vector<EngineView> &engines_;
    std::vector<uint32_t> reported_;
    std::mt19937_64 random_ { 7 };
};

class PlainRendezvous final : public Policy
{
public:
    explicit PlainRendezvous(const std::vector<EngineView> &engines)
        : engines_(engines)
    {
    }

    Placed place(uint64_t, const Turn &turn, const Kind &, size_t, ScriptTime) override
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

// Knows every engine's exact load and cache, at one place; bound by the multiple.
class AllKnowing final : public Policy
{
public:
    AllKnowing(double multiple, const std::vector<EngineView> &engines)
        : multiple_(multiple)
        , engines_(engines)
    {
    }

    Placed place(uint64_t, const Turn &turn, const Kind &, size_t, ScriptTime) override
    {
        const auto list = inService(engines_);
        uint32_t total = 1;
        for (const size_t e : list)
            total += engines_[e].running;
        const auto limit = std::max<uint32_t>(
                1, static_cast<uint32_t>(std::ceil(multiple_ * total / list.size() - 1e-9)));
        size_t best = SIZE_MAX;
        const auto rank = [&](size_t e) {
            const bool full = engines_[e].running >= std::min(limit, engines_[e].capacity);
            const bool cached = engines_[e].cache->holds(turn.chat);
            return std::tuple(full, !cached, engines_[e].running);
        };
        for (const size_t e : list) {
            if (best == SIZE_MAX || rank(e) < rank(best))
                best = e;
        }
        return { true, best, false };
    }

private:
    double multiple_;
    const std::vector<EngineView> &engines_;
};

template<typename T> PolicyFactory make()
{
    return [](const Deployment &, const std::vector<EngineView> &engines) {
        return std::make_unique<T>(engines);
    };
}

} // namespace

void Policy::firstToken(uint64_t, ScriptTime) { }
void Policy::finish(uint64_t, size_t, ScriptTime) { }
std::vector<Woken> Policy::advance(ScriptTime)
{
    return {};
}
void Policy::heartbeat(ScriptTime) { }

PolicyFactory ownPolicy(OwnSettings settings)
{
    return [settings](const Deployment &deployment, const std::vector<EngineView> &engines) {
        return std::make_unique<OwnPolicy>(settings, deployment, engines);
    };
}

std::vector<NamedPolicy> baselines(double multiple)
{
    return { { "round robin", make<RoundRobin>() },
             { "least requests per router", make<RouterLeast>() },
             { "two choices, lagging reports", make<TwoChoices>() },
             { "plain rendezvous", make<PlainRendezvous>() },
             { "all-knowing, same bound",
               [multiple](const Deployment &, const std::vector<EngineView> &engines) {
                   return std::make_unique<AllKnowing>(multiple, engines);
               } } };
}

} // namespace bamboogap
