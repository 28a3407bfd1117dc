// Work that waits for a place, in the order in which it should run.
//
// Three rules, in this order:
//  1. Priority: urgent before normal before patient. Work whose slack is nearly
//     used up moves up to the class above, so patient work still makes its
//     deadline under a steady flow of urgent work.
//  2. Fair shares: within a class the workspace that has had the least service
//     for its share goes first (start-time fair queueing: each start moves a
//     workspace's virtual time on by 1 / share), so that a surging workspace
//     waits behind itself only.
//  3. Earliest deadline first within a workspace.
//
// Work that cannot start by its deadline is given up at once: when it arrives,
// by the wait that the queue ahead of it means, and while it waits.

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

struct Waiting
{
    RequestId id = 0;
    std::string workspace;
    uint32_t share = 1;
    Priority priority = Priority::Normal;
    Instant startBy {}; // later than this it is of no use to start
    Instant since {};
};

struct WaitQueueSettings
{
    size_t maxWaiting = 256;
    // With less than this left, work moves up a class.
    Duration nearDeadline = std::chrono::seconds(2);
};

class WaitQueue
{
public:
    explicit WaitQueue(WaitQueueSettings settings = {});

    // How many would start before this one by the rules above.
    size_t aheadOf(const Waiting &waiting, Instant now) const;

    // False if the queue is full of work that goes before it. Work that had to
    // make room for it is put into `displaced`.
    bool add(Waiting waiting, Instant now, std::vector<RequestId> &displaced);

    // Takes the first waiting work that `fits` accepts; null id 0 if none.
    RequestId take(const std::function<bool(const Waiting &)> &fits, Instant now);

    // Takes out what can no longer start in time.
    std::vector<RequestId> takeExpired(Instant now);

    bool remove(RequestId id);
    size_t size() const { return waiting_.size(); }
    // When takeExpired() would next give something; max if empty.
    Instant nextExpiry() const;

private:
    struct Order
    {
        int level = 0; // class after moving up
        double virtualStart = 0;
        Instant startBy {};
        RequestId id = 0;

        auto operator<=>(const Order &) const = default;
    };

    Order orderOf(const Waiting &waiting, Instant now) const;
    std::vector<Order> ordered(Instant now) const;
    void chargeStart(const Waiting &waiting);

    WaitQueueSettings settings_;
    std::map<RequestId, Waiting> waiting_;
    std::map<std::string, double> virtualTime_; // service had, by workspace
    double virtualNow_ = 0;
};

} // namespace bamboogap

#endif
