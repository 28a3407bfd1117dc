// Growth and fall of the cold limit.

#include "routing/ramp.h"

#include <algorithm>

namespace bamboogap {

namespace {

constexpr int kUsualWeight = 8; // one part in eight of the newest first token

} // namespace

Ramp::Ramp(RampSettings settings, uint32_t coldCapacity, uint32_t capacity, uint32_t startLimit)
    : settings_(settings)
    , coldCapacity_(coldCapacity)
    , capacity_(capacity)
    , limit_(std::clamp(startLimit, coldCapacity, capacity))
{
}

void Ramp::setCapacities(uint32_t coldCapacity, uint32_t capacity)
{
    const bool wasFull = isFull();
    coldCapacity_ = coldCapacity;
    capacity_ = capacity;
    limit_ = wasFull ? capacity_ : std::min(limit_, capacity_);
    limit_ = std::max(limit_, coldCapacity_);
}

void Ramp::onCold()
{
    cold_ = true;
    limit_ = coldCapacity_;
    prompt_ = 0;
}

bool Ramp::onFirstToken(Duration latency)
{
    const bool slow = latency > settings_.slowFirstToken
            && (usualFirstToken_ == Duration {}
                || latency > usualFirstToken_ * settings_.slowAgainstUsual);
    if (slow) {
        limit_ = coldCapacity_;
        prompt_ = 0;
        return true;
    }
    if (usualFirstToken_ == Duration {})
        usualFirstToken_ = latency;
    else
        usualFirstToken_ += (latency - usualFirstToken_) / kUsualWeight;
    return false;
}

void Ramp::onCompleted(uint32_t running)
{
    const bool limitInUse = running * 2 >= limit_;
    if (cold_ || isFull() || !limitInUse)
        return;
    if (++prompt_ < limit_)
        return;
    prompt_ = 0;
    limit_ = std::min(capacity_, limit_ + std::max<uint32_t>(1, limit_ / 2));
}

void Ramp::onFailed()
{
    limit_ = coldCapacity_;
    prompt_ = 0;
}

} // namespace bamboogap
