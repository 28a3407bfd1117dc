// bamboogap_measure: simulates this project's placement policy and baselines on the
// same deployments and prints cache reuse, load skew, time to the first token and
// rejections. A run is deterministic for a given seed.
//
//   bamboogap_measure [--deployment brno|perth|target] [--seed N] [--length S]

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <queue>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "measure/policies.h"

namespace {

using namespace bamboogap;

constexpr SimulatedSeconds kHeartbeatInterval = 0.5;
constexpr SimulatedSeconds kSampleInterval = 0.05;
constexpr SimulatedSeconds kWarmUp = 60; // excluded from the results; at most a quarter of the run

struct Results
{
    size_t turns = 0; // arrivals, including those of rejected requests that retry
    size_t returning = 0; // started turns that are not the first of their chat
    size_t reused = 0; // returning turns with a cache hit
    size_t rejected = 0;
    size_t admissionsAboveBound = 0; // starts that put the engine above its current load bound
    std::vector<double> skew; // samples of the highest load divided by the mean load
    size_t samplesAboveBound = 0; // samples with an engine above the load bound
    std::vector<double> urgentFirstToken; // seconds from arrival
    std::vector<double> firstToken; // seconds from arrival
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto position = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(position),
                     values.end());
    return values[position];
}

// A discrete-event simulation of one policy on one deployment.
class Simulation
{
public:
    Simulation(const SimulatedDeployment &deployment, double loadMultiple,
               const PolicyFactory &make)
        : deployment_(deployment)
        , loadMultiple_(loadMultiple)
        , random_(deployment.seed)
        , warmUp_(std::min(kWarmUp, deployment.duration / 4))
        , caches_(deployment.engines, SimulatedPrefixCache(deployment.cachedChatsPerEngine))
        , queues_(deployment.engines)
    {
        for (size_t e = 0; e < deployment.engines; ++e)
            engines_.push_back(
                    { e % deployment.dataCentres, deployment.capacity, 0, false, 1, &caches_[e] });
        policy_ = make(deployment, engines_);
    }

