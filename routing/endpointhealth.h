// Ejection of endpoints by the outcomes of this router's own requests.
//
// Detects endpoints that fail, hang or reset part of their requests while their health check
// passes. An endpoint is ejected when several requests in a row break, or when its share of
// failures over the last few seconds is far above that of its peers. When the ejection time
// has passed, the endpoint is on probation: it gets one request at a time until one
// succeeds. A failure during probation ejects it again, for twice as long (at most
// kMaxEjection).

#ifndef BAMBOOGAP_ROUTING_ENDPOINTHEALTH_H
#define BAMBOOGAP_ROUTING_ENDPOINTHEALTH_H

#include <cstdint>

#include "base/clock.h"

namespace bamboogap {

enum class Outcome {
    Succeeded,
    Failed, // the endpoint responded with an error
    Broken, // no response, an incomplete one or a time-out
    Unreachable, // no connection, so nothing was sent
    Rejected, // the endpoint reported that it did not run the request
    Abandoned, // the caller disconnected
};

class EndpointHealth
{
public:
    // Consecutive Broken outcomes after which an endpoint is ejected.
    static constexpr uint32_t kBreaksToEject = 3;
    // An endpoint is ejected when its failures exceed the number expected from its peers'
    // failure share by this many standard deviations plus kFailureMargin requests.
    static constexpr double kOutlierDeviations = 3;
    static constexpr double kFailureMargin = 1.5;
    // Lower bound of the peers' failure share, used when no peer has failed; 1 minus this is
    // the upper bound.
    static constexpr double kMinPeerFailureShare = 0.03;
    static constexpr Duration kFirstEjection = std::chrono::milliseconds(800);
    static constexpr Duration kMaxEjection = std::chrono::seconds(6);
    // Half-life of the weight of an outcome.
    static constexpr Duration kHalfLife = std::chrono::seconds(2);

    // Records the outcome of a request. peerFailureShare is the mean failure share of the
    // service's other endpoints; mayEject is false while too many of them are ejected. An
    // Unreachable outcome ejects the endpoint even then. Returns true if this outcome ejected
    // the endpoint; false if it was ejected before.
    bool record(Outcome outcome, double peerFailureShare, bool mayEject, Instant now);

    bool isEjected(Instant now) const { return now < ejectedUntil_; }
    // True from the end of an ejection until a request succeeds.
    bool onProbation(Instant now) const { return probation_ && !isEjected(now); }
    double failureShare(Instant now) const;

private:
    bool isOutlier(double peerFailureShare) const;
    void decay(Instant now);
    void eject(Instant now);

    double succeeded_ = 0;
    double failed_ = 0;
    Instant decayedAt_ {};
    uint32_t consecutiveBreaks_ = 0;
    Instant ejectedUntil_ {};
    Duration nextEjection_ = kFirstEjection;
    bool probation_ = false;
};

} // namespace bamboogap

#endif
