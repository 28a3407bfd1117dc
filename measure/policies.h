// The policies that bamboogap_measure compares: this project's own, driven
// through its real aggregates, and baselines.

#ifndef BAMBOOGAP_MEASURE_POLICIES_H
#define BAMBOOGAP_MEASURE_POLICIES_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "measure/workload.h"
#include "routing/admission.h"
#include "routing/affinity.h"

namespace bamboogap {

// What a policy may see of an engine. Baselines look only at what a router of
// theirs could know.
struct EngineView
{
    size_t dataCentre = 0;
    uint32_t capacity = 8;
    uint32_t running = 0;
    bool out = false;
    uint64_t incarnation = 1;
    const PrefixCache *cache = nullptr;
};

struct Placed
{
    bool runs = false;
    size_t engine = 0;
    bool waits = false; // else refused
};

// What became of waiting requests.
struct Woken
{
    uint64_t request = 0;
    bool runs = false; // else given up
    size_t engine = 0;
};

class Policy
{
public:
    virtual ~Policy() = default;
    virtual Placed place(uint64_t request, const Turn &turn, const Kind &kind, size_t router,
                         ScriptTime now)
            = 0;
    virtual void firstToken(uint64_t request, ScriptTime latency);
    virtual void finish(uint64_t request, size_t engine, ScriptTime now);
    virtual std::vector<Woken> advance(ScriptTime now);
    // Reports are exchanged.
    virtual void heartbeat(ScriptTime now);
};

using PolicyFactory = std::function<std::unique_ptr<Policy>(
        const Deployment &, const std::vector<EngineView> &engines)>;

struct NamedPolicy
{
    std::string name;
    PolicyFactory make;
};

struct OwnSettings
{
    double multiple = 1.25;
    double newChatMultiple = 1.1;
    bool remember = true; // chats that went elsewhere
    size_t places = kMaxEndpointsPerChat;
};

PolicyFactory ownPolicy(OwnSettings settings);

// Round robin, per-router least requests, two choices by lagging reports, plain
// rendezvous hashing, and an all-knowing placement under the same bound.
std::vector<NamedPolicy> baselines(double multiple);

} // namespace bamboogap

#endif
