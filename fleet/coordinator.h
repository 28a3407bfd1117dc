// The leader's part of membership: grants leases, proposes views, decides when
// a view is active and keeps the endpoint register.
//
// All of it is soft state that a new leader builds afresh. Two rules keep that
// safe:
//  - a new leader counts every router, known to it or not, as holding a lease
//    granted at the moment it took office;
//  - an epoch is active once every router that may hold a lease has
//    acknowledged it, or its lease has surely ended. Only then may a router
//    use an endpoint that it gained by that epoch.
//
// The driver calls heartbeat() only while the replica may speak (Raft::hasLeaderLease).

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
    double maxDrift = 0.02; // clock rates of two machines differ by at most this
    // Work of a router that was lost is counted for this long after its lease.
    Duration lostLoad = std::chrono::seconds(30);
    RegisterSettings endpoints;
};

struct RouterStatus
{
    RouterInfo router;
    bool inView = false;
    bool leased = false;
    bool leaving = false;
    Epoch ackedEpoch = 0;
    Revision ackedRevision = 0;
    int64_t silentMillis = 0;
};

class Coordinator
{
public:
    Coordinator(CoordinatorSettings settings, uint64_t term, const View &view, Instant now);

    // Begins a sample: the driver now asks all routers at once for a heartbeat
    // with their loads, so that the sums are of one moment. Returns its number.
    uint64_t beginSample();

    HeartbeatReply heartbeat(const Heartbeat &heartbeat, const ControlState &state, Instant now);

    // The next view to propose, if the routers alive differ from the view.
    std::optional<SetViewCommand> tick(const ControlState &state, Instant now, int64_t nowMillis);

    Epoch activeEpoch(const ControlState &state, Instant now) const;

    // The revision that every router that may hold a lease has in force.
    Revision revisionInForce(const ControlState &state, Instant now) const;

    // True if every router that may hold a lease knows the suspects.
    bool suspectsInForce(const ControlState &state, Instant now) const;

    std::vector<RouterStatus> routers(const ControlState &state, Instant now) const;
    const EndpointRegister &endpoints() const { return register_; }

private:
    struct Router
    {
        RouterInfo info;
        Instant heardAt {};
        Instant leaseEnd {}; // by this clock the lease has surely ended
        uint64_t sequence = 0;
        Epoch ackedEpoch = 0;
        Revision ackedRevision = 0;
        uint64_t ackedSuspects = 0;
        bool leaving = false;
        bool everHeard = false;
        bool reportedAll = false; // its endpoints, to this leader
        std::map<EndpointKey, OwnLoad> loads;
        uint64_t sample = 0;
    };

    Duration surelyEnded() const;
    bool mayHoldLease(const Router &router, Instant now) const;
    bool registerReady(const View &view, Instant now) const;
    void addLoads(HeartbeatReply &reply, const Heartbeat &heartbeat, Instant now);
    std::vector<PoolLoad> poolLoads(Instant now) const;
    void takeSample(const Heartbeat &heartbeat, const Router &router);
    Router *admit(const Heartbeat &heartbeat, Instant now);

    CoordinatorSettings settings_;
    uint64_t term_;
    Instant startedAt_;
    std::map<std::string, Router> routers_; // by name; the newest process of each
    std::vector<Router> replaced_; // processes that a newer one has replaced
    EndpointRegister register_;
    uint64_t limitsVersion_ = 1;
    std::vector<uint16_t> rampLimits_; // of that version
    uint64_t sample_ = 0;
    // Sums of the newest sample and of the one before.
    std::map<uint64_t, uint32_t> sampled_;
    std::map<uint64_t, uint32_t> sampledBefore_;
};

} // namespace bamboogap

#endif
