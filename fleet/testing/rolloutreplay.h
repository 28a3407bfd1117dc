// A replay of a rollout without a network: routers that send requests, apply the share and
// report, and a leader that sums, judges and commits stages.

#ifndef BAMBOOGAP_FLEET_TESTING_ROLLOUTREPLAY_H
#define BAMBOOGAP_FLEET_TESTING_ROLLOUTREPLAY_H

#include <cstdint>
#include <string>

#include "fleet/rolloutstages.h"

namespace bamboogap {

struct RolloutScenario
{
    uint32_t routers = 79;
    uint64_t durationMillis = 12000;
    double requestsPerRouter = 2.5; // a second
    uint32_t routes = 4;
    double failsAlways = 0.002; // share of the responses of both versions that fail
    double targetFails = 0; // of the rest, at the new version while it is bad
    double targetSlower = 1; // factor on the latency of the new version while it is bad
    bool onlyOnOneRoute = false;
    double badFrom = 0; // part of the duration after which the new version turns bad
    // The new version is bad only while it gets at least this share of the service's requests.
    double badFromShare = 0;
    double runsMillis = 0; // mean time of a response after its first byte
    uint64_t endpointsAfterMillis = 0; // of the new version, after the order
};

struct RolloutOutcome
{
    RolloutState state = RolloutState::InProgress;
    int64_t endedAtMillis = 0; // commit, after the order
    uint64_t requests = 0; // until the deadline
    uint64_t exposed = 0; // requests sent to the new version until the rollout has ended
    int64_t lastAfterBadMillis = 0; // from the 50th bad response to the last request sent there
    std::string reason;
    std::string stages; // for messages of tests

    double bound() const;
};

RolloutOutcome replayRollout(const RolloutScenario &scenario, uint32_t seed);

} // namespace bamboogap

#endif
