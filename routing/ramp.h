// The limit on an endpoint that may be cold.
//
// A cold endpoint bears only a little load. The limit starts at what the
// endpoint says it bears when cold and grows by half each time as many requests
// as the limit have completed with a prompt first token while the limit was in
// use. It falls back at once when the endpoint says that it is cold, when a
// first token is slow against both a set time and the endpoint's own usual
// time, or when requests fail.

#ifndef BAMBOOGAP_ROUTING_RAMP_H
#define BAMBOOGAP_ROUTING_RAMP_H

#include <cstdint>

#include "base/clock.h"

namespace bamboogap {

struct RampSettings
{
    Duration slowFirstToken = std::chrono::milliseconds(2000);
    double slowAgainstUsual = 4.0; // times the usual first token
};

class Ramp
{
public:
    Ramp(RampSettings settings, uint32_t coldCapacity, uint32_t capacity, uint32_t startLimit);

    uint32_t limit() const { return limit_; }
    bool isFull() const { return limit_ >= capacity_; }

    void setCapacities(uint32_t coldCapacity, uint32_t capacity);
    void onCold();
    // The endpoint said that it is warm; growth may start.
    void onWarm() { cold_ = false; }
    // True if the first token was slow and the limit fell.
    bool onFirstToken(Duration latency);
    // running is how many ran beside it, itself included.
    void onCompleted(uint32_t running);
    void onFailed();

private:
    RampSettings settings_;
    uint32_t coldCapacity_;
    uint32_t capacity_;
    uint32_t limit_;
    uint32_t prompt_ = 0; // completed promptly since the limit last changed
    bool cold_ = false;
    Duration usualFirstToken_ {};
};

} // namespace bamboogap

#endif
