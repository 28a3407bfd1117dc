// Limits the rate at which one router sends requests to a cold endpoint.
//
// The requests of all routers together must stay below the rate that a cold endpoint
// sustains, and no router knows what the others are sending. So each router uses an equal
// share. If the shares would fall below one request per second, only some routers use the
// endpoint; which ones depends on the endpoint.

#ifndef BAMBOOGAP_ROUTING_WARMUPRATELIMITER_H
#define BAMBOOGAP_ROUTING_WARMUPRATELIMITER_H

#include <cstdint>

#include "base/clock.h"

namespace bamboogap {

struct FleetPosition
{
    uint32_t routers = 1; // alive, this one included
    uint32_t rank = 0; // of this router among them
};

class WarmupRateLimiter
{
public:
    // Share of the sustainable rate that is used, because routers may notice each other
    // late.
    static constexpr double kUsedShare = 0.8;

    // Takes one request from this router's share; false if none is left now. sustainablePerSecond
    // is the rate that the cold endpoint sustains, in requests per second; 0 or less means no
    // limit. endpoint selects the routers that may use a cold endpoint.
    bool tryAcquire(double sustainablePerSecond, FleetPosition fleet, uint64_t endpoint,
                    Instant now);
    // Whether tryAcquire() would succeed.
    bool canAcquire(double sustainablePerSecond, FleetPosition fleet, uint64_t endpoint,
                    Instant now) const;

private:
    Instant nextAllowedAt_ {};
};

} // namespace bamboogap

#endif
