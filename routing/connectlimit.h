// How long a connection attempt may take before its request is sent to another endpoint.
//
// Connecting to an endpoint that lost power hangs, and each request sent there loses that
// time. Abandoning an attempt is cheap because nothing was sent yet, but a limit that is too
// low would fail every attempt. So the limit is derived from the duration of successful
// attempts. One object serves endpoints that are at about the same distance.

#ifndef BAMBOOGAP_ROUTING_CONNECTLIMIT_H
#define BAMBOOGAP_ROUTING_CONNECTLIMIT_H

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace bamboogap {

class ConnectLimit
{
public:
    // Upper bound of the limit, and the limit before the first success. Regions are 150 ms
    // apart.
    static constexpr Duration kMaxLimit = std::chrono::milliseconds(400);
    // Lower bound: a process that shares its processor may accept connections late.
    static constexpr Duration kMinLimit = std::chrono::milliseconds(60);
    // The limit as a multiple of the slowest recent attempt.
    static constexpr int kMultiple = 6;
    // Share of the difference by which a faster attempt lowers the slowest recent duration,
    // so that one slow attempt does not count forever.
    static constexpr double kDecay = 0.05;

    void onConnected(Duration took)
    {
        consecutiveTimeouts_ = 0;
        if (recentMax_ == Duration {} || took > recentMax_)
            recentMax_ = std::max(took, Duration { 1 });
        else
            recentMax_ -= std::chrono::duration_cast<Duration>((recentMax_ - took) * kDecay);
    }

    // An attempt reached the limit. If all attempts do, the round-trip time may have grown:
    // the limit doubles with each time-out until an attempt succeeds.
    void onTimeout() { consecutiveTimeouts_ = std::min(consecutiveTimeouts_ + 1, kMaxDoublings); }

    Duration limit() const
    {
        if (recentMax_ == Duration {})
            return kMaxLimit;
        const Duration wanted = std::max(kMinLimit, recentMax_ * kMultiple);
        return std::min(kMaxLimit, wanted * (int64_t { 1 } << consecutiveTimeouts_));
    }

private:
    static constexpr uint32_t kMaxDoublings = 8;

    Duration recentMax_ {}; // zero before the first success
    uint32_t consecutiveTimeouts_ = 0;
};

} // namespace bamboogap

#endif
