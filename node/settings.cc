// Reads the YAML settings section by section.
//
// A Section hands out the values of its keys, checks type and range and
// remembers which keys were asked for; what is left at the end is unknown.

#include "node/settings.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <unistd.h>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include "node/eventloop.h"

namespace bamboogap {

namespace {

constexpr size_t kLeastKeyLength = 16;
constexpr size_t kMostNameLength = 100;

class Problems
{
public:
    explicit Problems(std::string file)
        : file_(std::move(file))
    {
    }

    void add(const YAML::Mark &mark, std::string_view key, std::string_view what,
             std::string_view remedy)
    {
        const int line = mark.line < 0 ? 1 : mark.line + 1;
        errors_.push_back({ ErrorKind::InvalidSettings,
                            fmt::format("{}:{}: {}: {}", file_, line, key, what),
                            std::string(remedy) });
    }

    SettingsErrors take() { return std::move(errors_); }
    bool none() const { return errors_.empty(); }

private:
    std::string file_;
    SettingsErrors errors_;
};

class Section
{
public:
    // `parent` is the name of the section that this one is in, if any.
    Section(const YAML::Node &root, const std::string &key, Problems &problems,
            const std::string &parent = {})
        : name_(parent.empty() ? key : parent + "." + key)
        , problems_(problems)
    {
        const YAML::Node node = root[key];
        if (!node)
            return;
        mark_ = node.Mark();
        if (!node.IsMap()) {
            problems_.add(mark_, name_, "is no section", "indent its keys below it");
            return;
        }
        for (const auto &item : node) {
            const auto key = item.first.as<std::string>();
            if (values_.count(key))
                problems_.add(item.first.Mark(), path(key), "is given twice", "keep one of them");
            values_.emplace(key, item.second);
            marks_.emplace(key, item.first.Mark());
        }
    }

    ~Section()
    {
        for (const auto &[key, value] : values_) {
            if (asked_.count(key) == 0) {
                problems_.add(marks_.at(key), path(key), "is not known",
                              fmt::format("use one of: {}", fmt::join(asked_, ", ")));
            }
        }
    }
    Section(const Section &) = delete;
    Section &operator=(const Section &) = delete;

    std::string text(const std::string &key, std::string fallback = {}, bool required = false)
    {
        const YAML::Node value = find(key, required);
        if (!value)
            return fallback;
        if (!value.IsScalar() || value.Scalar().empty()) {
            problem(key, "is no text", "give a text");
            return fallback;
        }
        return value.Scalar();
    }

    template<typename T>
    T number(const std::string &key, T fallback, T least, T most, std::string_view unit)
    {
        const YAML::Node value = find(key, false);
        if (!value)
            return fallback;
        T parsed {};
        if (!YAML::convert<T>::decode(value, parsed) || parsed < least || parsed > most) {
            problem(key,
                    fmt::format("'{}' is no {} from {} to {}",
                                value.IsScalar() ? value.Scalar() : "...", unit, least, most),
                    fmt::format("give {} from {} to {}", unit, least, most));
            return fallback;
        }
        return parsed;
    }

    Duration millis(const std::string &key, Duration fallback, int64_t least, int64_t most)
    {
        const int64_t value
                = number<int64_t>(key, toMillis(fallback), least, most, "whole milliseconds");
        return std::chrono::milliseconds(value);
    }

    bool flag(const std::string &key, bool fallback)
    {
        const YAML::Node value = find(key, false);
        if (!value)
            return fallback;
        bool parsed = fallback;
        if (!YAML::convert<bool>::decode(value, parsed))
            problem(key, "is neither true nor false", "give true or false");
        return parsed;
    }

    std::string address(const std::string &key, bool required = true)
    {
        std::string value = text(key, {}, required);
        if (value.empty())
            return value;
        if (auto parsed = parseSocketAddress(value); !parsed)
            problem(key, parsed.error().message, parsed.error().remedy);
        return value;
    }

    // Whether the key is given and has a value.
    bool has(const std::string &key)
    {
        const YAML::Node value = find(key, false);
        return value && !value.IsNull();
    }

    // Empty if the key is missing or has no value.
    std::vector<std::string> texts(const std::string &key)
    {
        std::vector<std::string> list;
        if (!has(key))
            return list;
        const YAML::Node value = find(key, false);
        if (!value.IsSequence())
            problem(key, "is no list", "give a list of texts");
        for (const auto &item : value) {
            if (value.IsSequence() && item.IsScalar())
                list.push_back(item.Scalar());
            else if (value.IsSequence())
                problem(key, "holds what is no text", "give a list of texts");
        }
        return list;
    }

