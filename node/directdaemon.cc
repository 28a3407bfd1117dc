// The tasks of a direct fleet's node, its reload and its planned stop.
//
// A planned stop cuts off no request: the readiness probe fails at once, answers
// tell callers to close their connections, requests that still come are served, and
// the process ends when the balancer has had time to turn away and nothing is open,
// or just before the platform would kill it.

#include "node/directdaemon.h"

#include <charconv>
#include <csignal>
#include <filesystem>

#include <fmt/format.h>
#include <kj/debug.h>

#include "base/jsontext.h"
#include "base/log.h"
#include "node/controltask.h"
#include "node/convert.h"
#include "node/directrouter.h"
#include "node/httpserver.h"
#include "node/loop/turnreport.h"
#include "node/metrics.h"
#include "node/operatorrollouts.h"
#include "node/refusal.h"
#include "node/replicafront.h"
#include "node/synctask.h"
#include "node/trafficmeter.h"

namespace bamboogap {

namespace {

constexpr Duration kFlushLog = std::chrono::milliseconds(250);
constexpr Duration kWatchSettings = std::chrono::seconds(1);
constexpr Duration kProbeDisk = std::chrono::milliseconds(250);
constexpr Duration kDrainPoll = std::chrono::milliseconds(50);
constexpr Duration kHandOver = std::chrono::milliseconds(300);
// The balancer probes every second and turns away after two misses; a connection
// that it made just before may bring a request a little later.
constexpr Duration kBalancerTurnsAway = std::chrono::milliseconds(3500);
// Requests that come later in a stop are refused, also after this share of the time until the
// platform kills the process: the longest answers need the rest.
constexpr Duration kLastCall = std::chrono::milliseconds(2800);
constexpr double kLastCallShare = 0.35;
// Nothing may have been open for this long before the process ends.
constexpr Duration kQuiet = std::chrono::milliseconds(300);
// Share of the time until the platform kills the process that a stop uses.
constexpr double kStopShare = 0.9;
// A connection is closed when it idled this much longer than callers may reuse it.
constexpr double kIdleMargin = 1.2;

// What a router answers to its peers.
class RouterServer final : public wire::Node::Server
{
public:
    RouterServer(SyncTask &sync, Metrics &metrics, double linkBytesPerSecond)
        : sync_(sync)
        , traffic_(metrics, linkBytesPerSecond)
    {
    }

    kj::Promise<void> replicaStarted(ReplicaStartedContext context) override
    {
        sync_.onReplicaStarted(std::string(toView(context.getParams().getAddress())));
        return kj::READY_NOW;
    }

    kj::Promise<void> routes(RoutesContext context) override
    {
        const DocumentUpdate piece = sync_.documentFor(context.getParams().getKnown());
        auto results = context.getResults();
        results.setVersion(piece.version);
        results.setBase(piece.base);
        results.setDocument(toData(piece.bytes));
        traffic_.sent(Traffic::Document, piece.bytes.size());
        return kj::READY_NOW;
    }

private:
    SyncTask &sync_;
    TrafficMeter traffic_;
};

class DirectDaemon final : public Daemon
{
public:
    DirectDaemon(Settings settings, std::string settingsFile, Dialect dialect)
        : settings_(std::move(settings))
        , settingsFile_(std::move(settingsFile))
        , dialect_(std::move(dialect))
        , peers_(loop_, settings_.fleetKey)
    {
    }

    Result<void> open()
    {
        if (settings_.dataFolder) {
            if (auto opened = openReplica(); !opened)
                return opened;
        }
        if (!settings_.listen.callers.empty()) {
            if (auto opened = openRouter(); !opened)
                return opened;
        }
        return openPort(
                settings_.listen.operators, operatorPort_,
                [this](ExchangeId id, const HttpRequest &request) { operators(id, request); });
    }

    void run() override
    {
        auto stopped = kj::newPromiseAndFulfiller<void>();
        stopAsked_ = kj::mv(stopped.fulfiller);
        watchSignals();
        settingsTime_ = settingsTime();
        loop_.every(kFlushLog, "flush log", [] { flushLog(); });
        loop_.setTurnHook([this](const Turn &turn) { turnReport_.add(turn, BootClock::now()); });
        loop_.every(kWatchSettings, "watch settings", [this] { watchSettings(); });
        if (replica_) {
            replica_->start();
            front_->start();
            loop_.every(kProbeDisk, "probe disk", [this] { probeDisk(); });
        }
        if (router_) {
            router_->start();
            sync_->start();
        }
        logEvent(LogLevel::Info, "started",
                 { { "callers", settings_.listen.callers },
                   { "control", settings_.listen.control },
                   { "peers", settings_.listen.peers },
                   { "seeds", fmt::format("{}", fmt::join(settings_.direct.seeds, ",")) },
                   { "first_start", settings_.direct.firstStart ? "yes" : "no" } });
        loop_.run(stopped.promise.then([this]() { return stop(); }));
        logEvent(LogLevel::Info, "stopped", {});
        flushLog();
    }

