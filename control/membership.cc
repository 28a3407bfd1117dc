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

Membership membershipWithout(const Membership &current, ReplicaId id)
{
    Membership next = current;
    std::erase_if(next.members, [id](const Replica &member) { return member.id == id; });
    return next;
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
                                           const std::function<Duration(ReplicaId)> &silence,
                                           Duration lostAfter,
                                           const std::function<LogIndex(ReplicaId)> &matchIndex,
                                           LogIndex committed)
{
    const bool replacementReady = std::any_of(
            current.members.begin(), current.members.end(), [&](const Replica &member) {
                return !member.voter && silence(member.id) <= lostAfter
                        && matchIndex(member.id) >= committed;
            });
    if (current.voterCount() < targetVoters || !replacementReady)
        return std::nullopt;
    const Replica *lost = nullptr;
    for (const Replica &member : current.members) {
        if (member.voter && silence(member.id) > lostAfter
            && (!lost || silence(member.id) > silence(lost->id)))
            lost = &member;
    }
    return lost ? std::optional(membershipWithout(current, lost->id)) : std::nullopt;
}

std::optional<Membership> withoutLostLearner(const Membership &current,
                                             const std::map<ReplicaId, JoinRequest> &requests,
                                             const std::function<Duration(ReplicaId)> &silence,
                                             Duration lostAfter)
{
    for (const Replica &member : current.members) {
        if (!member.voter && requests.count(member.id) == 0 && silence(member.id) > lostAfter)
            return membershipWithout(current, member.id);
    }
    return std::nullopt;
}

Duration lostAfter(const RaftTiming &timing)
{
    return 2 * timing.electionMax;
}

MembershipPolicy selfManagedPolicy(size_t voters, const RaftTiming &timing)
{
    MembershipPolicy policy;
    policy.maxVoters = voters;
    policy.lostAfter = lostAfter(timing);
    return policy;
}

void MembershipManager::addRequest(const JoinRequest &replica, Instant now)
{
    requests_.addOrRefresh(replica, now);
}

std::optional<MembershipChange> MembershipManager::nextChange(const Raft &raft, Instant now)
{
    if (term_ != raft.term()) {
        term_ = raft.term();
        committedBefore_ = raft.commitIndex();
    }
    requests_.expire(now);
    const LogIndex committed = std::exchange(committedBefore_, raft.commitIndex());
    const Membership &current = raft.membership();
    const auto match = [&raft](ReplicaId id) { return raft.matchIndex(id); };
    if (auto next
        = nextMembership(current, requests_.current(), match, committed, policy_.maxVoters))
        return MembershipChange { std::move(*next), std::nullopt };
    if (!policy_.lostAfter)
        return std::nullopt;
    const auto silence = [&](ReplicaId id) {
        return id == raft.id() ? Duration {} : now - raft.lastContact(id);
    };
    auto next = withoutLostVoter(current, policy_.maxVoters, silence, *policy_.lostAfter, match,
                                 committed);
    if (!next)
        next = withoutLostLearner(current, requests_.current(), silence, *policy_.lostAfter);
    if (!next)
        return std::nullopt;
    MembershipChange change { std::move(*next), std::nullopt };
    for (const Replica &member : current.members) {
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
    return membershipWithout(current, member->id);
}

} // namespace bamboogap
