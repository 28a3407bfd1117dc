// A fleet-wide limit on retries, of which each router enforces its share.
//
// Within any window a service may get at most `ratio` times the number of its requests, plus
// `slack`, as retries. A router applies the ratio to its own requests and uses an equal part of
// the slack, so that it needs no information from the others but their number.
//
// The count is lost with the process. What an earlier process of the router has sent in the
// current window is unknown then, so that a new one uses a separate, smaller share for the
// length of a window, unless it is known to be the first. That share is earned by the process's
// own requests alone: any number of restarts within a window does not raise the sum.

#ifndef BAMBOOGAP_ROUTING_RETRYWINDOW_H
#define BAMBOOGAP_ROUTING_RETRYWINDOW_H

#include <array>
#include <cstdint>

#include "base/clock.h"

namespace bamboogap {

struct RetryWindowSettings
{
    double ratio = 0.2;
    double slack = 10; // for the whole fleet
    Duration window = std::chrono::seconds(10);
};

// Whether a retry may be sent, and the figures that decided it.
struct RetryDecision
{
    bool granted = false;
    uint32_t used = 0; // retries of the window before this one
    double allowed = 0; // of this router in the window
};

class RetryWindow
{
public:
    // Shares of the ratio that a router uses in the first window after an earlier process, and
    // later, and of the slack that it uses later. The rest covers the time that retries and
    // requests are on their way.
    static constexpr double kFirstRatioShare = 0.25;
    static constexpr double kRatioShare = 0.65;
    static constexpr double kSlackShare = 0.8;

    // An earlier process of this router may have run until `predecessorEnd`.
    explicit RetryWindow(RetryWindowSettings settings = {}, Instant predecessorEnd = {})
        : settings_(settings)
        , firstWindowEnd_(predecessorEnd + settings.window)
    {
    }

    void onRequest(Instant now);
    // Takes one retry, unless this router's share is used up. `routers` is the number of routers
    // that share the slack; without it, 0, this router uses none of the slack.
    RetryDecision take(uint32_t routers, Instant now);

private:
    static constexpr size_t kSlots = 20;
    struct Slot
    {
        int64_t number = -1;
        uint32_t requests = 0;
        uint32_t retries = 0;
    };

    int64_t slotNumber(Instant now) const;
    Slot &slotAt(Instant now);

    RetryWindowSettings settings_;
    Instant firstWindowEnd_ {};
    std::array<Slot, kSlots + 1> slots_ {};
};

} // namespace bamboogap

#endif