    Results run()
    {
        schedule(0, [this] { startChat(); });
        schedule(kHeartbeatInterval, [this] { heartbeat(); });
        schedule(warmUp_, [this] { sample(); });
        if (deployment_.outageEnd > 0) {
            schedule(deployment_.outageStart, [this] { setOutOfService(true); });
            schedule(deployment_.outageEnd, [this] { setOutOfService(false); });
        }
        if (deployment_.randomRestarts)
            schedule(drawRestartInterval(), [this] { restartRandomEngine(); });
        while (!events_.empty() && events_.top().time < deployment_.duration) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
        return results_;
    }

private:
    struct Event
    {
        SimulatedSeconds time = 0;
        uint64_t sequence = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::pair(time, sequence) > std::pair(other.time, other.sequence);
        }
    };

    struct Request
    {
        Turn turn;
        SimulatedSeconds arrived = 0;
        size_t engine = 0;
        uint64_t incarnation = 0;
    };

    bool isPastWarmUp() const { return now_ >= warmUp_; }

    void schedule(SimulatedSeconds time, std::function<void()> action)
    {
        events_.push({ time, ++lastSequence_, std::move(action) });
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(random_);
    }

    void startChat()
    {
        Turn turn;
        turn.chat = ++lastChat_;
        // A tenth of the workspaces gets half of the chats, and its share of the rest.
        const size_t large = std::max<size_t>(1, deployment_.workspaces / 10);
        turn.workspace
                = random_() % 2 == 0 ? random_() % large : random_() % deployment_.workspaces;
        turn.remainingTurns = static_cast<size_t>(exponential(deployment_.meanTurns));
        arrive(turn);
        schedule(now_ + exponential(1 / deployment_.newChatsPerSecond), [this] { startChat(); });
    }

    size_t drawKind()
    {
        double draw = std::uniform_real_distribution<double>(0, 1)(random_);
        for (size_t i = 0; i < deployment_.kinds.size(); ++i) {
            draw -= deployment_.kinds[i].share;
            if (draw < 0)
                return i;
        }
        return 0;
    }

    void arrive(Turn turn)
    {
        turn.kind = drawKind();
        const uint64_t id = ++lastRequest_;
        Request &request = inFlight_[id];
        request.turn = turn;
        request.arrived = now_;
        if (isPastWarmUp())
            ++results_.turns;
        const PlacementOutcome outcome = policy_->place(id, turn, deployment_.kinds[turn.kind],
                                                        random_() % deployment_.routers, now_);
        if (outcome.started)
            dispatch(id, outcome.engine);
        else if (!outcome.queued)
            reject(id);
    }

    void reject(uint64_t id)
    {
        if (isPastWarmUp())
            ++results_.rejected;
        const Turn turn = inFlight_[id].turn;
        inFlight_.erase(id);
        // The caller retries after 2 s.
        schedule(now_ + 2, [this, turn] { arrive(turn); });
    }

    // Starts a request, or queues it in the engine if that is full: baselines do not
    // limit what they send.
    void dispatch(uint64_t id, size_t engine)
    {
        EngineView &view = engines_[engine];
        inFlight_[id].engine = engine;
        if (view.running >= deployment_.capacity) {
            queues_[engine].push_back(id);
            return;
        }
        countIfAboveBound(engine);
        startOnEngine(id, engine);
    }

    void countIfAboveBound(size_t engine)
    {
        if (!isPastWarmUp())
            return;
        double total = 1;
        size_t serving = 0;
        for (const EngineView &view : engines_) {
            if (view.outOfService)
                continue;
            total += view.running;
            ++serving;
        }
        const double bound = std::max(
                1.0, std::ceil(loadMultiple_ * total / static_cast<double>(serving) - 1e-9));
        results_.admissionsAboveBound += engines_[engine].running + 1 > bound;
    }

    void startOnEngine(uint64_t id, size_t engine)
    {
        EngineView &view = engines_[engine];
        Request &request = inFlight_[id];
        ++view.running;
        request.incarnation = view.incarnation;
        const RequestKind &kind = deployment_.kinds[request.turn.kind];
        const bool cacheHit = caches_[engine].contains(request.turn.chat);
        caches_[engine].touch(request.turn.chat);
        const SimulatedSeconds prefill
                = cacheHit ? deployment_.cachedPrefillTime : deployment_.uncachedPrefillTime;
        if (isPastWarmUp()) {
            results_.returning += request.turn.returning;
            results_.reused += request.turn.returning && cacheHit;
            const double firstToken = now_ - request.arrived + prefill;
            results_.firstToken.push_back(firstToken);
            if (kind.priority == Priority::Urgent)
                results_.urgentFirstToken.push_back(firstToken);
        }
        schedule(now_ + prefill, [this, id, prefill] { policy_->firstToken(id, prefill); });
        schedule(now_ + prefill + kind.generationTime, [this, id] { complete(id); });
    }

    void complete(uint64_t id)
    {
        const Request request = inFlight_[id];
        inFlight_.erase(id);
        const size_t engine = request.engine;
        --engines_[engine].running;
        policy_->finish(id, engine, now_);
        if (!queues_[engine].empty()) {
            const uint64_t next = queues_[engine].front();
            queues_[engine].erase(queues_[engine].begin());
            countIfAboveBound(engine);
            startOnEngine(next, engine);
        }
        advancePolicy();
        if (request.turn.remainingTurns == 0)
            return;
        Turn turn = request.turn;
        --turn.remainingTurns;
        turn.returning = true;
        std::lognormal_distribution<double> pause(std::log(deployment_.meanPauseBetweenTurns) - 0.5,
                                                  1.0);
        schedule(now_ + pause(random_), [this, turn] { arrive(turn); });
    }

    void advancePolicy()
    {
        for (const DequeuedRequest &dequeued : policy_->advance(now_)) {
            if (dequeued.started)
                dispatch(dequeued.request, dequeued.engine);
            else
                reject(dequeued.request);
        }
    }

    void heartbeat()
    {
        policy_->heartbeat(now_);
        advancePolicy();
        schedule(now_ + kHeartbeatInterval, [this] { heartbeat(); });
    }

    void sample()
    {
        double total = 0;
        double highest = 0;
        size_t serving = 0;
        for (const EngineView &view : engines_) {
            if (view.outOfService)
                continue;
            total += view.running;
            highest = std::max<double>(highest, view.running);
            ++serving;
        }
        const double mean = total / static_cast<double>(serving);
        if (mean > 0) {
            results_.skew.push_back(highest / mean);
            results_.samplesAboveBound
                    += highest > std::max(1.0, std::ceil(loadMultiple_ * mean - 1e-9));
        }
        schedule(now_ + kSampleInterval, [this] { sample(); });
    }

    void setOutOfService(bool outOfService)
    {
        for (size_t e = 0; e < engines_.size(); ++e) {
            if (engines_[e].dataCentre != 0)
                continue;
            engines_[e].outOfService = outOfService;
            if (!outOfService)
                restart(e); // returns to service with an empty cache
        }
    }

    void restart(size_t engine)
    {
        caches_[engine].clear();
        ++engines_[engine].incarnation;
    }

    SimulatedSeconds drawRestartInterval()
    {
        return exponential(300.0 / static_cast<double>(engines_.size()));
    }

    // Restarts a random engine and schedules the next restart, such that each engine
    // restarts every 300 s on average.
    void restartRandomEngine()
    {
        restart(random_() % engines_.size());
        schedule(now_ + drawRestartInterval(), [this] { restartRandomEngine(); });
    }

    SimulatedDeployment deployment_;
    double loadMultiple_;
    std::mt19937_64 random_;
    SimulatedSeconds warmUp_;
    std::vector<SimulatedPrefixCache> caches_;
    std::vector<EngineView> engines_;
    std::vector<std::vector<uint64_t>> queues_;
    std::unique_ptr<Policy> policy_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    uint64_t lastSequence_ = 0;
    SimulatedSeconds now_ = 0;
    uint64_t lastChat_ = 0;
    uint64_t lastRequest_ = 0;
    std::unordered_map<uint64_t, Request> inFlight_;
    Results results_;
};

