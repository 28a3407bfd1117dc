// bamboogap_measure: the brief's measures on scripted arrivals, this project's
// policy beside baselines, all in one run with a fixed seed.
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

constexpr ScriptTime kHeartbeat = 0.5;
constexpr ScriptTime kSample = 0.05;
constexpr ScriptTime kWarmUp = 60; // not counted, at most a quarter of the length

struct Measures
{
    size_t turns = 0;
    size_t returning = 0;
    size_t reused = 0;
    size_t refused = 0;
    size_t overBound = 0; // admissions above the bound of that exact moment
    std::vector<double> skew; // highest to mean, sampled
    size_t aboveMultiple = 0; // samples above the multiple, rounded up
    std::vector<double> urgentFirstToken;
    std::vector<double> firstToken;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto place = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(place), values.end());
    return values[place];
}

class Script
{
public:
    Script(const Deployment &deployment, double multiple, const PolicyFactory &make)
        : deployment_(deployment)
        , multiple_(multiple)
        , random_(deployment.seed)
        , warmUp_(std::min(kWarmUp, deployment.length / 4))
        , caches_(deployment.engines, PrefixCache(deployment.cachedChats))
        , queues_(deployment.engines)
    {
        for (size_t e = 0; e < deployment.engines; ++e)
            engines_.push_back(
                    { e % deployment.dataCentres, deployment.capacity, 0, false, 1, &caches_[e] });
        policy_ = make(deployment, engines_);
    }

    Measures run()
    {
        at(0, [this] { newChat(); });
        at(kHeartbeat, [this] { heartbeat(); });
        at(warmUp_, [this] { sample(); });
        if (deployment_.outUntil > 0) {
            at(deployment_.outFrom, [this] { setOut(true); });
            at(deployment_.outUntil, [this] { setOut(false); });
        }
        if (deployment_.churn)
            at(restartPause(), [this] { restartOne(); });
        while (!events_.empty() && events_.top().time < deployment_.length) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
        return measures_;
    }

private:
    struct Event
    {
        ScriptTime time = 0;
        uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    struct Request
    {
        Turn turn;
        ScriptTime arrived = 0;
        size_t engine = 0;
        uint64_t incarnation = 0;
    };

    bool counts() const { return now_ >= warmUp_; }

    void at(ScriptTime time, std::function<void()> action)
    {
        events_.push({ time, ++order_, std::move(action) });
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(random_);
    }

    void newChat()
    {
        Turn turn;
        turn.chat = ++chats_;
        // A few workspaces are large: half of the chats belong to a tenth of them.
        const size_t large = std::max<size_t>(1, deployment_.workspaces / 10);
        turn.workspace
                = random_() % 2 == 0 ? random_() % large : random_() % deployment_.workspaces;
        turn.turnsLeft = static_cast<size_t>(exponential(deployment_.meanTurns));
        arrive(turn);
        at(now_ + exponential(1 / deployment_.newChatsPerSecond), [this] { newChat(); });
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
        const uint64_t id = ++requests_;
        Request &request = open_[id];
        request.turn = turn;
        request.arrived = now_;
        if (counts())
            ++measures_.turns;
        const Placed placed = policy_->place(id, turn, deployment_.kinds[turn.kind],
                                             random_() % deployment_.routers, now_);
        if (placed.runs)
            start(id, placed.engine);
        else if (!placed.waits)
            giveUp(id);
    }

    void giveUp(uint64_t id)
    {
        if (counts())
            ++measures_.refused;
        const Turn turn = open_[id].turn;
        open_.erase(id);
        // The caller comes back a little later.
        at(now_ + 2, [this, turn] { arrive(turn); });
    }

    // An engine that is full queues by itself what a baseline sends it.
    void start(uint64_t id, size_t engine)
    {
        EngineView &view = engines_[engine];
        open_[id].engine = engine;
        if (view.running >= deployment_.capacity) {
            queues_[engine].push_back(id);
            return;
        }
        checkBound(engine);
        begin(id, engine);
    }

