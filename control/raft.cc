// Elections, proposals and membership. Log replication and commit are in
// control/replication.cc.
//
// Safety depends on four rules, each implemented in one place:
//  - A vote is stored before it is sent (handleVoteRequest and the driver).
//  - A follower counts as having an entry only once it has replied, which it does after its sync
//    (handleAppendReply).
//  - A leader counts replicas only for entries of its own term when it commits (advanceCommit).
//  - A voter ignores candidates for longer than the leader's lease lasts (handleVoteRequest,
//    hasLeaderLease).

#include "control/raft.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "base/jsontext.h"

namespace bamboogap {

const Replica *Membership::find(ReplicaId id) const
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [id](const Replica &member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}

const Replica *Membership::findByName(std::string_view name) const
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [name](const Replica &member) { return member.name == name; });
    return found == members.end() ? nullptr : &*found;
}

size_t Membership::voterCount() const
{
    return std::count_if(members.begin(), members.end(),
                         [](const Replica &member) { return member.voter; });
}

std::string encodeMembership(const Membership &membership)
{
    auto list = nlohmann::json::array();
    for (const Replica &member : membership.members) {
        list.push_back({ { "id", member.id },
                         { "name", member.name },
                         { "address", member.address },
                         { "voter", member.voter } });
    }
    return jsonText(list);
}

Result<Membership> parseMembership(std::string_view bytes)
{
    const auto list = nlohmann::json::parse(bytes, nullptr, false);
    const auto malformed = [] {
        return failure(ErrorKind::StorageDamaged, "malformed membership record",
                       "remove this replica's data folder and let it join again");
    };
    if (!list.is_array())
        return malformed();
    Membership membership;
    for (const auto &item : list) {
        if (!item.is_object() || !item.contains("id") || !item["id"].is_number_unsigned())
            return malformed();
        membership.members.push_back({ item["id"].get<ReplicaId>(), item.value("name", ""),
                                       item.value("address", ""), item.value("voter", false) });
    }
    return membership;
}

Raft::Raft(ReplicaId id, RaftTiming timing, StoredLog stored, uint64_t seed, Instant now)
    : id_(id)
    , timing_(timing)
    , random_(seed)
    , hardState_(stored.hardState)
    , snapshotIndex_(stored.snapshot.index)
    , snapshotTerm_(stored.snapshot.term)
    , entries_(std::move(stored.entries))
    , snapshot_(std::move(stored.snapshot))
    , commit_(snapshotIndex_)
    , lastLeaderContact_(now)
{
    isBlank_ = hardState_.term == 0 && lastIndex() == 0;
    memberships_[snapshotIndex_] = snapshot_.membership;
    for (const LogEntry &entry : entries_) {
        if (entry.kind == EntryKind::Membership) {
            if (auto membership = parseMembership(entry.data))
                memberships_[entry.index] = *membership;
        }
    }
    commitTo(std::min(stored.commit, lastIndex()));
    resetElectionTimer(now);
}

Result<void> Raft::bootstrap(const Founding &founding, Instant now)
{
    if (lastIndex() != 0) {
        return failure(ErrorKind::Conflict, "this replica already belongs to a control group",
                       "bootstrap only once, on one replica with an empty data folder");
    }
    if (hardState_.term < founding.lastRank)
        setHardState(founding.lastRank, kNoReplica);
    storeEntry({ 1, founding.rank, EntryKind::Membership, encodeMembership(founding.members) });
    campaign(true, false, now);
    return {};
}

void Raft::tick(Instant now)
{
    if (role_ == RaftRole::Leader) {
        if (now - quorumContact(now) > timing_.electionMax) {
            becomeFollower(hardState_.term, kNoReplica, now);
            return;
        }
        // TimeoutNow may arrive at any later time, and voters grant the votes that follow it even
        // while a leader is alive, so this leader must not use its lease again in this term.
        if (transferring_ && now - transferStarted_ > timing_.electionMax) {
            becomeFollower(hardState_.term, kNoReplica, now);
            return;
        }
        if (now >= heartbeatDue_)
            broadcastAppend(now);
        return;
    }
    if (now >= electionDue_ && isVoter())
        campaign(true, false, now);
}

