// The share of a replica's link that its answers to routers' reports may take.
//
// Heartbeats, votes and entries of the replicated log pass the same link and must not wait behind
// answers, however much has changed for however many routers. What finds no room in an answer goes
// with a later one: each content has a version up to which the router was told.

#ifndef BAMBOOGAP_FLEET_REPLYBUDGET_H
#define BAMBOOGAP_FLEET_REPLYBUDGET_H

#include <cstddef>

#include "base/clock.h"

namespace bamboogap {

class ReplyBudget
{
public:
    // Documents may use another quarter of the link (fleet/documentdistributor).
    static constexpr double kLinkShare = 0.4;
    // Unused bytes of the share are kept for this long.
    static constexpr Duration kBurst = std::chrono::milliseconds(100);

    // Content of a lower priority leaves bytes for that of a higher one.
    enum class Priority {
        High, // what routers must know within a bounded time
        Normal,
        Low, // what only saves work
    };

    explicit ReplyBudget(double linkBytesPerSecond)
        : bytesPerSecond_(kLinkShare * linkBytesPerSecond)
        , balance_(burstBytes())
    {
    }

    // Bytes that content of this priority may take now.
    size_t available(Priority priority, Instant now);
    // How many items of `itemBytes` bytes may be sent now: at least `least`, at most `most`.
    size_t itemCount(Priority priority, size_t itemBytes, size_t least, size_t most, Instant now);
    // Counts bytes that were sent, also beyond what was available.
    void spend(size_t bytes);

private:
    double burstBytes() const
    {
        return bytesPerSecond_ * std::chrono::duration<double>(kBurst).count();
    }

    double bytesPerSecond_;
    double balance_; // as of updatedAt_; negative after more was spent than was available
    Instant updatedAt_ {};
};

} // namespace bamboogap

#endif
