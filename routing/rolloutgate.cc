#include "routing/rolloutgate.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bamboogap {

namespace {

using Rule = AllowedVersions::Rule;

// A few prompts are often most of the traffic, so the prompts that the share selects may have
// little of it, and the target would get too few requests to be judged by. A router that has sent
// the target less than this part of what it may selects more prompts.
constexpr double kUsedAllowance = 0.9;
// Growth per request of a prompt that was not selected: a router of three requests per second
// reaches half of all prompts within ten seconds, while one lull moves few prompts.
constexpr double kReachGrowth = 1.1;

double shareOf(const Rollout &rollout)
{
    return double(std::min(rollout.sharePermille, kFullSharePermille)) / kFullSharePermille;
}

} // namespace

bool RolloutGate::isFull(const Rollout &rollout)
{
    return rollout.sharePermille >= kFullSharePermille;
}

// Uniform in [0, 1), independent between rollouts and the same at all routers.
double RolloutGate::positionOf(const Entry &entry, uint64_t affinity)
{
    return std::ldexp(double(combineHashes(affinity, entry.rollout.number) >> 11U), -53);
}

RolloutGate::Entry *RolloutGate::entryOf(std::string_view service)
{
    const auto found = entries_.find(service);
    return found == entries_.end() ? nullptr : &found->second;
}

const RolloutGate::Entry *RolloutGate::entryOf(std::string_view service) const
{
    const auto found = entries_.find(service);
    return found == entries_.end() ? nullptr : &found->second;
}

void RolloutGate::confirm(Instant sentAt)
{
    if (!confirmedAt_ || sentAt > *confirmedAt_)
        confirmedAt_ = sentAt;
}

std::vector<Rollout> RolloutGate::update(uint64_t revision, std::span<const Rollout> rollouts,
                                         const std::function<double()> &draw, Instant now)
{
    std::vector<Rollout> changed;
    if (revision <= revision_)
        return changed;
    const bool sure = isSure(now);
    bool complete = true;
    for (const Rollout &rollout : rollouts) {
        Entry *entry = entryOf(rollout.service);
        if (entry && rollout.revision <= entry->rollout.revision)
            continue;
        const bool isNew = !entry || entry->rollout.number != rollout.number;
        const uint32_t shareBefore = isNew ? 0 : entry->rollout.sharePermille;
        const bool isRaised
                = rollout.state == RolloutState::InProgress && rollout.sharePermille > shareBefore;
        Rollout taken = rollout;
        if (isRaised && !sure) {
            complete = false;
            if (!isNew)
                continue;
            // A new rollout keeps requests off the target at once.
            taken.sharePermille = 0;
            taken.revision = 0;
        }
        if (isNew) {
            entry = &entries_[rollout.service];
            *entry = {};
            entry->allowance = draw();
        }
        entry->rollout = taken;
        // Prompts that have moved return only when the share falls.
        const bool isLowered = taken.sharePermille < shareBefore;
        entry->reach = isLowered ? shareOf(taken) : std::max(entry->reach, shareOf(taken));
        changed.push_back(std::move(taken));
    }
    if (!complete)
        return changed;
    std::erase_if(entries_, [rollouts](const auto &item) {
        return std::none_of(rollouts.begin(), rollouts.end(),
                            [&](const Rollout &rollout) { return rollout.service == item.first; });
    });
    revision_ = revision;
    return changed;
}

double RolloutGate::shareInForce(const Entry &entry, Instant now) const
{
    return entry.rollout.state == RolloutState::InProgress && isSure(now) ? shareOf(entry.rollout)
                                                                          : 0;
}

RolloutGate::Decision RolloutGate::decide(const Request &request, Instant now) const
{
    const Entry *entry = entryOf(request.service);
    if (!entry)
        return {};
    const AllowedVersions target { Rule::Only, entry->rollout.version };
    const AllowedVersions others { Rule::Except, entry->rollout.version };
    if (entry->rollout.state == RolloutState::Reverted)
        return { others, std::nullopt };
    // At the full share the other versions' endpoints may be stopped at any moment without
    // draining, and the leader relies on routers that have confirmed this share. So a router uses
    // the target alone, also when it has lost touch or the target has no endpoint for the request:
    // a version that comes to be reverted after all gets a few requests more, while a request to
    // an endpoint that is stopped is broken off. Refusing all would end the service whenever the
    // control group has no leader.
    if (entry->rollout.state == RolloutState::Completed || isFull(entry->rollout))
        return { target, std::nullopt };
    const double share = shareInForce(*entry, now);
    if (request.sentBefore || share <= 0)
        return { others, std::nullopt };
    const bool mayExceed = double(entry->sentToTarget) + 1 > entry->allowance + share;
    const bool isSelected
            = request.affinity == 0 || positionOf(*entry, request.affinity) < entry->reach;
    if (mayExceed || !isSelected)
        return { others, std::nullopt };
    return { target, others };
}

