// Rollouts at a control replica: connects RolloutController to the log, the other replicas and what
// is known of endpoints.

#include "base/log.h"
#include "node/convert.h"
#include "node/replicafront.h"

namespace bamboogap {

namespace {

// Counts that did not arrive are told again.
constexpr Duration kTellLimit = std::chrono::milliseconds(600);

} // namespace

void ReplicaFront::runRollouts(RolloutBounds bounds)
{
    RolloutController::Hooks hooks;
    hooks.revision = [this] { return control_.rollouts().revision(); };
    hooks.rollouts = [this] { return control_.rollouts().all(); };
    hooks.leads = [this] { return control_.maySpeak(); };
    hooks.leaderAddress = [this] {
        std::string leader = control_.leaderAddress();
        return leader == settings_.address ? std::string() : leader;
    };
    hooks.commit
            = [this](const AdvanceRolloutCommand &command, const RolloutController::Done &done) {
                  loop_.detach(commit(command).then([done](Result<AppliedAnswer> answer) {
                      done(answer && answer->applied);
                  }),
                               "commit a step of a rollout");
              };
    hooks.tell = [this](const std::string &leader, const std::string &counts,
                        const RolloutController::Done &done) {
        auto request = peers_.node(leader, Lane::Control).rolloutCountsRequest();
        request.setReplica(settings_.address);
        request.setCounts(toData(counts));
        traffic_.sent(Traffic::Group, counts.size());
        loop_.detach(
                loop_.within(kTellLimit, request.send().ignoreResult())
                        .then([done] { done(true); }, [done](kj::Exception &&) { done(false); }),
                "tell the leader counts of rollouts");
    };
    hooks.endpoints = [this] { return knownEndpoints(BootClock::now()); };
    hooks.wallMillis = wallClockMillis;
    rolloutController_
            = std::make_unique<RolloutController>(routers_, bounds, metrics_, std::move(hooks));
    loop_.every(RolloutController::kTick, "rollouts",
                [this] { rolloutController_->tick(BootClock::now()); });
}

} // namespace bamboogap
