#include "routing/coldpace.h"

#include <algorithm>

namespace bamboogap {

namespace {

// Requests a second for this router; 0 if others use the endpoint.
double ownRate(double bearablePerSecond, FleetSize fleet, uint64_t endpoint)
{
    const double usable = bearablePerSecond * ColdPace::kUsedShare;
    const auto users = std::clamp<uint32_t>(static_cast<uint32_t>(usable), 1, fleet.routers);
    if ((fleet.rank + endpoint) % fleet.routers >= users)
        return 0;
    return usable / users;
}

} // namespace

bool ColdPace::mayTake(double bearablePerSecond, FleetSize fleet, uint64_t endpoint,
                       Instant now) const
{
    return bearablePerSecond <= 0
            || (now >= nextAt_ && ownRate(bearablePerSecond, fleet, endpoint) > 0);
}

bool ColdPace::take(double bearablePerSecond, FleetSize fleet, uint64_t endpoint, Instant now)
{
    if (!mayTake(bearablePerSecond, fleet, endpoint, now))
        return false;
    if (bearablePerSecond <= 0)
        return true;
    const std::chrono::duration<double> interval(1.0 / ownRate(bearablePerSecond, fleet, endpoint));
    nextAt_ = now + std::chrono::duration_cast<Duration>(interval);
    return true;
}

} // namespace bamboogap
