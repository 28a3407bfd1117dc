// A replicated log that implements the Raft consensus algorithm as a deterministic state
// machine.
//
// The state machine takes messages, proposals and the current time as input and accumulates a
// RaftOutput; it has no socket, file, clock or thread. The driver processes each output in this
// order: store and sync the durable state, send the messages, apply the committed entries. If
// storing fails, the driver stops the replica, because nothing may be acknowledged before it is
// synced.
//
// Extensions to basic Raft:
//  - Pre-vote: a replica that was partitioned cannot raise the term of a group that has a live
//    leader.
//  - Leader lease: a voter ignores vote requests for the minimum election timeout after its last
//    contact with a leader, and for the same time after its own start, because it may have had
//    contact with a leader before it restarted, unless its disk is new. A leader whose last round
//    acknowledged by a quorum was sent less than that timeout ago (reduced by the clock drift
//    margin) is therefore the only leader.
//  - Check quorum: a leader steps down when no quorum has answered for the maximum election
//    timeout.
//  - Membership changes add, remove or promote one member at a time, and only after the leader
//    has committed an entry of its own term. New members join as non-voting learners and vote
//    once they have caught up.
//
// A replica is addressed by the id stored on its disk. A message for another id is dropped, so a
// replica that lost its disk cannot vote under its previous identity.

#ifndef BAMBOOGAP_CONTROL_RAFT_H
#define BAMBOOGAP_CONTROL_RAFT_H

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"

namespace bamboogap {

using ReplicaId = uint64_t;
using Term = uint64_t;
using LogIndex = uint64_t;

inline constexpr ReplicaId kNoReplica = 0;

enum class EntryKind : uint8_t { Noop, Command, Membership };

struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Noop;
    std::string data;

    bool operator==(const LogEntry &) const = default;
};

struct Replica
{
    ReplicaId id = kNoReplica;
    std::string name; // of the router that hosts the replica
    std::string address;
    bool voter = false;

    bool operator==(const Replica &) const = default;
};

struct Membership
{
    std::vector<Replica> members;

    const Replica *find(ReplicaId id) const;
    const Replica *findByName(std::string_view name) const;
    size_t voterCount() const;
    size_t quorum() const { return voterCount() / 2 + 1; }

    bool operator==(const Membership &) const = default;
};

// The serialized form in log entries and snapshots. parseMembership() returns StorageDamaged if
// the bytes are malformed.
std::string encodeMembership(const Membership &membership);
Result<Membership> parseMembership(std::string_view bytes);

struct HardState
{
    Term term = 0;
    ReplicaId vote = kNoReplica;

    bool operator==(const HardState &) const = default;
};

struct Snapshot
{
    LogIndex index = 0;
    Term term = 0;
    Membership membership;
    std::string data;
};

// The durable state that a replica starts from.
struct StoredLog
{
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> entries; // entries that follow the snapshot, in order
    LogIndex commit = 0; // the commit index known at the last write
};

enum class RaftMessageKind : uint8_t {
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    InstallSnapshot,
    TimeoutNow,
};

struct RaftMessage
{
    RaftMessageKind kind = RaftMessageKind::Append;
    ReplicaId from = kNoReplica;
    ReplicaId to = kNoReplica;
    Term term = 0;
    // Vote requests: last log index; Append: index before the first entry; AppendReply: highest
    // matching index or, if rejected, the index after which to continue.
    LogIndex index = 0;
    Term logTerm = 0; // of the entry at `index`
    LogIndex commit = 0;
    bool reject = false;
    bool transfer = false; // vote request caused by a leadership transfer
    uint64_t round = 0; // heartbeat round, echoed in the reply
    std::vector<LogEntry> entries;
    std::optional<Snapshot> snapshot;
};

struct RaftOutput
{
    // Durable state, to be stored and synced before the messages are sent.
    std::optional<HardState> hardState;
    // Replaces the whole log; `entries` then holds every entry after the snapshot.
    std::optional<Snapshot> installedSnapshot;
    // To be appended; stored entries with the same or a higher index than the first are removed.
    std::vector<LogEntry> entries;
    // Stored along with the durable state, but not worth a write of its own. It lets a restarted
    // replica apply committed entries without waiting for a leader.
    LogIndex commit = 0;

    std::vector<RaftMessage> messages;
    std::vector<LogEntry> committed;

    bool hasDurableState() const { return hardState || installedSnapshot || !entries.empty(); }
};