    std::vector<std::string> addresses(const std::string &key)
    {
        const YAML::Node value = find(key, true);
        std::vector<std::string> list;
        if (!value)
            return list;
        if (!value.IsSequence() || value.size() == 0) {
            problem(key, "is no list of addresses", "give a list with at least one ip:port");
            return list;
        }
        std::set<std::string> seen;
        for (const auto &item : value) {
            const std::string address = item.IsScalar() ? item.Scalar() : "...";
            if (auto parsed = parseSocketAddress(address); !parsed)
                problems_.add(item.Mark(), path(key), parsed.error().message,
                              parsed.error().remedy);
            if (!seen.insert(address).second)
                problems_.add(item.Mark(), path(key), fmt::format("'{}' is given twice", address),
                              "name each replica once");
            list.push_back(address);
        }
        return list;
    }

    void problem(const std::string &key, std::string_view what, std::string_view remedy)
    {
        const auto mark = marks_.find(key);
        problems_.add(mark == marks_.end() ? mark_ : mark->second, path(key), what, remedy);
    }

private:
    std::string path(const std::string &key) const { return name_ + "." + key; }

    YAML::Node find(const std::string &key, bool required)
    {
        asked_.insert(key);
        const auto found = values_.find(key);
        if (found != values_.end())
            return found->second;
        if (required)
            problem(key, "is missing", "add it; see docs/OPERATIONS.md");
        return YAML::Node(YAML::NodeType::Undefined);
    }

