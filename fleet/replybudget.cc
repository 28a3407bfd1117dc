#include "fleet/replybudget.h"

#include <algorithm>

namespace bamboogap {

namespace {

// Share of the burst that is left for content of higher priorities.
double reservedShare(ReplyBudget::Priority priority)
{
    switch (priority) {
    case ReplyBudget::Priority::High:
        return 0;
    case ReplyBudget::Priority::Normal:
        return 0.25;
    case ReplyBudget::Priority::Low:
        return 0.5;
    }
    return 1;
}

} // namespace

size_t ReplyBudget::available(Priority priority, Instant now)
{
    if (now > updatedAt_) {
        const std::chrono::duration<double> passed = now - updatedAt_;
        balance_ = std::min(burstBytes(), balance_ + bytesPerSecond_ * passed.count());
        updatedAt_ = now;
    }
    const double free = balance_ - reservedShare(priority) * burstBytes();
    return free > 0 ? static_cast<size_t>(free) : 0;
}

size_t ReplyBudget::itemCount(Priority priority, size_t itemBytes, size_t least, size_t most,
                              Instant now)
{
    return std::clamp(available(priority, now) / itemBytes, least, most);
}

void ReplyBudget::spend(size_t bytes)
{
    // A long debt would hold up news for longer than the link needs for the bytes.
    balance_ = std::max(-burstBytes(), balance_ - double(bytes));
}

} // namespace bamboogap
