// Counts of outcomes, with exponential decay.

#include "routing/endpointhealth.h"

#include <algorithm>
#include <cmath>

namespace bamboogap {

bool EndpointHealth::record(Outcome outcome, double peerFailureShare, bool mayEject, Instant now)
{
    decay(now);
    switch (outcome) {
    case Outcome::Succeeded:
        succeeded_ += 1;
        consecutiveBreaks_ = 0;
        probation_ = false;
        nextEjection_ = kFirstEjection;
        return false;
    case Outcome::Rejected:
    case Outcome::Abandoned:
        return false;
    case Outcome::Failed:
        failed_ += 1;
        consecutiveBreaks_ = 0;
        break;
    case Outcome::Broken:
        failed_ += 1;
        ++consecutiveBreaks_;
        break;
    case Outcome::Unreachable:
        failed_ += 1;
        consecutiveBreaks_ = kBreaksToEject;
        break;
    }
    const bool outlier = isOutlier(peerFailureShare);
    if (isEjected(now) || (!mayEject && outcome != Outcome::Unreachable)
        || (consecutiveBreaks_ < kBreaksToEject && !outlier && !probation_))
        return false;
    eject(now);
    return true;
}

// Whether the endpoint has more failures than chance explains at the peers' failure share.
bool EndpointHealth::isOutlier(double peerFailureShare) const
{
    const double samples = succeeded_ + failed_;
    const double peerShare
            = std::clamp(peerFailureShare, kMinPeerFailureShare, 1 - kMinPeerFailureShare);
    const double expected = samples * peerShare;
    const double deviation = std::sqrt(expected * (1 - peerShare));
    return failed_ > expected + kOutlierDeviations * deviation + kFailureMargin;
}

double EndpointHealth::failureShare(Instant now) const
{
    EndpointHealth current = *this;
    current.decay(now);
    const double samples = current.succeeded_ + current.failed_;
    return samples < 1 ? 0 : current.failed_ / samples;
}

void EndpointHealth::decay(Instant now)
{
    if (now <= decayedAt_)
        return;
    const double halfLives = std::chrono::duration<double>(now - decayedAt_)
            / std::chrono::duration<double>(kHalfLife);
    const double factor = std::exp2(-halfLives);
    succeeded_ *= factor;
    failed_ *= factor;
    decayedAt_ = now;
}

void EndpointHealth::eject(Instant now)
{
    ejectedUntil_ = now + nextEjection_;
    nextEjection_ = std::min(nextEjection_ * 2, kMaxEjection);
    probation_ = true;
    consecutiveBreaks_ = 0;
    succeeded_ = 0;
    failed_ = 0;
}

} // namespace bamboogap