void Raft::receive(const RaftMessage &message, Instant now)
{
    if (message.to != id_)
        return;
    const bool isVoteRequest
            = message.kind == RaftMessageKind::PreVote || message.kind == RaftMessageKind::Vote;
    if (isVoteRequest) {
        handleVoteRequest(message, now);
        return;
    }
    const bool preVoteReply = message.kind == RaftMessageKind::PreVoteReply;
    if (message.term > hardState_.term && !(preVoteReply && !message.reject))
        becomeFollower(message.term, kNoReplica, now);
    if (message.term < hardState_.term) {
        // The reply informs a leader of an older term about the newer one.
        if (message.kind == RaftMessageKind::Append
            || message.kind == RaftMessageKind::InstallSnapshot) {
            RaftMessage reply;
            reply.kind = RaftMessageKind::AppendReply;
            reply.to = message.from;
            reply.reject = true;
            reply.index = lastIndex();
            send(reply);
        }
        return;
    }
    switch (message.kind) {
    case RaftMessageKind::PreVoteReply:
    case RaftMessageKind::VoteReply:
        handleVoteReply(message, now);
        break;
    case RaftMessageKind::Append:
        handleAppend(message, now);
        break;
    case RaftMessageKind::AppendReply:
        handleAppendReply(message, now);
        break;
    case RaftMessageKind::InstallSnapshot:
        handleSnapshot(message, now);
        break;
    case RaftMessageKind::TimeoutNow:
        if (isVoter() && role_ != RaftRole::Leader)
            campaign(false, true, now);
        break;
    case RaftMessageKind::PreVote:
    case RaftMessageKind::Vote:
        break;
    }
}

Result<LogIndex> Raft::propose(std::string data, Instant now)
{
    if (role_ != RaftRole::Leader || transferring_) {
        return failure(ErrorKind::NoLeader, "this replica does not lead the control group",
                       "send the change to the leader, or retry in a second");
    }
    appendEntry(EntryKind::Command, std::move(data));
    const LogIndex index = lastIndex();
    broadcastAppend(now);
    advanceCommit();
    return index;
}

Result<LogIndex> Raft::proposeMembership(const Membership &membership, Instant now)
{
    if (role_ != RaftRole::Leader || transferring_) {
        return failure(ErrorKind::NoLeader, "this replica does not lead the control group",
                       "send the change to the leader, or retry in a second");
    }
    if (memberships_.rbegin()->first > commit_ || commit_ < termStart_) {
        return failure(ErrorKind::Conflict, "another membership change is in progress",
                       "retry in a second");
    }
    appendEntry(EntryKind::Membership, encodeMembership(membership));
    const LogIndex index = lastIndex();
    broadcastAppend(now);
    advanceCommit();
    return index;
}

void Raft::transferLeadership(Instant now)
{
    if (role_ != RaftRole::Leader || transferring_)
        return;
    const Replica *target = nullptr;
    LogIndex best = 0;
    for (const Replica &member : membership().members) {
        if (!member.voter || member.id == id_)
            continue;
        if (now - progress_[member.id].ackedRoundSentAt < timing_.electionMin
            && progress_[member.id].match >= best) {
            best = progress_[member.id].match;
            target = &member;
        }
    }
    if (!target)
        return;
    transferring_ = true;
    transferStarted_ = now;
    RaftMessage message;
    message.kind = RaftMessageKind::TimeoutNow;
    message.to = target->id;
    send(message);
}

RaftOutput Raft::takeOutput()
{
    RaftOutput output;
    std::swap(output, output_);
    output.commit = commit_;
    return output;
}

