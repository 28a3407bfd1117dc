#include "base/clock.h"

#include <time.h>

namespace bamboogap {

BootClock::time_point BootClock::now()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

int64_t wallClockMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace bamboogap
