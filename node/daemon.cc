// The node's tasks and its planned stop.
//
// A planned stop cuts off no request. In order: /readyz fails, so that the
// balancer looks elsewhere; after the notice time the router leaves the view,
// so that other routers own its endpoints; requests that still come are served;
// when none is open the control replica hands over leadership and the process
// ends.

#include "node/daemon.h"

#include <csignal>

#include <fmt/format.h>
#include <kj/debug.h>

#include "base/log.h"
#include "node/controlclient.h"
#include "node/controltask.h"
#include "node/endpointfront.h"
#include "node/entrytask.h"
#include "node/eventloop.h"
#include "node/httpserver.h"
#include "node/loop/turnreport.h"
#include "node/membertask.h"
#include "node/metrics.h"
#include "node/nodeserver.h"
#include "node/operatorfront.h"
#include "node/ownertask.h"
#include "node/peers.h"

namespace bamboogap {

namespace {

constexpr Duration kFlushLog = std::chrono::milliseconds(250);
constexpr Duration kLeaveLimit = std::chrono::seconds(5);
constexpr Duration kDrainPoll = std::chrono::milliseconds(20);
// Nothing may have been open for this long before the process ends, so that a
// request which the balancer sent last is not cut off.
constexpr Duration kQuiet = std::chrono::milliseconds(300);
constexpr Duration kHandOver = std::chrono::milliseconds(500);

class DaemonImpl final : public Daemon
{
public:
    explicit DaemonImpl(Settings settings)
        : settings_(std::move(settings))
        , peers_(loop_, settings_.fleetKey)
        , control_(loop_, peers_, settings_.controlReplicas)
        , members_(loop_, control_, self(), settings_.heartbeat)
        , owner_(loop_, settings_, members_, control_, metrics_)
        , entry_(loop_, settings_, members_, owner_, control_, peers_, metrics_)
        , endpointFront_(settings_, members_, metrics_)
    {
    }

    Result<void> open()
    {
        if (settings_.dataFolder) {
            if (auto opened = openReplica(); !opened)
                return opened;
        }
        operators_ = std::make_unique<OperatorFront>(loop_, settings_, members_, owner_, entry_,
                                                     control_, replica_.get(), metrics_);
        auto node = makeNodeServer(owner_, members_, replica_.get());
        peers_.setSelf(settings_.listen.peers, node);
        auto server = PeerServer::listen(loop_, *parseSocketAddress(settings_.listen.peers),
                                         settings_.fleetKey, kj::mv(node));
        if (!server)
            return tl::unexpected(server.error());
        peerServer_ = std::move(*server);
        if (auto opened = openPort(settings_.listen.callers, callerPort_,
                                   [this](ExchangeId id, HttpRequest request) {
                                       entry_.handle(id, std::move(request));
                                   });
            !opened)
            return opened;
        if (auto opened = openPort(settings_.listen.endpoints, endpointPort_,
                                   [this](ExchangeId id, const HttpRequest &request) {
                                       endpointFront_.handle(id, request);
                                   });
            !opened)
            return opened;
        if (auto opened = openPort(settings_.listen.operators, operatorPort_,
                                   [this](ExchangeId id, const HttpRequest &request) {
                                       metrics_.set("bamboogap_heads_held_bytes", {},
                                                    double(heads_.taken()));
                                       operators_->handle(id, request);
                                   });
            !opened)
            return opened;
        entry_.setServer(callerPort_.get());
        endpointFront_.setServer(endpointPort_.get());
        operators_->setServer(operatorPort_.get());
        return {};
    }

    void run() override
    {
        auto stopped = kj::newPromiseAndFulfiller<void>();
        stopAsked_ = kj::mv(stopped.fulfiller);
        watchSignals();
        if (replica_)
            replica_->start();
        owner_.start();
        members_.start([this] { return owner_.loads(); },
                       [this](const MemberUpdate &news, const ReportedLoads &reported) {
                           owner_.onNews(news, reported);
                       });
        logEvent(LogLevel::Info, "started",
                 { { "callers", settings_.listen.callers },
                   { "endpoints", settings_.listen.endpoints },
                   { "operators", settings_.listen.operators },
                   { "peers", settings_.listen.peers },
                   { "replica", replica_ ? "yes" : "no" } });
        loop_.every(kFlushLog, "flush log", [] { flushLog(); });
        loop_.setTurnHook([this](const Turn &turn) { turnReport_.add(turn, BootClock::now()); });
        loop_.run(stopped.promise.then([this]() { return stop(); }));
        logEvent(LogLevel::Info, "stopped", {});
        flushLog();
    }

