// How long an endpoint wants no requests from this router.
//
// Answers the load pattern of a service that sheds a burst: an overloaded endpoint turns
// requests away and says for how long it wants none; requests that keep coming, also
// repeats and resumed streams, would only cost it more.

#ifndef BAMBOOGAP_ROUTING_QUIETPERIOD_H
#define BAMBOOGAP_ROUTING_QUIETPERIOD_H

#include <algorithm>

#include "base/clock.h"

namespace bamboogap {

class QuietPeriod
{
public:
    // A longer period is cut to this, so that one odd answer cannot take an endpoint out
    // of service for good.
    static constexpr Duration kLongest = std::chrono::minutes(5);

    // The endpoint asked for quiet now. Never shortens a period that it asked for before:
    // answers can overtake each other.
    void ask(Duration duration, Instant now)
    {
        until_ = std::max(until_, now + std::min(duration, kLongest));
    }

    bool isQuiet(Instant now) const { return now < until_; }
    Duration left(Instant now) const { return std::max(Duration {}, until_ - now); }

private:
    Instant until_ {};
};

} // namespace bamboogap

#endif
