// Replication of entries and snapshots to followers, and commit. The rest of Raft is in
// control/raft.cc.

#include <algorithm>

#include "control/raft.h"

namespace bamboogap {

namespace {

constexpr size_t kMaxRoundsKept = 64;
constexpr size_t kLargeAppendBytes = 4096; // about 5 ms on a 6 Mbit/s link
constexpr Duration kSnapshotResendAfter = std::chrono::seconds(2);

} // namespace

void Raft::broadcastAppend(Instant now)
{
    heartbeatDue_ = now + timing_.heartbeat;
    beginRound(now);
    // Heartbeats are sent ahead of large entries, so that the lease is renewed without waiting for
    // the entries to pass the link.
    for (const Replica &member : membership().members) {
        const Progress &progress = progress_[member.id];
        const LogIndex end = progress.next + entriesToSend(progress, now);
        if (member.id != id_ && entryBytes(progress.next, end) > kLargeAppendBytes)
            sendHeartbeat(member.id);
    }
    for (const Replica &member : membership().members) {
        if (member.id != id_)
            sendAppend(member.id, now);
    }
}

void Raft::beginRound(Instant now)
{
    ++round_;
    roundSentAt_[round_] = now;
    while (roundSentAt_.size() > kMaxRoundsKept)
        roundSentAt_.erase(roundSentAt_.begin());
}

size_t Raft::entryBytes(LogIndex first, LogIndex end) const
{
    size_t bytes = 0;
    for (LogIndex index = std::max(first, snapshotIndex_ + 1); index < end; ++index)
        bytes += entryAt(index).data.size();
    return bytes;
}

bool Raft::isResponsive(const Progress &progress, Instant now) const
{
    return now - progress.ackedRoundSentAt < timing_.electionMin;
}

// Data sent to a follower that stopped answering is no longer counted as in flight.
size_t Raft::bytesInFlight(Instant now) const
{
    size_t bytes = 0;
    for (const auto &[id, progress] : progress_) {
        if (isResponsive(progress, now))
            bytes += entryBytes(std::max(progress.match, progress.sentAfter) + 1, progress.next);
    }
    return bytes;
}

size_t Raft::entriesToSend(const Progress &progress, Instant now) const
{
    if (progress.next <= snapshotIndex_ || !isResponsive(progress, now))
        return 0;
    size_t bytes = bytesInFlight(now);
    size_t count = 0;
    for (LogIndex index = progress.next; index <= lastIndex(); ++index, ++count) {
        const bool nothingInFlight = bytes == 0;
        bytes += entryAt(index).data.size();
        if (bytes > inFlightLimit_ && !nothingInFlight)
            break;
    }
    return count;
}

// Sends an empty append after index 0, which every log accepts.
void Raft::sendHeartbeat(ReplicaId to)
{
    RaftMessage message;
    message.to = to;
    message.round = round_;
    send(message);
}

void Raft::sendAppend(ReplicaId to, Instant now)
{
    Progress &progress = progress_[to];
    RaftMessage message;
    message.to = to;
    message.round = round_;
    message.commit = commit_;
    if (progress.next <= snapshotIndex_) {
        if (now - progress.snapshotSentAt < kSnapshotResendAfter) {
            sendHeartbeat(to);
            return;
        }
        progress.snapshotSentAt = now;
        progress.catchingUp = true;
        message.kind = RaftMessageKind::InstallSnapshot;
        message.snapshot = snapshot_;
        send(message);
        return;
    }
    message.kind = RaftMessageKind::Append;
    message.index = progress.next - 1;
    message.logTerm = termAt(message.index);
    for (size_t count = entriesToSend(progress, now); count > 0; --count)
        message.entries.push_back(entryAt(progress.next++));
    send(message);
}

void Raft::advanceCommit()
{
    std::vector<LogIndex> matchIndexes;
    for (const Replica &member : membership().members) {
        if (member.voter)
            matchIndexes.push_back(member.id == id_ ? lastIndex() : progress_[member.id].match);
    }
    if (matchIndexes.empty())
        return;
    std::sort(matchIndexes.begin(), matchIndexes.end(), std::greater<>());
    const LogIndex candidate = matchIndexes[membership().quorum() - 1];
    if (candidate > commit_ && termAt(candidate) == hardState_.term)
        commitTo(candidate);
}

void Raft::commitTo(LogIndex index)
{
    while (commit_ < index)
        output_.committed.push_back(entryAt(++commit_));
}

void Raft::handleAppend(const RaftMessage &message, Instant now)
{
    if (role_ == RaftRole::Leader)
        return;
    becomeFollower(message.term, message.from, now);
    lastLeaderContact_ = now;
    isBlank_ = false;
    RaftMessage reply;
    reply.kind = RaftMessageKind::AppendReply;
    reply.to = message.from;
    reply.round = message.round;
    const bool previousIsCommitted = message.index < commit_;
    if (!previousIsCommitted
        && (message.index > lastIndex() || termAt(message.index) != message.logTerm)) {
        reply.reject = true;
        // Skips all entries of the conflicting term in one step.
        LogIndex resumeIndex = std::min(lastIndex(), message.index);
        const Term conflictingTerm = termAt(resumeIndex);
        while (resumeIndex > commit_ && termAt(resumeIndex) == conflictingTerm
               && conflictingTerm != message.logTerm)
            --resumeIndex;
        reply.index = resumeIndex;
        send(reply);
        return;
    }
    LogIndex matched = message.index;
    for (const LogEntry &entry : message.entries) {
        matched = entry.index;
        if (entry.index <= commit_ || termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= lastIndex())
            truncateFrom(entry.index);
        storeEntry(entry);
    }
    commitTo(std::min(message.commit, matched));
    reply.index = std::max(matched, commit_);
    send(reply);
}

// Sends entries that were held back by the in-flight limit.
void Raft::sendPendingEntries(Instant now)
{
    for (const Replica &member : membership().members) {
        if (member.id != id_ && entriesToSend(progress_[member.id], now) > 0)
            sendAppend(member.id, now);
    }
}

void Raft::handleAppendReply(const RaftMessage &message, Instant now)
{
    if (role_ != RaftRole::Leader)
        return;
    Progress &progress = progress_[message.from];
    if (const auto sent = roundSentAt_.find(message.round); sent != roundSentAt_.end())
        progress.ackedRoundSentAt = std::max(progress.ackedRoundSentAt, sent->second);
    if (message.reject) {
        // Appends sent before the last handled rejection are rejected for the same gap.
        if (message.round <= progress.handledRejectionRound)
            return;
        progress.handledRejectionRound = round_;
        beginRound(now);
        progress.next = std::max(progress.match, message.index) + 1;
        progress.sentAfter = progress.next - 1;
        sendAppend(message.from, now);
        return;
    }
    if (message.index > progress.match)
        progress.match = message.index;
    if (progress.match >= snapshotIndex_)
        progress.snapshotSentAt = {};
    if (progress.match >= commit_)
        progress.catchingUp = false;
    progress.next = std::max(progress.next, progress.match + 1);
    const LogIndex previousCommit = commit_;
    advanceCommit();
    if (commit_ > previousCommit)
        broadcastAppend(now);
    else
        sendPendingEntries(now);
}

void Raft::handleSnapshot(const RaftMessage &message, Instant now)
{
    if (role_ == RaftRole::Leader || !message.snapshot)
        return;
    becomeFollower(message.term, message.from, now);
    lastLeaderContact_ = now;
    isBlank_ = false;
    const Snapshot &snapshot = *message.snapshot;
    RaftMessage reply;
    reply.kind = RaftMessageKind::AppendReply;
    reply.to = message.from;
    reply.round = message.round;
    if (snapshot.index > commit_) {
        // Entries that follow the snapshot and match it may have been acknowledged, so they are
        // kept.
        const bool matchesSnapshot = termAt(snapshot.index) == snapshot.term;
        if (matchesSnapshot)
            entries_.erase(entries_.begin(), entries_.begin() + (snapshot.index - snapshotIndex_));
        else
            entries_.clear();
        std::erase_if(memberships_, [&](const auto &item) {
            return !matchesSnapshot || item.first <= snapshot.index;
        });
        snapshot_ = snapshot;
        snapshotIndex_ = snapshot.index;
        snapshotTerm_ = snapshot.term;
        commit_ = snapshot.index;
        memberships_[snapshotIndex_] = snapshot.membership;
        output_.installedSnapshot = snapshot;
        output_.entries = entries_;
        output_.committed.clear();
    }
    reply.index = commit_;
    send(reply);
}

bool Raft::hasMemberCatchingUp() const
{
    if (role_ != RaftRole::Leader)
        return false;
    return std::any_of(membership().members.begin(), membership().members.end(),
                       [this](const Replica &member) {
                           const auto progress = progress_.find(member.id);
                           return progress != progress_.end() && progress->second.catchingUp;
                       });
}

Snapshot Raft::compact(LogIndex index, std::string snapshotData)
{
    snapshot_.term = termAt(index);
    snapshot_.index = index;
    snapshot_.membership = std::prev(memberships_.upper_bound(index))->second;
    snapshot_.data = std::move(snapshotData);
    entries_.erase(entries_.begin(), entries_.begin() + (index - snapshotIndex_));
    snapshotIndex_ = index;
    snapshotTerm_ = snapshot_.term;
    const Membership kept = snapshot_.membership;
    memberships_.erase(memberships_.begin(), memberships_.upper_bound(index));
    memberships_[index] = kept;
    return snapshot_;
}

} // namespace bamboogap