    ~DirectDaemon() noexcept(false) override
    {
        for (event *signal : signals_)
            event_free(signal);
    }

private:
    Result<void> openReplica()
    {
        auto disk = realDisk(*settings_.dataFolder);
        if (!disk)
            return tl::unexpected(disk.error());
        ControlSettings control;
        control.name = settings_.name;
        control.address = settings_.listen.peers;
        control.peers = settings_.controlReplicas;
        control.timing = settings_.raft;
        control.coordinator = settings_.coordinator;
        control.limits = settings_.state;
        control.snapshotEvery = settings_.snapshotEvery;
        control.linkBytesPerSecond = settings_.linkBytesPerSecond();
        control.selfManaged = true;
        control.firstStart = settings_.direct.firstStart;
        MemoFile memo(*disk);
        DepartureStore departures(*disk);
        auto replica = ControlTask::open(loop_, peers_, std::move(control), std::move(*disk));
        if (!replica)
            return tl::unexpected(replica.error());
        replica_ = std::move(*replica);
        front_ = std::make_unique<ReplicaFront>(
                loop_, peers_, *replica_, dialect_,
                ReplicaFront::Settings {
                        settings_.listen.peers, settings_.coordinator.endpoints.heartbeatTimeout,
                        settings_.direct.firstStart, settings_.linkBytesPerSecond(),
                        settings_.direct.rollouts.has_value() },
                metrics_, std::move(memo), std::move(departures));
        if (const auto &rollouts = settings_.direct.rollouts) {
            RolloutBounds bounds;
            bounds.share = rollouts->exposureShare;
            bounds.slack = rollouts->exposureSlack;
            front_->runRollouts(bounds);
        }
        auto node = front_->makeServer();
        peers_.setSelf(settings_.listen.peers, node);
        auto server = PeerServer::listen(loop_, *parseSocketAddress(settings_.listen.peers),
                                         settings_.fleetKey, kj::mv(node));
        if (!server)
            return tl::unexpected(server.error());
        peerServer_ = std::move(*server);
        auto opened = openPort(
                settings_.listen.control, controlPort_,
                [this](ExchangeId id, const HttpRequest &request) { front_->handle(id, request); });
        front_->setServer(controlPort_.get());
        return opened;
    }

    Result<void> openRouter()
    {
        DirectRouterSettings routing;
        routing.dataCentre = settings_.dataCentre;
        routing.retries = settings_.direct.retries;
        routing.pool.maxAnswerBytes = settings_.endpoint.maxAnswerBytes;
        routing.pool.maxHeadBytes = settings_.endpoint.maxHeadBytes;
        routing.pool.maxHeadLines = settings_.endpoint.maxHeadLines;
        routing.maxHeldBytes = settings_.endpoint.maxHeldBytes;
        routing.shortage = settings_.routing.shortage;
        router_ = std::make_unique<DirectRouter>(loop_, dialect_, routing, metrics_);
        SyncSettings sync { settings_.name,
                            settings_.listen.peers,
                            static_cast<uint64_t>(wallClockMillis()),
                            settings_.dataCentre,
                            settings_.controlReplicas,
                            settings_.direct.sync };
        SyncTask::Hooks hooks;
        hooks.uses = [this] { return router_->uses(); };
        hooks.takePlacements = [this] { return router_->takePlacements(); };
        hooks.answerTimes = [this]() -> const AnswerTimes & { return router_->answerTimes(); };
        hooks.streamRuns = [this]() { return router_->streamRuns(); };
        hooks.learn = [this](std::span<const PromptPlacement> placements) {
            router_->learn(placements);
        };
        hooks.rolloutReports = [this] { return router_->rolloutReports(); };
        hooks.draw = [this] { return router_->draw(); };
        if (routing.shortage)
            hooks.takeDemands = [this] { return router_->takeDemands(); };
        hooks.parseRoutes = dialect_.parseRoutes;
        hooks.changed = [this] { onNews(); };
        sync_ = std::make_unique<SyncTask>(loop_, peers_, std::move(sync), std::move(hooks));
        router_->setSync(sync_.get());
        if (auto listening = listenForReplicas(); !listening)
            return listening;
        auto opened = openPort(settings_.listen.callers, callerPort_,
                               [this](ExchangeId id, HttpRequest request) {
                                   router_->handle(id, std::move(request));
                               });
        if (!opened)
            return opened;
        router_->setServer(callerPort_.get());
        if (settings_.listen.readiness.empty())
            return {};
        return openPort(
                settings_.listen.readiness, readinessPort_,
                [this](ExchangeId id, const HttpRequest &request) { readiness(id, request); });
    }

