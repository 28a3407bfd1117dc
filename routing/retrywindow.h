// A fleet-wide limit on retries, of which each router enforces its share.
//
// Within any window a service may get at most `ratio` times the number of its requests, plus
// `slack`, as retries. A router that applies the ratio to its own requests and uses an equal
// part of the slack needs no information from the others.

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
    // Share of both terms that is used. The rest covers windows that are not aligned with
    // the time slots counted here, and the delay until routers notice each other.
    static constexpr double kUsedShare = 0.8;

    explicit RetryWindow(RetryWindowSettings settings = {})
        : settings_(settings)
    {
    }

    void onRequest(Instant now);
    // Takes one retry, unless this router's share is used up.
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
    std::array<Slot, kSlots + 1> slots_ {};
};

} // namespace bamboogap

#endif
