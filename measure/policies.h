// The placement policies that bamboogap_measure compares: the one of this project,
// run with its production classes (Admission, LoadTable, AffinityTable), and
// baselines.

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

// The simulated state of an engine, as shown to a policy. Except for OraclePolicy,
// baselines use only what a router of theirs could know.
struct EngineView
{
    size_t dataCentre = 0;
    uint32_t capacity = 8; // concurrent requests
    uint32_t running = 0; // requests
    bool outOfService = false;
    uint64_t incarnation = 1; // changes at each restart
    const SimulatedPrefixCache *cache = nullptr;
};

// The decision for a new request: started, queued or rejected.
struct PlacementOutcome
{
    bool started = false;
    size_t engine = 0; // if started
    bool queued = false; // rejected if neither started nor queued
};

// The end of a queued request's wait.
struct DequeuedRequest
{
    uint64_t request = 0;
    bool started = false; // else rejected
    size_t engine = 0; // if started
};

// Decides where requests run. Called in the order of simulated time.
class Policy
{
public:
    virtual ~Policy() = default;
    // Places a request that arrives at a router.
    virtual PlacementOutcome place(uint64_t request, const Turn &turn, const RequestKind &kind,
                                   size_t router, SimulatedSeconds now)
            = 0;
    // The first token of a started request arrived `latency` seconds after its start.
    virtual void firstToken(uint64_t request, SimulatedSeconds latency);
    // A started request completed.
    virtual void finish(uint64_t request, size_t engine, SimulatedSeconds now);
    // Returns the queued requests that are started or rejected now.
    virtual std::vector<DequeuedRequest> advance(SimulatedSeconds now);
    // Called at each periodic exchange of load reports.
    virtual void heartbeat(SimulatedSeconds now);
};

// The engines outlive the policy and change during the simulation.
using PolicyFactory = std::function<std::unique_ptr<Policy>(
        const SimulatedDeployment &, const std::vector<EngineView> &engines)>;

struct NamedPolicy
{
    std::string name;
    PolicyFactory make;
};

// A load multiple limits the load of an engine to that multiple of the mean load.
struct BamboogapPolicySettings
{
    double loadMultiple = 1.25;
    double newChatLoadMultiple = 1.1;
    bool recordMoves = true; // remember chats placed elsewhere than at their primary endpoint
    size_t maxEndpointsPerChat = kMaxEndpointsPerChat;
};

// This project's placement policy.
PolicyFactory bamboogapPolicy(BamboogapPolicySettings settings);

// Round robin, least requests per router, the better of two random engines by delayed
// reports, rendezvous hashing without a load bound, and placement with exact knowledge
// of all engines under the bound `loadMultiple`.
std::vector<NamedPolicy> baselines(double loadMultiple);

} // namespace bamboogap

#endif
