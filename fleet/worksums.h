// In-flight load of all direct routers on each endpoint, summed at a control replica for the
// routers that query it.
//
// In a small fleet every router reports its load to every replica. In a large fleet it reports to
// one replica only, its report target. Replicas then exchange the sums of their groups (the routers
// that report to them only), so the number of these messages does not depend on the number of
// routers.

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
#include "fleet/routertable.h"

namespace bamboogap {

// Returns whether a router reports its load only to its report target, in a fleet of this size.
// With more routers than this, reports to every replica would be sent less often than four times a
// second.
constexpr bool reportsToTargetOnly(uint32_t routers)
{
    constexpr uint32_t kMaxReportingToAll = 31;
    return routers > kMaxReportingToAll;
}

// Loads reported to one replica, with the sums of the other replicas' groups.
class WorkSums
{
public:
    // The sum of another replica's group is discarded if it has not been updated for this long.
    static constexpr Duration kGroupTimeout = std::chrono::seconds(1);
    // If the sums do not cover all live routers, they are extrapolated by at most this factor.
    static constexpr double kMaxScale = 2;

    // Replaces the load that a router has reported. `toAll` means that every other replica receives
    // the report as well.
    void report(std::string_view router, std::span<const EndpointUse> uses, bool toAll,
                Instant now);
    // The router has shut down, or now reports to another replica.
    void remove(std::string_view router);
    // The sum of another replica's group; `packed` is in the format of packUses().
    void groupReport(std::string_view replica, uint32_t routers, std::string_view packed,
                     Instant now);
    // Discards the loads of routers that have not reported for `routerTimeout`, and outdated group
    // sums.
    void tick(Instant now, Duration routerTimeout);

    // The number of routers that report to this replica only, and the sum of their loads.
    uint32_t groupSize() const { return groupSize_; }
    std::vector<EndpointUse> group() const;
    // The load of all routers except the given one, extrapolated (see kMaxScale) if fewer than
    // `aliveRouters` routers are covered. Keys are the low halves only.
    std::vector<EndpointUse> othersOf(std::string_view router, uint32_t aliveRouters) const;

private:
    struct Sum
    {
        int64_t running = 0;
        int64_t pendingPrefillTokens = 0;
    };
    using Sums = std::unordered_map<EndpointKey, Sum>;
    struct Reporter
    {
        std::vector<EndpointUse> uses;
        bool toAll = false;
        Instant updatedAt {};
    };
    struct Group
    {
        std::vector<EndpointUse> uses;
        uint32_t routers = 0;
        Instant updatedAt {};
    };

    static void add(Sums &sums, std::span<const EndpointUse> uses, int sign);
    void updateTotals(const Reporter &reporter, int sign);

    std::map<std::string, Reporter, std::less<>> reporters_;
    std::map<std::string, Group, std::less<>> groups_;
    Sums total_;
    Sums groupTotal_;
    uint32_t groupSize_ = 0;
    uint32_t routersInOtherGroups_ = 0;
};

} // namespace bamboogap

#endif
