// How long a connection attempt may take before its request goes to another endpoint.
//
// Answers the load pattern of endpoints that lose power: connecting to one hangs, and each
// request sent there loses that time. Nothing was sent yet, so giving up costs only a
// connection; giving up too early would cost all of them. So the limit follows the attempts
// that succeeded, one object for endpoints that are about equally far away.

#ifndef BAMBOOGAP_ROUTING_CONNECTLIMIT_H
#define BAMBOOGAP_ROUTING_CONNECTLIMIT_H

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace bamboogap {

class ConnectLimit
{
public:
    // Before anything was observed, and the longest; regions are 150 ms apart.
    static constexpr Duration kLongest = std::chrono::milliseconds(400);
    // A process that shares its processor accepts late.
    static constexpr Duration kLeast = std::chrono::milliseconds(60);
    // Times the usual time of an attempt.
    static constexpr int kMultiple = 6;
    // What a success takes off a usual time that was longer, so that one slow attempt
    // does not count forever.
    static constexpr double kDecay = 0.05;

    void connected(Duration took)
    {
        expiredInRow_ = 0;
        if (usual_ == Duration {} || took > usual_)
            usual_ = std::max(took, Duration { 1 });
        else
            usual_ -= std::chrono::duration_cast<Duration>((usual_ - took) * kDecay);
    }

    // An attempt reached its limit. If all do, the way may have become longer: the limit
    // doubles with each until one succeeds.
    void expired() { expiredInRow_ = std::min(expiredInRow_ + 1, kMostDoublings); }

    Duration limit() const
    {
        if (usual_ == Duration {})
            return kLongest;
        const Duration wanted = std::max(kLeast, usual_ * kMultiple);
        return std::min(kLongest, wanted * (int64_t { 1 } << expiredInRow_));
    }

private:
    static constexpr uint32_t kMostDoublings = 8;

    Duration usual_ {}; // zero before the first success
    uint32_t expiredInRow_ = 0;
};

} // namespace bamboogap

#endif