    ~DaemonImpl() noexcept(false) override
    {
        for (event *signal : signals_)
            event_free(signal);
    }

private:
    RouterInfo self() const
    {
        return { settings_.name, static_cast<uint64_t>(wallClockMillis()), settings_.dataCentre,
                 settings_.listen.peers };
    }

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
        control.heartbeat = settings_.heartbeat;
        auto replica = ControlTask::open(loop_, peers_, std::move(control), std::move(*disk));
        if (!replica)
            return tl::unexpected(replica.error());
        replica_ = std::move(*replica);
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

    void watchSignals()
    {
        const auto watch = [this](int number, event_callback_fn callback) {
            event *signal = evsignal_new(loop_.base(), number, callback, this);
            event_add(signal, nullptr);
            signals_.push_back(signal);
        };
        const auto stop = [](evutil_socket_t, short, void *self) {
            static_cast<DaemonImpl *>(self)->stopAsked_->fulfill();
        };
        watch(SIGTERM, stop);
        watch(SIGINT, stop);
        watch(SIGHUP, [](evutil_socket_t, short, void *) {
            logEvent(LogLevel::Warning, "reload_refused",
                     { { "reason", "settings are read at the start only" },
                       { "remedy",
                         "stop the node with SIGTERM and start it again; the lists "
                         "are changed with bamboogapctl" } });
        });
    }

    kj::Promise<void> stop()
    {
        logEvent(LogLevel::Info, "stop_began", { { "open", fmt::to_string(entry_.openCount()) } });
        operators_->announceStop();
        return loop_.sleep(settings_.stopNotice)
                .then([this]() { return members_.leave(kLeaveLimit); })
                .then([this]() {
                    quietSince_ = BootClock::now();
                    return drain(BootClock::now() + settings_.stopWithin);
                })
                .then([this]() -> kj::Promise<void> {
                    if (!replica_ || !replica_->maySpeak())
                        return kj::READY_NOW;
                    replica_->handOver();
                    return loop_.sleep(kHandOver);
                });
    }

    // Waits until nothing is open, or the limit has passed.
    kj::Promise<void> drain(Instant giveUpAt)
    {
        const Instant now = BootClock::now();
        const bool busy = entry_.openCount() > 0 || owner_.runningCount() > 0
                || callerPort_->openCount() > 0;
        if (busy)
            quietSince_ = now;
        if (now >= giveUpAt) {
            logEvent(LogLevel::Warning, "stop_limit_reached",
                     { { "open", fmt::to_string(entry_.openCount()) },
                       { "remedy", "raise node.stop_within_ms" } });
            return kj::READY_NOW;
        }
        if (now - quietSince_ >= kQuiet)
            return kj::READY_NOW;
        return loop_.sleep(kDrainPoll).then([this, giveUpAt]() { return drain(giveUpAt); });
    }

    Settings settings_;
    EventLoop loop_;
    Metrics metrics_;
    TurnReport turnReport_ { metrics_ };
    Peers peers_;
    HeadBudget heads_ { settings_.http.headMemoryBytes > 0 ? settings_.http.headMemoryBytes
                                                           : headLimit(settings_.memoryBytes()) };
    BodyBudget bodies_ { bodyLimit(settings_.memoryBytes()) };
    ControlClient control_;
    std::unique_ptr<ControlTask> replica_;
    MemberTask members_;
    OwnerTask owner_;
    EntryTask entry_;
    EndpointFront endpointFront_;
    std::unique_ptr<OperatorFront> operators_;
    std::unique_ptr<PeerServer> peerServer_;
    std::unique_ptr<HttpServer> callerPort_;
    std::unique_ptr<HttpServer> endpointPort_;
    std::unique_ptr<HttpServer> operatorPort_;
    std::vector<event *> signals_;
    kj::Own<kj::PromiseFulfiller<void>> stopAsked_;
    Instant quietSince_ {};
};

} // namespace

Result<std::unique_ptr<Daemon>> Daemon::start(Settings settings)
{
    configureLog(settings.logForm, settings.logLevel, settings.name);
    auto daemon = std::make_unique<DaemonImpl>(std::move(settings));
    if (auto opened = daemon->open(); !opened)
        return tl::unexpected(opened.error());
    return std::unique_ptr<Daemon>(std::move(daemon));
}

} // namespace bamboogap
