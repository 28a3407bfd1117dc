// Orders waiting work. The queue is short by its limit, so a choice scans it:
// O(n) with n <= maxWaiting, and only when a place has become free.

#include "routing/waitqueue.h"

#include <algorithm>

namespace bamboogap {

namespace {

constexpr size_t kMaxWorkspacesKept = 4096;

} // namespace

std::string_view priorityName(Priority priority)
{
    switch (priority) {
    case Priority::Urgent:
        return "urgent";
    case Priority::Normal:
        return "normal";
    case Priority::Patient:
        return "patient";
    }
    return "normal";
}

WaitQueue::WaitQueue(WaitQueueSettings settings)
    : settings_(settings)
{
}

size_t WaitQueue::aheadOf(const Waiting &waiting, Instant now) const
{
    const Order own = orderOf(waiting, now);
    return std::count_if(waiting_.begin(), waiting_.end(),
                         [&](const auto &item) { return orderOf(item.second, now) < own; });
}

bool WaitQueue::add(Waiting waiting, Instant now, std::vector<RequestId> &displaced)
{
    if (waiting_.size() >= settings_.maxWaiting) {
        const std::vector<Order> orders = ordered(now);
        if (orders.empty() || !(orderOf(waiting, now) < orders.back()))
            return false;
        displaced.push_back(orders.back().id);
        waiting_.erase(orders.back().id);
    }
    const RequestId id = waiting.id;
    waiting_[id] = std::move(waiting);
    return true;
}

RequestId WaitQueue::take(const std::function<bool(const Waiting &)> &fits, Instant now)
{
    for (const Order &order : ordered(now)) {
        const auto found = waiting_.find(order.id);
        if (!fits(found->second))
            continue;
        chargeStart(found->second);
        waiting_.erase(found);
        return order.id;
    }
    return 0;
}

std::vector<RequestId> WaitQueue::takeExpired(Instant now)
{
    std::vector<RequestId> expired;
    for (const auto &[id, waiting] : waiting_) {
        if (waiting.startBy <= now)
            expired.push_back(id);
    }
    for (const RequestId id : expired)
        waiting_.erase(id);
    return expired;
}

bool WaitQueue::remove(RequestId id)
{
    return waiting_.erase(id) > 0;
}

Instant WaitQueue::nextExpiry() const
{
    Instant next = Instant::max();
    for (const auto &[id, waiting] : waiting_)
        next = std::min(next, waiting.startBy);
    return next;
}

WaitQueue::Order WaitQueue::orderOf(const Waiting &waiting, Instant now) const
{
    int level = static_cast<int>(waiting.priority);
    if (level > 0 && waiting.startBy - now < settings_.nearDeadline)
        --level;
    const auto had = virtualTime_.find(waiting.workspace);
    // A workspace that was away starts where the others are, not behind them.
    const double start
            = had == virtualTime_.end() ? virtualNow_ : std::max(had->second, virtualNow_);
    return { level, start, waiting.startBy, waiting.id };
}

std::vector<WaitQueue::Order> WaitQueue::ordered(Instant now) const
{
    std::vector<Order> orders;
    orders.reserve(waiting_.size());
    for (const auto &[id, waiting] : waiting_)
        orders.push_back(orderOf(waiting, now));
    std::sort(orders.begin(), orders.end());
    return orders;
}

void WaitQueue::chargeStart(const Waiting &waiting)
{
    double &had = virtualTime_[waiting.workspace];
    const double start = std::max(had, virtualNow_);
    virtualNow_ = start;
    had = start + 1.0 / std::max<uint32_t>(waiting.share, 1);
    if (virtualTime_.size() > kMaxWorkspacesKept) {
        std::erase_if(virtualTime_,
                      [this](const auto &item) { return item.second <= virtualNow_; });
    }
}

} // namespace bamboogap
