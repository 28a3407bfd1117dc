#include "fleet/rolloutstages.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bamboogap {

namespace {

using Kind = RolloutStep::Kind;
using Stages = RolloutStages;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Counts are older than this as a rule.
constexpr Duration kCountsAge = std::chrono::milliseconds(600);
// Rates from less are not relied on.
constexpr Duration kLeastForRate = std::chrono::milliseconds(1500);
// Nearly all routers have reported, so that the sums can be relied on.
constexpr double kLeastReporting = 0.9;
// The canary's share is changed by at least this factor, to save commits.
constexpr double kLeastChange = 1.4;

// One decision, with what it depends on.
class Decision
{
public:
    Decision(const Rollout &rollout, const RolloutSums &sums, const RolloutSituation &situation,
             const RolloutBounds &bounds)
        : rollout_(rollout)
        , sums_(sums)
        , now_(situation)
        , bounds_(bounds)
        , duration_(std::chrono::milliseconds(rollout.durationMillis))
    {
    }

    RolloutStep step() const
    {
        if (rollout_.state != RolloutState::InProgress)
            return {};
        if (now_.verdict == RolloutVerdict::Bad)
            return { Kind::Revert, 0, now_.verdictReason };
        if (now_.sinceOrder >= duration_ && now_.healthyLogRatio <= Stages::kLateLogRatio)
            return { Kind::Revert, 0, text("a fault is likely at the deadline") };
        if (now_.target.slots == 0)
            return withoutEndpoints();
        if (rollout_.sharePermille >= kFullSharePermille)
            return finish();
        if (now_.target.warmSlots == 0 && !isOverdue())
            return {}; // cold responses would be judged slow
        if (rollout_.sharePermille == 0)
            return { Kind::SetShare, Stages::kFirstPermille, "canary" };
        if (rollout_.sharePermille >= Stages::kMiddlePermille)
            return fromMiddle();
        return fromCanary();
    }

private:
    bool isOverdue() const { return now_.sinceOrder >= duration_ + Stages::kGrace; }

    // How long requests run after the last one was sent to the old endpoints. By Little's law the
    // number of requests under way tells how long they run on average.
    Duration drain() const
    {
        if (rate() <= 0)
            return bounds_.drain;
        const double running = double(sums_.runningOnTarget + sums_.runningElsewhere);
        const auto longest = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(Stages::kLongestToMean * running / rate()));
        return std::clamp(longest, bounds_.drain,
                          std::max(bounds_.drain, duration_ / Stages::kMostDrainPart));
    }

    Duration fullAt() const { return duration_ - Stages::kFinish - drain(); }
    Duration middleAt() const { return fullAt() - Stages::kMiddle - Stages::kCommit; }

    // The service's requests per second; 0 if not known yet.
    double rate() const
    {
        if (now_.sinceOrder < kLeastForRate)
            return 0;
        return double(sums_.requests) / seconds(now_.sinceOrder - kCountsAge);
    }

    double expectedRequests() const
    {
        if (now_.sinceOrder > duration_)
            return double(sums_.requests) * seconds(duration_) / seconds(now_.sinceOrder);
        return double(sums_.requests) + rate() * seconds(duration_ - now_.sinceOrder + kCountsAge);
    }

    double exposure() const { return double(sums_.all.target.sent); }

    // Whether the bounds hold at the share even if the version turns out bad at the next look.
    bool isWithinBounds(uint32_t permille) const
    {
        // Counts lag, at the share so far.
        const double untold = rate() * seconds(kCountsAge) * rollout_.sharePermille / 1000;
        const double next = rate() * seconds(Stages::kReaction) * permille / 1000;
        return exposure() + untold + next <= bounds_.share * expectedRequests() + bounds_.slack;
    }

    bool isKnown() const { return now_.reporting >= kLeastReporting * now_.routers; }

    // Whether the new endpoints can take the share of what runs now.
    bool hasRoom(uint32_t permille) const
    {
        constexpr double kMargin = 1.2;
        const double running = double(sums_.runningOnTarget + sums_.runningElsewhere);
        const double wanted = std::min(double(now_.others.slots), kMargin * running);
        const uint32_t slots = isOverdue() ? now_.target.slots : now_.target.warmSlots;
        return slots >= wanted * permille / 1000 || isOverdue();
    }

    // Too few responses for a verdict, but a fault is the likelier explanation of them.
    bool isSuspect() const { return now_.healthyLogRatio < Stages::kSuspectLogRatio; }

