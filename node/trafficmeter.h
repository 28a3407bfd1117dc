// Bytes that a replica hands to its connections, by what they are for: a counter for each
// kind, and a log line every second.

#ifndef BAMBOOGAP_NODE_TRAFFICMETER_H
#define BAMBOOGAP_NODE_TRAFFICMETER_H

#include <array>
#include <cstddef>

#include "base/clock.h"
#include "node/metrics.h"

namespace bamboogap {

enum class Traffic {
    Log, // entries, heartbeats and votes of the replicated log
    Report, // answers to routers' reports
    Document, // route documents for routers
    Read, // route documents for operators and for other replicas' operators
    Group, // what replicas tell each other of work and endpoints
};

// Parts of the answers to routers' reports. What is left of an answer has a fixed size.
enum class ReportPart {
    Endpoints,
    Loads, // of the other routers
    Placements,
    Limits,
    Suspects,
};

class TrafficMeter
{
public:
    TrafficMeter(Metrics &metrics, double linkBytesPerSecond)
        : metrics_(metrics)
        , linkBytesPerSecond_(linkBytesPerSecond)
    {
    }

    void sent(Traffic kind, size_t bytes);
    // Bytes of a message of the kind Report, which are counted there, too.
    void sentPart(ReportPart part, size_t bytes);
    // A follower acknowledged a heartbeat round of that age.
    void roundAcknowledged(Duration age);
    // Writes the line for what was noted since the last call, unless nothing was.
    void report();

private:
    static constexpr size_t kKinds = 5;
    static constexpr size_t kParts = 5;

    Metrics &metrics_;
    double linkBytesPerSecond_;
    std::array<size_t, kKinds> bytes_ {};
    std::array<size_t, kKinds> messages_ {};
    std::array<size_t, kParts> partBytes_ {};
    Duration oldestRound_ {};
};

} // namespace bamboogap

#endif
