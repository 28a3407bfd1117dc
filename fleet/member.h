// A router's own part of membership: its lease, the view, the lists, the
// endpoints it knows and those it may use as their owner.
//
// The lease counts from when the heartbeat was sent that renewed it, so it
// ends here before the leader counts it as ended. Without a lease nothing may
// be sent to an endpoint, and every owned endpoint has to be gained again.
//
// Ownership of an endpoint is held from when a view that gives it to this
// router is active until the first view that gives it to another one is
// learned, or the lease ends.

#ifndef BAMBOOGAP_FLEET_MEMBER_H
#define BAMBOOGAP_FLEET_MEMBER_H

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "fleet/heartbeat.h"

namespace bamboogap {

// An endpoint as this router knows it.
struct KnownEndpoint
{
    Announcement announcement;
    Slot slot = 0;
    SlotLoad load; // over all routers, as old as the last heartbeat
    size_t owner = 0; // place of its owner in the view's routers
};

// What a heartbeat's reply changed, for the tasks that depend on it.
struct MemberNews
{
    bool endpoints = false;
    bool lists = false;
    bool view = false;
    bool ownership = false;
    // Answer with another heartbeat at once, so that an epoch becomes active
    // or a change is in force without waiting for the next interval.
    bool acknowledge = false;
};

class Member
{
public:
    explicit Member(RouterInfo self);

    // The heartbeat to send now; loads are filled in by the caller.
    Heartbeat makeHeartbeat(Instant now);

    // Takes the reply to a heartbeat. Replies that were overtaken are ignored.
    MemberNews receive(HeartbeatReply reply, Instant now);

    // Ends ownership when the lease has ended; call it before asking owns().
    bool holdsLease(Instant now);

    // An announcement that reached this router.
    void hear(const Announcement &announcement, Instant now);
    void leave() { leaving_ = true; }

    // True if this router may send work to the endpoint now.
    bool owns(std::string_view endpointId, Instant now);

    // Why the endpoint must not get new work; nothing if it may.
    tl::expected<const KnownEndpoint *, std::string> usable(std::string_view endpointId) const;

    // The owner by the view that this router knows; null for an empty view.
    const RouterInfo *ownerOf(const KnownEndpoint &endpoint) const;
    SuspicionStatus standingOf(Fingerprint fingerprint) const;

    const RouterInfo &self() const { return self_; }
    const View &view() const { return view_; }
    const OperatorLists &lists() const { return lists_; }
    const std::map<std::string, KnownEndpoint> &endpoints() const { return endpoints_; }
    // Loads of the pools over all routers, as of the last reply.
    const std::vector<PoolLoad> &pools() const { return pools_; }
    const std::set<std::string> &owned() const { return owned_; }
    bool everLeased() const { return everLeased_; }
    bool leaving() const { return leaving_; }
    Epoch activeEpoch() const { return activeEpoch_; }
    // Time left of the lease; zero or less without one.
    Duration leaseLeft(Instant now) const { return leaseEnd_ - now; }

private:
    struct Heard
    {
        Announcement announcement;
        uint64_t digest = 0;
        Instant heardAt {};
        bool reported = false; // since it was heard last
    };

    void takeRegister(RegisterDelta delta);
    void takeLoads(const HeartbeatReply &reply);
    void findOwner(KnownEndpoint &endpoint) const;
    bool refreshOwnership();

    RouterInfo self_;
    uint64_t sequence_ = 0;
    uint64_t lastReply_ = 0;
    std::map<uint64_t, Instant> sentAt_;
    Instant leaseEnd_ {};
    bool everLeased_ = false;
    bool leaving_ = false;
    View view_;
    Epoch activeEpoch_ = 0;
    OperatorLists lists_;
    std::unordered_map<Fingerprint, SuspicionStatus> suspects_;
    uint64_t suspectsVersion_ = 0;
    uint64_t leaderTerm_ = 0;
    uint64_t registerTerm_ = 0;
    uint64_t registerVersion_ = 0;
    uint64_t limitsVersion_ = 0;
    std::vector<uint16_t> rampLimits_; // by slot
    std::map<std::string, KnownEndpoint> endpoints_;
    std::map<Slot, std::string> slots_;
    std::map<std::string, Heard> heard_;
    std::set<std::string> owned_;
    std::vector<PoolLoad> pools_;
};

} // namespace bamboogap

#endif
