#include "node/rollout/rolloutcontroller.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/log.h"

namespace bamboogap {

namespace {

void add(RolloutCapacity &capacity, const EndpointRecord &record)
{
    ++capacity.endpoints;
    capacity.slots += record.slots;
    if (record.warmupLeftMillis == 0)
        capacity.warmSlots += record.slots;
}

std::string labelsOf(const Rollout &rollout, std::string_view side = {})
{
    std::string labels = fmt::format("service=\"{}\"", rollout.service);
    if (!side.empty())
        labels += fmt::format(",side=\"{}\"", side);
    return labels;
}

} // namespace

RolloutController::RolloutController(const RouterTable &routers, RolloutBounds bounds,
                                     Metrics &metrics, Hooks hooks)
    : routers_(routers)
    , bounds_(bounds)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
{
}

void RolloutController::noteCounts(std::string_view from, std::string_view packed)
{
    if (packed.empty())
        return;
    const auto reports = unpackRolloutReports(packed);
    if (!reports) {
        // Routers report several times a second.
        if (!unreadable_) {
            logEvent(LogLevel::Error, "rollout_counts_unreadable",
                     { { "from", std::string(from) }, { "problem", reports.error().message } });
        }
        unreadable_ = true;
        metrics_.count("bamboogap_rollout_counts_unreadable_total");
        return;
    }
    unreadable_ = false;
    for (const RolloutReport &report : *reports) {
        // Counts of a rollout that has ended here, or is not known here yet, come again or are not
        // needed any more.
        if (const auto found = progress_.find(report.number); found != progress_.end())
            found->second.totals.add(report);
    }
}

void RolloutController::tick(Instant now)
{
    refresh(now);
    if (progress_.empty())
        return;
    if (hooks_.leads()) {
        // Tells another one everything once it leads no more.
        leader_.clear();
        lead(now);
    } else {
        tellLeader(now);
    }
}

void RolloutController::refresh(Instant now)
{
    const uint64_t revision = hooks_.revision();
    if (revision == revision_)
        return;
    revision_ = revision;
    std::map<uint64_t, Progress> before;
    before.swap(progress_);
    for (Rollout &rollout : hooks_.rollouts()) {
        if (rollout.state != RolloutState::InProgress)
            continue;
        const uint64_t number = rollout.number;
        auto known = before.extract(number);
        if (!known) {
            progress_.try_emplace(number, Progress(std::move(rollout), now));
            continue;
        }
        Progress &progress = known.mapped();
        if (progress.rollout.sharePermille != rollout.sharePermille)
            progress.shareSince = now;
        progress.rollout = std::move(rollout);
        progress_.insert(std::move(known));
    }
    for (const auto &[number, ended] : before)
        metrics_.set("bamboogap_rollout_share", labelsOf(ended.rollout), 0);
}

void RolloutController::tellLeader(Instant now)
{
    const std::string leader = hooks_.leaderAddress();
    if (leader != leader_) {
        // It may have nothing of what the one before was told.
        leader_ = leader;
        for (auto &[number, progress] : progress_)
            progress.toldVersion = 0;
    }
    if (leader.empty() || telling_ || now - toldAt_ < kTell)
        return;
    std::vector<RolloutReport> changed;
    std::map<uint64_t, uint64_t> versions; // by number
    for (const auto &[number, progress] : progress_) {
        auto reports = progress.totals.changedSince(progress.toldVersion);
        changed.insert(changed.end(), std::make_move_iterator(reports.begin()),
                       std::make_move_iterator(reports.end()));
        versions[number] = progress.totals.version();
    }
    if (changed.empty())
        return;
    toldAt_ = now;
    telling_ = true;
    const std::string packed = packRolloutReports(changed);
    metrics_.count("bamboogap_rollout_counts_told_bytes_total", {}, double(packed.size()));
    hooks_.tell(leader, packed, [this, leader, versions](bool succeeded) {
        telling_ = false;
        if (!succeeded || leader != leader_)
            return;
        for (const auto &[number, version] : versions) {
            if (const auto found = progress_.find(number); found != progress_.end())
                found->second.toldVersion = version;
        }
    });
}

void RolloutController::lead(Instant now)
{
    const std::vector<EndpointRecord> endpoints = hooks_.endpoints();
    std::vector<uint64_t> numbers;
    for (auto &[number, progress] : progress_) {
        progress.judge.observe(progress.totals.sums());
        logVerdict(progress);
        report(progress);
        numbers.push_back(number);
    }
    for (const uint64_t number : numbers) {
        const auto found = progress_.find(number);
        if (found == progress_.end() || found->second.committing)
            continue;
        Progress &progress = found->second;
        const RolloutStep step = nextRolloutStep(progress.rollout, progress.totals.sums(),
                                                 situationOf(progress, endpoints, now), bounds_);
        if (step.kind != RolloutStep::Kind::Keep)
            take(progress, step);
    }
}

RolloutSituation RolloutController::situationOf(const Progress &progress,
                                                const std::vector<EndpointRecord> &endpoints,
                                                Instant now) const
{
    const Rollout &rollout = progress.rollout;
    RolloutSituation situation;
    // The wall clocks of replicas may differ.
    const auto byWall = std::chrono::milliseconds(hooks_.wallMillis() - rollout.orderedAtMillis);
    situation.sinceOrder = std::max<Duration>(byWall, now - progress.knownSince);
    situation.sinceShare = now - progress.shareSince;
    situation.verdict = progress.judge.verdict();
    situation.verdictReason = progress.judge.reason();
    situation.healthyLogRatio = progress.judge.healthyLogRatio();
    for (const EndpointRecord &record : endpoints) {
        if (record.service != rollout.service || record.state != EndpointState::Ready
            || !record.alive)
            continue;
        add(record.softwareVersion == rollout.version ? situation.target : situation.others,
            record);
    }
    // Routers of a large fleet report to one replica often and to the others less often.
    const Duration silent = std::max<Duration>(RolloutStages::kSilent, routers_.aliveTimeout());
    for (const auto &[name, router] : routers_.routers()) {
        const Duration age = now - router.lastSeen;
        if (age > kAlive)
            continue;
        const bool inTouch = age < silent;
        const bool confirmed = progress.totals.actsBy(name, rollout.revision);
        situation.unconfirmed += confirmed ? 0 : 1;
        if (!inTouch)
            continue;
        ++situation.routers;
        situation.reporting += progress.totals.hasReported(name) ? 1 : 0;
        situation.unconfirmedInTouch += confirmed ? 0 : 1;
        situation.runningElsewhere += progress.totals.runningElsewhere(name);
    }
    return situation;
}

void RolloutController::take(Progress &progress, const RolloutStep &step)
{
    using Kind = RolloutStep::Kind;
    const Rollout &rollout = progress.rollout;
    AdvanceRolloutCommand command;
    command.service = rollout.service;
    command.number = rollout.number;
    command.reason = step.reason;
    command.nowMillis = hooks_.wallMillis();
    if (step.kind == Kind::SetShare) {
        command.sharePermille = step.sharePermille;
    } else {
        command.state
                = step.kind == Kind::Complete ? RolloutState::Completed : RolloutState::Reverted;
        command.sharePermille = step.kind == Kind::Complete ? kFullSharePermille : 0;
    }
    const RolloutSums &sums = progress.totals.sums();
    logEvent(step.kind == Kind::Revert ? LogLevel::Warning : LogLevel::Info, "rollout_step",
             { { "service", rollout.service },
               { "version", rollout.version },
               { "number", fmt::to_string(rollout.number) },
               { "state", std::string(rolloutStateName(command.state)) },
               { "share_permille", fmt::to_string(command.sharePermille) },
               { "reason", step.reason },
               { "after_ms", fmt::to_string(hooks_.wallMillis() - rollout.orderedAtMillis) },
               { "requests", fmt::to_string(sums.requests) },
               { "sent_to_version", fmt::to_string(sums.all.target.sent) },
               { "running_elsewhere", fmt::to_string(sums.runningElsewhere) } });
    metrics_.count("bamboogap_rollout_steps_total",
                   fmt::format("state=\"{}\"", rolloutStateName(command.state)));
    progress.committing = true;
    hooks_.commit(command, [this, number = rollout.number](bool succeeded) {
        if (!succeeded) {
            logEvent(LogLevel::Warning, "rollout_step_not_committed",
                     { { "number", fmt::to_string(number) } });
        }
        if (const auto found = progress_.find(number); found != progress_.end())
            found->second.committing = false;
    });
}

void RolloutController::logVerdict(Progress &progress) const
{
    const RolloutVerdict verdict = progress.judge.verdict();
    if (verdict == progress.loggedVerdict)
        return;
    progress.loggedVerdict = verdict;
    logEvent(LogLevel::Info, "rollout_verdict",
             { { "service", progress.rollout.service },
               { "version", progress.rollout.version },
               { "verdict", std::string(rolloutVerdictName(verdict)) },
               { "reason", progress.judge.reason() } });
}

void RolloutController::report(const Progress &progress) const
{
    const RolloutSides &all = progress.totals.sums().all;
    metrics_.set("bamboogap_rollout_share", labelsOf(progress.rollout),
                 double(progress.rollout.sharePermille) / kFullSharePermille);
    for (const bool onTarget : { true, false }) {
        const RolloutSide &side = onTarget ? all.target : all.others;
        const std::string labels = labelsOf(progress.rollout, onTarget ? "target" : "others");
        metrics_.set("bamboogap_rollout_sent", labels, double(side.sent));
        metrics_.set("bamboogap_rollout_failed", labels, double(side.failed));
    }
}

} // namespace bamboogap
