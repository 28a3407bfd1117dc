// A fleet-wide limit on repeated sends, kept by each router for its share.
//
// In any window a service may see at most `ratio` times the requests for it, plus
// `slack`, as sends beyond the first. A router that keeps to that ratio of its own
// requests and to an equal part of the slack needs no word from the others.

#ifndef BAMBOOGAP_ROUTING_RETRYWINDOW_H
#define BAMBOOGAP_ROUTING_RETRYWINDOW_H

#include <array>
#include <cstdint>

#include "base/clock.h"

namespace bamboogap {

struct RetryWindowSettings
{
    double ratio = 0.2;
    double slack = 10; // of the whole fleet
    Duration window = std::chrono::seconds(10);
};

class RetryWindow
{
public:
    // Share of both terms that is used, for windows that slide between the slots
    // counted here and for routers that count each other late.
    static constexpr double kUsedShare = 0.8;

    explicit RetryWindow(RetryWindowSettings settings = {})
        : settings_(settings)
    {
    }

    void onRequest(Instant now);
    // Takes one repeat; false if this router's share is used up.
    bool take(uint32_t routers, Instant now);

private:
    static constexpr size_t kSlots = 20;
    struct Slot
    {
        int64_t number = -1;
        uint32_t requests = 0;
        uint32_t repeats = 0;
    };

    int64_t slotNumber(Instant now) const;
    Slot &slotAt(Instant now);

    RetryWindowSettings settings_;
    std::array<Slot, kSlots + 1> slots_ {};
};

} // namespace bamboogap

#endif
