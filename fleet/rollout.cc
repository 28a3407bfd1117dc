#include "fleet/rollout.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace bamboogap {

namespace {

using nlohmann::json;

std::string toBytes(const json &value)
{
    const std::vector<uint8_t> bytes = json::to_cbor(value);
    return { bytes.begin(), bytes.end() };
}

tl::unexpected<Error> unreadable(std::string_view problem)
{
    return failure(ErrorKind::PeerFailed,
                   "rollouts from a peer cannot be read: " + std::string(problem),
                   "run the same version on all nodes");
}

// Trailing empty buckets are left out.
json toJson(const RolloutCounts &counts)
{
    json value = { counts.route, counts.onTarget, counts.sent, counts.failed };
    size_t used = counts.latency.size();
    while (used > 0 && counts.latency[used - 1] == 0)
        --used;
    for (size_t i = 0; i < used; ++i)
        value.push_back(counts.latency[i]);
    return value;
}

RolloutCounts countsFromJson(const json &value)
{
    constexpr size_t kFixed = 4;
    RolloutCounts counts;
    counts.route = value.at(0).get<uint32_t>();
    counts.onTarget = value.at(1).get<bool>();
    counts.sent = value.at(2).get<uint32_t>();
    counts.failed = value.at(3).get<uint32_t>();
    for (size_t i = kFixed; i < std::min(value.size(), kFixed + counts.latency.size()); ++i)
        counts.latency[i - kFixed] = value.at(i).get<uint32_t>();
    return counts;
}

} // namespace

std::string_view rolloutStateName(RolloutState state)
{
    switch (state) {
    case RolloutState::InProgress:
        return "in_progress";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::Reverted:
        return "reverted";
    }
    return "unknown";
}

size_t rolloutLatencyBucket(double millis)
{
    const double ratio = millis / RolloutCounts::kFirstBucketMillis;
    if (!(ratio > 1))
        return 0;
    const auto bucket = static_cast<size_t>(std::ceil(std::log2(ratio)));
    return std::min(bucket, RolloutCounts::kBuckets - 1);
}

std::string packRollouts(std::span<const Rollout> rollouts)
{
    json list = json::array();
    for (const Rollout &rollout : rollouts) {
        list.push_back({ rollout.number, rollout.revision, rollout.service, rollout.version,
                         rollout.orderedAtMillis, rollout.durationMillis,
                         static_cast<int>(rollout.state), rollout.sharePermille, rollout.reason });
    }
    return toBytes(list);
}

Result<std::vector<Rollout>> unpackRollouts(std::string_view bytes)
{
    std::vector<Rollout> rollouts;
    try {
        for (const json &item : json::from_cbor(bytes.begin(), bytes.end())) {
            const int state = item.at(6).get<int>();
            if (state < 0 || state > static_cast<int>(RolloutState::Reverted))
                return unreadable("unknown state");
            rollouts.push_back({ item.at(0).get<uint64_t>(), item.at(1).get<uint64_t>(),
                                 item.at(2).get<std::string>(), item.at(3).get<std::string>(),
                                 item.at(4).get<int64_t>(), item.at(5).get<uint64_t>(),
                                 static_cast<RolloutState>(state), item.at(7).get<uint32_t>(),
                                 item.at(8).get<std::string>() });
        }
    } catch (const json::exception &problem) {
        return unreadable(problem.what());
    }
    return rollouts;
}

std::string packRolloutReports(std::span<const RolloutReport> reports)
{
    json list = json::array();
    for (const RolloutReport &report : reports) {
        json counts = json::array();
        for (const RolloutCounts &item : report.counts) {
            if (item.sent > 0)
                counts.push_back(toJson(item));
        }
        list.push_back({ report.number, report.revision, report.router, report.incarnation,
                         report.requests, report.runningOnTarget, report.runningElsewhere,
                         std::move(counts) });
    }
    return toBytes(list);
}

Result<std::vector<RolloutReport>> unpackRolloutReports(std::string_view bytes)
{
    std::vector<RolloutReport> reports;
    try {
        for (const json &item : json::from_cbor(bytes.begin(), bytes.end())) {
            RolloutReport report { item.at(0).get<uint64_t>(),    item.at(1).get<uint64_t>(),
                                   item.at(2).get<std::string>(), item.at(3).get<uint64_t>(),
                                   item.at(4).get<uint32_t>(),    item.at(5).get<uint32_t>(),
                                   item.at(6).get<uint32_t>(),    {} };
            for (const json &counts : item.at(7))
                report.counts.push_back(countsFromJson(counts));
            reports.push_back(std::move(report));
        }
    } catch (const json::exception &problem) {
        return unreadable(problem.what());
    }
    return reports;
}

} // namespace bamboogap
