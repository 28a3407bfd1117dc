// Each function computes a single-member change.

#include "control/membership.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace bamboogap {

namespace {

std::optional<Membership> withNewLearner(const Membership &current,
                                         const std::map<ReplicaId, JoinRequest> &requests)
{
    for (const auto &[id, replica] : requests) {
        if (current.find(id))
            continue;
        Membership next = current;
        next.members.push_back({ id, replica.name, replica.address, false });
        return next;
    }
    return std::nullopt;
}

std::optional<Membership> withNewAddress(const Membership &current,
                                         const std::map<ReplicaId, JoinRequest> &requests)
{
    Membership next = current;
    for (Replica &member : next.members) {
        const auto found = requests.find(member.id);
        if (found == requests.end() || found->second.address == member.address)
            continue;
        member.address = found->second.address;
        return next;
    }
    return std::nullopt;
}

} // namespace

void JoinRequests::addOrRefresh(const JoinRequest &replica, Instant now)
{
    if (requests_.count(replica.id) == 0)
        removeByName(replica.name);
    requests_[replica.id] = replica;
    lastRequestAt_[replica.id] = now;
}

void JoinRequests::removeByName(std::string_view name)
{
    std::erase_if(requests_, [&](const auto &item) { return item.second.name == name; });
    std::erase_if(lastRequestAt_,
                  [&](const auto &item) { return requests_.count(item.first) == 0; });
}

void JoinRequests::expire(Instant now)
{
    std::erase_if(lastRequestAt_,
                  [now](const auto &item) { return now - item.second > kRetention; });
    std::erase_if(requests_,
                  [&](const auto &item) { return lastRequestAt_.count(item.first) == 0; });
}

std::optional<Membership> nextMembership(const Membership &current,
                                         const std::map<ReplicaId, JoinRequest> &requests,
                                         const std::function<LogIndex(ReplicaId)> &matchIndex,
                                         LogIndex committed, size_t maxVoters)
{
    if (auto next = withNewLearner(current, requests))
        return next;
    if (auto next = withNewAddress(current, requests))
        return next;
    for (const Replica &member : current.members) {
        if (member.voter || requests.count(member.id) == 0 || matchIndex(member.id) < committed)
            continue;
        Membership next = current;
        const auto replaced
                = std::find_if(next.members.begin(), next.members.end(), [&](const Replica &other) {
                      return other.name == member.name && other.id != member.id;
                  });
        if (replaced != next.members.end()) {
            next.members.erase(replaced);
            return next;
        }
        if (current.voterCount() >= maxVoters)
            continue; // a lost voter has to be removed first
        const auto self = std::find_if(next.members.begin(), next.members.end(),
                                       [&](const Replica &other) { return other.id == member.id; });
        self->voter = true;
        return next;
    }
    return std::nullopt;
}

std::optional<Membership> withoutLostVoter(const Membership &current, size_t targetVoters,
                                           const std::function<bool(ReplicaId)> &isLost,
                                           const std::function<LogIndex(ReplicaId)> &matchIndex,
                                           LogIndex committed)
{
    const bool replacementReady = std::any_of(
            current.members.begin(), current.members.end(), [&](const Replica &member) {
                return !member.voter && !isLost(member.id) && matchIndex(member.id) >= committed;
            });
    if (current.voterCount() < targetVoters || !replacementReady)
        return std::nullopt;
    for (const Replica &member : current.members) {
        if (!member.voter || !isLost(member.id))
            continue;
        Membership next = current;
        std::erase_if(next.members, [&](const Replica &other) { return other.id == member.id; });
        return next;
    }
    return std::nullopt;
}

void MembershipManager::addRequest(const JoinRequest &replica, Instant now)
{
    requests_.addOrRefresh(replica, now);
}

std::optional<MembershipChange> MembershipManager::nextChange(const Raft &raft, Instant now)
{
    if (term_ != raft.term()) {
        term_ = raft.term();
        leadsSince_ = now;
        committedBefore_ = raft.commitIndex();
    }
    requests_.expire(now);
    const LogIndex committed = std::exchange(committedBefore_, raft.commitIndex());
    const auto match = [&raft](ReplicaId id) { return raft.matchIndex(id); };
    if (auto next = nextMembership(raft.membership(), requests_.current(), match, committed,
                                   policy_.maxVoters))
        return MembershipChange { std::move(*next), std::nullopt };
    if (!policy_.replacesLostVoters || now - leadsSince_ < policy_.lostAfter)
        return std::nullopt;
    const auto isLost = [&](ReplicaId id) {
        return id != raft.id() && now - raft.lastContact(id) > policy_.lostAfter;
    };
    auto next = withoutLostVoter(raft.membership(), policy_.maxVoters, isLost, match, committed);
    if (!next)
        return std::nullopt;
    MembershipChange change { std::move(*next), std::nullopt };
    for (const Replica &member : raft.membership().members) {
        if (!change.membership.find(member.id))
            change.lost = member;
    }
    return change;
}

Result<Membership> membershipWithout(const Membership &current, std::string_view name,
                                     ReplicaId leader)
{
    const Replica *member = current.findByName(name);
    if (!member) {
        return failure(ErrorKind::NotFound, fmt::format("there is no replica named '{}'", name),
                       "use a replica name from the status output");
    }
    if (member->id == leader) {
        return failure(ErrorKind::Conflict, fmt::format("replica '{}' is the leader", name),
                       "stop its node first, so that another replica becomes leader");
    }
    if (member->voter && current.voterCount() == 1) {
        return failure(ErrorKind::Conflict, "the last voter cannot be removed",
                       "add another replica first");
    }
    Membership next = current;
    std::erase_if(next.members, [&](const Replica &other) { return other.id == member->id; });
    return next;
}

} // namespace bamboogap
