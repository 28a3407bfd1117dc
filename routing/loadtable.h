// Loads of all endpoints as known to one router, and the limit that the load multiple sets
// for each.
//
// The rule, checked at each admission: let T be the number of requests running in the pool
// and B the sum of the usable capacity of its engines in service. An engine with usable
// capacity b may run at most
//     max(1, ceil(multiple * (T + 1) * b / B))
// requests, including the new one. With N equal engines b / B is 1 / N, so this is the
// multiple of the mean after the admission, rounded up. The usable capacity is the engine's
// capacity, or less while it is cold: a data centre that returns to service cold must not
// lower the mean so far that the warm engines have to reject requests.
//
// T must not be overstated, or an engine gets more than its share. Adding reports from
// different moments would count a request twice that moves between routers, so the leader
// samples all routers at one moment, once per heartbeat:
//     T = max(own count now, sum of the last complete sample)
// The mean in the limit is thus one that the pool had at most two heartbeats ago. In a surge
// the limit follows with the next sample.

#ifndef BAMBOOGAP_ROUTING_LOADTABLE_H
#define BAMBOOGAP_ROUTING_LOADTABLE_H

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet/heartbeat.h"

namespace bamboogap {

// Index of an endpoint in the table; stable until the endpoint is removed.
using EndpointIndex = uint32_t;

struct EndpointLoad
{
    std::string id;
    EndpointKey key = 0;
    uint32_t pool = 0; // index of its pool
    uint32_t capacity = 1;
    uint32_t own = 0; // requests running through this router; exact
    uint32_t others = 0; // requests running through other routers, as last reported
    uint32_t slowStartLimit = 0; // slow-start limit set by its owner; 0 if not known
    bool inService = false; // counts towards its pool's mean
    bool present = false;

    uint32_t running() const { return own + others; }
    uint32_t usableCapacity() const
    {
        return slowStartLimit == 0 ? capacity : std::min(capacity, slowStartLimit);
    }
};

// The data of an endpoint that placement reads, stored contiguously for scans of a pool.
struct PoolMember
{
    EndpointKey key = 0;
    EndpointIndex index = 0;
    uint32_t capacity = 1;
    bool inService = false;
};

class LoadTable
{
public:
    explicit LoadTable(double multiple)
        : multiple_(multiple)
    {
    }

    // Adds or updates an endpoint.
    EndpointIndex set(std::string_view id, std::string_view pool, uint32_t capacity,
                      bool inService);
    void remove(std::string_view id);

    // Null if the table has no such endpoint.
    const EndpointLoad *find(std::string_view id) const;
    const EndpointLoad &at(EndpointIndex index) const { return endpoints_[index]; }

    // All endpoints of a pool, in service or not; empty if the pool is unknown.
    const std::vector<PoolMember> &pool(std::string_view name) const;

    // Changes the number of requests that this router runs on the endpoint by delta.
    void addOwn(std::string_view id, int delta);
    // Sets the number of requests that all other routers run on the endpoint.
    void setOthersRunning(std::string_view id, uint32_t running);
    // Sets the number of requests that all routers together ran in a pool at the last
    // complete sample.
    void setPoolSample(std::string_view pool, uint32_t running);
    // The number of requests that this router runs in each pool, for the leader's sample.
    std::vector<PoolLoad> ownPools() const;
    void setSlowStartLimit(std::string_view id, uint32_t slowStartLimit);

    // Maximum of running requests that the load multiple allows on the endpoint, including a
    // new one.
    uint32_t multipleLimit(const EndpointLoad &endpoint) const;

    // The same as multipleLimit() for the given multiple.
    uint32_t limitFor(const EndpointLoad &endpoint, double multiple) const;

    // Number of requests that the endpoint can accept within its usable capacity and the
    // given multiple.
    uint32_t freeSlots(const EndpointLoad &endpoint, double multiple) const;

    // Mean number of running requests per engine in service, over the endpoint's pool.
    double poolMean(const EndpointLoad &endpoint) const;

    double multiple() const { return multiple_; }

private:
    struct Pool
    {
        std::vector<PoolMember> members;
        uint64_t usableCapacity = 0; // sum over endpoints in service
        std::string name;
        uint64_t own = 0;
        uint64_t others = 0;
        uint64_t sampled = 0; // over all routers, at the last complete sample
        uint32_t inService = 0;
    };

    uint32_t poolIndex(std::string_view name);
    void addToPool(EndpointIndex index);
    void removeFromPool(EndpointIndex index);
    EndpointLoad *beginUpdate(std::string_view id);
    void addToSums(const EndpointLoad &endpoint, int sign);

    double multiple_;
    std::vector<EndpointLoad> endpoints_;
    std::vector<EndpointIndex> free_;
    std::vector<Pool> pools_;
    std::unordered_map<std::string, uint32_t> poolNames_;
    std::unordered_map<std::string, EndpointIndex> indexes_;
};

} // namespace bamboogap

#endif
