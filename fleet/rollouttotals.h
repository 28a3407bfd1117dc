// Counts of all routers for one rollout, summed at a control replica.
//
// Reports are cumulative per router process. The largest value of each counter is kept, so a
// report that is lost, repeated or overtaken by a later one changes nothing, and a new leader has
// the same sums once every process has reported again. Sums are updated by the differences: at 411
// routers with two reports a second nothing is summed up anew.

#ifndef BAMBOOGAP_FLEET_ROLLOUTTOTALS_H
#define BAMBOOGAP_FLEET_ROLLOUTTOTALS_H

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "fleet/rollout.h"

namespace bamboogap {

// Outcomes at the endpoints of one side of a rollout.
struct RolloutSide
{
    uint64_t sent = 0;
    uint64_t failed = 0;
    std::array<uint64_t, RolloutCounts::kBuckets> latency {};

    uint64_t answered() const;
    // Requests whose outcome is known. A response that began and broke off counts twice.
    uint64_t finished() const { return answered() + failed; }
    RolloutSide &operator+=(const RolloutSide &other);
    // `earlier` holds earlier values of the same counters.
    RolloutSide since(const RolloutSide &earlier) const;

    bool operator==(const RolloutSide &) const = default;
};

struct RolloutSides
{
    RolloutSide target; // at endpoints of the rollout's version
    RolloutSide others;

    bool operator==(const RolloutSides &) const = default;
};

struct RolloutSums
{
    std::map<uint32_t, RolloutSides> routes;
    RolloutSides all;
    uint64_t requests = 0; // of the service, sent to any endpoint
    // At the last report of each router's current process.
    uint64_t runningOnTarget = 0;
    uint64_t runningElsewhere = 0; // includes requests that wait in routers

    bool operator==(const RolloutSums &) const = default;
};

class RolloutTotals
{
public:
    explicit RolloutTotals(uint64_t rolloutNumber)
        : number_(rolloutNumber)
    {
    }

    // Returns whether it changed anything. A report of another rollout does not.
    bool add(const RolloutReport &report);

    uint64_t number() const { return number_; }
    const RolloutSums &sums() const { return sums_; }
    // Whether the current process of the router has reported.
    bool hasReported(const std::string &router) const { return routers_.count(router) > 0; }
    // Whether the current process of the router acts by this revision of the rollouts or a later
    // one.
    bool actsBy(const std::string &router, uint64_t revision) const;

    // What the router's current process runs at the other endpoints; 0 if it has not reported.
    uint32_t runningElsewhere(const std::string &router) const;

    // Increases with every change.
    uint64_t version() const { return version_; }
    // The processes and counters that changed after `version`, to be told to another replica.
    std::vector<RolloutReport> changedSince(uint64_t version) const;

private:
    using CounterKey = std::pair<uint32_t, bool>; // route, on the target
    struct Counter
    {
        RolloutCounts counts;
        uint64_t changedAt = 0; // version of the totals
    };
    struct Process
    {
        RolloutReport last; // the newest, without counts
        std::map<CounterKey, Counter> counters;
        uint64_t changedAt = 0; // version of the totals
    };
    struct Router
    {
        uint64_t current = 0; // incarnation
        std::map<uint64_t, Process> processes; // by incarnation
    };

    const Process *currentProcess(const std::string &router) const;
    bool addCounts(Process &process, const RolloutCounts &counts);
    void addRunning(const RolloutReport &report, int sign);

    uint64_t number_;
    uint64_t version_ = 0;
    std::map<std::string, Router> routers_;
    RolloutSums sums_;
};

} // namespace bamboogap

#endif
