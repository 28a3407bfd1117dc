// The load that a plain endpoint reports in its responses.
//
// A response may carry the number of requests that run and wait at the endpoint, its slots, and
// optionally how long work takes there at the moment (100: as usual). The figures come from
// software that is not ours, so values outside of sensible bounds are errors.

#ifndef BAMBOOGAP_ROUTING_REPORTEDLOAD_H
#define BAMBOOGAP_ROUTING_REPORTEDLOAD_H

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"

namespace bamboogap {

struct ReportedLoad
{
    // Larger figures cannot be those of one endpoint.
    static constexpr uint32_t kMaxRequests = 100'000;
    static constexpr uint32_t kMaxPercent = 10'000;

    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 1;
    uint32_t percent = 100; // of the usual time that a request takes

    bool operator==(const ReportedLoad &) const = default;
    // Nothing waits, and under half of the slots are taken.
    bool isLow() const { return waiting == 0 && running * 2 < slots; }
    // Expected wait of a request that arrives now, if a request usually takes `work`.
    Duration expectedWait(Duration work) const
    {
        const double ahead = double(waiting) + (running >= slots ? 1 : 0);
        return std::chrono::duration_cast<Duration>(work * (ahead / slots * percent / 100));
    }
};

// Parses "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PERCENT", with spaces around figures
// allowed. InvalidRequest if the text has another form, a figure is out of bounds, or more
// requests run than there are slots.
Result<ReportedLoad> parseReportedLoad(std::string_view text);

} // namespace bamboogap

#endif