RolloutGate::Attempt RolloutGate::onSent(const Request &request, std::string_view route,
                                         std::string_view version, Instant now)
{
    Entry *entry = entryOf(request.service);
    if (!entry || entry->rollout.state != RolloutState::InProgress)
        return {};
    Attempt attempt;
    attempt.rollout = entry->rollout.number;
    attempt.onTarget = version == entry->rollout.version;
    attempt.route = std::max<uint32_t>(1, static_cast<uint32_t>(hashBytes(route)));
    if (!request.sentBefore) {
        ++entry->requests;
        if (!isFull(entry->rollout))
            entry->allowance += shareInForce(*entry, now);
    }
    if (attempt.onTarget && !isFull(entry->rollout))
        ++entry->sentToTarget;
    const bool usesLittle = double(entry->sentToTarget) + 1 <= kUsedAllowance * entry->allowance;
    if (!attempt.onTarget && !request.sentBefore && request.affinity != 0 && usesLittle
        && positionOf(*entry, request.affinity) >= entry->reach)
        entry->reach = std::min(1.0, entry->reach * kReachGrowth);
    // Routes that are counted apart remain so: numbers only grow, as the reports' readers expect.
    const bool isKnown = entry->counts.count({ attempt.route, false }) > 0;
    if (!isKnown && attempt.route != 0) {
        const size_t routes = entry->counts.size() / 2;
        if (routes >= kMaxRoutes)
            attempt.route = 0;
        for (const bool onTarget : { false, true }) {
            RolloutCounts &counts = entry->counts[{ attempt.route, onTarget }];
            counts.route = attempt.route;
            counts.onTarget = onTarget;
        }
    }
    ++entry->counts[{ attempt.route, attempt.onTarget }].sent;
    return attempt;
}

RolloutCounts *RolloutGate::countsOf(const Attempt &attempt)
{
    if (attempt.rollout == 0)
        return nullptr;
    for (auto &[service, entry] : entries_) {
        if (entry.rollout.number != attempt.rollout)
            continue;
        const auto found = entry.counts.find({ attempt.route, attempt.onTarget });
        return found == entry.counts.end() ? nullptr : &found->second;
    }
    return nullptr;
}

void RolloutGate::onFirstByte(const Attempt &attempt, Duration latency)
{
    const double millis = std::chrono::duration<double, std::milli>(latency).count();
    if (RolloutCounts *counts = countsOf(attempt))
        ++counts->latency.at(rolloutLatencyBucket(millis));
}

void RolloutGate::onFailed(const Attempt &attempt)
{
    if (RolloutCounts *counts = countsOf(attempt))
        ++counts->failed;
}

bool RolloutGate::anyInProgress() const
{
    return std::any_of(entries_.begin(), entries_.end(), [](const auto &item) {
        return item.second.rollout.state == RolloutState::InProgress;
    });
}

const Rollout *RolloutGate::find(std::string_view service) const
{
    const Entry *entry = entryOf(service);
    return entry ? &entry->rollout : nullptr;
}

bool RolloutGate::usesTargetOnly(std::string_view service) const
{
    const Entry *entry = entryOf(service);
    return entry && entry->rollout.state != RolloutState::Reverted
            && (entry->rollout.state == RolloutState::Completed || isFull(entry->rollout));
}

std::vector<RolloutReport> RolloutGate::reports() const
{
    std::vector<RolloutReport> reports;
    for (const auto &[service, entry] : entries_) {
        if (entry.rollout.state != RolloutState::InProgress)
            continue;
        RolloutReport report;
        report.number = entry.rollout.number;
        report.revision = entry.rollout.revision;
        report.requests = entry.requests;
        for (const auto &[key, counts] : entry.counts) {
            if (counts.sent > 0)
                report.counts.push_back(counts);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace bamboogap
