#include "node/trafficmeter.h"

#include <algorithm>
#include <numeric>
#include <string>

#include <fmt/format.h>

#include "base/log.h"

namespace bamboogap {

namespace {

constexpr std::array<std::string_view, 5> kNames { "log", "report", "document", "read", "group" };
constexpr std::array<std::string_view, 5> kPartNames { "endpoints", "loads", "placements", "limits",
                                                       "suspects" };

} // namespace

void TrafficMeter::sent(Traffic kind, size_t bytes)
{
    const auto place = static_cast<size_t>(kind);
    bytes_[place] += bytes;
    ++messages_[place];
    metrics_.count("bamboogap_control_sent_bytes_total", fmt::format("kind=\"{}\"", kNames[place]),
                   double(bytes));
}

void TrafficMeter::sentPart(ReportPart part, size_t bytes)
{
    const auto place = static_cast<size_t>(part);
    partBytes_[place] += bytes;
    metrics_.count("bamboogap_report_part_bytes_total",
                   fmt::format("part=\"{}\"", kPartNames[place]), double(bytes));
}

void TrafficMeter::roundAcknowledged(Duration age)
{
    oldestRound_ = std::max(oldestRound_, age);
    metrics_.observe("bamboogap_log_round_seconds", {}, age);
}

void TrafficMeter::report()
{
    const size_t total = std::accumulate(bytes_.begin(), bytes_.end(), size_t { 0 });
    if (total == 0)
        return;
    const auto field = [&](Traffic kind) {
        const auto place = static_cast<size_t>(kind);
        return fmt::format("{}/{}", bytes_[place], messages_[place]);
    };
    std::string parts;
    for (size_t i = 0; i < kParts; ++i)
        parts += fmt::format("{}{}/{}", i == 0 ? "" : ",", kPartNames[i], partBytes_[i]);
    const std::chrono::duration<double> onLink(double(total) / linkBytesPerSecond_);
    logEvent(LogLevel::Info, "traffic",
             { { "log", field(Traffic::Log) },
               { "report", field(Traffic::Report) },
               { "document", field(Traffic::Document) },
               { "read", field(Traffic::Read) },
               { "group", field(Traffic::Group) },
               { "report_parts", parts },
               { "on_link_ms",
                 fmt::to_string(toMillis(std::chrono::duration_cast<Duration>(onLink))) },
               { "oldest_round_ms", fmt::to_string(toMillis(oldestRound_)) } });
    bytes_ = {};
    messages_ = {};
    partBytes_ = {};
    oldestRound_ = {};
}

} // namespace bamboogap
