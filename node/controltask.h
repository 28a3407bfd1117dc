// The control replica of a node: drives the replicated log on its disk and, as
// leader, the coordinator.
//
// Every output of the log is stored and synced before its messages are sent
// and its entries applied. If the disk fails the replica stops for good: it
// votes no more, answers nothing, and says so in the log and the status.

#ifndef BAMBOOGAP_NODE_CONTROLTASK_H
#define BAMBOOGAP_NODE_CONTROLTASK_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "control/compaction.h"
#include "control/formation.h"
#include "control/logstore.h"
#include "control/membership.h"
#include "control/proposedinstalls.h"
#include "control/raft.h"
#include "control/state.h"
#include "fleet/coordinator.h"
#include "node/eventloop.h"
#include "node/peers.h"

namespace bamboogap {

struct ControlSettings
{
    std::string name; // of the router that the replica runs in
    std::string address; // where peers reach it
    std::vector<std::string> peers; // of the replicas to start with
    RaftTiming timing;
    CoordinatorSettings coordinator;
    StateLimits limits;
    size_t snapshotEvery = 2000; // entries
    Duration heartbeat = std::chrono::milliseconds(500); // of the routers
    double linkBytesPerSecond = 12.5e6; // of the node's own link
    // The group forms and heals without an operator: see Formation below.
    bool selfManaged = false;
    // First start of the whole fleet: a group may be formed.
    bool firstStart = false;
    size_t fullVoters = 5;
};

// A self-managed group is founded at the first start of the fleet (control/formation). All
// others ask to join, as does a replica that has heard from no leader for a while. A voter that
// stays silent is removed when another replica has caught up and waits for its vote.
class ControlTask
{
public:
    // What is measured and followed by others; each may be empty.
    struct Hooks
    {
        std::function<void(size_t bytes)> sent; // a message of the log
        // A follower acknowledged a heartbeat round that was sent so long ago.
        std::function<void(Duration)> roundAcknowledged;
        std::function<void()> deploymentChanged;
        std::function<void()> rolloutsChanged;
    };

    // StorageFailed or StorageDamaged if the data folder cannot be used.
    static Result<std::unique_ptr<ControlTask>> open(EventLoop &loop, Peers &peers,
                                                     ControlSettings settings, Disk disk);

    void setHooks(Hooks hooks) { hooks_ = std::move(hooks); }
    void start();

    // True while this replica may answer as the leader.
    bool maySpeak() const;
    // Where the leader is thought to be; empty if not known.
    std::string leaderAddress() const;

    // Commits a command and gives its answer; NoLeader if it did not get through.
    kj::Promise<Result<CommandAnswer>> command(const Command &command);

    // The deployment as this replica has applied it. Only while maySpeak() is it
    // sure to be the newest.
    const Deployment &deployment() const { return state_.deployment(); }
    // True if this replica leads or has heard from a leader a moment ago, so that
    // its deployment() lags by a heartbeat at most.
    bool isCurrent() const;
    // Where this replica stands in the log, for log lines.
    struct LogPosition
    {
        Term term = 0;
        LogIndex commit = 0;
        LogIndex applied = 0;
        Duration quorumAge {}; // 0 unless leading
    };
    LogPosition logPosition() const;
    const Membership &membership() const { return raft_->membership(); }
    // As this replica has applied them.
    const SuspectRequests &suspects() const { return state_.suspects(); }
    const Rollouts &rollouts() const { return state_.rollouts(); }

    // To be called only while maySpeak().
    HeartbeatReply heartbeat(const Heartbeat &heartbeat);

    void receive(const RaftMessage &message, std::string_view fromAddress);
    void join(const JoinRequest &replica);
    Result<void> removeReplica(std::string_view name);

    // Founds a new group with all peers. Conflict if any of them belongs to a group,
    // PeerFailed if one does not answer.
    kj::Promise<Result<void>> bootstrap();

    // The replicas to join, after the settings changed.
    void setPeers(std::vector<std::string> peers) { settings_.peers = std::move(peers); }

    // Hands over leadership before a planned stop.
    void handOver();

    ReplicaId id() const { return raft_->id(); }
    const std::string &name() const { return settings_.name; }
    bool isFirstStart() const { return settings_.firstStart; }
    bool inGroup() const { return raft_->lastIndex() > 0; }
    bool failed() const { return failed_; }
    // Whether a replica that stopped for its disk could open its log again now.
    bool mayReopen() { return diskFailed_ && store_.probeDiskWrite(); }
    nlohmann::json status() const;

private:
    using Answered = kj::PromiseFulfiller<Result<CommandAnswer>>;
    // Commands that wait for the entry at one index.
    struct Pending
    {
        Term term = 0;
        std::vector<kj::Own<Answered>> fulfillers;

        void fulfill(const Result<CommandAnswer> &answer);
    };

    ControlTask(EventLoop &loop, Peers &peers, ControlSettings settings, Disk disk);

    void tick();
    void drain();
    bool handle(RaftOutput output);
    void applyEntry(const LogEntry &entry);
    kj::Promise<Result<CommandAnswer>> propose(const Command &command);
    // Waits for an entry that makes the install needless; nothing if there is none.
    kj::Maybe<kj::Promise<Result<CommandAnswer>>> joinInstall(const InstallRoutesCommand &install);
    kj::Promise<Result<CommandAnswer>> whenApplied(LogIndex index);
    kj::Promise<CommandAnswer> whenInForce(CommandAnswer answer, Instant giveUpAt);
    void pokeRouters();
    void sampleLoads();
    void sendMessage(const RaftMessage &message);
    void followRole();
    void noteLeader();
    void coordinate();
    void askToJoin();
    void formGroup();
    kj::Promise<std::vector<PeerIdentity>> askPeers();
    Result<void> found(std::span<const PeerIdentity> replies, SilentPeers silent);
    void maintainMembership(Instant now);
    void compact();
    void stopReplica(const Error &error);
    void rejectPending();

    EventLoop &loop_;
    Peers &peers_;
    ControlSettings settings_;
    Hooks hooks_;
    LogStore store_;
    std::unique_ptr<Raft> raft_;
    ControlState state_;
    std::unique_ptr<Coordinator> coordinator_;
    Term coordinatorTerm_ = 0;
    Instant leadsSince_ {}; // meaningful while leading
    ReplicaId knownLeader_ = kNoReplica;
    Instant leaderChangedAt_ {}; // when knownLeader_ was set
    LogIndex applied_ = 0;
    size_t bytesSinceSnapshot_ = 0; // of applied entries
    LogIndex viewProposal_ = 0; // not applied yet
    bool pokeQueued_ = false;
    uint64_t sample_ = 0;
    bool draining_ = false;
    bool failed_ = false;
    bool diskFailed_ = false; // and that is why
    bool wasMember_ = false;
    bool forming_ = false;
    Instant startedAt_ {};
    std::map<LogIndex, Pending> pending_;
    ProposedInstalls proposedInstalls_;
    std::map<ReplicaId, std::string> addresses_;
    std::map<ReplicaId, int> unanswered_; // messages in flight
    MembershipManager membershipManager_;
    std::string joinTarget_; // the leader that a replica named when asked to join
};

} // namespace bamboogap

#endif
