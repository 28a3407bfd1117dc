#include "routing/warmupratelimiter.h"

#include <algorithm>

namespace bamboogap {

namespace {

// This router's share of the usable rate, in requests per second; 0 if only other routers
// may use the endpoint.
double routerRate(double sustainablePerSecond, FleetPosition fleet, uint64_t endpoint)
{
    const double usable = sustainablePerSecond * WarmupRateLimiter::kUsedShare;
    const auto activeRouters
            = std::clamp<uint32_t>(static_cast<uint32_t>(usable), 1, fleet.routers);
    if ((fleet.rank + endpoint) % fleet.routers >= activeRouters)
        return 0;
    return usable / activeRouters;
}

} // namespace

bool WarmupRateLimiter::canAcquire(double sustainablePerSecond, FleetPosition fleet,
                                   uint64_t endpoint, Instant now) const
{
    return sustainablePerSecond <= 0
            || (now >= nextAllowedAt_ && routerRate(sustainablePerSecond, fleet, endpoint) > 0);
}

bool WarmupRateLimiter::tryAcquire(double sustainablePerSecond, FleetPosition fleet,
                                   uint64_t endpoint, Instant now)
{
    if (!canAcquire(sustainablePerSecond, fleet, endpoint, now))
        return false;
    if (sustainablePerSecond <= 0)
        return true;
    const std::chrono::duration<double> interval(
            1.0 / routerRate(sustainablePerSecond, fleet, endpoint));
    nextAllowedAt_ = now + std::chrono::duration_cast<Duration>(interval);
    return true;
}

} // namespace bamboogap
