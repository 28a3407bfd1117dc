// Metrics; latencies in Boost.Histogram with log-spaced bins.

#include "node/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace bamboogap {

namespace {

namespace histogram = boost::histogram;

// Bins from 0.1 ms to 100 s, eight for each power of ten.
constexpr unsigned kBins = 48;
constexpr double kLeastSeconds = 1e-4;
constexpr double kMostSeconds = 100;

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using LatencyHistogram = decltype(histogram::make_histogram(LogAxis {}));

std::string withLabel(const std::string &labels, std::string_view extra)
{
    return labels.empty() ? std::string(extra) : fmt::format("{},{}", labels, extra);
}

std::string line(const std::string &name, const std::string &labels, double value)
{
    if (labels.empty())
        return fmt::format("{} {}\n", name, value);
    return fmt::format("{}{{{}}} {}\n", name, labels, value);
}

} // namespace

struct Metrics::Latency
{
    LatencyHistogram bins = histogram::make_histogram(LogAxis(kBins, kLeastSeconds, kMostSeconds));
    double sum = 0;
    double count = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view labels, double amount)
{
    counters_[{ std::string(name), std::string(labels) }] += amount;
}

void Metrics::set(std::string_view name, std::string_view labels, double value)
{
    gauges_[{ std::string(name), std::string(labels) }] = value;
}

void Metrics::observe(std::string_view name, std::string_view labels, Duration latency)
{
    auto &entry = latencies_[{ std::string(name), std::string(labels) }];
    if (!entry)
        entry = std::make_unique<Latency>();
    const double seconds = std::chrono::duration<double>(latency).count();
    entry->bins(seconds);
    entry->sum += seconds;
    entry->count += 1;
}

std::string Metrics::render() const
{
    std::string text;
    std::string last;
    const auto head = [&](const std::string &name, std::string_view type) {
        if (name != last)
            text += fmt::format("# TYPE {} {}\n", name, type);
        last = name;
    };
    for (const auto &[key, value] : counters_) {
        head(key.first, "counter");
        text += line(key.first, key.second, value);
    }
    for (const auto &[key, value] : gauges_) {
        head(key.first, "gauge");
        text += line(key.first, key.second, value);
    }
    for (const auto &[key, latency] : latencies_) {
        head(key.first, "histogram");
        double cumulative = latency->bins.at(-1);
        const auto &axis = latency->bins.axis(0);
        for (int bin = 0; bin < axis.size(); ++bin) {
            cumulative += latency->bins.at(bin);
            const std::string bound = fmt::format("le=\"{:.6g}\"", axis.bin(bin).upper());
            text += line(key.first + "_bucket", withLabel(key.second, bound), cumulative);
        }
        text += line(key.first + "_bucket", withLabel(key.second, "le=\"+Inf\""), latency->count);
        text += line(key.first + "_sum", key.second, latency->sum);
        text += line(key.first + "_count", key.second, latency->count);
    }
    return text;
}

} // namespace bamboogap