bool Raft::hasLeaderLease(Instant now) const
{
    return role_ == RaftRole::Leader && !transferring_ && commit_ >= termStart_
            && now < quorumContact(now) + leaseLength();
}

LogIndex Raft::matchIndex(ReplicaId member) const
{
    const auto found = progress_.find(member);
    return found == progress_.end() ? 0 : found->second.match;
}

Instant Raft::lastContact(ReplicaId member) const
{
    const auto found = progress_.find(member);
    return found == progress_.end() ? Instant {} : found->second.ackedRoundSentAt;
}

std::optional<Duration> Raft::roundAge(uint64_t round, Instant now) const
{
    const auto sent = roundSentAt_.find(round);
    return sent == roundSentAt_.end() ? std::nullopt : std::optional(now - sent->second);
}

Term Raft::termAt(LogIndex index) const
{
    if (index == snapshotIndex_)
        return snapshotTerm_;
    if (index < snapshotIndex_ || index > lastIndex())
        return 0;
    return entryAt(index).term;
}

const LogEntry &Raft::entryAt(LogIndex index) const
{
    return entries_[index - snapshotIndex_ - 1];
}

bool Raft::isVoter() const
{
    const Replica *self = membership().find(id_);
    return self && self->voter;
}

bool Raft::hasQuorum(const std::set<ReplicaId> &votes) const
{
    size_t count = 0;
    for (const Replica &member : membership().members)
        count += member.voter && votes.count(member.id);
    return count >= membership().quorum();
}

Instant Raft::quorumContact(Instant now) const
{
    std::vector<Instant> sent;
    for (const Replica &member : membership().members) {
        if (!member.voter)
            continue;
        const auto found = progress_.find(member.id);
        if (member.id == id_)
            sent.push_back(now);
        else
            sent.push_back(found == progress_.end() ? Instant {} : found->second.ackedRoundSentAt);
    }
    if (sent.size() < membership().quorum())
        return {};
    std::sort(sent.begin(), sent.end(), std::greater<>());
    return sent.empty() ? Instant {} : sent[membership().quorum() - 1];
}

Duration Raft::leaseLength() const
{
    return std::chrono::duration_cast<Duration>(timing_.electionMin * (1.0 - timing_.maxDrift));
}

bool Raft::isLogUpToDate(LogIndex index, Term term) const
{
    const Term lastTerm = termAt(lastIndex());
    return term > lastTerm || (term == lastTerm && index >= lastIndex());
}

void Raft::becomeFollower(Term term, ReplicaId leader, Instant now)
{
    if (role_ == RaftRole::Leader) {
        leadershipEnd_ = { transferring_                    ? LeadershipEnd::Reason::Transferred
                                   : term > hardState_.term ? LeadershipEnd::Reason::HigherTerm
                                                            : LeadershipEnd::Reason::QuorumTimedOut,
                           quorumAge(now) };
    }
    if (term > hardState_.term)
        setHardState(term, kNoReplica);
    role_ = RaftRole::Follower;
    leader_ = leader;
    preVoting_ = false;
    transferring_ = false;
    progress_.clear();
    resetElectionTimer(now);
}

// A pre-vote finds out whether an election could be won without changing the term.
void Raft::campaign(bool preVote, bool transfer, Instant now)
{
    resetElectionTimer(now);
    role_ = RaftRole::Candidate;
    leader_ = kNoReplica;
    preVoting_ = preVote;
    votes_ = { id_ };
    if (!preVote)
        setHardState(hardState_.term + 1, id_);
    if (hasQuorum(votes_)) {
        if (preVote)
            campaign(false, false, now);
        else
            becomeLeader(now);
        return;
    }
    for (const Replica &member : membership().members) {
        if (!member.voter || member.id == id_)
            continue;
        RaftMessage request;
        request.kind = preVote ? RaftMessageKind::PreVote : RaftMessageKind::Vote;
        request.to = member.id;
        request.index = lastIndex();
        request.logTerm = termAt(lastIndex());
        request.transfer = transfer;
        send(request);
        output_.messages.back().term = hardState_.term + (preVote ? 1 : 0);
    }
}

