// Order of waiting requests. take() sorts the queue, O(n log n) with n <= maxWaiting, and
// runs only when a slot has become free.

#include "routing/waitqueue.h"

#include <algorithm>

namespace bamboogap {

namespace {

constexpr size_t kMaxWorkspaces = 4096;

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

size_t WaitQueue::countAhead(const QueueEntry &entry, Instant now) const
{
    const Order own = orderOf(entry, now);
    return std::count_if(entries_.begin(), entries_.end(),
                         [&](const auto &item) { return orderOf(item.second, now) < own; });
}

bool WaitQueue::add(QueueEntry entry, Instant now, std::vector<RequestId> &displaced)
{
    if (entries_.size() >= settings_.maxWaiting) {
        const std::vector<Order> orders = ordered(now);
        if (orders.empty() || !(orderOf(entry, now) < orders.back()))
            return false;
        displaced.push_back(orders.back().id);
        entries_.erase(orders.back().id);
    }
    const RequestId id = entry.id;
    entries_[id] = std::move(entry);
    return true;
}

RequestId WaitQueue::take(const std::function<bool(const QueueEntry &)> &fits, Instant now)
{
    for (const Order &order : ordered(now)) {
        const auto found = entries_.find(order.id);
        if (!fits(found->second))
            continue;
        chargeStart(found->second);
        entries_.erase(found);
        return order.id;
    }
    return 0;
}

std::vector<RequestId> WaitQueue::takeExpired(Instant now)
{
    std::vector<RequestId> expired;
    for (const auto &[id, entry] : entries_) {
        if (entry.startBy <= now)
            expired.push_back(id);
    }
    for (const RequestId id : expired)
        entries_.erase(id);
    return expired;
}

bool WaitQueue::remove(RequestId id)
{
    return entries_.erase(id) > 0;
}

Instant WaitQueue::nextExpiry() const
{
    Instant next = Instant::max();
    for (const auto &[id, entry] : entries_)
        next = std::min(next, entry.startBy);
    return next;
}

WaitQueue::Order WaitQueue::orderOf(const QueueEntry &entry, Instant now) const
{
    int level = static_cast<int>(entry.priority);
    if (level > 0 && entry.startBy - now < settings_.nearDeadline)
        --level;
    const auto used = virtualTime_.find(entry.workspace);
    // An inactive workspace resumes at the current virtual time, so it neither gains nor
    // loses against the others.
    const double start
            = used == virtualTime_.end() ? virtualNow_ : std::max(used->second, virtualNow_);
    return { level, start, entry.startBy, entry.id };
}

std::vector<WaitQueue::Order> WaitQueue::ordered(Instant now) const
{
    std::vector<Order> orders;
    orders.reserve(entries_.size());
    for (const auto &[id, entry] : entries_)
        orders.push_back(orderOf(entry, now));
    std::sort(orders.begin(), orders.end());
    return orders;
}

void WaitQueue::chargeStart(const QueueEntry &entry)
{
    double &used = virtualTime_[entry.workspace];
    const double start = std::max(used, virtualNow_);
    virtualNow_ = start;
    used = start + 1.0 / std::max<uint32_t>(entry.share, 1);
    if (virtualTime_.size() > kMaxWorkspaces) {
        std::erase_if(virtualTime_,
                      [this](const auto &item) { return item.second <= virtualNow_; });
    }
}

} // namespace bamboogap
