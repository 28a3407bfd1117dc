// Growth and reset of the slow-start limit.

#include "routing/slowstart.h"

#include <algorithm>

namespace bamboogap {

namespace {

constexpr int kAverageWeight = 8; // the newest first token has weight 1 / 8 in the mean

} // namespace

SlowStart::SlowStart(SlowStartSettings settings, uint32_t coldCapacity, uint32_t capacity,
                     uint32_t startLimit)
    : settings_(settings)
    , coldCapacity_(coldCapacity)
    , capacity_(capacity)
    , limit_(std::clamp(startLimit, coldCapacity, capacity))
{
}

void SlowStart::setCapacities(uint32_t coldCapacity, uint32_t capacity)
{
    const bool wasComplete = isComplete();
    coldCapacity_ = coldCapacity;
    capacity_ = capacity;
    limit_ = wasComplete ? capacity_ : std::min(limit_, capacity_);
    limit_ = std::max(limit_, coldCapacity_);
}

void SlowStart::onCold()
{
    cold_ = true;
    limit_ = coldCapacity_;
    completedInTime_ = 0;
}

bool SlowStart::onFirstToken(Duration latency)
{
    const bool slow = latency > settings_.slowFirstToken
            && (averageFirstToken_ == Duration {}
                || latency > averageFirstToken_ * settings_.slowLatencyRatio);
    if (slow) {
        limit_ = coldCapacity_;
        completedInTime_ = 0;
        return true;
    }
    if (averageFirstToken_ == Duration {})
        averageFirstToken_ = latency;
    else
        averageFirstToken_ += (latency - averageFirstToken_) / kAverageWeight;
    return false;
}

void SlowStart::onCompleted(uint32_t running)
{
    const bool limitInUse = running * 2 >= limit_;
    if (cold_ || isComplete() || !limitInUse)
        return;
    if (++completedInTime_ < limit_)
        return;
    completedInTime_ = 0;
    limit_ = std::min(capacity_, limit_ + std::max<uint32_t>(1, limit_ / 2));
}

void SlowStart::onFailed()
{
    limit_ = coldCapacity_;
    completedInTime_ = 0;
}

} // namespace bamboogap
