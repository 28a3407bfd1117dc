// Replay of a service under shortage, without a network.
//
// Model: callers send requests to random routers; a router sends them to one of three endpoints
// with 6 slots of 30 ms and a queue of 24, which rejects what does not fit. Every message between
// router and endpoint takes about 7 ms. Responses carry the endpoint's load. Routers report every
// 250 ms, and the sums that they get back are 0.3 to 0.5 s old. Rejected callers come back within
// a third of the time they have left, or at once. All times are in seconds.

#ifndef BAMBOOGAP_ROUTING_TESTING_SHORTAGEREPLAY_H
#define BAMBOOGAP_ROUTING_TESTING_SHORTAGEREPLAY_H

#include <array>
#include <cstdint>
#include <string>

namespace bamboogap::testing {

enum class ReplayPolicy {
    TwoChoices, // without admission control: the better of two by load, then the next one
    Admission, // routing/serviceadmission.h
};

enum class ReplayFault { None, SlowSpells, Crash, RouterRestarts };

struct ReplaySettings
{
    ReplayPolicy policy = ReplayPolicy::Admission;
    ReplayFault fault = ReplayFault::None;
    int routers = 6;
    double waveFactor = 3; // of the capacity
    bool tellsPercent = true;
    uint32_t seed = 1;
};

struct ReplayResult
{
    static constexpr size_t kKinds = 2;

    // Of what the wave's slots could serve.
    double servedInGoal = 0;
    double lateShare = 0; // of what was served
    double endpointRejections = 0; // of arrivals at endpoints
    double failedShare = 0; // of attempts of callers: no response in time
    std::array<double, kKinds> servedByPriority {}; // of the calls of a kind, whatever attempt
    double afterInGoal = 0; // of attempts from 2 s after the wave on
    double calmRejections = 0; // before the wave
    // Rejections by routers while under half of the slots were taken and nothing waited.
    int idleRejections = 0;
    int singleRejected = 0; // requests that may be sent once and were rejected by an endpoint

    std::string text() const;
};

ReplayResult replay(const ReplaySettings &settings);

} // namespace bamboogap::testing

#endif
