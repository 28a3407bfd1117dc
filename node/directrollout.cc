// Rollouts in a direct router: the versions that its requests may use, and what it counts.

#include <map>

#include <fmt/format.h>

#include "node/directrequest.h"

namespace bamboogap {

RolloutGate::Request DirectRouter::rolloutRequest(const Active &active) const
{
    const uint64_t affinity = active.isEngine ? affinityKey(active.caller.prompt) : 0;
    return { active.service, affinity, active.sends > 0 };
}

void DirectRouter::updateServingVersions(Instant now)
{
    servingVersions_.expire(now);
    for (const auto &[key, status] : board_.statuses()) {
        if (status.usable && !status.dataCentreOut)
            servingVersions_.record(status.service, status.softwareVersion, status.knownSince, now);
    }
}

RolloutGate::Decision DirectRouter::allowedVersions(const Active &active, Instant now) const
{
    const RolloutGate &rollouts = sync_->rollouts();
    const Rollout *rollout = rollouts.find(active.service);
    if (rollout && rollout->state != RolloutState::Reverted)
        return rollouts.decide(rolloutRequest(active), now);
    const AllowedVersions serving = servingVersions_.allowed(active.service);
    const bool isReverted = rollout && serving.version == rollout->version;
    if (serving.rule == AllowedVersions::Rule::Only && !isReverted)
        return { serving, std::nullopt };
    return rollouts.decide(rolloutRequest(active), now);
}

tl::expected<Placement, PlacementProblem> DirectRouter::choose(const Active &active, Instant now)
{
    const RolloutGate::Decision decision = allowedVersions(active, now);
    PlacementRequest request = placementRequest(active);
    request.versions = decision.versions;
    auto placed = board_.place(request, now, chance());
    if (placed || !decision.otherwise)
        return placed;
    request.versions = *decision.otherwise;
    return board_.place(request, now, chance());
}

void DirectRouter::noteSentInRollout(Active &active, bool isFirst, Instant now)
{
    RolloutGate::Request request = rolloutRequest(active);
    request.sentBefore = !isFirst;
    active.rolloutAttempt
            = sync_->rollouts().onSent(request, active.route->name, active.endpointVersion, now);
    if (active.rolloutAttempt.rollout == 0)
        return;
    metrics_.count("bamboogap_rollout_requests_total",
                   fmt::format("service=\"{}\",side=\"{}\"", active.service,
                               active.rolloutAttempt.onTarget ? "target" : "others"));
}

// Responses that are relayed as a whole count when they are whole. That an endpoint cannot be
// reached or did not run the request says nothing of its version.
void DirectRouter::noteOutcomeInRollout(const Active &active, Outcome outcome, Instant now)
{
    if (outcome == Outcome::Failed || outcome == Outcome::Broken)
        sync_->rollouts().onFailed(active.rolloutAttempt);
    else if (outcome == Outcome::Succeeded && !active.hadFirstByte)
        sync_->rollouts().onFirstByte(active.rolloutAttempt, now - active.sentAt);
}

std::vector<RolloutReport> DirectRouter::rolloutReports() const
{
    const RolloutGate &rollouts = sync_->rollouts();
    std::vector<RolloutReport> reports = rollouts.reports();
    std::map<uint64_t, RolloutReport *> byNumber;
    for (RolloutReport &report : reports)
        byNumber[report.number] = &report;
    for (const auto &[id, active] : active_) {
        const Rollout *rollout = rollouts.find(active->service);
        const auto found = rollout ? byNumber.find(rollout->number) : byNumber.end();
        if (found == byNumber.end())
            continue;
        const bool onTarget = active->call == 0 ? rollouts.usesTargetOnly(active->service)
                                                : active->endpointVersion == rollout->version;
        ++(onTarget ? found->second->runningOnTarget : found->second->runningElsewhere);
    }
    return reports;
}

} // namespace bamboogap
