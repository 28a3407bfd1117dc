// The monotonic clock that measures leases.
//
// std::chrono::steady_clock does not advance while a virtual machine is suspended, so a
// lease measured with it would seem valid after a resume although it has expired. This
// clock reads CLOCK_BOOTTIME, which includes suspended time. Classes without I/O never
// read it: each of their functions that depends on time takes an Instant.

#ifndef BAMBOOGAP_BASE_CLOCK_H
#define BAMBOOGAP_BASE_CLOCK_H

#include <chrono>

namespace bamboogap {

using Duration = std::chrono::nanoseconds;

// A std::chrono clock whose time includes the periods in which the machine was suspended.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now();
};

using Instant = BootClock::time_point;

// Wall-clock time in milliseconds since the Unix epoch, for records that outlive a process.
int64_t wallClockMillis();

// The duration in whole milliseconds; the fraction is truncated.
inline int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace bamboogap

#endif
