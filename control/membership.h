// Decides how members are added to, replaced in and removed from the control group.
//
// A replica is identified by the id on its disk. A replica that lost its disk returns under the
// same router name with a new id and is replaced in three single-member changes: the new id is
// added as a non-voting learner and catches up, the old id is removed, and the new id becomes a
// voter. A replica never votes before it has caught up, so losing a second disk right after a
// replacement loses no committed entry.

#ifndef BAMBOOGAP_CONTROL_MEMBERSHIP_H
#define BAMBOOGAP_CONTROL_MEMBERSHIP_H

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>

#include "control/raft.h"

namespace bamboogap {

// A replica's request to join the group.
struct JoinRequest
{
    ReplicaId id = kNoReplica;
    std::string name;
    std::string address;
};

// The pending join requests at the leader. A replica repeats its request until it is a voter;
// a request that is not repeated expires. A request with a new id replaces an earlier one of the
// same name, so that a stale request of a lost disk cannot undo its replacement.
class JoinRequests
{
public:
    // Several times the interval at which requests are repeated. Early expiry only delays a join.
    static constexpr Duration kRetention = std::chrono::seconds(3);

    // Adds a request or restarts its retention period.
    void addOrRefresh(const JoinRequest &replica, Instant now);
    void removeByName(std::string_view name);
    // Removes the requests that were not repeated within kRetention.
    void expire(Instant now);

    const std::map<ReplicaId, JoinRequest> &current() const { return requests_; }

private:
    std::map<ReplicaId, JoinRequest> requests_;
    std::map<ReplicaId, Instant> lastRequestAt_;
};

// Returns the next membership to propose so that the joining replicas become voters, or nullopt
// if no change is due. New replicas are added as learners first, then changed addresses are
// updated. A learner is caught up when its matchIndex has reached `committed`, a recent commit
// index. For a caught-up learner, another member of the same name is removed; if there is none,
// the learner becomes a voter while there are fewer than maxVoters voters.
std::optional<Membership> nextMembership(const Membership &current,
                                         const std::map<ReplicaId, JoinRequest> &requests,
                                         const std::function<LogIndex(ReplicaId)> &matchIndex,
                                         LogIndex committed,
                                         size_t maxVoters = std::numeric_limits<size_t>::max());

// For groups that replace lost voters without an operator: returns the membership without the lost
// voter that has been silent for longest, or nullopt if none is to be removed now. A voter is
// removed only while the group has at least targetVoters voters and a learner that is not lost has
// caught up with `committed`. `silence` returns how long a member has not answered; a member is
// lost once that exceeds `lostAfter`.
std::optional<Membership> withoutLostVoter(const Membership &current, size_t targetVoters,
                                           const std::function<Duration(ReplicaId)> &silence,
                                           Duration lostAfter,
                                           const std::function<LogIndex(ReplicaId)> &matchIndex,
                                           LogIndex committed);

// Returns the membership without one learner that is lost and has no pending join request, or
// nullopt if there is none.
std::optional<Membership> withoutLostLearner(const Membership &current,
                                             const std::map<ReplicaId, JoinRequest> &requests,
                                             const std::function<Duration(ReplicaId)> &silence,
                                             Duration lostAfter);

// How a leader maintains the membership of its group.
struct MembershipPolicy
{
    // A joining replica becomes a voter only while there are fewer voters than this.
    size_t maxVoters = std::numeric_limits<size_t>::max();
    // Silence after which a member counts as lost and may be removed without an operator; nullopt:
    // members are removed by operators only.
    std::optional<Duration> lostAfter;
};

// Silence after which a member of a group that replaces its lost voters by itself counts as lost:
// the time in which the group notices that a leader is gone and elects another one. The next voters
// may be lost as soon as the successors of the last ones have caught up, so a longer wait costs the
// majority. A voter that loses its vote because of a short outage joins again, and is ready to
// replace the next lost one.
Duration lostAfter(const RaftTiming &timing);
MembershipPolicy selfManagedPolicy(size_t voters, const RaftTiming &timing);

// A membership to propose.
struct MembershipChange
{
    Membership membership;
    std::optional<Replica> lost; // the member that is removed because it is lost
};

// Decides on the leader which membership change comes next. It is called at regular intervals and
// keeps the pending join requests.
class MembershipManager
{
public:
    explicit MembershipManager(MembershipPolicy policy = {})
        : policy_(policy)
    {
    }

    void addRequest(const JoinRequest &replica, Instant now);
    void removeRequests(std::string_view name) { requests_.removeByName(name); }

    // Returns the change that is due, or nullopt. `raft` must hold the leader lease.
    std::optional<MembershipChange> nextChange(const Raft &raft, Instant now);

private:
    MembershipPolicy policy_;
    JoinRequests requests_;
    Term term_ = 0; // of the last call
    LogIndex committedBefore_ = 0; // the commit index at the last call
};

// Returns the membership without the named replica. NotFound if there is no such replica;
// Conflict if it is the last voter or the leader.
Result<Membership> membershipWithout(const Membership &current, std::string_view name,
                                     ReplicaId leader);

} // namespace bamboogap

#endif
