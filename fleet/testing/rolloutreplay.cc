#include "fleet/testing/rolloutreplay.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include <fmt/format.h>

#include "fleet/rolloutjudge.h"
#include "fleet/rollouttotals.h"

namespace bamboogap {

namespace {

using Millis = int64_t;

constexpr Millis kTick = 10;
constexpr Millis kReportEvery = 500;
constexpr Millis kLook = 200;
constexpr Millis kGiveUpAfterDeadline = 20000;
constexpr uint64_t kBadResponses = 50;

// The first byte of a response, or its end.
struct Response
{
    Millis at = 0;
    Millis endsAt = 0;
    uint32_t router = 0;
    uint32_t route = 0;
    bool onTarget = false;
    bool failed = false;
    double latency = 0;
    bool begun = false;

    bool operator>(const Response &other) const { return at > other.at; }
};

struct Arrival
{
    Millis at = 0;
    RolloutReport report;

    bool operator>(const Arrival &other) const { return at > other.at; }
};

struct Router
{
    RolloutReport report;
    uint32_t sharePermille = 0;
    RolloutState state = RolloutState::InProgress;
    double draw = 0; // u
    uint32_t sinceShare = 0; // requests since the share was set
    uint32_t selected = 0; // of them, at the new version
    uint64_t actsBy = 0; // revision
    std::vector<uint32_t> places; // of a route and a side in report.counts, plus one
};

class Replay
{
public:
    Replay(const RolloutScenario &scenario, uint32_t seed)
        : scenario_(scenario)
        , random_(seed)
        , routers_(scenario.routers)
        , totals_(kNumber)
    {
        rollout_ = { kNumber, 1, "s", "v2", 0, scenario.durationMillis, RolloutState::InProgress,
                     0,       "" };
        for (uint32_t i = 0; i < routers_.size(); ++i) {
            Router &router = routers_[i];
            router.report.number = kNumber;
            router.report.router = fmt::format("r{}", i);
            router.report.incarnation = 1;
            reporters_[between(0, Millis(reporters_.size()) - 1)].push_back(i);
            router.draw = uniform();
            router.places.resize(size_t { 2 } * scenario.routes);
        }
    }

    RolloutOutcome run()
    {
        const auto deadline = static_cast<Millis>(scenario_.durationMillis);
        const double perTick
                = scenario_.requestsPerRouter * scenario_.routers * double(kTick) / 1000;
        std::poisson_distribution<int> arriving(perTick);
        for (now_ = 0; now_ < deadline + kGiveUpAfterDeadline; now_ += kTick) {
            recent_ *= kRecentDecay;
            recentOnTarget_ *= kRecentDecay;
            for (int i = arriving(random_); i > 0; --i)
                send();
            finishResponses();
            for (const uint32_t index : reporters_[now_ / kTick % reporters_.size()])
                sendReport(routers_[index]);
            while (!arrivals_.empty() && arrivals_.top().at <= now_) {
                totals_.add(arrivals_.top().report);
                arrivals_.pop();
            }
            commit();
            if (now_ % kLook == 0)
                look();
            // The routers have heard of the end.
            constexpr Millis kHeard = 1500;
            if (rollout_.state != RolloutState::InProgress && now_ > shareAt_ + kHeard
                && now_ > deadline)
                break;
        }
        outcome_.state = rollout_.state;
        outcome_.reason = rollout_.reason;
        if (badAt_ && lastOnTarget_ > *badAt_)
            outcome_.lastAfterBadMillis = lastOnTarget_ - *badAt_;
        return outcome_;
    }

private:
    static constexpr uint64_t kNumber = 7;
    static constexpr double kRecentDecay = 0.98; // per tick; half a second

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    Millis between(Millis least, Millis most)
    {
        return std::uniform_int_distribution<Millis>(least, most)(random_);
    }

    bool selects(Router &router)
    {
        if (router.state != RolloutState::InProgress)
            return router.state == RolloutState::Completed;
        ++router.sinceShare;
        if (router.sharePermille >= kFullSharePermille)
            return true;
        const double most
                = std::floor(router.sharePermille * double(router.sinceShare) / 1000 + router.draw);
        if (router.selected + 1 > most)
            return false;
        ++router.selected;
        return true;
    }

    bool isBad(uint32_t route) const
    {
        return (!scenario_.onlyOnOneRoute || route == 0)
                && double(now_) >= scenario_.badFrom * double(scenario_.durationMillis)
                && recentOnTarget_ >= scenario_.badFromShare * recent_;
    }

    void send()
    {
        const auto index = static_cast<uint32_t>(between(0, Millis { scenario_.routers } - 1));
        Router &router = routers_[index];
        const auto route = static_cast<uint32_t>(between(0, Millis { scenario_.routes } - 1));
        const bool onTarget = selects(router);
        const bool bad = onTarget && isBad(route);
        recent_ += 1;
        if (now_ < static_cast<Millis>(scenario_.durationMillis))
            ++outcome_.requests;
        if (onTarget) {
            recentOnTarget_ += 1;
            lastOnTarget_ = now_;
            if (rollout_.state != RolloutState::Completed)
                ++outcome_.exposed;
        }
        Response response { 0, 0, index, route, onTarget, false, 0 };
        // 30 ms as a rule, and a tail.
        response.latency = 30 * std::exp(std::normal_distribution<double>(0, 0.4)(random_));
        if (bad)
            response.latency *= scenario_.targetSlower;
        response.failed
                = uniform() < scenario_.failsAlways || (bad && uniform() < scenario_.targetFails);
        const double runs = scenario_.runsMillis > 0 ? scenario_.runsMillis * 2 * uniform() : 0;
        response.at = now_ + static_cast<Millis>(response.latency);
        response.endsAt = response.at + static_cast<Millis>(runs);
        if (bad && (response.failed || scenario_.targetSlower > 1)
            && ++badResponses_ == kBadResponses)
            badAt_ = response.at;
        ++router.report.requests;
        ++countsOf(router, route, onTarget).sent;
        ++(onTarget ? router.report.runningOnTarget : router.report.runningElsewhere);
        running_.push(response);
    }

