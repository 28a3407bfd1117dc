// The steady clock that leases are counted by.
//
// std::chrono::steady_clock stops while a virtual machine is suspended, so a
// lease counted by it would outlast its end after a resume. This clock reads
// CLOCK_BOOTTIME, which goes on counting. Pure aggregates never read it: every
// call that depends on time takes an Instant.

#ifndef BAMBOOGAP_BASE_CLOCK_H
#define BAMBOOGAP_BASE_CLOCK_H

#include <chrono>

namespace bamboogap {

using Duration = std::chrono::nanoseconds;

// A std::chrono clock that counts the time a machine was suspended.
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

// Wall-clock milliseconds since 1970, for records that outlive a process.
int64_t wallClockMillis();

// Whole milliseconds in a duration, rounded down.
inline int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace bamboogap

#endif