    void checkBound(size_t engine)
    {
        if (!counts())
            return;
        double total = 1;
        size_t serving = 0;
        for (const EngineView &view : engines_) {
            if (view.out)
                continue;
            total += view.running;
            ++serving;
        }
        const double bound
                = std::max(1.0, std::ceil(multiple_ * total / static_cast<double>(serving) - 1e-9));
        measures_.overBound += engines_[engine].running + 1 > bound;
    }

    void begin(uint64_t id, size_t engine)
    {
        EngineView &view = engines_[engine];
        Request &request = open_[id];
        ++view.running;
        request.incarnation = view.incarnation;
        const Kind &kind = deployment_.kinds[request.turn.kind];
        const bool hit = caches_[engine].holds(request.turn.chat);
        caches_[engine].use(request.turn.chat);
        const ScriptTime prefill = hit ? deployment_.reuse : deployment_.rebuild;
        if (counts()) {
            measures_.returning += request.turn.returning;
            measures_.reused += request.turn.returning && hit;
            const double firstToken = now_ - request.arrived + prefill;
            measures_.firstToken.push_back(firstToken);
            if (kind.priority == Priority::Urgent)
                measures_.urgentFirstToken.push_back(firstToken);
        }
        at(now_ + prefill, [this, id, prefill] { policy_->firstToken(id, prefill); });
        at(now_ + prefill + kind.generation, [this, id] { end(id); });
    }

    void end(uint64_t id)
    {
        const Request request = open_[id];
        open_.erase(id);
        const size_t engine = request.engine;
        --engines_[engine].running;
        policy_->finish(id, engine, now_);
        if (!queues_[engine].empty()) {
            const uint64_t next = queues_[engine].front();
            queues_[engine].erase(queues_[engine].begin());
            checkBound(engine);
            begin(next, engine);
        }
        wake();
        if (request.turn.turnsLeft == 0)
            return;
        Turn turn = request.turn;
        --turn.turnsLeft;
        turn.returning = true;
        std::lognormal_distribution<double> pause(std::log(deployment_.meanPause) - 0.5, 1.0);
        at(now_ + pause(random_), [this, turn] { arrive(turn); });
    }

    void wake()
    {
        for (const Woken &woken : policy_->advance(now_)) {
            if (woken.runs)
                start(woken.request, woken.engine);
            else
                giveUp(woken.request);
        }
    }

    void heartbeat()
    {
        policy_->heartbeat(now_);
        wake();
        at(now_ + kHeartbeat, [this] { heartbeat(); });
    }

    void sample()
    {
        double total = 0;
        double highest = 0;
        size_t serving = 0;
        for (const EngineView &view : engines_) {
            if (view.out)
                continue;
            total += view.running;
            highest = std::max<double>(highest, view.running);
            ++serving;
        }
        const double mean = total / static_cast<double>(serving);
        if (mean > 0) {
            measures_.skew.push_back(highest / mean);
            measures_.aboveMultiple += highest > std::max(1.0, std::ceil(multiple_ * mean - 1e-9));
        }
        at(now_ + kSample, [this] { sample(); });
    }

    void setOut(bool out)
    {
        for (size_t e = 0; e < engines_.size(); ++e) {
            if (engines_[e].dataCentre != 0)
                continue;
            engines_[e].out = out;
            if (!out)
                restart(e); // it comes back cold
        }
    }

    void restart(size_t engine)
    {
        caches_[engine].clear();
        ++engines_[engine].incarnation;
    }

    ScriptTime restartPause() { return exponential(300.0 / static_cast<double>(engines_.size())); }

    // Churn: an engine loses its cache, each about every five minutes.
    void restartOne()
    {
        restart(random_() % engines_.size());
        at(now_ + restartPause(), [this] { restartOne(); });
    }

