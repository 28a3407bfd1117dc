// The time for which an endpoint asked to get no requests from this router.
//
// An overloaded endpoint rejects requests and names a back-off time. Requests that are sent
// before it has passed, including retries and resumed streams, would add to the overload.

#ifndef BAMBOOGAP_ROUTING_BACKOFFPERIOD_H
#define BAMBOOGAP_ROUTING_BACKOFFPERIOD_H

#include <algorithm>

#include "base/clock.h"

namespace bamboogap {

class BackoffPeriod
{
public:
    // Longer periods are cut to this, so that a single wrong response cannot take an endpoint
    // out of service for good.
    static constexpr Duration kMaxDuration = std::chrono::minutes(5);

    // The endpoint asked for a back-off of this duration at `now`. Never shortens an earlier
    // period, because responses can arrive out of order.
    void extend(Duration duration, Instant now)
    {
        until_ = std::max(until_, now + std::min(duration, kMaxDuration));
    }

    bool isActive(Instant now) const { return now < until_; }
    Duration remaining(Instant now) const { return std::max(Duration {}, until_ - now); }

private:
    Instant until_ {};
};

} // namespace bamboogap

#endif
