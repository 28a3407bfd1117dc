// Parameters of the simulated workloads of bamboogap_measure, and a model of an
// engine's prefix cache.

#ifndef BAMBOOGAP_MEASURE_WORKLOAD_H
#define BAMBOOGAP_MEASURE_WORKLOAD_H

#include <cstdint>
#include <list>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/waitqueue.h"

namespace bamboogap {

// A time in seconds since the start of the simulation, or a duration in seconds.
using SimulatedSeconds = double;

// A class of requests with the same priority and generation time.
struct RequestKind
{
    double share = 1; // fraction of all turns; the shares of a deployment add up to 1
    SimulatedSeconds generationTime = 1; // from the first token to the end of the response
    Priority priority = Priority::Normal;
    SimulatedSeconds startWithin = 30; // maximum time in the queue before rejection
};

// A fleet and the traffic that it receives.
struct SimulatedDeployment
{
    std::string name;
    size_t engines = 20;
    size_t dataCentres = 3;
    size_t routers = 7;
    size_t workspaces = 10;
    uint32_t capacity = 8; // concurrent requests per engine
    uint32_t coldCapacity = 2; // concurrent requests of an engine that just started
    size_t cachedChatsPerEngine = 60; // size of an engine's prefix cache, in chats
    double newChatsPerSecond = 4;
    double meanTurns = 5; // per chat, after the first one
    SimulatedSeconds meanPauseBetweenTurns = 20; // log-normal, to have a long tail
    SimulatedSeconds uncachedPrefillTime = 0.4; // time to the first token on a cache miss
    SimulatedSeconds cachedPrefillTime = 0.05; // time to the first token on a cache hit
    std::vector<RequestKind> kinds;
    SimulatedSeconds duration = 600;
    SimulatedSeconds outageStart = 0; // the first data centre is out of service from here ...
    SimulatedSeconds outageEnd = 0; // ... to here; 0: no outage
    bool randomRestarts = false; // engines restart at random times and lose their caches
    uint64_t seed = 1;
};

// One request of a chat.
struct Turn
{
    uint64_t chat = 0;
    size_t workspace = 0;
    bool returning = false; // not the first turn of its chat
    size_t kind = 0; // index into SimulatedDeployment::kinds
    size_t remainingTurns = 0;
};

// An engine's prefix cache: an LRU set of chats.
class SimulatedPrefixCache
{
public:
    explicit SimulatedPrefixCache(size_t capacity)
        : capacity_(capacity)
    {
    }

    bool contains(uint64_t chat) const { return positions_.count(chat) > 0; }
    // Marks the chat as the most recently used one and adds it if it is missing; may
    // evict the least recently used one.
    void touch(uint64_t chat);
    void clear();

private:
    size_t capacity_;
    std::list<uint64_t> recency_; // most recently used first
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> positions_;
};

// Two small deployments with different mixes of requests.
SimulatedDeployment brnoDeployment();
SimulatedDeployment perthDeployment();
// The target fleet size (770 engines, 410 routers), for a part of the target duration.
SimulatedDeployment targetDeployment();

} // namespace bamboogap

#endif