    void finishResponses()
    {
        while (!running_.empty() && running_.top().at <= now_) {
            Response response = running_.top();
            running_.pop();
            Router &router = routers_[response.router];
            RolloutReport &report = router.report;
            if (response.at == response.endsAt)
                --(response.onTarget ? report.runningOnTarget : report.runningElsewhere);
            if (!response.begun) {
                RolloutCounts &counts = countsOf(router, response.route, response.onTarget);
                if (response.failed)
                    ++counts.failed;
                else
                    ++counts.latency[rolloutLatencyBucket(response.latency)];
            }
            if (response.at == response.endsAt)
                continue;
            response.begun = true;
            response.at = response.endsAt;
            running_.push(response);
        }
    }

    static RolloutCounts &countsOf(Router &router, uint32_t route, bool onTarget)
    {
        uint32_t &place = router.places[2 * route + (onTarget ? 1 : 0)];
        if (place == 0) {
            router.report.counts.push_back({ route, onTarget, 0, 0, {} });
            place = static_cast<uint32_t>(router.report.counts.size());
        }
        return router.report.counts[place - 1];
    }

    // The counts are 0.3 to 1 s old at the next report's arrival.
    void sendReport(Router &router)
    {
        router.report.revision = router.actsBy;
        arrivals_.push({ now_ + between(300, 500), router.report });
        if (router.actsBy == rollout_.revision)
            return;
        router.actsBy = rollout_.revision;
        router.state = rollout_.state;
        router.sharePermille = rollout_.sharePermille;
        router.sinceShare = router.selected = 0;
    }

    void commit()
    {
        if (!pending_ || now_ < committedAt_)
            return;
        using Kind = RolloutStep::Kind;
        ++rollout_.revision;
        rollout_.reason = pending_->reason;
        if (pending_->kind == Kind::SetShare)
            rollout_.sharePermille = pending_->sharePermille;
        else
            rollout_.state = pending_->kind == Kind::Complete ? RolloutState::Completed
                                                              : RolloutState::Reverted;
        if (rollout_.state != RolloutState::InProgress)
            outcome_.endedAtMillis = now_;
        outcome_.stages
                += fmt::format("{} ms: {} {} ({})\n", now_, rolloutStateName(rollout_.state),
                               rollout_.sharePermille, rollout_.reason);
        shareAt_ = now_;
        pending_.reset();
    }

    void look()
    {
        if (pending_ || rollout_.state != RolloutState::InProgress)
            return;
        judge_.observe(totals_.sums());
        RolloutSituation situation;
        situation.sinceOrder = std::chrono::milliseconds(now_);
        situation.sinceShare = std::chrono::milliseconds(now_ - shareAt_);
        situation.verdict = judge_.verdict();
        situation.verdictReason = judge_.reason();
        situation.healthyLogRatio = judge_.healthyLogRatio();
        if (now_ >= static_cast<Millis>(scenario_.endpointsAfterMillis))
            situation.target = { 4, 400, 400 };
        situation.others = { 4, 400, 400 };
        situation.routers = scenario_.routers;
        situation.runningElsewhere = totals_.sums().runningElsewhere;
        for (const Router &router : routers_) {
            situation.reporting += totals_.hasReported(router.report.router) ? 1 : 0;
            situation.unconfirmed
                    += totals_.actsBy(router.report.router, rollout_.revision) ? 0 : 1;
        }
        situation.unconfirmedInTouch = situation.unconfirmed;
        RolloutStep step = nextRolloutStep(rollout_, totals_.sums(), situation, {});
        if (step.kind == RolloutStep::Kind::Keep)
            return;
        pending_ = std::move(step);
        committedAt_ = now_ + between(100, 300);
    }

    const RolloutScenario &scenario_;
    std::mt19937 random_;
    std::vector<Router> routers_;
    // By the tick within kReportEvery.
    std::array<std::vector<uint32_t>, kReportEvery / kTick> reporters_;
    Rollout rollout_;
    RolloutTotals totals_;
    RolloutJudge judge_;
    std::priority_queue<Response, std::vector<Response>, std::greater<>> running_;
    std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals_;
    std::optional<RolloutStep> pending_;
    Millis committedAt_ = 0;
    Millis shareAt_ = 0;
    Millis now_ = 0;
    double recent_ = 0;
    double recentOnTarget_ = 0;
    uint64_t badResponses_ = 0;
    std::optional<Millis> badAt_;
    Millis lastOnTarget_ = 0;
    RolloutOutcome outcome_;
};

} // namespace

double RolloutOutcome::bound() const
{
    const RolloutBounds bounds;
    return bounds.share * double(requests) + bounds.slack;
}

RolloutOutcome replayRollout(const RolloutScenario &scenario, uint32_t seed)
{
    return Replay(scenario, seed).run();
}

} // namespace bamboogap
