// The stages of a rollout: when its share changes and how it ends.
//
// A rollout starts with a canary share that is held until the time left is what the last two
// stages need: a middle share, at which faults that appear only under load show, and all
// requests. A version that turns bad late is thus met while its share is small. Counts are 0.3
// to 1 s old, so each decision reckons with the requests that the version gets until the next one
// takes effect.

#ifndef BAMBOOGAP_FLEET_ROLLOUTSTAGES_H
#define BAMBOOGAP_FLEET_ROLLOUTSTAGES_H

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "fleet/rollout.h"
#include "fleet/rolloutjudge.h"
#include "fleet/rollouttotals.h"

namespace bamboogap {

struct RolloutBounds
{
    // Requests that a bad version may get: this share of those between the order and the deadline,
    double share = 0.1;
    // and so many more.
    double slack = 50;
    // The least time that requests at the old endpoints are given to end before the deadline.
    Duration drain = std::chrono::milliseconds(300);
};

// Ready endpoints of one side.
struct RolloutCapacity
{
    uint32_t endpoints = 0;
    uint32_t slots = 0;
    uint32_t warmSlots = 0; // of endpoints that have warmed up
};

struct RolloutSituation
{
    Duration sinceOrder {};
    Duration sinceShare {}; // since this share is in force
    RolloutVerdict verdict = RolloutVerdict::None;
    std::string verdictReason;
    double healthyLogRatio = 0; // RolloutJudge::healthyLogRatio()
    RolloutCapacity target;
    RolloutCapacity others;
    // Of the old endpoints, by the routers heard in the last RolloutStages::kSilent.
    uint64_t runningElsewhere = 0;
    // Routers heard in the last RolloutStages::kSilent,
    uint32_t routers = 0;
    // and those of them whose counts are known.
    uint32_t reporting = 0;
    // Routers heard in the last minute that are not known to act by the rollout's revision,
    uint32_t unconfirmed = 0;
    // and those of them that were heard in the last RolloutStages::kSilent.
    uint32_t unconfirmedInTouch = 0;
};

struct RolloutStep
{
    enum class Kind : uint8_t { Keep, SetShare, Complete, Revert };

    Kind kind = Kind::Keep;
    uint32_t sharePermille = 0; // with SetShare
    std::string reason;

    bool operator==(const RolloutStep &) const = default;
};

struct RolloutStages
{
    // Until the rate of requests is known.
    static constexpr uint32_t kFirstPermille = 40;
    static constexpr uint32_t kLeastPermille = 20;
    static constexpr uint32_t kMiddlePermille = 250;
    // Responses of the canary by which a fault of 10 % is found, as a rule.
    static constexpr double kWantedRequests = 150;
    // Parts of the two bounds that the canary may use up; the rest is for the last stages.
    static constexpr double kCanaryOfShare = 0.4;
    static constexpr double kCanaryOfSlack = 0.3;
    // From a request to a committed verdict that routers act by: reports of 0.3 to 1 s, a look
    // each 0.2 s, a commit of 0.1 to 0.3 s and 0.5 s until the routers hear.
    static constexpr Duration kReaction = std::chrono::milliseconds(1800);
    // From the decision for the full share until all routers have confirmed it and `completed` is
    // committed.
    static constexpr Duration kFinish = std::chrono::milliseconds(2500);
    // The middle share is in force for this long, after a commit.
    static constexpr Duration kMiddle = std::chrono::milliseconds(1500);
    static constexpr Duration kCommit = std::chrono::milliseconds(300);
    // The longest requests relative to the mean, as an estimate; the time for them is no larger
    // part of the duration than this, so that the share stays small for more than half of it.
    static constexpr double kLongestToMean = 2.5;
    static constexpr int kMostDrainPart = 5;
    static constexpr Duration kLeastCanary = std::chrono::milliseconds(1500);
    // A version that is not judged yet waits, or gives up the full share, while its responses speak
    // for a fault by this much: two failures among few responses, when hardly any of the others
    // fail. A single one happens to 5 % of the good versions of small services.
    static constexpr double kSuspectLogRatio = -3;
    // A version that is past its deadline for that is reverted; the likelihood ratio is 1 in 8000.
    static constexpr double kLateLogRatio = -9;
    // After the deadline, what is only wanted is no longer waited for.
    static constexpr Duration kGrace = std::chrono::seconds(5);
    // A router that has been silent for this long has stopped to select by itself
    // (kUnsureAfter, 2 s) and its requests have ended.
    static constexpr Duration kSilent = std::chrono::seconds(6);
};

// The next step of a rollout.
RolloutStep nextRolloutStep(const Rollout &rollout, const RolloutSums &sums,
                            const RolloutSituation &situation, const RolloutBounds &bounds);

} // namespace bamboogap

#endif
