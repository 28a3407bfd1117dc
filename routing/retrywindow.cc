#include "routing/retrywindow.h"

namespace bamboogap {

int64_t RetryWindow::slotNumber(Instant now) const
{
    return now.time_since_epoch() / (settings_.window / kSlots);
}

RetryWindow::Slot &RetryWindow::slotAt(Instant now)
{
    const int64_t number = slotNumber(now);
    Slot &slot = slots_[number % slots_.size()];
    if (slot.number != number)
        slot = { number, 0, 0 };
    return slot;
}

void RetryWindow::onRequest(Instant now)
{
    ++slotAt(now).requests;
}

RetryDecision RetryWindow::take(uint32_t routers, Instant now)
{
    const int64_t oldest = slotNumber(now) - static_cast<int64_t>(kSlots);
    double requests = 0;
    uint32_t retries = 0;
    for (const Slot &slot : slots_) {
        if (slot.number < oldest)
            continue;
        requests += slot.requests;
        retries += slot.retries;
    }
    const double allowed = kUsedShare
            * (settings_.ratio * requests + settings_.slack / (routers > 0 ? routers : 1));
    if (retries + 1 > allowed)
        return { false, retries, allowed };
    ++slotAt(now).retries;
    return { true, retries, allowed };
}

} // namespace bamboogap
