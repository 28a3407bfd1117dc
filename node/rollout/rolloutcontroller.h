// The part of a control replica in rollouts: it sums what routers report, tells the leader, and
// as the leader judges the versions and commits the stages.
//
// At 411 routers each of five replicas has the counts of some 80 routers. It tells the leader only
// the counters that changed, a few kilobytes at most four times a second, so that the leader's link
// is not filled. Nothing is kept, computed or sent while no rollout is in progress.

#ifndef BAMBOOGAP_NODE_ROLLOUT_ROLLOUTCONTROLLER_H
#define BAMBOOGAP_NODE_ROLLOUT_ROLLOUTCONTROLLER_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "control/rollouts.h"
#include "fleet/rolloutjudge.h"
#include "fleet/rolloutstages.h"
#include "fleet/rollouttotals.h"
#include "fleet/roster.h"
#include "fleet/routertable.h"
#include "node/metrics.h"

namespace bamboogap {

class RolloutController
{
public:
    // To be called once for each call with a `done`.
    using Done = std::function<void(bool succeeded)>;

    struct Hooks
    {
        // The latest rollouts of all services and their revision, as this replica knows them.
        std::function<uint64_t()> revision;
        std::function<std::vector<Rollout>()> rollouts;
        std::function<bool()> leads;
        std::function<std::string()> leaderAddress; // empty if no other replica is known to lead
        std::function<void(const AdvanceRolloutCommand &, Done)> commit;
        // Sends counts to the leader.
        std::function<void(const std::string &leader, const std::string &counts, Done)> tell;
        // All endpoints that this replica knows of.
        std::function<std::vector<EndpointRecord>()> endpoints;
        std::function<int64_t()> wallMillis;
    };

    // Between two calls of tick().
    static constexpr Duration kTick = std::chrono::milliseconds(200);
    // Between two messages to the leader.
    static constexpr Duration kTell = std::chrono::milliseconds(250);
    // A router heard within this has to confirm the full share before the end.
    static constexpr Duration kAlive = std::chrono::minutes(1);

    RolloutController(const RouterTable &routers, RolloutBounds bounds, Metrics &metrics,
                      Hooks hooks);

    // Counts from a router's report, or from another replica (Node.rolloutCounts).
    void noteCounts(std::string_view from, std::string_view packed);
    void tick(Instant now);

private:
    struct Progress
    {
        explicit Progress(Rollout known, Instant now)
            : rollout(std::move(known))
            , totals(rollout.number)
            , knownSince(now)
            , shareSince(now)
        {
        }

        Rollout rollout;
        RolloutTotals totals;
        RolloutJudge judge;
        Instant knownSince;
        Instant shareSince;
        bool committing = false;
        RolloutVerdict loggedVerdict = RolloutVerdict::None;
        uint64_t toldVersion = 0; // of the totals, to the leader
    };

    void refresh(Instant now);
    void tellLeader(Instant now);
    void lead(Instant now);
    RolloutSituation situationOf(const Progress &progress,
                                 const std::vector<EndpointRecord> &endpoints, Instant now) const;
    void take(Progress &progress, const RolloutStep &step);
    void logVerdict(Progress &progress) const;
    void report(const Progress &progress) const;

    const RouterTable &routers_;
    RolloutBounds bounds_;
    Metrics &metrics_;
    Hooks hooks_;
    uint64_t revision_ = 0; // of what `progress_` is of
    std::map<uint64_t, Progress> progress_; // of rollouts in progress, by number
    std::string leader_; // that was told before
    bool telling_ = false;
    Instant toldAt_ {};
    bool unreadable_ = false; // counts could not be read, and that was logged
};

} // namespace bamboogap

#endif
