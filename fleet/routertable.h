// What a control replica knows of the direct routers, in particular which of them are alive, and
// the encoding of endpoint loads in reports and replies. See fleet/worksums.h for the sums.

#ifndef BAMBOOGAP_FLEET_ROUTERTABLE_H
#define BAMBOOGAP_FLEET_ROUTERTABLE_H

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "fleet/announcement.h"

namespace bamboogap {

// In-flight load of one router, or of several together, on an endpoint.
struct EndpointUse
{
    EndpointKey key = 0;
    uint32_t running = 0;
    uint32_t pendingPrefillTokens = 0; // of prompts whose first token has not arrived yet

    bool operator==(const EndpointUse &) const = default;
};

// Packs loads for a message, eight bytes each: the low half of the key, the running requests, and
// the pending prefill tokens in units of 64. Values that do not fit are saturated.
std::string packUses(const std::vector<EndpointUse> &uses);

// Unpacks loads; their keys are the low halves only. An incomplete entry at the end is ignored.
std::vector<EndpointUse> unpackUses(std::string_view bytes);

// Sets `uses` from packed loads, matched by the low half of the key; entries without a match are
// set to zero. An incomplete entry at the end is ignored.
void unpackUses(std::string_view bytes, std::vector<EndpointUse> &uses);

// Selects the report target of a router: the replica from which it gets the load of the other
// routers. The selection is by rendezvous hashing: routers are distributed over the replicas, and
// the loss of a replica moves only the routers assigned to it. Empty if there are no replicas.
std::string reportTargetOf(std::string_view router, std::span<const std::string> replicas);

// Digest of a list of replicas, so that the list is sent only to routers that have a different one.
uint64_t digestOfReplicas(std::span<const std::string> replicas);

struct RouterReport
{
    std::string name;
    uint64_t incarnation = 0; // increases with each process of the router
    std::string dataCentre;
    uint64_t routesVersion = 0; // version of the routes that the router has applied
    std::string peerAddress; // empty: unchanged since its last report
};

// The direct routers that have reported to this replica.
class RouterTable
{
public:
    // A router without a report for this long is not alive. In a large fleet routers report to a
    // replica less often; see kAliveTimeoutPerRouter.
    static constexpr Duration kAliveTimeout = std::chrono::seconds(3);
    // With n routers known, the timeout is at least n times this. It is 2.5 times the amount by
    // which each router lengthens the report interval of all routers.
    static constexpr Duration kAliveTimeoutPerRouter = std::chrono::milliseconds(20);

    // How long a router is known after its last report. Longer than any disconnection or restart
    // after which it returns under the same name, and than SharerCount::kValidity.
    static constexpr Duration kRetention = std::chrono::minutes(2);

    // Bandwidth for messages with the other routers' load to one router, out of the 4 KB/s that a
    // node may use for control traffic.
    static constexpr double kUsesBytesPerSecond = 3000;

    // Records a report. Returns false if a later process of the router has reported already.
    bool report(RouterReport report, Instant now);
    // Removes a router that has shut down.
    void leave(std::string_view name, Instant now);
    // Sets when this process of the replica started, and how many routers the one before knew. If
    // the whole fleet starts for the first time there is none before.
    void recall(uint32_t routers, bool firstStart, Instant now);

    // Removes routers that have not reported for longer than any temporary disconnection lasts.
    void removeExpired(Instant now);
    // Time without a report after which a router is not alive.
    Duration aliveTimeout() const;
    // Number of routers that are alive.
    uint32_t aliveCount(Instant now) const;
    // Number of routers among which a fleet-wide limit is divided: all that have reported within
    // kRetention, since one that has left or is cut off from this replica may have used its share
    // a moment ago or may go on using it. 0 while this process is too young to have heard from all.
    uint32_t sharerCount(Instant now) const;
    // Whether an earlier process of the router may have run within kRetention.
    bool mayHavePredecessor(std::string_view name, Instant now) const;
    // Peer addresses of the routers that are alive.
    std::vector<std::string> aliveAddresses(Instant now) const;
    // Returns whether a message of `bytes` bytes with the other routers' load may be sent to the
    // router now without exceeding kUsesBytesPerSecond. If so, it is counted as sent. Returns false
    // for an unknown router.
    bool maySendUses(std::string_view name, size_t bytes, Instant now);
    // Index of a router among those alive, ordered by name.
    uint32_t rankOf(std::string_view name, Instant now) const;

    struct Entry
    {
        RouterReport report;
        Instant lastSeen {};
        Instant usesDueAt {}; // when the other routers' load may be sent next
    };
    const std::map<std::string, Entry, std::less<>> &routers() const { return routers_; }

private:
    std::map<std::string, Entry, std::less<>> routers_;
    std::map<std::string, Instant, std::less<>> left_; // when routers shut down
    std::set<std::string, std::less<>> restarted_; // names of routers with an earlier process
    uint32_t recalled_ = 0;
    bool firstStart_ = false;
    Instant startedAt_ {};
};

} // namespace bamboogap

#endif
