// How fast one router may send to an endpoint that is cold.
//
// All routers together must stay under what a cold endpoint bears a second, and
// none knows what the others send at this moment. So each takes an equal share. When the
// shares would fall below one request a second, only some routers use the endpoint;
// which ones differs from endpoint to endpoint.

#ifndef BAMBOOGAP_ROUTING_COLDPACE_H
#define BAMBOOGAP_ROUTING_COLDPACE_H

#include <cstdint>

#include "base/clock.h"

namespace bamboogap {

struct FleetSize
{
    uint32_t routers = 1; // that are alive, this one included
    uint32_t rank = 0; // of this router among them
};

class ColdPace
{
public:
    // Share of the bearable rate that is used: routers may count each other late.
    static constexpr double kUsedShare = 0.8;

    // Takes a place if one is free. endpoint spreads the right to use cold endpoints
    // over the routers.
    bool take(double bearablePerSecond, FleetSize fleet, uint64_t endpoint, Instant now);
    // Whether take() would succeed.
    bool mayTake(double bearablePerSecond, FleetSize fleet, uint64_t endpoint, Instant now) const;

private:
    Instant nextAt_ {};
};

} // namespace bamboogap

#endif
