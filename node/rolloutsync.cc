// Rollouts in the reports and answers between a direct router and the control replicas.

#include <fmt/format.h>

#include "base/log.h"
#include "fleet/rollout.h"
#include "node/convert.h"
#include "node/synctask.h"

namespace bamboogap {

namespace {

// Requests that were placed in the same moment have been sent by then.
constexpr Duration kConfirmDelay = std::chrono::milliseconds(20);

wire::OptionalReport::Builder optionalPart(wire::SyncRequest::Builder request)
{
    return request.hasOptional() ? request.getOptional() : request.initOptional();
}

} // namespace

// A replica that has rollouts tells all of them to a router that names no revision.
void SyncTask::writeRollouts(bool isSource, wire::SyncRequest::Builder request) const
{
    if (rollouts_.revision() > 0)
        optionalPart(request).setRolloutsVersion(rollouts_.revision());
    if (!isSource || !rollouts_.anyInProgress() || !hooks_.rolloutReports)
        return;
    std::vector<RolloutReport> reports = hooks_.rolloutReports();
    for (RolloutReport &report : reports) {
        report.router = settings_.name;
        report.incarnation = settings_.incarnation;
    }
    if (!reports.empty())
        optionalPart(request).setRolloutCounts(toData(packRolloutReports(reports)));
}

void SyncTask::readRollouts(const std::string &address, wire::SyncReply::Reader reply,
                            Instant askedAt)
{
    if (reply.getCurrent())
        rollouts_.confirm(askedAt);
    if (!reply.hasOptional() || reply.getOptional().getRollouts().size() == 0)
        return;
    const auto news = reply.getOptional();
    const auto rollouts = unpackRollouts(toView(news.getRollouts()));
    if (!rollouts) {
        logEvent(LogLevel::Error, "rollouts_unreadable",
                 { { "replica", address }, { "problem", rollouts.error().message } });
        return;
    }
    const uint64_t before = rollouts_.revision();
    const auto changed
            = rollouts_.update(news.getRolloutsVersion(), *rollouts, hooks_.draw, BootClock::now());
    for (const Rollout &rollout : changed) {
        logEvent(LogLevel::Info, "rollouts_in_force",
                 { { "revision", fmt::to_string(rollout.revision) },
                   { "service", rollout.service },
                   { "version", rollout.version },
                   { "state", std::string(rolloutStateName(rollout.state)) },
                   { "share_permille", fmt::to_string(rollout.sharePermille) },
                   { "replica", address } });
    }
    if (rollouts_.revision() != before)
        confirmRollouts();
}

// The leader waits for routers to confirm a stage, and orders have deadlines: in a fleet of 411 the
// next report is 0.8 s away. The other replicas have no use for it, and five early reports of each
// router would hold up a replica for a second.
void SyncTask::confirmRollouts()
{
    loop_.detach(loop_.sleep(kConfirmDelay).then([this]() {
        const auto source = links_.find(sourceOfOthers_);
        if (source != links_.end() && !source->second.inFlight
            && BootClock::now() >= source->second.askAgainAt)
            sync(source->first);
    }),
                 "confirm rollouts");
}

} // namespace bamboogap