void printResults(const std::string &name, const Results &results)
{
    const auto share = [](size_t part, size_t whole) {
        return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
    };
    fmt::print("{:<38} {:>6.1f} {:>6.2f} {:>6.2f} {:>7.1f} {:>7.2f} {:>7.2f} {:>7.2f} {:>7.2f}\n",
               name, share(results.reused, results.returning), quantile(results.skew, 0.5),
               quantile(results.skew, 0.99), share(results.samplesAboveBound, results.skew.size()),
               share(results.admissionsAboveBound, results.turns),
               quantile(results.firstToken, 0.95), quantile(results.urgentFirstToken, 0.95),
               share(results.rejected, results.turns));
    std::fflush(stdout);
}

void compare(const SimulatedDeployment &deployment, const std::string &title)
{
    constexpr double kLoadMultiple = 1.25;
    fmt::print("\n{}: {} engines, {} routers, {:.0f} s, seed {}, multiple {}\n", title,
               deployment.engines, deployment.routers, deployment.duration, deployment.seed,
               kLoadMultiple);
    fmt::print("{:<38} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7}\n", "policy", "reuse%",
               "skew50", "skew99", "above%", "over%", "ft95 s", "urg95 s", "refus%");
    std::vector<NamedPolicy> policies = baselines(kLoadMultiple);
    policies.push_back(
            { "ours, forgetting moves", bamboogapPolicy({ kLoadMultiple, kLoadMultiple, false }) });
    policies.push_back({ "ours, one multiple for all",
                         bamboogapPolicy({ kLoadMultiple, kLoadMultiple, true }) });
    policies.push_back(
            { "ours, 1.1 for new chats", bamboogapPolicy({ kLoadMultiple, 1.1, true }) });
    policies.push_back(
            { "ours, one place a chat", bamboogapPolicy({ kLoadMultiple, 1.1, true, 1 }) });
    policies.push_back({ "ours", bamboogapPolicy({ kLoadMultiple, 1.1, true }) });
    for (const NamedPolicy &policy : policies)
        printResults(policy.name, Simulation(deployment, kLoadMultiple, policy.make).run());
}

} // namespace

int main(int argc, char **argv)
{
    std::string deploymentName;
    uint64_t seed = 1;
    double length = 0;
    try {
        TCLAP::CmdLine line("Simulates placement policies and prints for each: reuse%, returning "
                            "turns with a cache hit; skew50 and skew99, quantiles of highest to "
                            "mean load; above%, time with an engine above the load bound; "
                            "over%, admissions above the load bound; ft95 and urg95, time to the "
                            "first token of all and of urgent requests; refus%, rejected requests.",
                            ' ', "0.1.0");
        TCLAP::ValueArg<std::string> name("", "deployment", "brno, perth or target", false, "",
                                          "name", line);
        TCLAP::ValueArg<uint64_t> seedArg("", "seed", "Seed of the random numbers", false, 1,
                                          "number", line);
        TCLAP::ValueArg<double> lengthArg("", "length", "Simulated time", false, 0, "seconds",
                                          line);
        line.parse(argc, argv);
        deploymentName = name.getValue();
        seed = seedArg.getValue();
        length = lengthArg.getValue();
    } catch (const TCLAP::ArgException &problem) {
        fmt::print(stderr, "{}: {}; see --help\n", problem.argId(), problem.error());
        return EXIT_FAILURE;
    }
    for (SimulatedDeployment deployment :
         { brnoDeployment(), perthDeployment(), targetDeployment() }) {
        if (deploymentName.empty() ? deployment.name == "target"
                                   : deployment.name != deploymentName)
            continue;
        deployment.seed = seed;
        if (length > 0)
            deployment.duration = length;
        compare(deployment, deployment.name + ", calm");
        if (deployment.name == "target")
            continue;
        deployment.randomRestarts = true;
        compare(deployment, deployment.name + ", engines restart");
        deployment.randomRestarts = false;
        deployment.outageStart = deployment.duration / 3;
        deployment.outageEnd = deployment.duration * 2 / 3;
        compare(deployment, deployment.name + ", a data centre leaves and returns cold");
    }
    return EXIT_SUCCESS;
}
