// The software version that serves a service without a rollout.
//
// In deployments with rollouts, endpoints of a new version are often started before the order.
// Without an order they would get half of the traffic at once, and a bad version would have
// failed more requests than it may before the rollout begins. So while endpoints of the version
// that has been known longest are usable, endpoints of versions that joined later get no requests.
// Endpoints that tell no version are not restricted.

#ifndef BAMBOOGAP_ROUTING_SERVINGVERSIONS_H
#define BAMBOOGAP_ROUTING_SERVINGVERSIONS_H

#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "routing/allowedversions.h"

namespace bamboogap {

class ServingVersions
{
public:
    // Versions whose first endpoints became known within this time started together: heartbeats
    // of a starting fleet arrive within some seconds.
    static constexpr Duration kTogether = std::chrono::seconds(5);
    // A version is remembered for this long without a usable endpoint, so that it serves again
    // when its endpoints return.
    static constexpr Duration kRetention = std::chrono::minutes(1);

    // Call for each usable endpoint, with the same `now` for all of them.
    void record(std::string_view service, std::string_view version, Instant knownSince,
                Instant now);
    // The result is valid until the next call of record() or expire().
    AllowedVersions allowed(std::string_view service) const;
    void expire(Instant now);

private:
    struct Version
    {
        Instant firstKnown {};
        Instant lastUsable {};
    };
    struct Service
    {
        Instant updatedAt {};
        std::map<std::string, Version, std::less<>> versions;
    };

    std::map<std::string, Service, std::less<>> services_;
};

} // namespace bamboogap

#endif
