#include "control/rollouts.h"

#include <algorithm>

namespace bamboogap {

namespace {

using nlohmann::json;

bool isSameOrder(const StartRolloutCommand &command, std::string_view version,
                 uint64_t durationMillis)
{
    return command.version == version && command.durationMillis == durationMillis;
}

// The wall clocks of replicas differ, so that a resent order may carry an earlier time.
bool isRecent(int64_t nowMillis, int64_t sinceMillis)
{
    return nowMillis - sinceMillis <= Rollouts::kResentMillis;
}

tl::unexpected<Error> damaged(std::string_view problem)
{
    return failure(ErrorKind::StorageDamaged,
                   "the saved rollouts cannot be read: " + std::string(problem),
                   "move the data folder away and let this replica join again");
}

} // namespace

std::optional<RolloutState> parseRolloutState(std::string_view name)
{
    for (const RolloutState state :
         { RolloutState::InProgress, RolloutState::Completed, RolloutState::Reverted }) {
        if (name == rolloutStateName(state))
            return state;
    }
    return std::nullopt;
}

bool Rollouts::isResent(const StartRolloutCommand &command, const Entry &entry)
{
    const Rollout &latest = entry.latest;
    if (isSameOrder(command, latest.version, latest.durationMillis)
        && (latest.state == RolloutState::InProgress
            || isRecent(command.nowMillis, std::max(latest.orderedAtMillis, entry.endedAtMillis))))
        return true;
    return std::any_of(entry.earlier.begin(), entry.earlier.end(), [&](const EarlierOrder &order) {
        return isSameOrder(command, order.version, order.durationMillis)
                && isRecent(command.nowMillis, order.orderedAtMillis);
    });
}

Rollouts::StartResult Rollouts::start(const StartRolloutCommand &command)
{
    auto found = entries_.find(command.service);
    if (found != entries_.end()) {
        if (isResent(command, found->second))
            return StartResult::Known;
        if (found->second.latest.state == RolloutState::InProgress)
            return StartResult::OtherInProgress;
    }
    const uint64_t latestNumber = found == entries_.end() ? 0 : found->second.latest.number;
    if (command.base && *command.base != latestNumber)
        return StartResult::Superseded;
    if (found == entries_.end()) {
        if (!makeRoom())
            return StartResult::TooMany;
        found = entries_.try_emplace(command.service).first;
    } else {
        Entry &entry = found->second;
        std::erase_if(entry.earlier, [&](const EarlierOrder &order) {
            return !isRecent(command.nowMillis, order.orderedAtMillis);
        });
        if (entry.earlier.size() == kMaxEarlierOrders)
            entry.earlier.erase(entry.earlier.begin());
        entry.earlier.push_back({ entry.latest.version, entry.latest.durationMillis,
                                  entry.latest.orderedAtMillis });
    }
    Entry &entry = found->second;
    entry.endedAtMillis = 0;
    entry.latest = { ++lastNumber_,
                     ++revision_,
                     command.service,
                     command.version,
                     command.nowMillis,
                     command.durationMillis,
                     RolloutState::InProgress,
                     0,
                     "ordered" };
    return StartResult::Started;
}

// By number rather than by time: the wall clocks of the replicas that took the orders differ.
bool Rollouts::makeRoom()
{
    if (entries_.size() < kMaxServices)
        return true;
    auto oldest = entries_.end();
    for (auto item = entries_.begin(); item != entries_.end(); ++item) {
        if (item->second.latest.state != RolloutState::InProgress
            && (oldest == entries_.end()
                || item->second.latest.number < oldest->second.latest.number))
            oldest = item;
    }
    if (oldest == entries_.end())
        return false;
    entries_.erase(oldest);
    return true;
}

bool Rollouts::advance(const AdvanceRolloutCommand &command)
{
    const auto found = entries_.find(command.service);
    if (found == entries_.end() || found->second.latest.number != command.number
        || found->second.latest.state != RolloutState::InProgress)
        return false;
    Entry &entry = found->second;
    entry.latest.state = command.state;
    entry.latest.sharePermille = std::min(command.sharePermille, kFullSharePermille);
    entry.latest.reason = command.reason;
    entry.latest.revision = ++revision_;
    if (command.state != RolloutState::InProgress) {
        entry.endedAtMillis = command.nowMillis != 0
                ? command.nowMillis
                : entry.latest.orderedAtMillis + static_cast<int64_t>(entry.latest.durationMillis);
    }
    return true;
}

const Rollout *Rollouts::find(std::string_view service) const
{
    const auto found = entries_.find(service);
    return found == entries_.end() ? nullptr : &found->second.latest;
}

std::vector<Rollout> Rollouts::all() const
{
    return changedSince(0);
}

std::vector<Rollout> Rollouts::changedSince(uint64_t revision) const
{
    std::vector<Rollout> changed;
    for (const auto &[service, entry] : entries_) {
        if (entry.latest.revision > revision)
            changed.push_back(entry.latest);
    }
    return changed;
}

json Rollouts::save(const Entry &entry)
{
    const Rollout &rollout = entry.latest;
    json earlier = json::array();
    for (const EarlierOrder &order : entry.earlier)
        earlier.push_back({ order.version, order.durationMillis, order.orderedAtMillis });
    return { { "number", rollout.number },
             { "revision", rollout.revision },
             { "service", rollout.service },
             { "version", rollout.version },
             { "ordered", rollout.orderedAtMillis },
             { "duration", rollout.durationMillis },
             { "state", rolloutStateName(rollout.state) },
             { "share", rollout.sharePermille },
             { "reason", rollout.reason },
             { "ended", entry.endedAtMillis },
             { "earlier", std::move(earlier) } };
}

Result<Rollouts::Entry> Rollouts::loadEntry(const json &saved)
{
    Entry entry;
    entry.latest = { saved.at("number").get<uint64_t>(),
                     saved.at("revision").get<uint64_t>(),
                     saved.at("service").get<std::string>(),
                     saved.at("version").get<std::string>(),
                     saved.at("ordered").get<int64_t>(),
                     saved.at("duration").get<uint64_t>(),
                     RolloutState::InProgress,
                     saved.at("share").get<uint32_t>(),
                     saved.at("reason").get<std::string>() };
    const auto state = parseRolloutState(saved.at("state").get<std::string>());
    if (!state)
        return damaged("unknown state");
    entry.latest.state = *state;
    entry.endedAtMillis = saved.at("ended").get<int64_t>();
    for (const json &order : saved.at("earlier")) {
        entry.earlier.push_back({ order.at(0).get<std::string>(), order.at(1).get<uint64_t>(),
                                  order.at(2).get<int64_t>() });
    }
    return entry;
}

json Rollouts::save() const
{
    json entries = json::array();
    for (const auto &[service, entry] : entries_)
        entries.push_back(save(entry));
    return { { "revision", revision_ },
             { "last_number", lastNumber_ },
             { "services", std::move(entries) } };
}

Result<Rollouts> Rollouts::load(const json &saved)
{
    Rollouts rollouts;
    try {
        rollouts.revision_ = saved.at("revision").get<uint64_t>();
        rollouts.lastNumber_ = saved.at("last_number").get<uint64_t>();
        for (const json &item : saved.at("services")) {
            auto entry = loadEntry(item);
            if (!entry)
                return tl::unexpected(entry.error());
            std::string service = entry->latest.service;
            rollouts.entries_.insert_or_assign(std::move(service), std::move(*entry));
        }
    } catch (const json::exception &problem) {
        return damaged(problem.what());
    }
    return rollouts;
}

} // namespace bamboogap
