// Requests that wait for a slot, in the order in which they should run.
//
// The order follows three rules, by precedence:
//  1. Priority: urgent before normal before patient. A request that is close
//     to its deadline moves up one class, so that patient requests meet their
//     deadlines under a steady flow of urgent ones.
//  2. Fair shares: within a class, the workspace goes first that has received
//     the least service relative to its share (start-time fair queueing: each
//     start advances a workspace's virtual time by 1 / share). The requests of
//     a surging workspace thus delay only each other.
//  3. Earliest deadline first within a workspace.
//
// A request that cannot start by its deadline is rejected as soon as that is known: on
// arrival, from the expected wait behind the queue, or while it waits.

#ifndef BAMBOOGAP_ROUTING_WAITQUEUE_H
#define BAMBOOGAP_ROUTING_WAITQUEUE_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace bamboogap {

using RequestId = uint64_t;

enum class Priority : uint8_t { Urgent, Normal, Patient };
inline constexpr size_t kPriorities = 3;

std::string_view priorityName(Priority priority);

struct QueueEntry
{
    RequestId id = 0;
    std::string workspace;
    uint32_t share = 1;
    Priority priority = Priority::Normal;
    Instant startBy {}; // latest useful start
    Instant since {};
};

struct WaitQueueSettings
{
    size_t maxWaiting = 256;
    // A request with less time than this to its deadline moves up one class.
    Duration nearDeadline = std::chrono::seconds(2);
};

class WaitQueue
{
public:
    explicit WaitQueue(WaitQueueSettings settings = {});

    // Number of waiting requests that would start before this one.
    size_t countAhead(const QueueEntry &entry, Instant now) const;

    // False if the queue is full of requests that precede this one. The id of a request that
    // was removed to make room is appended to `displaced`.
    bool add(QueueEntry entry, Instant now, std::vector<RequestId> &displaced);

    // Removes the first request that `fits` accepts and returns its id; 0 if there is none.
    RequestId take(const std::function<bool(const QueueEntry &)> &fits, Instant now);

    // Removes the requests whose deadline has passed and returns their ids.
    std::vector<RequestId> takeExpired(Instant now);

    bool remove(RequestId id);
    size_t size() const { return entries_.size(); }
    // When takeExpired() will next return a request; Instant::max() if the queue is empty.
    Instant nextExpiry() const;

private:
    struct Order
    {
        int level = 0; // priority class, after moving up
        double virtualStart = 0;
        Instant startBy {};
        RequestId id = 0;

        auto operator<=>(const Order &) const = default;
    };

    Order orderOf(const QueueEntry &entry, Instant now) const;
    std::vector<Order> ordered(Instant now) const;
    void chargeStart(const QueueEntry &entry);

    WaitQueueSettings settings_;
    std::map<RequestId, QueueEntry> entries_;
    std::map<std::string, double> virtualTime_; // service received, by workspace
    double virtualNow_ = 0;
};

} // namespace bamboogap

#endif
