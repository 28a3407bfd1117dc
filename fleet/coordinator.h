// The leader's part of router membership: grants leases, proposes views, decides when a view is
// active and maintains the endpoint registry.
//
// All of this is soft state that a new leader rebuilds from scratch. Two rules keep that safe:
//  - a new leader assumes that every router, known or unknown, holds a lease that was granted at
//    the moment the leader was elected;
//  - an epoch is active once every router that may hold a lease has either acknowledged the epoch
//    or lost its lease for certain. Only then may a router use an endpoint that it gained in that
//    epoch.
//
// The caller must call heartbeat() only while the replica holds a valid leader lease
// (Raft::hasLeaderLease).

#ifndef BAMBOOGAP_FLEET_COORDINATOR_H
#define BAMBOOGAP_FLEET_COORDINATOR_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/state.h"
#include "fleet/heartbeat.h"

namespace bamboogap {

struct CoordinatorSettings
{
    Duration lease = std::chrono::milliseconds(2500);
    double maxDrift = 0.02; // upper bound on the difference between the clock rates of two machines
    // The load of a lost router is counted for this long after its lease has ended.
    Duration lostLoadRetention = std::chrono::seconds(30);
    RegistrySettings endpoints;
};

// State of a router, as shown to operators.
struct RouterStatus
{
    RouterInfo router;
    bool inView = false;
    bool leased = false;
    bool leaving = false;
    Epoch ackedEpoch = 0;
    Revision ackedRevision = 0;
    int64_t sinceHeartbeatMillis = 0;
};

// One instance per leadership term.
class Coordinator
{
public:
    Coordinator(CoordinatorSettings settings, uint64_t term, const View &view, Instant now);

    // Starts a new load sample and returns its number. The caller then requests a heartbeat with
    // current loads from all routers at the same time, so that the loads of one sample, which are
    // summed by pool, are from the same moment.
    uint64_t beginSample();

    // Processes a heartbeat and returns the reply. The lease is granted only to a router of the
    // current view; a heartbeat that arrives after a later one, or that is from a replaced process,
    // gets a reply without lease and data.
    HeartbeatReply heartbeat(const Heartbeat &heartbeat, const ControlState &state, Instant now);

    // Returns the next view to propose, or nothing if the live routers equal the current view.
    std::optional<SetViewCommand> tick(const ControlState &state, Instant now, int64_t nowMillis);

    // The epoch that is active (see above); 0 while routers unknown to this leader may hold leases.
    Epoch activeEpoch(const ControlState &state, Instant now) const;

    // The newest revision of the lists that every router that may hold a lease has applied;
    // 0 if a router that may hold a lease has not reported to this leader yet.
    Revision revisionInForce(const ControlState &state, Instant now) const;

    // True if every router that may hold a lease has received the current suspects.
    bool suspectsInForce(const ControlState &state, Instant now) const;

    // All routers that this leader knows, in the view or not.
    std::vector<RouterStatus> routers(const ControlState &state, Instant now) const;
    const EndpointRegistry &endpoints() const { return registry_; }

private:
    struct Router
    {
        RouterInfo info;
        Instant lastSeen {};
        // On the leader's clock, drift included: the lease has certainly ended by then.
        Instant leaseEnd {};
        uint64_t sequence = 0;
        Epoch ackedEpoch = 0;
        Revision ackedRevision = 0;
        uint64_t ackedSuspects = 0;
        bool leaving = false;
        bool everSeen = false;
        bool reportedEndpoints = false; // has sent its known endpoints to this leader
        std::map<EndpointKey, OwnLoad> loads;
        uint64_t sample = 0;
    };

    Duration leaseUpperBound() const;
    bool mayHoldLease(const Router &router, Instant now) const;
    bool registryReady(const View &view, Instant now) const;
    void addLoads(HeartbeatReply &reply, const Heartbeat &heartbeat, Instant now);
    std::vector<PoolLoad> poolLoads(Instant now) const;
    void addToSample(const Heartbeat &heartbeat, const Router &router);
    Router *findOrAddRouter(const Heartbeat &heartbeat, Instant now);

    CoordinatorSettings settings_;
    uint64_t term_;
    Instant startedAt_;
    std::map<std::string, Router> routers_; // by name; the newest process of each router
    std::vector<Router> replaced_; // processes that a newer process of the same router has replaced
    EndpointRegistry registry_;
    uint64_t limitsVersion_ = 1;
    std::vector<uint16_t> slowStartLimits_; // by slot, as of limitsVersion_
    uint64_t sample_ = 0;
    // Sums by pool for the current sample and for the one before.
    std::map<uint64_t, uint32_t> currentSums_;
    std::map<uint64_t, uint32_t> previousSums_;
};

} // namespace bamboogap

#endif
