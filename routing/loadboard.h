// Loads of all endpoints as one router knows them, and the bound that the load
// multiple sets for each.
//
// The rule, checked at each admission: with T the requests running in the pool
// and B what its engines in service can bear together, an engine that can bear
// b may run at most
//     max(1, ceil(multiple * (T + 1) * b / B))
// requests including the new one. With equal engines b / B is 1 / N, so this is
// the multiple of the mean after the admission, rounded up. What an engine can
// bear is its capacity, or less while it is cold: a data centre that comes back
// cold must not lower the mean so far that the warm engines have to refuse work.
//
// T must not be overstated, or an engine gets more than its share. Sums of
// reports made at different moments count work twice that moves between the
// routers, so the leader samples all routers at one moment, each heartbeat:
//     T = max(own count now, sum of the last whole sample)
// The mean that an engine is held against is thus one that did hold, at most two
// heartbeats ago. In a surge the bound follows with the next sample.

#ifndef BAMBOOGAP_ROUTING_LOADBOARD_H
#define BAMBOOGAP_ROUTING_LOADBOARD_H

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet/heartbeat.h"

namespace bamboogap {

// Index of an endpoint on the board; stays the same until it is removed.
using BoardIndex = uint32_t;

struct BoardEndpoint
{
    std::string id;
    EndpointKey key = 0;
    uint32_t pool = 0;
    uint32_t capacity = 1;
    uint32_t own = 0; // running through this router, exact
    uint32_t others = 0; // through other routers, as reported last
    uint32_t rampLimit = 0; // what its owner lets run there; 0 if not known
    bool inService = false; // counts towards the mean of its pool
    bool present = false;

    uint32_t running() const { return own + others; }
    uint32_t bears() const { return rampLimit == 0 ? capacity : std::min(capacity, rampLimit); }
};

// What placement needs of an endpoint, kept dense for the scan of a pool.
struct PoolMember
{
    EndpointKey key = 0;
    BoardIndex index = 0;
    uint32_t capacity = 1;
    bool inService = false;
};

class LoadBoard
{
public:
    explicit LoadBoard(double multiple)
        : multiple_(multiple)
    {
    }

    // Adds or updates an endpoint.
    BoardIndex set(std::string_view id, std::string_view pool, uint32_t capacity, bool inService);
    void remove(std::string_view id);

    // Null if the id is not on the board.
    const BoardEndpoint *find(std::string_view id) const;
    const BoardEndpoint &at(BoardIndex index) const { return endpoints_[index]; }

    // Endpoints of a pool, in service or not; empty if there is no such pool.
    const std::vector<PoolMember> &pool(std::string_view name) const;

    void addOwn(std::string_view id, int delta);
    // What all other routers run on the endpoint.
    void reportOthers(std::string_view id, uint32_t running);
    // What ran in a pool through all routers together, by the last whole sample.
    void reportPool(std::string_view pool, uint32_t running);
    // What this router runs in each pool, for a sample.
    std::vector<PoolLoad> ownPools() const;
    void setRampLimit(std::string_view id, uint32_t rampLimit);

    // Requests that the load multiple allows on the endpoint, with the next one.
    uint32_t multipleLimit(const BoardEndpoint &endpoint) const;

    // The same for another multiple.
    uint32_t limitFor(const BoardEndpoint &endpoint, double multiple) const;

    // Free places by all that is known of the endpoint; 0 if there is none.
    uint32_t room(const BoardEndpoint &endpoint, double multiple) const;

    // Mean running per engine of the endpoint's pool.
    double poolMean(const BoardEndpoint &endpoint) const;

    double multiple() const { return multiple_; }

private:
    struct Pool
    {
        std::vector<PoolMember> members;
        uint64_t bears = 0; // in service
        std::string name;
        uint64_t own = 0;
        uint64_t others = 0;
        uint64_t sampled = 0; // over all routers
        uint32_t inService = 0;
    };

    uint32_t poolIndex(std::string_view name);
    void enterPool(BoardIndex index);
    void leavePool(BoardIndex index);
    BoardEndpoint *edit(std::string_view id);
    void count(const BoardEndpoint &endpoint, int sign);

    double multiple_;
    std::vector<BoardEndpoint> endpoints_;
    std::vector<BoardIndex> free_;
    std::vector<Pool> pools_;
    std::unordered_map<std::string, uint32_t> poolNames_;
    std::unordered_map<std::string, BoardIndex> indexes_;
};

} // namespace bamboogap

#endif
