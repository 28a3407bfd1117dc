// The part of a router in rollouts: which software versions may run a request, and the counts that
// it reports.
//
// The control group's leader decides on the share of a service's requests that go to endpoints of
// the new version (the target), each router applies it. Designed for some 400 routers of a few
// requests per second each: rounding up at each router would exceed the share many times over, so
// the number of requests that a router may send to the target is rounded at random, and the sum
// over all routers keeps to the share.
//
// The class has no clock and no random source.

#ifndef BAMBOOGAP_ROUTING_ROLLOUTGATE_H
#define BAMBOOGAP_ROUTING_ROLLOUTGATE_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "fleet/rollout.h"
#include "routing/allowedversions.h"

namespace bamboogap {

class RolloutGate
{
public:
    // A router that no replica in touch with a leader has answered for this long may not know of a
    // revert.
    static constexpr Duration kUnsureAfter = std::chrono::seconds(2);
    // Routes that are counted apart; all others are counted as route 0.
    static constexpr size_t kMaxRoutes = 32;

    struct Request
    {
        std::string_view service;
        uint64_t affinity = 0; // of the prompt, see affinityKey(); 0 for plain services
        bool sentBefore = false; // to any endpoint
    };

    // The versions are valid until the next update().
    struct Decision
    {
        AllowedVersions versions;
        // To be used if no endpoint of `versions` takes the request.
        std::optional<AllowedVersions> otherwise;

        // All that may run the request in the end.
        const AllowedVersions &last() const { return otherwise ? *otherwise : versions; }
    };

    // Identifies an attempt in the counts.
    struct Attempt
    {
        uint64_t rollout = 0; // number; 0: not counted
        uint32_t route = 0;
        bool onTarget = false;
    };

    // A replica in touch with a leader answered a report that was sent at `sentAt`.
    void confirm(Instant sentAt);
    bool isSure(Instant now) const { return confirmedAt_ && now - *confirmedAt_ < kUnsureAfter; }
    // Applies all rollouts that a replica knows, as of its revision; `draw` returns random numbers
    // in [0, 1). News that are not newer are ignored, and a router that is not sure takes over no
    // higher share. Returns the rollouts that changed.
    std::vector<Rollout> update(uint64_t revision, std::span<const Rollout> rollouts,
                                const std::function<double()> &draw, Instant now);

    Decision decide(const Request &request, Instant now) const;
    // The request is sent to an endpoint of the version.
    Attempt onSent(const Request &request, std::string_view route, std::string_view version,
                   Instant now);
    // The response began, `latency` after the request was sent.
    void onFirstByte(const Attempt &attempt, Duration latency);
    // The attempt ended by a fault of the endpoint.
    void onFailed(const Attempt &attempt);

    // Of the rollouts that this router acts by; 0 if it knows none.
    uint64_t revision() const { return revision_; }
    bool anyInProgress() const;
    // The service's latest rollout; null if there is none.
    const Rollout *find(std::string_view service) const;
    // True if a request of the service that waits can only go to the target.
    bool usesTargetOnly(std::string_view service) const;
    // Counts of the rollouts in progress, without the names of the router and without what is
    // running.
    std::vector<RolloutReport> reports() const;

private:
    using CountsKey = std::pair<uint32_t, bool>; // route and side

    struct Entry
    {
        Rollout rollout;
        // Requests that may be sent to the target while the share is below the full one: a random
        // number below 1, plus the share in force for each request.
        double allowance = 0;
        uint32_t sentToTarget = 0;
        double reach = 0; // prompts whose position is below go to the target
        uint32_t requests = 0;
        std::map<CountsKey, RolloutCounts> counts;
    };

    static bool isFull(const Rollout &rollout);
    static double positionOf(const Entry &entry, uint64_t affinity);
    double shareInForce(const Entry &entry, Instant now) const;
    RolloutCounts *countsOf(const Attempt &attempt);
    Entry *entryOf(std::string_view service);
    const Entry *entryOf(std::string_view service) const;

    uint64_t revision_ = 0;
    std::optional<Instant> confirmedAt_;
    std::map<std::string, Entry, std::less<>> entries_; // by service
};

} // namespace bamboogap

#endif
