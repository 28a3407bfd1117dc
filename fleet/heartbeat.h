// The messages by which a router renews its lease and the leader spreads what
// the fleet has to know.

#ifndef BAMBOOGAP_FLEET_HEARTBEAT_H
#define BAMBOOGAP_FLEET_HEARTBEAT_H

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control/lists.h"
#include "control/suspects.h"
#include "fleet/register.h"
#include "fleet/view.h"

namespace bamboogap {

// Work that a router runs on an endpoint.
struct OwnLoad
{
    EndpointKey key = 0;
    uint16_t running = 0;
    uint16_t rampLimit = 0; // what the owner lets run there at most; 0 from others

    bool operator==(const OwnLoad &) const = default;
};

// What ran in a pool at the moment of a sample.
struct PoolLoad
{
    uint64_t pool = 0; // hash of its name
    uint32_t running = 0;

    bool operator==(const PoolLoad &) const = default;
};

struct Heartbeat
{
    RouterInfo router;
    uint64_t sequence = 0; // grows with each heartbeat of a process
    Epoch knownEpoch = 0; // the router acts by this view already
    Revision knownRevision = 0; // and by these lists
    uint64_t knownSuspects = 0;
    uint64_t leaderTerm = 0; // of the leader whose reply came last
    uint64_t registerTerm = 0;
    uint64_t registerVersion = 0;
    bool leaving = false;
    std::vector<HeardEndpoint> heard;
    std::vector<OwnLoad> loads; // every endpoint with running work or owned
    uint64_t knownLimits = 0; // version of the ramp limits
    uint64_t sample = 0; // the leader's sample that `pools` was taken at
    std::vector<PoolLoad> pools; // of this router's work
};

// Load of one endpoint over all routers.
struct SlotLoad
{
    uint16_t running = 0;
    uint16_t rampLimit = 0; // 0 while no owner has reported
};

struct HeartbeatReply
{
    uint64_t sequence = 0; // of the heartbeat that this answers
    uint64_t term = 0;
    bool granted = false;
    Duration lease {}; // counted by the router from when it sent the heartbeat
    std::optional<View> view; // if newer than known
    Epoch activeEpoch = 0; // endpoints gained up to this epoch may be used
    std::optional<OperatorLists> lists;
    std::optional<std::vector<SuspectRequest>> suspects;
    uint64_t suspectsVersion = 0;
    RegisterDelta registered;
    bool registerReady = false; // else the router goes on with what it knows
    std::vector<uint16_t> running; // by slot; only with registerReady
    uint64_t limitsVersion = 0;
    std::vector<uint16_t> rampLimits; // by slot; empty if the router knows them
    std::vector<PoolLoad> pools; // sums over all routers, of one sample
};

} // namespace bamboogap

#endif
