// The number of routers among which a fleet-wide limit is divided, as one router knows it.
//
// Routers that divide by too small a number exceed the limit together. So only replicas in touch
// with the group's leader are believed, the largest number of the last minute counts, and a
// router that hears from no such replica for that time uses no share: behind a partition the
// replicas forget it later than that (RouterTable::kRetention).

#ifndef BAMBOOGAP_FLEET_SHARERCOUNT_H
#define BAMBOOGAP_FLEET_SHARERCOUNT_H

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace bamboogap {

class SharerCount
{
public:
    static constexpr Duration kValidity = std::chrono::minutes(1);

    // A replica in touch with the leader told the number; 0 if it does not know it.
    void onReply(uint32_t routers, Instant now);
    // 0 if unknown.
    uint32_t count(Instant now) const;

private:
    std::map<uint32_t, Instant> lastTold_; // by number
};

} // namespace bamboogap

#endif