    std::string name_;
    Problems &problems_;
    YAML::Mark mark_ = YAML::Mark::null_mark();
    std::map<std::string, YAML::Node> values_;
    std::map<std::string, YAML::Mark> marks_;
    std::set<std::string> asked_;
};

void checkFolder(Section &section, const std::string &folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error || ::access(folder.c_str(), W_OK | X_OK) != 0) {
        section.problem("data_folder", fmt::format("'{}' cannot be written to", folder),
                        "create the folder and give this user the right to write to it");
    }
}

void readNode(const YAML::Node &root, Settings &settings, Problems &problems)
{
    Section section(root, "node", problems);
    settings.name = section.text("name", {}, true);
    settings.dataCentre = section.text("data_centre", {}, true);
    if (settings.name.size() > kMostNameLength)
        section.problem("name", "is too long",
                        fmt::format("use at most {} bytes", kMostNameLength));
    const std::string folder = section.text("data_folder");
    if (!folder.empty()) {
        settings.dataFolder = folder;
        checkFolder(section, folder);
    }
    settings.stopWithin = section.millis("stop_within_ms", settings.stopWithin, 0, 86400000);
    settings.memoryMb = section.number<size_t>("memory_mb", settings.memoryMb, 16, 1 << 24, "MB");
    settings.linkMbps = section.number<double>("link_mbps", settings.linkMbps, 0.1, 1e6, "Mbit/s");
    settings.stopNotice = section.millis("stop_notice_ms", settings.stopNotice, 0, 60000);
}

// Which forwarding the settings ask for decides what the other sections need.
Forwarding readForwarding(const YAML::Node &root, Problems &problems)
{
    const YAML::Node fleet = root["fleet"];
    const YAML::Node value = fleet && fleet.IsMap() ? fleet["forwarding"] : YAML::Node();
    if (!value || value.IsNull())
        return Forwarding::Owner;
    const std::string name = value.IsScalar() ? value.Scalar() : "...";
    if (name == "direct")
        return Forwarding::Direct;
    if (name != "owner") {
        problems.add(value.Mark(), "fleet.forwarding", fmt::format("'{}' is not known", name),
                     "use owner or direct");
    }
    return Forwarding::Owner;
}

void readListen(const YAML::Node &root, Settings &settings, Problems &problems)
{
    Section section(root, "listen", problems);
    ListenSettings &listen = settings.listen;
    const bool direct = settings.forwarding == Forwarding::Direct;
    struct Port
    {
        const char *key;
        std::string *target;
        bool required;
    };
    std::vector<Port> ports { { "callers", &listen.callers, !direct },
                              { "operators", &listen.operators, true },
                              { "peers", &listen.peers, true } };
    if (direct) {
        ports.push_back({ "readiness", &listen.readiness, false });
        ports.push_back({ "control", &listen.control, false });
    } else {
        ports.push_back({ "endpoints", &listen.endpoints, true });
    }
    std::map<std::string, std::string> taken;
    for (const Port &port : ports) {
        *port.target = section.address(port.key, port.required);
        if (port.target->empty())
            continue;
        const auto [clash, added] = taken.emplace(*port.target, port.key);
        if (!added) {
            section.problem(port.key, fmt::format("has the address of listen.{}", clash->second),
                            "give each its own port");
        }
    }
    if (direct && listen.control.empty() == settings.dataFolder.has_value()) {
        section.problem("control", "does not fit node.data_folder",
                        "give both on a control replica and neither on a router");
    }
}

// The peers' addresses of the replicas on the seeds' machines: a seed may name
// another port of its machine.
std::vector<std::string> peersOfSeeds(const Settings &settings)
{
    std::vector<std::string> peers;
    const auto own = parseSocketAddress(settings.listen.peers);
    for (const std::string &seed : settings.direct.seeds) {
        const auto parsed = parseSocketAddress(seed);
        if (own && parsed)
            peers.push_back(fmt::format("{}:{}", parsed->host, own->port));
    }
    return peers;
}

RolloutSettings readRollouts(const YAML::Node &fleet, Problems &problems)
{
    Section section(fleet, "rollouts", problems, "fleet");
    RolloutSettings rollouts;
    rollouts.exposureShare = section.number<double>("exposure_share", rollouts.exposureShare, 0.001,
                                                    1.0, "a share");
    rollouts.exposureSlack = section.number<double>("exposure_slack", rollouts.exposureSlack, 0.0,
                                                    1e6, "requests");
    rollouts.rollback = section.millis("rollback_ms", rollouts.rollback, 100, 3600000);
    return rollouts;
}

void readDirectFleet(const YAML::Node &root, Section &section, Settings &settings,
                     Problems &problems)
{
    section.text("forwarding");
    settings.direct.seeds = section.addresses("seeds");
    settings.controlReplicas = peersOfSeeds(settings);
    settings.direct.firstStart = section.flag("first_start", false);
    settings.direct.sync = section.millis("sync_ms", settings.direct.sync, 20, 10000);
    settings.coordinator.endpoints.heartbeatTimeout = section.millis(
            "endpoint_silence_ms", settings.coordinator.endpoints.heartbeatTimeout, 500, 600000);
    settings.contracts = section.texts("contracts");
    if (section.has("rollouts"))
        settings.direct.rollouts = readRollouts(root["fleet"], problems);
}

void readFleet(const YAML::Node &root, Settings &settings, Problems &problems)
{
    Section section(root, "fleet", problems);
    settings.fleetKey = section.text("key", {}, true);
    if (!settings.fleetKey.empty() && settings.fleetKey.size() < kLeastKeyLength) {
        section.problem("key", "is too short",
                        fmt::format("use at least {} random characters", kLeastKeyLength));
    }
    if (settings.forwarding == Forwarding::Direct) {
        readDirectFleet(root, section, settings, problems);
        return;
    }
    section.text("forwarding");
    settings.controlReplicas = section.addresses("control_replicas");
    settings.heartbeat = section.millis("heartbeat_ms", settings.heartbeat, 20, 10000);
    settings.coordinator.lease = section.millis("lease_ms", settings.coordinator.lease, 100, 60000);
    if (settings.coordinator.lease < 3 * settings.heartbeat) {
        section.problem("lease_ms", "is shorter than three heartbeats",
                        "make it at least three times heartbeat_ms");
    }
    settings.coordinator.maxDrift = section.number<double>(
            "max_clock_drift", settings.coordinator.maxDrift, 0.0, 0.2, "a share");
    settings.raft.maxDrift = settings.coordinator.maxDrift;
    settings.coordinator.lostLoadRetention
            = section.millis("lost_load_ms", settings.coordinator.lostLoadRetention, 0, 600000);
    settings.coordinator.endpoints.heartbeatTimeout = section.millis(
            "endpoint_silence_ms", settings.coordinator.endpoints.heartbeatTimeout, 500, 600000);
    settings.coordinator.endpoints.initialHoldDown = section.millis(
            "flap_hold_ms", settings.coordinator.endpoints.initialHoldDown, 0, 600000);
}

void readControl(const YAML::Node &root, Settings &settings, Problems &problems)
{
    Section section(root, "control", problems);
    settings.raft.heartbeat = section.millis("log_heartbeat_ms", settings.raft.heartbeat, 10, 5000);
    settings.raft.electionMin
            = section.millis("election_min_ms", settings.raft.electionMin, 50, 60000);
    settings.raft.electionMax
            = section.millis("election_max_ms", settings.raft.electionMax, 100, 120000);
    if (settings.raft.electionMin < 3 * settings.raft.heartbeat)
        section.problem("election_min_ms", "is shorter than three log heartbeats",
                        "make it at least three times log_heartbeat_ms");
    if (settings.raft.electionMax < settings.raft.electionMin * 3 / 2)
        section.problem("election_max_ms", "is too close to election_min_ms",
                        "make it at least one and a half times election_min_ms");
    settings.snapshotEvery = section.number<size_t>("snapshot_every", settings.snapshotEvery, 10,
                                                    10000000, "entries");
    CallLimits &calls = settings.state.calls;
    calls.maxRecords
            = section.number<size_t>("max_calls", calls.maxRecords, 1, 10000000, "records");
    calls.maxReplyBytes = section.number<size_t>("max_kept_answer_bytes", calls.maxReplyBytes, 0,
                                                 64 << 20, "bytes");
    calls.maxKeptBytes
            = section.number<size_t>("max_kept_bytes", calls.maxKeptBytes, 0, 1ULL << 30, "bytes");
    calls.retentionMillis = toMillis(
            section.millis("call_retention_ms", std::chrono::milliseconds(calls.retentionMillis),
                           1000, 30LL * 86400000));
    calls.maxRunMillis = toMillis(section.millis(
            "call_max_run_ms", std::chrono::milliseconds(calls.maxRunMillis), 1000, 86400000));
    SuspectLimits &suspects = settings.state.suspects;
    suspects.suspectMillis = toMillis(section.millis(
            "suspect_ms", std::chrono::milliseconds(suspects.suspectMillis), 1000, 86400000));
    suspects.quarantineMillis = toMillis(
            section.millis("quarantine_ms", std::chrono::milliseconds(suspects.quarantineMillis),
                           1000, 30LL * 86400000));
}

void readRouting(const YAML::Node &root, Settings &settings, Problems &problems)
{
    Section section(root, "routing", problems);
    RoutingSettings &routing = settings.routing;
    if (settings.forwarding == Forwarding::Direct) {
        RetryWindowSettings &retries = settings.direct.retries;
        retries.ratio = section.number<double>("retry_share", retries.ratio, 0.0, 1.0, "a share");
        retries.slack
                = section.number<double>("retry_reserve", retries.slack, 0.0, 100000.0, "retries");
        retries.window = section.millis("retry_window_ms", retries.window, 1000, 600000);
        routing.shortage = section.flag("shortage", routing.shortage);
        return;
    }
    routing.loadMultiple
            = section.number<double>("load_multiple", routing.loadMultiple, 1.0, 10.0, "a number");
    routing.placement.newChatMultiple = section.number<double>(
            "new_chat_multiple", routing.placement.newChatMultiple, 1.0, 10.0, "a number");
    routing.placement.maxCandidates = section.number<size_t>(
            "max_candidates", routing.placement.maxCandidates, 1, 64, "endpoints");
    routing.rememberedChats = section.number<size_t>("remembered_chats", routing.rememberedChats, 0,
                                                     10000000, "chats");
    routing.admission.queue.maxWaiting = section.number<size_t>(
            "max_waiting", routing.admission.queue.maxWaiting, 0, 100000, "requests");
    routing.admission.slowStart.slowFirstToken = section.millis(
            "slow_first_token_ms", routing.admission.slowStart.slowFirstToken, 10, 600000);
    routing.retries.share
            = section.number<double>("retry_share", routing.retries.share, 0.0, 1.0, "a share");
    routing.retries.reserve = section.number<double>("retry_reserve", routing.retries.reserve, 0.0,
                                                     10000.0, "retries");
}

void readLimits(const YAML::Node &root, Settings &settings, Problems &problems)
{
    Section section(root, "limits", problems);
    settings.http.maxHeaderBytes = section.number<size_t>(
            "max_header_bytes", settings.http.maxHeaderBytes, 1024, 1 << 20, "bytes");
    settings.http.maxHeaderLines = section.number<size_t>(
            "max_header_lines", settings.http.maxHeaderLines, 0, 1 << 16, "lines");
    if (settings.http.maxHeaderLines > 0)
        settings.endpoint.maxHeadLines = settings.http.maxHeaderLines;
    settings.http.headMemoryBytes = section.number<size_t>(
            "head_memory_bytes", settings.http.headMemoryBytes, 0, 1 << 30, "bytes");
    settings.http.maxBodyBytes = section.number<size_t>(
            "max_body_bytes", settings.http.maxBodyBytes, 1024, 256 << 20, "bytes");
    settings.http.slowSender
            = section.millis("slow_sender_ms", settings.http.slowSender, 100, 600000);
    settings.http.wholeRequest
            = section.millis("whole_request_ms", settings.http.wholeRequest, 100, 600000);
    settings.http.slowReader
            = section.millis("slow_reader_ms", settings.http.slowReader, 100, 600000);
    settings.endpoint.connect
            = section.millis("endpoint_connect_ms", settings.endpoint.connect, 10, 60000);
    settings.endpoint.silence
            = section.millis("answer_silence_ms", settings.endpoint.silence, 100, 3600000);
    settings.endpoint.maxAnswerBytes = section.number<size_t>(
            "max_answer_bytes", settings.endpoint.maxAnswerBytes, 1024, 256 << 20, "bytes");
    settings.endpoint.maxHeadBytes = section.number<size_t>(
            "max_head_bytes", settings.endpoint.maxHeadBytes, 1024, 1 << 20, "bytes");
    settings.endpoint.maxHeldBytes = section.number<size_t>(
            "max_held_bytes", settings.endpoint.maxHeldBytes, 1024, 1 << 30, "bytes");
}

void readLog(const YAML::Node &root, Settings &settings, Problems &problems)
{
    Section section(root, "log", problems);
    const std::string form = section.text("form", "key_value");
    if (form == "json")
        settings.logForm = LogFormat::Json;
    else if (form != "key_value")
        section.problem("form", fmt::format("'{}' is not known", form), "use key_value or json");
    const std::string level = section.text("level", "info");
    const std::map<std::string, LogLevel> levels { { "debug", LogLevel::Debug },
                                                   { "info", LogLevel::Info },
                                                   { "warning", LogLevel::Warning },
                                                   { "error", LogLevel::Error } };
    if (const auto found = levels.find(level); found != levels.end())
        settings.logLevel = found->second;
    else
        section.problem("level", fmt::format("'{}' is not known", level),
                        "use debug, info, warning or error");
}

} // namespace

