#include "fleet/rollouttotals.h"

#include <algorithm>
#include <numeric>

namespace bamboogap {

namespace {

bool raise(uint32_t &known, uint32_t reported)
{
    if (reported <= known)
        return false;
    known = reported;
    return true;
}

// A report that was overtaken has fewer requests or an earlier revision.
bool isOvertaken(const RolloutReport &report, const RolloutReport &known)
{
    return report.requests < known.requests || report.revision < known.revision;
}

RolloutSide sideOf(const RolloutCounts &counts)
{
    RolloutSide side { counts.sent, counts.failed, {} };
    std::copy(counts.latency.begin(), counts.latency.end(), side.latency.begin());
    return side;
}

} // namespace

uint64_t RolloutSide::answered() const
{
    return std::accumulate(latency.begin(), latency.end(), uint64_t { 0 });
}

RolloutSide &RolloutSide::operator+=(const RolloutSide &other)
{
    sent += other.sent;
    failed += other.failed;
    for (size_t i = 0; i < latency.size(); ++i)
        latency[i] += other.latency[i];
    return *this;
}

RolloutSide RolloutSide::since(const RolloutSide &earlier) const
{
    RolloutSide difference { sent - earlier.sent, failed - earlier.failed, {} };
    for (size_t i = 0; i < latency.size(); ++i)
        difference.latency[i] = latency[i] - earlier.latency[i];
    return difference;
}

bool RolloutTotals::add(const RolloutReport &report)
{
    if (report.number != number_)
        return false;
    Router &router = routers_[report.router];
    const bool isNew = router.processes.count(report.incarnation) == 0;
    if (isNew && report.incarnation > router.current) {
        // What ran in the process before has ended with it.
        if (const auto ended = router.processes.find(router.current);
            ended != router.processes.end())
            addRunning(ended->second.last, -1);
        router.current = report.incarnation;
    }
    Process &process = router.processes[report.incarnation];
    const bool isCurrent = report.incarnation == router.current;
    bool changed = isNew;
    for (const RolloutCounts &counts : report.counts)
        changed = addCounts(process, counts) || changed;
    if (isNew || !isOvertaken(report, process.last)) {
        RolloutReport last = report;
        last.counts.clear();
        if (isNew || last != process.last) {
            sums_.requests += report.requests - process.last.requests;
            if (isCurrent) {
                if (!isNew)
                    addRunning(process.last, -1);
                addRunning(last, 1);
            }
            process.last = std::move(last);
            changed = true;
        }
    }
    if (changed)
        process.changedAt = ++version_;
    return changed;
}

bool RolloutTotals::addCounts(Process &process, const RolloutCounts &counts)
{
    Counter &counter = process.counters[{ counts.route, counts.onTarget }];
    RolloutCounts &known = counter.counts;
    known.route = counts.route;
    known.onTarget = counts.onTarget;
    const RolloutSide before = sideOf(known);
    bool changed = raise(known.sent, counts.sent);
    changed = raise(known.failed, counts.failed) || changed;
    for (size_t i = 0; i < known.latency.size(); ++i)
        changed = raise(known.latency[i], counts.latency[i]) || changed;
    if (!changed)
        return false;
    counter.changedAt = version_ + 1;
    const RolloutSide added = sideOf(known).since(before);
    RolloutSides &route = sums_.routes[counts.route];
    (counts.onTarget ? route.target : route.others) += added;
    (counts.onTarget ? sums_.all.target : sums_.all.others) += added;
    return true;
}

void RolloutTotals::addRunning(const RolloutReport &report, int sign)
{
    sums_.runningOnTarget += sign * int64_t { report.runningOnTarget };
    sums_.runningElsewhere += sign * int64_t { report.runningElsewhere };
}

const RolloutTotals::Process *RolloutTotals::currentProcess(const std::string &router) const
{
    const auto found = routers_.find(router);
    return found == routers_.end() ? nullptr : &found->second.processes.at(found->second.current);
}

bool RolloutTotals::actsBy(const std::string &router, uint64_t revision) const
{
    const Process *process = currentProcess(router);
    return process && process->last.revision >= revision;
}

uint32_t RolloutTotals::runningElsewhere(const std::string &router) const
{
    const Process *process = currentProcess(router);
    return process ? process->last.runningElsewhere : 0;
}

std::vector<RolloutReport> RolloutTotals::changedSince(uint64_t version) const
{
    std::vector<RolloutReport> changed;
    for (const auto &[name, router] : routers_) {
        for (const auto &[incarnation, process] : router.processes) {
            if (process.changedAt <= version)
                continue;
            RolloutReport report = process.last;
            for (const auto &[key, counter] : process.counters) {
                if (counter.changedAt > version)
                    report.counts.push_back(counter.counts);
            }
            changed.push_back(std::move(report));
        }
    }
    return changed;
}

} // namespace bamboogap
