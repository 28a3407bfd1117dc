// A router's side of router membership (see fleet/coordinator.h for the leader's side): its lease,
// the view, the lists, the known endpoints and those that it owns.
//
// The lease starts at the time the router sent the heartbeat that renewed it, so it ends here
// before the leader considers it ended. Without a lease the router must not send requests to any
// endpoint, and it has to regain ownership of every endpoint.
//
// A router owns an endpoint from the time at which a view that assigns it the endpoint is active
// until it receives the first view that assigns the endpoint to another router, or until its lease
// ends.

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

// An endpoint in the router's copy of the registry.
struct KnownEndpoint
{
    Announcement announcement;
    Slot slot = 0;
    SlotLoad load; // summed over all routers, as of the last heartbeat reply
    size_t owner = 0; // index of its owner in View::routers; SIZE_MAX if there is none
};

// What a heartbeat reply changed, so that dependent tasks can update themselves.
struct MemberUpdate
{
    bool endpoints = false;
    bool lists = false;
    bool view = false;
    bool ownership = false;
    // Send the next heartbeat at once, so that an epoch becomes active or a change takes effect
    // without waiting for the heartbeat interval.
    bool heartbeatNow = false;
};

class Member
{
public:
    explicit Member(RouterInfo self);

    // Returns the heartbeat to send now. The caller fills in the loads.
    Heartbeat makeHeartbeat(Instant now);

    // Processes the reply to a heartbeat. Replies that arrive after a later one are ignored.
    MemberUpdate receive(HeartbeatReply reply, Instant now);

    // Returns false and drops all ownership if the lease has ended.
    bool holdsLease(Instant now);

    // Records an announcement that this router received from an endpoint.
    void recordAnnouncement(const Announcement &announcement, Instant now);
    // Announces the shutdown of this router in all further heartbeats.
    void leave() { leaving_ = true; }

    // True if this router owns the endpoint and may send requests to it now.
    bool owns(std::string_view endpointId, Instant now);

    // Returns the endpoint if it may receive new requests, otherwise the reason why not.
    tl::expected<const KnownEndpoint *, std::string> usable(std::string_view endpointId) const;

    // The owner in the current view; null for an empty view.
    const RouterInfo *ownerOf(const KnownEndpoint &endpoint) const;
    // The suspicion status of a request; Clear if it is not a suspect.
    SuspicionStatus suspicionStatusOf(Fingerprint fingerprint) const;

    const RouterInfo &self() const { return self_; }
    const View &view() const { return view_; }
    const OperatorLists &lists() const { return lists_; }
    const std::map<std::string, KnownEndpoint> &endpoints() const { return endpoints_; }
    // Loads by pool, summed over all routers, as of the last reply.
    const std::vector<PoolLoad> &pools() const { return pools_; }
    const std::set<std::string> &owned() const { return owned_; }
    // True if the router has held a lease since its start.
    bool everLeased() const { return everLeased_; }
    bool leaving() const { return leaving_; }
    Epoch activeEpoch() const { return activeEpoch_; }
    // Remaining time of the lease; zero or negative without a lease.
    Duration leaseLeft(Instant now) const { return leaseEnd_ - now; }

private:
    struct SeenAnnouncement
    {
        Announcement announcement;
        uint64_t digest = 0;
        Instant receivedAt {};
        bool reported = false; // sent in a heartbeat since it was last received
    };

    void applyRegistryDelta(RegistryDelta delta);
    void applyLoads(const HeartbeatReply &reply);
    void assignOwner(KnownEndpoint &endpoint) const;
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
    uint64_t registryTerm_ = 0;
    uint64_t registryVersion_ = 0;
    uint64_t limitsVersion_ = 0;
    std::vector<uint16_t> slowStartLimits_; // by slot
    std::map<std::string, KnownEndpoint> endpoints_;
    std::map<Slot, std::string> slots_;
    std::map<std::string, SeenAnnouncement> announcements_;
    std::set<std::string> owned_;
    std::vector<PoolLoad> pools_;
};

} // namespace bamboogap

#endif
