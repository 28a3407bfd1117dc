// Heartbeats, by which routers renew their leases and report loads, and the leader's replies, which
// distribute views, lists, suspects, endpoints and loads.

#ifndef BAMBOOGAP_FLEET_HEARTBEAT_H
#define BAMBOOGAP_FLEET_HEARTBEAT_H

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control/lists.h"
#include "control/suspects.h"
#include "fleet/registry.h"
#include "fleet/view.h"

namespace bamboogap {

// In-flight requests of one router on an endpoint.
struct OwnLoad
{
    EndpointKey key = 0;
    uint16_t running = 0;
    // Concurrency limit set by the owner; 0 if the sender is not the owner.
    uint16_t slowStartLimit = 0;

    bool operator==(const OwnLoad &) const = default;
};

// Requests running in a pool at the time of a sample.
struct PoolLoad
{
    uint64_t pool = 0; // hash of the pool name
    uint32_t running = 0;

    bool operator==(const PoolLoad &) const = default;
};

struct Heartbeat
{
    RouterInfo router;
    uint64_t sequence = 0; // increases with each heartbeat of a process
    Epoch knownEpoch = 0; // epoch of the view that the router has applied
    Revision knownRevision = 0; // revision of the lists that the router has applied
    uint64_t knownSuspects = 0; // version of the suspects that the router has applied
    bool takesSuspectChanges = true; // false: a router of an earlier version
    uint64_t leaderTerm = 0; // term of the leader that sent the last reply
    // Term and version of the last registry delta that the router has applied.
    uint64_t registryTerm = 0;
    uint64_t registryVersion = 0;
    bool leaving = false;
    std::vector<SeenEndpoint> seenEndpoints;
    // Every endpoint that has running requests or is owned by the router.
    std::vector<OwnLoad> loads;
    uint64_t knownLimitsVersion = 0; // version of the slow-start limits
    uint64_t sample = 0; // number of the leader's sample at which `pools` was taken
    std::vector<PoolLoad> pools; // load of this router only
};

// Load of one endpoint, summed over all routers.
struct SlotLoad
{
    uint16_t running = 0;
    uint16_t slowStartLimit = 0; // 0 until the owner has reported a limit
};

struct HeartbeatReply
{
    uint64_t sequence = 0; // of the heartbeat that this reply answers
    uint64_t term = 0; // of the leader
    bool granted = false; // if false, the reply does not renew the lease
    Duration lease {}; // starts at the time the router sent the heartbeat
    std::optional<View> view; // set if newer than the router's view
    Epoch activeEpoch = 0; // endpoints gained up to this epoch may be used
    std::optional<OperatorLists> lists;
    std::optional<std::vector<SuspectRequest>> suspects;
    bool suspectsAreChanges = false; // of the router's version; else `suspects` replaces all
    uint64_t suspectsVersion = 0;
    RegistryDelta registryDelta;
    bool registryReady = false; // if false, the router keeps the endpoints that it knows
    std::vector<uint16_t> running; // by slot; set only if registryReady
    uint64_t limitsVersion = 0;
    std::vector<uint16_t> slowStartLimits; // by slot; empty if the router has this version
    std::vector<PoolLoad> pools; // sums over all routers, all from one sample
};

} // namespace bamboogap

#endif