    // A version that is not judged is moved to while the bounds allow for a fault, or late.
    bool mayMove(uint32_t permille) const
    {
        if (!isKnown() || !hasRoom(permille))
            return false;
        return now_.verdict == RolloutVerdict::Healthy || isOverdue()
                || (!isSuspect() && isWithinBounds(permille));
    }

    std::string text(std::string_view what) const
    {
        return fmt::format("{}; {} of {} requests at the new version; judged {}: {}", what,
                           sums_.all.target.sent, sums_.requests, rolloutVerdictName(now_.verdict),
                           now_.verdictReason);
    }

    RolloutStep withoutEndpoints() const
    {
        if (isOverdue())
            return { Kind::Revert, 0, "no endpoint of the new version is ready" };
        if (rollout_.sharePermille > 0 && now_.sinceShare >= Stages::kMiddle)
            return { Kind::SetShare, 0, "no endpoint of the new version is ready any more" };
        return {};
    }

    RolloutStep fromCanary() const
    {
        if (now_.sinceOrder >= middleAt() && now_.sinceShare >= Stages::kLeastCanary
            && mayMove(Stages::kMiddlePermille))
            return { Kind::SetShare, Stages::kMiddlePermille, text("middle share") };
        if (now_.sinceOrder < kLeastForRate || !isKnown() || sums_.requests == 0)
            return {};
        if (!isWithinBounds(rollout_.sharePermille))
            return lowerTo(Stages::kLeastPermille);
        // Changed once, so that the responses of a share can be told before the next stage.
        if (rollout_.sharePermille != Stages::kFirstPermille
            || now_.sinceOrder + Stages::kLeastCanary > middleAt())
            return {};
        const uint32_t wanted = canaryPermille();
        const double change = double(wanted) / rollout_.sharePermille;
        if (change < kLeastChange && change * kLeastChange > 1)
            return {};
        return { Kind::SetShare, wanted, text("canary for the rate of requests") };
    }

    RolloutStep lowerTo(uint32_t permille) const
    {
        if (rollout_.sharePermille <= permille)
            return {};
        return { Kind::SetShare, permille, text("near the bound of its requests") };
    }

    uint32_t canaryPermille() const
    {
        const double left = std::max(seconds(Stages::kReaction),
                                     seconds(middleAt() - now_.sinceOrder + kCountsAge));
        const double budget = Stages::kCanaryOfShare * bounds_.share * expectedRequests()
                + Stages::kCanaryOfSlack * bounds_.slack - exposure();
        const double requests
                = std::clamp(Stages::kWantedRequests - exposure(), 0.0, std::max(0.0, budget));
        const double permille = 1000 * requests / std::max(1.0, rate() * left);
        return static_cast<uint32_t>(
                std::clamp<double>(permille, Stages::kLeastPermille, Stages::kMiddlePermille - 1));
    }

    RolloutStep fromMiddle() const
    {
        if (now_.healthyLogRatio < 0 && !isOverdue() && !isWithinBounds(rollout_.sharePermille))
            return lowerTo(Stages::kLeastPermille);
        if (now_.sinceOrder < fullAt() || now_.sinceShare < Stages::kMiddle
            || !mayMove(kFullSharePermille))
            return {};
        return { Kind::SetShare, kFullSharePermille, text("all requests") };
    }

    RolloutStep finish() const
    {
        // The others get requests again, so that the versions can be compared.
        if (isSuspect() && !isOverdue())
            return { Kind::SetShare, Stages::kMiddlePermille, text("suspect") };
        const bool confirmed = now_.unconfirmed == 0
                || (now_.unconfirmedInTouch == 0 && now_.sinceShare >= Stages::kSilent);
        if (!confirmed || now_.runningElsewhere > 0 || now_.sinceShare < bounds_.drain)
            return {};
        return { Kind::Complete, kFullSharePermille, text("all routers have confirmed") };
    }

    const Rollout &rollout_;
    const RolloutSums &sums_;
    const RolloutSituation &now_;
    const RolloutBounds &bounds_;
    Duration duration_;
};

} // namespace

RolloutStep nextRolloutStep(const Rollout &rollout, const RolloutSums &sums,
                            const RolloutSituation &situation, const RolloutBounds &bounds)
{
    return Decision(rollout, sums, situation, bounds).step();
}

} // namespace bamboogap