    Deployment deployment_;
    double multiple_;
    std::mt19937_64 random_;
    ScriptTime warmUp_;
    std::vector<PrefixCache> caches_;
    std::vector<EngineView> engines_;
    std::vector<std::vector<uint64_t>> queues_;
    std::unique_ptr<Policy> policy_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    uint64_t order_ = 0;
    ScriptTime now_ = 0;
    uint64_t chats_ = 0;
    uint64_t requests_ = 0;
    std::unordered_map<uint64_t, Request> open_;
    Measures measures_;
};

void report(const std::string &name, const Measures &measures)
{
    const auto share = [](size_t part, size_t whole) {
        return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
    };
    fmt::print("{:<38} {:>6.1f} {:>6.2f} {:>6.2f} {:>7.1f} {:>7.2f} {:>7.2f} {:>7.2f} {:>7.2f}\n",
               name, share(measures.reused, measures.returning), quantile(measures.skew, 0.5),
               quantile(measures.skew, 0.99), share(measures.aboveMultiple, measures.skew.size()),
               share(measures.overBound, measures.turns), quantile(measures.firstToken, 0.95),
               quantile(measures.urgentFirstToken, 0.95), share(measures.refused, measures.turns));
    std::fflush(stdout);
}

void compare(const Deployment &deployment, const std::string &title)
{
    constexpr double kMultiple = 1.25;
    fmt::print("\n{}: {} engines, {} routers, {:.0f} s, seed {}, multiple {}\n", title,
               deployment.engines, deployment.routers, deployment.length, deployment.seed,
               kMultiple);
    fmt::print("{:<38} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7}\n", "policy", "reuse%",
               "skew50", "skew99", "above%", "over%", "ft95 s", "urg95 s", "refus%");
    std::vector<NamedPolicy> policies = baselines(kMultiple);
    policies.push_back({ "ours, forgetting moves", ownPolicy({ kMultiple, kMultiple, false }) });
    policies.push_back({ "ours, one multiple for all", ownPolicy({ kMultiple, kMultiple, true }) });
    policies.push_back({ "ours, 1.1 for new chats", ownPolicy({ kMultiple, 1.1, true }) });
    policies.push_back({ "ours, one place a chat", ownPolicy({ kMultiple, 1.1, true, 1 }) });
    policies.push_back({ "ours", ownPolicy({ kMultiple, 1.1, true }) });
    for (const NamedPolicy &policy : policies)
        report(policy.name, Script(deployment, kMultiple, policy.make).run());
}

} // namespace

int main(int argc, char **argv)
{
    std::string wanted;
    uint64_t seed = 1;
    double length = 0;
    try {
        TCLAP::CmdLine line("Measures of the brief: reuse% of returning turns that found their "
                            "cache; skew50, skew99 highest to mean load; above% of the time above "
                            "the multiple; over% of admissions above the bound of that moment; "
                            "ft95, urg95 first token of all and of urgent work; refus% refusals.",
                            ' ', "0.1.0");
        TCLAP::ValueArg<std::string> name("", "deployment", "brno, perth or target", false, "",
                                          "name", line);
        TCLAP::ValueArg<uint64_t> seedArg("", "seed", "Seed", false, 1, "number", line);
        TCLAP::ValueArg<double> lengthArg("", "length", "Length", false, 0, "seconds", line);
        line.parse(argc, argv);
        wanted = name.getValue();
        seed = seedArg.getValue();
        length = lengthArg.getValue();
    } catch (const TCLAP::ArgException &problem) {
        fmt::print(stderr, "{}: {}; see --help\n", problem.argId(), problem.error());
        return EXIT_FAILURE;
    }
    for (Deployment deployment : { brno(), perth(), target() }) {
        if (wanted.empty() ? deployment.name == "target" : deployment.name != wanted)
            continue;
        deployment.seed = seed;
        if (length > 0)
            deployment.length = length;
        compare(deployment, deployment.name + ", calm");
        if (deployment.name == "target")
            continue;
        deployment.churn = true;
        compare(deployment, deployment.name + ", engines restart");
        deployment.churn = false;
        deployment.outFrom = deployment.length / 3;
        deployment.outUntil = deployment.length * 2 / 3;
        compare(deployment, deployment.name + ", a data centre leaves and returns cold");
    }
    return EXIT_SUCCESS;
}
