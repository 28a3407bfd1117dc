// Rate limits that endpoints name in their answers, as a router or a control replica knows them.
//
// An endpoint names its limit in each answer for as long as it holds. Answers overtake each other,
// and every router sees others of them: an answer without a limit ends it only if its request was
// sent after the last answer that named one had come.

#ifndef BAMBOOGAP_FLEET_ENDPOINTRATELIMITS_H
#define BAMBOOGAP_FLEET_ENDPOINTRATELIMITS_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "fleet/announcement.h"

namespace bamboogap {

// What one answer of an endpoint said of its limit.
struct LimitObservation
{
    EndpointKey key = 0;
    int64_t startMillis = 0; // of its incarnation
    std::optional<double> perSecond; // requests of the whole fleet; nothing if none was named
    Instant sentAt {}; // when the request was
    Instant answeredAt {}; // when the answer's head came
};

class EndpointRateLimits
{
public:
    // An observation is dropped this long after it was made: the endpoint has ended, or gets no
    // requests.
    static constexpr Duration kRetention = std::chrono::minutes(10);
    // Limits that differ by less, as a share, are equal.
    static constexpr double kTolerance = 0.02;

    // `version` is that of the table before any observation. It differs from those of an earlier
    // process, so that whoever knew that one is told everything.
    explicit EndpointRateLimits(uint64_t version = 1);

    // Applies an observation, and returns whether a limit has changed. Observations may come in any
    // order.
    bool observe(const LimitObservation &observation);
    // Requests per second that the incarnation takes from the whole fleet; nothing if it has no
    // limit.
    std::optional<double> limitOf(EndpointKey key, int64_t startMillis) const;
    void expire(Instant now);

    uint64_t version() const { return version_; }
    // The observations of at most maxCount (1 or more) limits that have changed after `version`,
    // the oldest first, and sets `version` to that of the last one. All limits if `version` is not
    // one of this table's.
    std::vector<LimitObservation> changesSince(uint64_t &version, size_t maxCount) const;

private:
    struct Entry
    {
        LimitObservation last;
        uint64_t changedAt = 0; // version of the last change
    };

    uint64_t firstVersion_;
    uint64_t version_;
    std::map<EndpointKey, Entry> entries_;
};

} // namespace bamboogap

#endif