struct RaftTiming
{
    Duration heartbeat = std::chrono::milliseconds(100);
    Duration electionMin = std::chrono::milliseconds(600);
    Duration electionMax = std::chrono::milliseconds(1200);
    // Upper bound of the relative difference between the clock rates of two replicas.
    double maxDrift = 0.02;
};

enum class RaftRole { Follower, Candidate, Leader };

// How a group begins. Replicas that found a group at the same time have different ranks from 1 to
// lastRank. The rank is the term of the first entry, so the logs of two founders never match, and
// it is below the term of every election, so a log with a committed entry is newer than a first
// entry alone.
struct Founding
{
    Membership members;
    Term rank = 1;
    Term lastRank = 1;
};

// Why a replica's last term as leader ended.
struct LeadershipEnd
{
    enum class Reason { QuorumTimedOut, HigherTerm, Transferred };
    Reason reason = Reason::QuorumTimedOut;
    // At the end of the term: time since the newest round acknowledged by a quorum was sent.
    Duration quorumAge {};
};

class Raft
{
public:
    // `seed` initializes the generator of the randomized election timeouts.
    Raft(ReplicaId id, RaftTiming timing, StoredLog stored, uint64_t seed, Instant now);

    // Stores the first membership of a new group and stands for election in it. Conflict unless
    // the log is empty.
    Result<void> bootstrap(const Founding &founding, Instant now);

    // Sends due heartbeats, starts a due election or steps down. To be called at regular intervals.
    void tick(Instant now);
    // Handles a message from another replica.
    void receive(const RaftMessage &message, Instant now);

    // Appends a command and returns its index. The entry is committed once it appears in
    // RaftOutput::committed with the same term; another entry at that index means that it was
    // dropped. NoLeader if this replica does not lead or is transferring leadership.
    Result<LogIndex> propose(std::string data, Instant now);

    // Proposes a membership that differs from the current one by one member. NoLeader as for
    // propose(); Conflict while an earlier change or the first entry of the leader's term is not
    // committed.
    Result<LogIndex> proposeMembership(const Membership &membership, Instant now);

    // Transfers leadership to the voter with the highest match index among those that answered
    // within the minimum election timeout. The leader gives up its lease immediately and for the
    // rest of its term. Does nothing if there is no such voter.
    void transferLeadership(Instant now);

    // Limits the unacknowledged entry data in flight to all responsive followers together, in
    // bytes; a single entry is sent even if it exceeds the limit. On a slow link, heartbeats queue
    // behind this data.
    static constexpr size_t kDefaultInFlightBytes = 64 << 10;
    void setInFlightLimit(size_t bytes) { inFlightLimit_ = bytes; }

    // Drops the entries up to and including `index`, whose effect snapshotData contains, and
    // returns the snapshot to store. `index` must be committed.
    Snapshot compact(LogIndex index, std::string snapshotData);

    // Returns the output accumulated since the last call.
    RaftOutput takeOutput();

    // True if this replica leads, has committed an entry of its term and its lease has not
    // expired. Only then may it answer reads or grant leases to routers.
    bool hasLeaderLease(Instant now) const;

    ReplicaId id() const { return id_; }
    RaftRole role() const { return role_; }
    Term term() const { return hardState_.term; }
    ReplicaId leader() const { return leader_; }
    LogIndex commitIndex() const { return commit_; }
    LogIndex lastIndex() const { return snapshotIndex_ + entries_.size(); }
    LogIndex snapshotIndex() const { return snapshotIndex_; }
    size_t snapshotBytes() const { return snapshot_.data.size(); }
    const Membership &membership() const { return memberships_.rbegin()->second; }
    // False while a membership change is not committed. The replacement of a replica is complete
    // only once its last change is committed.
    bool membershipCommitted() const { return memberships_.rbegin()->first <= commit_; }
    // Highest index known to be stored at a member; 0 if this replica does not lead.
    LogIndex matchIndex(ReplicaId member) const;
    // Whether a member that was sent a snapshot still needs entries that follow it; false if this
    // replica does not lead.
    bool hasMemberCatchingUp() const;
    // Send time of the newest round that a member has acknowledged; the clock's epoch if this
    // replica does not lead.
    Instant lastContact(ReplicaId member) const;
    // Time since the newest round acknowledged by a quorum was sent; meaningful only while leading.
    Duration quorumAge(Instant now) const { return now - quorumContact(now); }
    // Time since a heartbeat round was sent; nullopt if the round is no longer tracked.
    std::optional<Duration> roundAge(uint64_t round, Instant now) const;
    const LeadershipEnd &lastLeadershipEnd() const { return leadershipEnd_; }
    // When this replica last received a message from a leader; its start time if it never did.
    Instant lastLeaderContact() const { return lastLeaderContact_; }
    size_t entryCount() const { return entries_.size(); }
    // The entries that follow the snapshot, in order.
    const std::vector<LogEntry> &entries() const { return entries_; }

private:
    struct Progress
    {
        LogIndex match = 0;
        LogIndex next = 1;
        // Entries with sentAfter < index < next were sent since this replica became leader or
        // last moved `next` back.
        LogIndex sentAfter = 0;
        // The newest round when a rejection was last handled. Rejections of this and earlier rounds
        // are ignored, because they report the same gap.
        uint64_t handledRejectionRound = 0;
        Instant ackedRoundSentAt {}; // send time of the newest acknowledged round
        Instant snapshotSentAt {}; // of the last unacknowledged snapshot
        bool catchingUp = false; // was sent a snapshot and has not had all committed entries since
    };

