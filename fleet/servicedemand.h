// Demand for plain services and the load of their endpoints, as measured by routers and summed at
// replicas.
//
// Used with admission control under shortage only (routing/serviceadmission.h): up to 411 routers
// report a few dozen bytes four times a second to their report target, and replicas exchange the
// sums of their groups.

#ifndef BAMBOOGAP_FLEET_SERVICEDEMAND_H
#define BAMBOOGAP_FLEET_SERVICEDEMAND_H

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bamboogap {

// Requests of lower priority than the last class are counted in it.
inline constexpr size_t kPriorityClasses = 4;

// What one router, or several together, measured of a service since its last report. All figures
// are per second, so that those of several routers add up.
struct ServiceDemand
{
    struct Endpoint
    {
        uint32_t key = 0; // low half of the endpoint's key
        double answers = 0; // requests that the endpoint served
        double samples = 0; // responses with load figures
        double running = 0; // sum over the samples
        double waiting = 0; // sum over the samples
        double percent = 0; // sum over the samples
    };
    std::array<double, kPriorityClasses> arrivals {};
    std::vector<Endpoint> endpoints; // ascending by key

    void add(const ServiceDemand &other);
    double totalArrivals() const;
};

using ServiceDemands = std::map<std::string, ServiceDemand, std::less<>>;

// Packs demands for a message: about 10 bytes and the name for a service, and 14 for an endpoint.
// Values that do not fit are saturated. The result is never empty.
std::string packDemands(const ServiceDemands &demands);
// What cannot be read is left out.
ServiceDemands unpackDemands(std::string_view bytes);

// The demands that were reported to one replica, with the sums of the other replicas' groups.
class DemandSums
{
public:
    // Figures that were not updated for this long are discarded.
    static constexpr Duration kTimeout = std::chrono::seconds(1);

    // Replaces what a router reported; `packed` is in the format of packDemands().
    void report(std::string_view router, std::string_view packed, Instant now);
    void remove(std::string_view router);
    // The sums of another replica's group.
    void groupReport(std::string_view replica, std::string_view packed, Instant now);
    void tick(Instant now);

    bool isEmpty() const { return routers_.empty() && groups_.empty(); }
    // Of the routers that report to this replica; empty if there are none.
    std::string group() const;
    // Of all routers. Computed when something was reported since, at most every kMinAge.
    const std::string &total(Instant now);

private:
    static constexpr Duration kMinAge = std::chrono::milliseconds(40);
    struct Item
    {
        ServiceDemands demands;
        Instant updatedAt {};
    };
    using Items = std::map<std::string, Item, std::less<>>;

    static void sum(const Items &items, ServiceDemands &sums);

    Items routers_;
    Items groups_;
    std::string total_;
    Instant totalAt_ {};
};

} // namespace bamboogap

#endif
