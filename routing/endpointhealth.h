// Ejection of endpoints by the outcomes of this router's own requests.
//
// Answers the load pattern of an endpoint that fails, hangs or resets part of its
// requests while its health check passes. An endpoint is ejected when requests to
// it break several times in a row, or when its share of failures, over the last
// few seconds, is far above that of its peers. After its time it is on probation:
// one request at a time until one succeeds; a failure ejects it for twice as long.

#ifndef BAMBOOGAP_ROUTING_ENDPOINTHEALTH_H
#define BAMBOOGAP_ROUTING_ENDPOINTHEALTH_H

#include <cstdint>

#include "base/clock.h"

namespace bamboogap {

enum class Outcome {
    Succeeded,
    Failed, // the endpoint answered with an error
    Broken, // no answer, a broken one or silence
    Unreachable, // no connection: nothing was sent
    Rejected, // the endpoint said that it did not run the request
    Abandoned, // the caller left
};

class EndpointHealth
{
public:
    // Breaks in a row that eject an endpoint.
    static constexpr uint32_t kBreaksToEject = 3;
    // Failures beyond what the peers' share explains, in standard deviations and in
    // requests, that eject an endpoint.
    static constexpr double kOutlierDeviations = 3;
    static constexpr double kSpareFailures = 1.5;
    // Peers without any failure count as failing this share.
    static constexpr double kLeastUsualShare = 0.03;
    static constexpr Duration kFirstEjection = std::chrono::milliseconds(800);
    static constexpr Duration kLongestEjection = std::chrono::seconds(6);
    // Outcomes lose half their weight in this time.
    static constexpr Duration kHalfLife = std::chrono::seconds(2);

    // peerFailureShare is the mean over the other endpoints of the service; mayEject
    // is false while too many of them are ejected. True if the endpoint was ejected
    // by this outcome. One that cannot be connected to is ejected in any case.
    bool record(Outcome outcome, double peerFailureShare, bool mayEject, Instant now);

    bool isEjected(Instant now) const { return now < ejectedUntil_; }
    // True until a request has succeeded after an ejection.
    bool onProbation(Instant now) const { return probation_ && !isEjected(now); }
    double failureShare(Instant now) const;

private:
    bool isOutlier(double peerFailureShare) const;
    void decay(Instant now);
    void eject(Instant now);

    double succeeded_ = 0;
    double failed_ = 0;
    Instant decayedAt_ {};
    uint32_t breaksInRow_ = 0;
    Instant ejectedUntil_ {};
    Duration nextEjection_ = kFirstEjection;
    bool probation_ = false;
};

} // namespace bamboogap

#endif
