// What all direct routers have under way at each endpoint, as one control replica adds
// it up for the routers that ask it.
//
// In a small fleet every router reports its work to every replica. In a large one it
// reports to one replica only, its source; replicas then tell each other the sums of their
// groups, which takes the same few messages whatever the number of routers.

#ifndef BAMBOOGAP_FLEET_WORKSUMS_H
#define BAMBOOGAP_FLEET_WORKSUMS_H

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "fleet/routerboard.h"

namespace bamboogap {

// Whether a router of a fleet of this size reports its work to its source only: from
// there on reports to every replica would come less often than four times a second.
constexpr bool reportsToSourceOnly(uint32_t routers)
{
    constexpr uint32_t kMostReportingToAll = 31;
    return routers > kMostReportingToAll;
}

class WorkSums
{
public:
    // A group's sum no longer counts if its replica sent none for this long.
    static constexpr Duration kGroupValid = std::chrono::seconds(1);
    // Sums that leave routers out are scaled up to all of them, at most by this.
    static constexpr double kMostScale = 2;

    // A router's work, in place of what it reported before. `toAll` tells that every
    // other replica gets this report too.
    void report(std::string_view router, std::span<const EndpointUse> uses, bool toAll,
                Instant now);
    // The router ended, or reports to another replica now.
    void remove(std::string_view router);
    // The sum of another replica's group; `packed` as by packUses().
    void groupReport(std::string_view replica, uint32_t routers, std::string_view packed,
                     Instant now);
    // Forgets what is too old; a router's work after `routerSilence`.
    void tick(Instant now, Duration routerSilence);

    // Routers that report to this replica only, and the sum of their work.
    uint32_t groupSize() const { return groupSize_; }
    std::vector<EndpointUse> group() const;
    // The work of all routers but the one named. Keys are the low halves only.
    std::vector<EndpointUse> othersOf(std::string_view router, uint32_t aliveRouters) const;

private:
    struct Sum
    {
        int64_t running = 0;
        int64_t unreadTokens = 0;
    };
    using Sums = std::unordered_map<EndpointKey, Sum>;
    struct Reporter
    {
        std::vector<EndpointUse> uses;
        bool toAll = false;
        Instant heardAt {};
    };
    struct Group
    {
        std::vector<EndpointUse> uses;
        uint32_t routers = 0;
        Instant heardAt {};
    };

    static void add(Sums &sums, std::span<const EndpointUse> uses, int sign);
    void count(const Reporter &reporter, int sign);

    std::map<std::string, Reporter, std::less<>> reporters_;
    std::map<std::string, Group, std::less<>> groups_;
    Sums total_;
    Sums groupTotal_;
    uint32_t groupSize_ = 0;
    uint32_t groupedElsewhere_ = 0;
};

} // namespace bamboogap

#endif
