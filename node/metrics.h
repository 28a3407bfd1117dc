// Counters, gauges and latency histograms in the Prometheus text format.

#ifndef BAMBOOGAP_NODE_METRICS_H
#define BAMBOOGAP_NODE_METRICS_H

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bamboogap {

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // `labels` is the inside of the braces, e.g. kind="chat"; may be empty.
    void count(std::string_view name, std::string_view labels = {}, double amount = 1);
    void set(std::string_view name, std::string_view labels, double value);
    void observe(std::string_view name, std::string_view labels, Duration latency);

    std::string render() const;

private:
    using Key = std::pair<std::string, std::string>; // name and labels
    struct Latency;

    std::map<Key, double> counters_;
    std::map<Key, double> gauges_;
    std::map<Key, std::unique_ptr<Latency>> latencies_;
};

} // namespace bamboogap

#endif
