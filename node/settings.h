// The settings of a node: a YAML file parsed into aggregates.
//
// Parsing checks everything and gives all errors at once, each with the file,
// the line, the key and the remedy.

#ifndef BAMBOOGAP_NODE_SETTINGS_H
#define BAMBOOGAP_NODE_SETTINGS_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "control/raft.h"
#include "control/state.h"
#include "fleet/coordinator.h"
#include "routing/admission.h"
#include "routing/placement.h"
#include "routing/retrybudget.h"
#include "routing/retrywindow.h"

namespace bamboogap {

struct ListenSettings
{
    std::string callers; // chats and calls of plain services
    std::string endpoints; // announcements
    std::string operators; // operators and the platform's probes
    std::string peers; // other nodes of the fleet
    // Of a direct fleet; empty on nodes without that part.
    std::string readiness; // the balancer's probe
    std::string control; // operators' orders and endpoints' heartbeats
};

// How requests reach endpoints: through each endpoint's one owner, or straight from
// the router that the caller reached.
enum class Forwarding { Owner, Direct };

// Limits on what a bad version gets in a rollout.
struct RolloutSettings
{
    // Share of the service's requests between the order and its deadline, plus a number of them.
    double exposureShare = 0.1;
    double exposureSlack = 50;
    Duration rollback = std::chrono::seconds(5); // after the slack of bad responses
};

// Of a direct fleet; see docs/DESIGN.md.
struct DirectSettings
{
    std::vector<std::string> seeds; // addresses on the machines of some replicas
    bool firstStart = false; // the fleet starts for the first time, on empty disks
    RetryWindowSettings retries;
    Duration sync = std::chrono::milliseconds(250); // between a router's reports
    std::optional<RolloutSettings> rollouts; // without it there are none
};

struct HttpLimits
{
    size_t maxHeaderBytes = 16 << 10;
    // Of a head, or of its trailers; 0: as many as maxHeaderBytes can hold, so that no request is
    // rejected for its lines alone.
    size_t maxHeaderLines = 0;
    size_t headMemoryBytes = 0; // for all heads in the process; 0: a part of its memory
    size_t maxBodyBytes = 4 << 20;
    Duration slowSender = std::chrono::seconds(20); // a request must make progress by then
    Duration wholeRequest = std::chrono::seconds(30); // from its first byte to its last
    Duration slowReader = std::chrono::seconds(60); // an answer must make progress by then

    size_t headLines() const
    {
        constexpr size_t kShortestLine = 3; // a name of one byte, a colon and a line feed
        return maxHeaderLines > 0 ? maxHeaderLines : maxHeaderBytes / kShortestLine + 1;
    }
};

struct EndpointLimits
{
    Duration connect = std::chrono::seconds(2);
    Duration silence = std::chrono::seconds(120); // between two parts of an answer
    size_t maxAnswerBytes = 16 << 20; // of an answer that is not streamed
    size_t maxHeadBytes = 64 << 10; // status line and headers of an answer
    size_t maxHeadLines = 128; // of an answer
    // Of all answers together that a direct router holds until they are whole.
    size_t maxHeldBytes = 32 << 20;
};

struct RoutingSettings
{
    double loadMultiple = 1.25;
    PlacementSettings placement;
    AdmissionSettings admission;
    RetryBudgetSettings retries;
    size_t rememberedChats = 46000;
    // Admission control for plain requests while endpoints are full, in a direct fleet.
    bool shortage = false;
};

// The memory that the machine reports, in MB.
size_t machineMemoryMb();

struct Settings
{
    std::string name;
    std::string dataCentre;
    std::optional<std::string> dataFolder; // with it the node is a control replica
    double linkMbps = 100; // of the node's own network link
    double linkBytesPerSecond() const
    {
        constexpr double kBytesPerMbit = 125000;
        return linkMbps * kBytesPerMbit;
    }
    size_t memoryMb = machineMemoryMb(); // for this process
    size_t memoryBytes() const { return memoryMb << 20; }
    ListenSettings listen;
    std::string fleetKey;
    std::vector<std::string> controlReplicas; // peer addresses
    Forwarding forwarding = Forwarding::Owner;
    // Of the platform, by its names; platform/ tells which features they call for.
    std::vector<std::string> contracts;
    DirectSettings direct;
    Duration heartbeat = std::chrono::milliseconds(500);
    RaftTiming raft;
    CoordinatorSettings coordinator;
    StateLimits state;
    size_t snapshotEvery = 2000;
    RoutingSettings routing;
    HttpLimits http;
    EndpointLimits endpoint;
    Duration stopWithin = std::chrono::minutes(10); // streams may go on this long
    Duration stopNotice = std::chrono::seconds(2); // readyz fails this long first
    LogFormat logForm = LogFormat::KeyValue;
    LogLevel logLevel = LogLevel::Info;
};

using SettingsErrors = std::vector<Error>;

// Parses the text of a settings file; `file` is its name for the errors.
tl::expected<Settings, SettingsErrors> parseSettings(std::string_view text,
                                                     const std::string &file);

// Reads and parses a file.
tl::expected<Settings, SettingsErrors> loadSettings(const std::string &file);

} // namespace bamboogap

#endif