    Term termAt(LogIndex index) const;
    const LogEntry &entryAt(LogIndex index) const;
    bool isVoter() const;
    bool hasQuorum(const std::set<ReplicaId> &votes) const;
    // Send time of the newest round acknowledged by a quorum, counting this replica itself.
    Instant quorumContact(Instant now) const;
    Duration leaseLength() const;
    // Whether a log that ends with this index and term is at least as up-to-date as this one.
    bool isLogUpToDate(LogIndex index, Term term) const;

    void becomeFollower(Term term, ReplicaId leader, Instant now);
    void campaign(bool preVote, bool transfer, Instant now);
    void becomeLeader(Instant now);
    void resetElectionTimer(Instant now);
    void setHardState(Term term, ReplicaId vote);
    void appendEntry(EntryKind kind, std::string data);
    void storeEntry(LogEntry entry);
    void truncateFrom(LogIndex index);
    void broadcastAppend(Instant now);
    void beginRound(Instant now);
    void sendAppend(ReplicaId to, Instant now);
    // Total data size of the entries in [first, end); compacted entries count as 0.
    size_t entryBytes(LogIndex first, LogIndex end) const;
    // Whether a follower acknowledged a round that was sent within the minimum election timeout.
    bool isResponsive(const Progress &progress, Instant now) const;
    size_t bytesInFlight(Instant now) const;
    // Number of entries, starting at `next`, that may be sent to a follower now.
    size_t entriesToSend(const Progress &progress, Instant now) const;
    void sendHeartbeat(ReplicaId to);
    void sendPendingEntries(Instant now);
    void advanceCommit();
    void commitTo(LogIndex index);
    void send(RaftMessage message);

    void handleVoteRequest(const RaftMessage &message, Instant now);
    void handleVoteReply(const RaftMessage &message, Instant now);
    void handleAppend(const RaftMessage &message, Instant now);
    void handleAppendReply(const RaftMessage &message, Instant now);
    void handleSnapshot(const RaftMessage &message, Instant now);

    ReplicaId id_;
    RaftTiming timing_;
    size_t inFlightLimit_ = kDefaultInFlightBytes;
    std::mt19937_64 random_;
    HardState hardState_;
    RaftRole role_ = RaftRole::Follower;
    ReplicaId leader_ = kNoReplica;
    LogIndex snapshotIndex_ = 0;
    Term snapshotTerm_ = 0;
    std::vector<LogEntry> entries_; // entries_[0] has index snapshotIndex_ + 1
    std::map<LogIndex, Membership> memberships_; // by the index of the entry that set them
    Snapshot snapshot_;
    LogIndex commit_ = 0;
    LogIndex termStart_ = 0; // index of the leader's first entry in its term
    bool transferring_ = false;
    Instant transferStarted_ {};
    bool preVoting_ = false;
    std::set<ReplicaId> votes_;
    std::map<ReplicaId, Progress> progress_;
    uint64_t round_ = 0;
    std::map<uint64_t, Instant> roundSentAt_;
    Instant heartbeatDue_ {};
    Instant electionDue_ {};
    Instant lastLeaderContact_ {};
    bool isBlank_ = false; // this identity has never heard from a leader
    LeadershipEnd leadershipEnd_;
    RaftOutput output_;
};

} // namespace bamboogap

#endif
