#include "routing/endpointratelimiter.h"

#include <algorithm>

namespace bamboogap {

double rateShare(double fleetPerSecond, uint64_t endpoint, const SharePosition &position)
{
    if (position.routers == 0)
        return 0;
    const double limit = std::max(fleetPerSecond, EndpointRateLimiter::kLeastLimit);
    const double most = limit / EndpointRateLimiter::kLeastRouterRate;
    const auto holders = static_cast<uint32_t>(std::clamp(most, 1.0, double(position.routers)));
    // In proportion to the key, so that it moves by one position at most if a router comes or goes.
    const auto first = static_cast<uint32_t>((endpoint >> 32) * position.routers >> 32);
    if ((position.rank + position.routers - first) % position.routers >= holders)
        return 0;
    return limit / holders;
}

void EndpointRateLimiter::setLimit(std::optional<double> fleetPerSecond, uint64_t endpoint,
                                   const SharePosition &position, Instant now)
{
    confirmedUntil_ = position.confirmedUntil;
    if (!fleetPerSecond) {
        share_.reset();
        return;
    }
    const double share = rateShare(*fleetPerSecond, endpoint, position);
    const bool hadShare = share_.value_or(0) > 0;
    if (share > 0 && !hadShare)
        lastSentAt_ = now;
    share_ = share;
}

double EndpointRateLimiter::perSecond(Instant now) const
{
    return now < confirmedUntil_ ? *share_ : *share_ * kUnconfirmedShare;
}

Instant EndpointRateLimiter::sendTime(size_t ahead, Instant now) const
{
    if (!share_)
        return Instant::min();
    if (*share_ <= 0)
        return Instant::max();
    const std::chrono::duration<double> wait(double(ahead + 1) / perSecond(now));
    return lastSentAt_ + std::chrono::duration_cast<Duration>(wait);
}

} // namespace bamboogap
