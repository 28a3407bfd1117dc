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
    // The slots cover a little more than a window, those of the requests a little less.
    const int64_t oldest = slotNumber(now) - static_cast<int64_t>(kSlots);
    double requests = 0;
    uint32_t retries = 0;
    for (const Slot &slot : slots_) {
        if (slot.number >= oldest)
            retries += slot.retries;
        if (slot.number > oldest)
            requests += slot.requests;
    }
    const double slack = routers == 0 ? 0 : settings_.slack / routers;
    const double allowed = now < firstWindowEnd_
            ? kFirstRatioShare * settings_.ratio * requests
            : kRatioShare * settings_.ratio * requests + kSlackShare * slack;
    if (retries + 1 > allowed)
        return { false, retries, allowed };
    ++slotAt(now).retries;
    return { true, retries, allowed };
}

} // namespace bamboogap