void Raft::becomeLeader(Instant now)
{
    role_ = RaftRole::Leader;
    leader_ = id_;
    preVoting_ = false;
    transferring_ = false;
    progress_.clear();
    roundSentAt_.clear();
    for (const Replica &member : membership().members) {
        progress_[member.id].next = lastIndex() + 1;
        progress_[member.id].sentAfter = lastIndex();
        // The votes count as first contact for the quorum check only. The lease starts with the
        // first acknowledged round, because hasLeaderLease() requires the first entry of the term
        // to be committed by such a round.
        progress_[member.id].ackedRoundSentAt = now;
    }
    appendEntry(EntryKind::Noop, {});
    termStart_ = lastIndex();
    broadcastAppend(now);
    advanceCommit();
}

void Raft::resetElectionTimer(Instant now)
{
    std::uniform_int_distribution<Duration::rep> distribution(timing_.electionMin.count(),
                                                              timing_.electionMax.count());
    electionDue_ = now + Duration(distribution(random_));
}

void Raft::setHardState(Term term, ReplicaId vote)
{
    hardState_ = { term, vote };
    output_.hardState = hardState_;
}

void Raft::appendEntry(EntryKind kind, std::string data)
{
    storeEntry({ lastIndex() + 1, hardState_.term, kind, std::move(data) });
}

void Raft::storeEntry(LogEntry entry)
{
    if (entry.kind == EntryKind::Membership) {
        if (auto membership = parseMembership(entry.data))
            memberships_[entry.index] = *membership;
    }
    output_.entries.push_back(entry);
    entries_.push_back(std::move(entry));
}

void Raft::truncateFrom(LogIndex index)
{
    entries_.resize(index - snapshotIndex_ - 1);
    memberships_.erase(memberships_.lower_bound(index), memberships_.end());
    std::erase_if(output_.entries, [index](const LogEntry &entry) { return entry.index >= index; });
}

void Raft::send(RaftMessage message)
{
    message.from = id_;
    message.term = hardState_.term;
    output_.messages.push_back(std::move(message));
}

void Raft::handleVoteRequest(const RaftMessage &message, Instant now)
{
    const bool preVote = message.kind == RaftMessageKind::PreVote;
    const bool leaderIsAlive = role_ == RaftRole::Leader
            ? now - quorumContact(now) < timing_.electionMin
            : !isBlank_ && now - lastLeaderContact_ < timing_.electionMin;
    if (leaderIsAlive && !message.transfer)
        return;
    if (!preVote && message.term > hardState_.term)
        becomeFollower(message.term, kNoReplica, now);
    RaftMessage reply;
    reply.kind = preVote ? RaftMessageKind::PreVoteReply : RaftMessageKind::VoteReply;
    reply.to = message.from;
    const bool mayVote = preVote ? message.term > hardState_.term
                                 : message.term == hardState_.term
                    && (hardState_.vote == kNoReplica || hardState_.vote == message.from);
    reply.reject = !mayVote || !isLogUpToDate(message.index, message.logTerm);
    if (!preVote && !reply.reject) {
        setHardState(hardState_.term, message.from);
        resetElectionTimer(now);
    }
    send(reply);
    // A granted pre-vote carries the term of the request.
    if (preVote && !reply.reject)
        output_.messages.back().term = message.term;
}

void Raft::handleVoteReply(const RaftMessage &message, Instant now)
{
    const bool preVote = message.kind == RaftMessageKind::PreVoteReply;
    if (role_ != RaftRole::Candidate || preVote != preVoting_ || message.reject)
        return;
    if (preVote && message.term != hardState_.term + 1)
        return;
    votes_.insert(message.from);
    if (!hasQuorum(votes_))
        return;
    if (preVote)
        campaign(false, false, now);
    else
        becomeLeader(now);
}

} // namespace bamboogap