    // A node that is a replica as well has its port for peers already, and its own word.
    Result<void> listenForReplicas()
    {
        if (peerServer_ || settings_.listen.peers.empty())
            return {};
        auto server = PeerServer::listen(
                loop_, *parseSocketAddress(settings_.listen.peers), settings_.fleetKey,
                kj::heap<RouterServer>(*sync_, metrics_, settings_.linkBytesPerSecond()));
        if (!server)
            return tl::unexpected(server.error());
        peerServer_ = std::move(*server);
        return {};
    }

    Result<void> openPort(const std::string &address, std::unique_ptr<HttpServer> &port,
                          HttpServer::Handler handler)
    {
        auto opened = HttpServer::listen(loop_, *parseSocketAddress(address), settings_.http,
                                         heads_, bodies_, std::move(handler));
        if (!opened)
            return tl::unexpected(opened.error());
        port = std::move(*opened);
        heads_.setRefused([this](std::string_view reason) {
            metrics_.count("bamboogap_heads_refused_total", fmt::format("reason=\"{}\"", reason));
        });
        port->setConnectionRefused(
                [this] { metrics_.count("bamboogap_connections_refused_total"); });
        return {};
    }

    void onNews()
    {
        router_->onNews();
        const auto &table = sync_->table();
        if (!table || table->version() == limitsVersion_)
            return;
        limitsVersion_ = table->version();
        HttpLimits limits = settings_.http;
        limits.maxHeaderBytes = std::max(limits.maxHeaderBytes, table->limits().maxHeaderBytes);
        limits.maxBodyBytes = std::max(limits.maxBodyBytes, table->limits().maxBodyBytes);
        limits.slowSender
                = std::chrono::duration_cast<Duration>(table->limits().idleTimeout * kIdleMargin);
        callerPort_->setLimits(limits);
    }

    void readiness(ExchangeId id, const HttpRequest &request)
    {
        HttpReply reply;
        if (!dialect_.isReadinessProbe(request))
            reply.status = 404;
        else
            reply.status = !stopping_ && sync_->isReady(BootClock::now()) ? 200 : 503;
        const bool ready = reply.status == 200;
        if (reply.status != 404 && ready != wasReady_) {
            wasReady_ = ready;
            logEvent(
                    LogLevel::Info, "readiness",
                    { { "ready", ready ? "yes" : "no" },
                      { "stopping", stopping_ ? "yes" : "no" },
                      { "replicas", fmt::to_string(sync_->replicasAnswering(BootClock::now())) } });
        }
        readinessPort_->reply(id, reply);
    }

