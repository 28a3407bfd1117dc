// What a control replica knows of the direct routers: which are alive, and how work at
// endpoints is written in their reports and its answers. See fleet/worksums.h for the sums.

#ifndef BAMBOOGAP_FLEET_ROUTERBOARD_H
#define BAMBOOGAP_FLEET_ROUTERBOARD_H

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "fleet/announcement.h"

namespace bamboogap {

// What one router, or several together, have under way at an endpoint.
struct EndpointUse
{
    EndpointKey key = 0;
    uint32_t running = 0;
    uint32_t unreadTokens = 0; // of prompts whose first token has not come

    bool operator==(const EndpointUse &) const = default;
};

// Uses as they go to routers, eight bytes each: the low half of the key, the running
// requests, and the unread tokens in units of 64. Values that do not fit are cut off.
std::string packUses(const std::vector<EndpointUse> &uses);

// The uses in packed bytes; their keys are the low halves only. Bytes that are no whole
// entry are ignored.
std::vector<EndpointUse> unpackUses(std::string_view bytes);

// Fills the uses from packed bytes by the low half of their keys; uses that are not
// among the bytes get zeros. Bytes that are no whole entry are ignored.
void unpackUses(std::string_view bytes, std::vector<EndpointUse> &uses);

// The replica that tells a router of the others' work, chosen by rendezvous hashing:
// routers spread over the replicas, and only those of a lost one move. Empty for none.
std::string sourceOfOthers(std::string_view router, std::span<const std::string> replicas);

// Identifies a list of replicas, so that it is sent only to those who have another one.
uint64_t digestOfReplicas(std::span<const std::string> replicas);

struct RouterReport
{
    std::string name;
    uint64_t incarnation = 0; // a later process of the router has a higher one
    std::string dataCentre;
    uint64_t routesVersion = 0; // that it acts by
    std::string peerAddress; // empty: as in its last report
};

class RouterBoard
{
public:
    // A router that said nothing for this long no longer counts. In a large fleet routers
    // report to a replica less often; see kAlivePerRouter.
    static constexpr Duration kAlive = std::chrono::seconds(3);
    // Two and a half times the interval that each router adds to the reports of all.
    static constexpr Duration kAlivePerRouter = std::chrono::milliseconds(20);

    // Of the 4 KB/s that a node may spend on control.
    static constexpr double kUsesBytesPerSecond = 3000;

    // False if a later process of the router has reported already.
    bool report(RouterReport report, Instant now);
    // The router ends.
    void leave(std::string_view name);

    // Forgets routers that were silent for longer than any that is only cut off.
    void forget(Instant now);
    // How long a router may be silent and still count.
    Duration aliveFor() const;
    uint32_t aliveCount(Instant now) const;
    // Peers' addresses of the routers that are alive.
    std::vector<std::string> aliveAddresses(Instant now) const;
    // Whether the sum is due for a router, so that telling it takes no more than the
    // bytes a second that a node may spend on it. Counts as told if so.
    bool mayTellUses(std::string_view name, size_t bytes, Instant now);
    // Position of a router among the live ones, by name.
    uint32_t rankOf(std::string_view name, Instant now) const;

    struct Entry
    {
        RouterReport report;
        Instant heardAt {};
        Instant usesDueAt {}; // when the others' work may be told again
    };
    const std::map<std::string, Entry, std::less<>> &routers() const { return routers_; }

private:
    std::map<std::string, Entry, std::less<>> routers_;
};

} // namespace bamboogap

#endif
