// Slow start: the concurrency limit of an endpoint that may be cold.
//
// A cold endpoint can take only a small load. The limit starts at the endpoint's cold
// capacity. It grows by half each time as many requests as the limit have completed without
// a slow first token while at least half of the limit was in use, but not while the endpoint
// reports that it is cold. It returns to the cold capacity when the endpoint reports that it
// is cold, when the endpoint fails, or when a first token is slow by both a fixed bound and
// the endpoint's own average.

#ifndef BAMBOOGAP_ROUTING_SLOWSTART_H
#define BAMBOOGAP_ROUTING_SLOWSTART_H

#include <cstdint>

#include "base/clock.h"

namespace bamboogap {

struct SlowStartSettings
{
    Duration slowFirstToken = std::chrono::milliseconds(2000);
    double slowLatencyRatio = 4.0; // multiple of the average time to first token
};

class SlowStart
{
public:
    // startLimit is the initial limit, clamped to the range from coldCapacity to capacity.
    SlowStart(SlowStartSettings settings, uint32_t coldCapacity, uint32_t capacity,
              uint32_t startLimit);

    uint32_t limit() const { return limit_; }
    bool isComplete() const { return limit_ >= capacity_; }

    void setCapacities(uint32_t coldCapacity, uint32_t capacity);
    void onCold();
    // The endpoint reported that it is warm; the limit may grow.
    void onWarm() { cold_ = false; }
    // Returns true if the first token was slow; the limit is then the cold capacity.
    bool onFirstToken(Duration latency);
    // running is the number of requests on the endpoint, the completed one included.
    void onCompleted(uint32_t running);
    void onFailed();

private:
    SlowStartSettings settings_;
    uint32_t coldCapacity_;
    uint32_t capacity_;
    uint32_t limit_;
    uint32_t completedInTime_ = 0; // requests, since the limit last changed
    bool cold_ = false;
    Duration averageFirstToken_ {};
};

} // namespace bamboogap

#endif
