// One router's share of the rate limit that an endpoint has named for the whole fleet.
//
// No router knows what the others send, so each keeps to a share that needs no word of theirs: the
// limit is divided equally. In a large fleet such a share would be less than a request in some
// seconds, and all the shares together a burst far above the limit. Hence only so many routers
// hold shares that each may send a request at least every two seconds; which ones depends on the
// endpoint. When the number of routers changes, few shares move, and a router begins one without
// anything saved up.

#ifndef BAMBOOGAP_ROUTING_ENDPOINTRATELIMITER_H
#define BAMBOOGAP_ROUTING_ENDPOINTRATELIMITER_H

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace bamboogap {

// This router's place among those that share a limit.
struct SharePosition
{
    uint32_t routers = 0; // alive, as the leader of the control group told; 0 if it never did
    uint32_t rank = 0; // of this router among them
    Instant confirmedUntil {}; // no other router gets this one's share before
};

// Requests per second that a router with a confirmed position may send to the endpoint.
double rateShare(double fleetPerSecond, uint64_t endpoint, const SharePosition &position);

class EndpointRateLimiter
{
public:
    // Requests per second of a router that holds a share, at least.
    static constexpr double kLeastRouterRate = 0.5;
    // Lower limits are raised to this, in requests per second: the end of a limit shows in an
    // answer.
    static constexpr double kLeastLimit = 0.25;
    // What is left of the share of a router that is not confirmed, since another may hold it: all
    // endpoints are still of use while the leader is lost, and half a fleet behind a partition adds
    // little to what the other half sends.
    static constexpr double kUnconfirmedShare = 0.25;

    // Sets the limit in requests per second, or that there is none.
    void setLimit(std::optional<double> fleetPerSecond, uint64_t endpoint,
                  const SharePosition &position, Instant now);
    bool isLimited() const { return share_.has_value(); }
    // This router's share in requests per second; only if there is a limit.
    double perSecond(Instant now) const;

    bool maySend(Instant now) const { return now >= sendTime(0, now); }
    void onSent(Instant now) { lastSentAt_ = now; }
    // When a request may be sent after `ahead` others; Instant::max() if the router has no share.
    Instant sendTime(size_t ahead, Instant now) const;

private:
    std::optional<double> share_; // in requests per second, while the position is confirmed
    Instant confirmedUntil_ {};
    Instant lastSentAt_ {};
};

} // namespace bamboogap

#endif
