// Rollouts: moves of a service's traffic to endpoints of another software version, and the
// counts by which they are judged.
//
// The replicated log holds the rollouts (control/rollouts.h), the leader judges them by the
// counts of all routers, and routers apply the share. Designed for some 400 routers of a few
// requests per second each: counts are sparse and cumulative, so that a report that is lost,
// repeated or late changes nothing.

#ifndef BAMBOOGAP_FLEET_ROLLOUT_H
#define BAMBOOGAP_FLEET_ROLLOUT_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace bamboogap {

enum class RolloutState : uint8_t { InProgress, Completed, Reverted };

// "in_progress", "completed" or "reverted".
std::string_view rolloutStateName(RolloutState state);

// All requests of the service, as a share.
inline constexpr uint32_t kFullSharePermille = 1000;

// The latest rollout of one service.
struct Rollout
{
    uint64_t number = 0; // identifies the order; increases with every rollout of any service
    uint64_t revision = 0; // of the rollouts when this one last changed
    std::string service;
    std::string version; // software version that the traffic moves to
    int64_t orderedAtMillis = 0; // wall clock of the replica that took the order
    uint64_t durationMillis = 0; // from the order to its deadline
    RolloutState state = RolloutState::InProgress;
    // Share of the service's new requests that may go to `version` while it is in progress.
    uint32_t sharePermille = 0;
    std::string reason; // of the last step, for operators

    bool operator==(const Rollout &) const = default;
};

// Outcomes of a router's requests of one route at the endpoints of one side of a rollout.
struct RolloutCounts
{
    // Upper limits of the buckets are kFirstBucketMillis times powers of two; the last one has
    // none.
    static constexpr size_t kBuckets = 12;
    static constexpr uint32_t kFirstBucketMillis = 8;

    uint32_t route = 0; // low half of the hash of the route's name
    bool onTarget = false; // at endpoints of the rollout's version
    uint32_t sent = 0;
    uint32_t failed = 0; // endpoint's failures: bad status, broken, unreadable, no answer in time
    std::array<uint32_t, kBuckets> latency {}; // answered requests, to the first event or byte

    bool operator==(const RolloutCounts &) const = default;
};

// The bucket of a latency.
size_t rolloutLatencyBucket(double millis);

// What one router process reports of one rollout; all numbers since the process learned of it.
struct RolloutReport
{
    uint64_t number = 0; // of the rollout
    uint64_t revision = 0; // that the router acts by
    std::string router;
    uint64_t incarnation = 0; // of the router's process
    uint32_t requests = 0; // of the service, sent to any endpoint
    uint32_t runningOnTarget = 0;
    uint32_t runningElsewhere = 0; // includes requests that wait in the router
    std::vector<RolloutCounts> counts;

    bool operator==(const RolloutReport &) const = default;
};

std::string packRollouts(std::span<const Rollout> rollouts);
// PeerFailed if the bytes are nothing that packRollouts() made.
Result<std::vector<Rollout>> unpackRollouts(std::string_view bytes);
// Zero counts are left out.
std::string packRolloutReports(std::span<const RolloutReport> reports);
Result<std::vector<RolloutReport>> unpackRolloutReports(std::string_view bytes);

} // namespace bamboogap

#endif