size_t machineMemoryMb()
{
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    return static_cast<size_t>(pages) * static_cast<size_t>(pageBytes) >> 20;
}

tl::expected<Settings, SettingsErrors> parseSettings(std::string_view text, const std::string &file)
{
    Problems problems(file);
    Settings settings;
    try {
        const YAML::Node root = YAML::Load(std::string(text));
        if (!root.IsMap()) {
            problems.add(root.Mark(), "settings", "the file holds no sections",
                         "start from the example in docs/OPERATIONS.md");
            return tl::unexpected(problems.take());
        }
        const std::set<std::string> sections { "node",    "listen", "fleet", "control",
                                               "routing", "limits", "log" };
        for (const auto &item : root) {
            const std::string name = item.first.IsScalar() ? item.first.Scalar() : "...";
            if (sections.count(name) == 0)
                problems.add(item.first.Mark(), name, "is not known",
                             fmt::format("use the sections: {}", fmt::join(sections, ", ")));
        }
        settings.forwarding = readForwarding(root, problems);
        readNode(root, settings, problems);
        readListen(root, settings, problems);
        readFleet(root, settings, problems);
        readControl(root, settings, problems);
        readRouting(root, settings, problems);
        readLimits(root, settings, problems);
        readLog(root, settings, problems);
    } catch (const YAML::Exception &problem) {
        problems.add(problem.mark, "settings", problem.msg, "correct the YAML at that line");
    }
    if (!problems.none())
        return tl::unexpected(problems.take());
    return settings;
}

tl::expected<Settings, SettingsErrors> loadSettings(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return tl::unexpected(SettingsErrors { { ErrorKind::InvalidSettings,
                                                 fmt::format("{}: cannot be read", file),
                                                 "name a readable settings file" } });
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(text.str(), file);
}

} // namespace bamboogap