    void operators(ExchangeId id, const HttpRequest &request)
    {
        HttpReply reply;
        if (request.pathOnly() == "/metrics") {
            reply.contentType = "text/plain; version=0.0.4";
            metrics_.set("bamboogap_heads_held_bytes", {}, double(heads_.taken()));
            reply.body = metrics_.render();
        } else if (request.pathOnly() == "/v1/operators/node"
                   || request.pathOnly() == "/v1/operators/status") {
            reply.body = jsonText(nodeStatus());
        } else if (request.method == "POST" && front_
                   && request.pathOnly() == "/v1/operators/quarantine/release") {
            liftQuarantine(id, request.query("fingerprint"));
            return;
        } else if (request.pathOnly() == kOperatorRolloutsPath && front_ && front_->rollouts()) {
            const auto abandoned = [this, id] { return operatorPort_->hasCallerLeft(id); };
            loop_.detach(answerRolloutCall(*front_->rollouts(), request, abandoned)
                                 .then([this, id](HttpReply answer) {
                                     operatorPort_->reply(id, answer);
                                 }),
                         "operators' rollouts");
            return;
        } else if (request.pathOnly() == "/healthz") {
            reply.body = "{}";
        } else {
            reply.status = 404;
            reply.body = R"({"error":{"type":"not_found","message":"use /metrics, )"
                         R"(/v1/operators/node, /v1/operators/status or /healthz"}})";
        }
        operatorPort_->reply(id, reply);
    }

    void liftQuarantine(ExchangeId id, std::string_view text)
    {
        constexpr int kHex = 16;
        Fingerprint fingerprint = 0;
        const auto parsed
                = std::from_chars(text.data(), text.data() + text.size(), fingerprint, kHex);
        if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
            replyError(id,
                       { ErrorKind::InvalidRequest, "the query names no fingerprint",
                         "send ?fingerprint=HEX as the status shows it" });
            return;
        }
        loop_.detach(front_->liftQuarantine(fingerprint).then([this, id, fingerprint](auto lifted) {
            logEvent(LogLevel::Info, "quarantine_lifted",
                     { { "fingerprint", fmt::format("{:016x}", fingerprint) },
                       { "outcome", lifted ? "committed" : "unknown" },
                       { "problem", lifted ? "" : lifted.error().message } });
            if (!lifted) {
                replyError(id, lifted.error());
                return;
            }
            HttpReply reply;
            reply.body = R"({"accepted":true})";
            operatorPort_->reply(id, reply);
        }),
                     "lift a quarantine");
    }

    void replyError(ExchangeId id, const Error &error)
    {
        operatorPort_->reply(id, refusal(error, RunState::NotRun, ""));
    }

    nlohmann::json nodeStatus()
    {
        const Instant now = BootClock::now();
        nlohmann::json value { { "name", settings_.name },
                               { "data_centre", settings_.dataCentre },
                               { "stopping", stopping_ } };
        if (replica_) {
            value["replica"] = replica_->status();
            auto routers = nlohmann::json::array();
            for (const auto &[name, entry] : front_->routers().routers()) {
                routers.push_back({ { "name", name },
                                    { "routes_version", entry.report.routesVersion },
                                    { "silent_ms", toMillis(now - entry.lastSeen) } });
            }
            value["direct_routers"] = routers;
        }
        if (router_) {
            value["routes_version"] = sync_->table() ? sync_->table()->version() : 0;
            value["ready"] = !stopping_ && sync_->isReady(now);
            value["knowledge_age_ms"] = toMillis(sync_->knowledgeAge(now));
            value["data_centres_out"] = sync_->dataCentresOut();
            auto endpoints = nlohmann::json::array();
            for (const auto &[key, standing] : router_->board().statuses()) {
                endpoints.push_back(
                        { { "id", standing.id },
                          { "service", standing.service },
                          { "data_centre", standing.dataCentre },
                          { "address", standing.address },
                          { "usable", standing.usable },
                          { "out", standing.dataCentreOut },
                          { "cold_ms", std::max<int64_t>(0, toMillis(standing.coldUntil - now)) },
                          { "ejected", standing.health.isEjected(now) },
                          { "running", standing.running },
                          { "running_by_others", standing.othersRunning },
                          { "slowness", standing.latencyRatio } });
                if (standing.rateLimiter.isLimited())
                    endpoints.back()["rate_limit_share"] = standing.rateLimiter.perSecond(now);
            }
            value["endpoints"] = endpoints;
        }
        return value;
    }

    void watchSignals()
    {
        const auto watch = [this](int number, event_callback_fn callback) {
            event *signal = evsignal_new(loop_.base(), number, callback, this);
            event_add(signal, nullptr);
            signals_.push_back(signal);
        };
        const auto stop = [](evutil_socket_t, short, void *self) {
            static_cast<DirectDaemon *>(self)->stopAsked_->fulfill();
        };
        watch(SIGTERM, stop);
        watch(SIGINT, stop);
        watch(SIGHUP, [](evutil_socket_t, short, void *self) {
            static_cast<DirectDaemon *>(self)->reload("signal");
        });
    }

    // A replica whose disk failed stands still. Once the disk takes writes again the process
    // ends, to be started anew by the platform and to open its log as after a crash: disks that
    // fill up one after the other must not cost the group its majority.
    void probeDisk()
    {
        if (restarting_ || !replica_->mayReopen())
            return;
        restarting_ = true;
        logEvent(LogLevel::Warning, "replica_restarts",
                 { { "reason", "the disk takes writes again" } });
        stopAsked_->fulfill();
    }

    std::filesystem::file_time_type settingsTime() const
    {
        std::error_code error; // a file that is being replaced shows up with the next look
        return std::filesystem::last_write_time(settingsFile_, error);
    }

    void watchSettings()
    {
        const auto time = settingsTime();
        if (time == settingsTime_)
            return;
        settingsTime_ = time;
        reload("file changed");
    }

    // Only the seeds can change while a node runs; the rest holds from its start.
    void reload(std::string_view why)
    {
        const auto loaded = loadSettings(settingsFile_);
        if (!loaded) {
            logEvent(LogLevel::Warning, "reload_refused",
                     { { "why", std::string(why) },
                       { "problem", loaded.error().front().message },
                       { "remedy", loaded.error().front().remedy } });
            return;
        }
        settings_.direct.seeds = loaded->direct.seeds;
        settings_.controlReplicas = loaded->controlReplicas;
        if (sync_)
            sync_->setSeeds(settings_.controlReplicas);
        if (replica_)
            replica_->setPeers(settings_.controlReplicas);
        logEvent(LogLevel::Info, "reloaded",
                 { { "why", std::string(why) },
                   { "seeds", fmt::format("{}", fmt::join(settings_.direct.seeds, ",")) } });
    }

    kj::Promise<void> stop()
    {
        stopping_ = true;
        if (restarting_ && !router_)
            return loop_.sleep(kDrainPoll); // orders under way have had their answers
        stopBegan_ = BootClock::now();
        quietSince_ = stopBegan_;
        logEvent(LogLevel::Info, "stop_began",
                 { { "open", fmt::to_string(router_ ? router_->openCount() : 0) } });
        if (router_)
            router_->announceStop(stopBegan_ + std::min(kLastCall, stopTime(kLastCallShare)));
        if (replica_ && replica_->maySpeak())
            replica_->handOver();
        const Duration least
                = std::min(router_ ? kBalancerTurnsAway : kHandOver, stopTime(kStopShare));
        return loop_.sleep(least).then([this]() { return drain(); }).then([this]() {
            if (!sync_)
                return kj::Promise<void>(kj::READY_NOW);
            sync_->leave();
            return loop_.sleep(kDrainPoll);
        });
    }

    // A share of the time until the platform kills a process that stops.
    Duration stopTime(double share) const
    {
        return std::chrono::duration_cast<Duration>(settings_.stopWithin * share);
    }

    kj::Promise<void> drain()
    {
        const Instant now = BootClock::now();
        const bool busy = (router_ && router_->openCount() > 0)
                || (callerPort_ && callerPort_->openCount() > 0)
                || (controlPort_ && controlPort_->openCount() > 0);
        if (busy)
            quietSince_ = now;
        if (now - quietSince_ >= kQuiet)
            return kj::READY_NOW;
        if (now - stopBegan_ >= stopTime(kStopShare)) {
            logEvent(LogLevel::Warning, "stop_limit_reached",
                     { { "open", fmt::to_string(router_ ? router_->openCount() : 0) } });
            if (router_)
                router_->breakAll();
            return loop_.sleep(kDrainPoll);
        }
        return loop_.sleep(kDrainPoll).then([this]() { return drain(); });
    }

    Settings settings_;
    std::string settingsFile_;
    Dialect dialect_;
    EventLoop loop_;
    Metrics metrics_;
    TurnReport turnReport_ { metrics_ };
    Peers peers_;
    HeadBudget heads_ { settings_.http.headMemoryBytes > 0 ? settings_.http.headMemoryBytes
                                                           : headLimit(settings_.memoryBytes()) };
    BodyBudget bodies_ { bodyLimit(settings_.memoryBytes()) };
    std::unique_ptr<ControlTask> replica_;
    std::unique_ptr<ReplicaFront> front_;
    std::unique_ptr<PeerServer> peerServer_;
    std::unique_ptr<DirectRouter> router_;
    std::unique_ptr<SyncTask> sync_;
    std::unique_ptr<HttpServer> callerPort_;
    std::unique_ptr<HttpServer> readinessPort_;
    std::unique_ptr<HttpServer> controlPort_;
    std::unique_ptr<HttpServer> operatorPort_;
    std::vector<event *> signals_;
    kj::Own<kj::PromiseFulfiller<void>> stopAsked_;
    std::filesystem::file_time_type settingsTime_ {};
    uint64_t limitsVersion_ = 0;
    bool stopping_ = false;
    bool restarting_ = false;
    bool wasReady_ = false;
    Instant stopBegan_ {};
    Instant quietSince_ {};
};

} // namespace

Result<std::unique_ptr<Daemon>> startDirectDaemon(Settings settings, std::string settingsFile,
                                                  Dialect dialect)
{
    configureLog(settings.logForm, settings.logLevel, settings.name);
    auto daemon = std::make_unique<DirectDaemon>(std::move(settings), std::move(settingsFile),
                                                 std::move(dialect));
    if (auto opened = daemon->open(); !opened)
        return tl::unexpected(opened.error());
    return std::unique_ptr<Daemon>(std::move(daemon));
}

} // namespace bamboogap
