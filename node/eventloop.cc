// The bridge between libevent and Cap'n Proto's promises.

#include "node/eventloop.h"

#include <arpa/inet.h>
#include <charconv>
#include <csignal>
#include <cstring>
#include <ctime>
#include <netinet/tcp.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <kj/debug.h>
#include <kj/vector.h>

#include "base/log.h"

namespace bamboogap {

namespace {

// A stream holds at most this much unread or unsent data.
constexpr size_t kReadBufferBytes = 1 << 20;
constexpr size_t kWriteBufferBytes = 256 << 10;
constexpr int kListenBacklog = 1024;

// Fulfils a promise when a libevent timer fires.
class TimerAdapter
{
public:
    TimerAdapter(kj::PromiseFulfiller<void> &fulfiller, event_base *base, Duration duration)
        : fulfiller_(fulfiller)
        , timer_(event_new(base, -1, 0, &TimerAdapter::onTimer, this))
    {
        const timeval interval = toTimeval(duration);
        event_add(timer_, &interval);
    }
    TimerAdapter(const TimerAdapter &) = delete;
    TimerAdapter &operator=(const TimerAdapter &) = delete;
    ~TimerAdapter() { event_free(timer_); }

private:
    static void onTimer(evutil_socket_t, short, void *self)
    {
        static_cast<TimerAdapter *>(self)->fulfiller_.fulfill();
    }

    kj::PromiseFulfiller<void> &fulfiller_;
    event *timer_;
};

// A kj stream over a connected bufferevent.
class BufferEventStream final : public kj::AsyncIoStream
{
public:
    explicit BufferEventStream(bufferevent *connection)
        : connection_(connection)
    {
        setNoDelay(bufferevent_getfd(connection_));
        bufferevent_setcb(connection_, &BufferEventStream::onRead, &BufferEventStream::onWrite,
                          &BufferEventStream::onEvent, this);
        bufferevent_setwatermark(connection_, EV_READ, 0, kReadBufferBytes);
        bufferevent_setwatermark(connection_, EV_WRITE, kWriteBufferBytes / 2, 0);
        bufferevent_enable(connection_, EV_READ | EV_WRITE);
    }
    ~BufferEventStream() noexcept(false) { bufferevent_free(connection_); }

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override
    {
        reading_ = { static_cast<char *>(buffer), minBytes, maxBytes, 0 };
        takeInput();
        if (reading_.filled >= minBytes || ended_) {
            const size_t filled = reading_.filled;
            reading_ = {};
            return filled;
        }
        auto paf = kj::newPromiseAndFulfiller<size_t>();
        readFulfiller_ = kj::mv(paf.fulfiller);
        return kj::mv(paf.promise);
    }

    kj::Promise<void> write(const void *buffer, size_t size) override
    {
        if (failed_)
            return disconnected();
        bufferevent_write(connection_, buffer, size);
        return written();
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        if (failed_)
            return disconnected();
        for (const auto &piece : pieces)
            bufferevent_write(connection_, piece.begin(), piece.size());
        return written();
    }

    kj::Promise<void> whenWriteDisconnected() override
    {
        if (failed_)
            return kj::READY_NOW;
        auto paf = kj::newPromiseAndFulfiller<void>();
        disconnectFulfillers_.add(kj::mv(paf.fulfiller));
        return kj::mv(paf.promise);
    }

    void shutdownWrite() override
    {
        if (evbuffer_get_length(bufferevent_get_output(connection_)) == 0)
            ::shutdown(bufferevent_getfd(connection_), SHUT_WR);
    }

private:
    struct Reading
    {
        char *buffer = nullptr;
        size_t minBytes = 0;
        size_t maxBytes = 0;
        size_t filled = 0;
    };

    static kj::Exception disconnected() { return KJ_EXCEPTION(DISCONNECTED, "connection lost"); }

    kj::Promise<void> written()
    {
        if (evbuffer_get_length(bufferevent_get_output(connection_)) <= kWriteBufferBytes)
            return kj::READY_NOW;
        auto paf = kj::newPromiseAndFulfiller<void>();
        writeFulfiller_ = kj::mv(paf.fulfiller);
        return kj::mv(paf.promise);
    }

    void takeInput()
    {
        evbuffer *input = bufferevent_get_input(connection_);
        const size_t wanted = reading_.maxBytes - reading_.filled;
        const int taken = evbuffer_remove(input, reading_.buffer + reading_.filled, wanted);
        if (taken > 0)
            reading_.filled += taken;
    }

    void continueRead()
    {
        if (!readFulfiller_)
            return;
        if (!readFulfiller_->isWaiting()) {
            readFulfiller_ = nullptr;
            reading_ = {};
            return;
        }
        takeInput();
        if (reading_.filled < reading_.minBytes && !ended_)
            return;
        const size_t filled = reading_.filled;
        reading_ = {};
        auto fulfiller = kj::mv(readFulfiller_);
        fulfiller->fulfill(kj::cp(filled));
    }

    static void onRead(bufferevent *, void *self)
    {
        static_cast<BufferEventStream *>(self)->continueRead();
    }

    static void onWrite(bufferevent *, void *context)
    {
        auto *self = static_cast<BufferEventStream *>(context);
        if (!self->writeFulfiller_)
            return;
        auto fulfiller = kj::mv(self->writeFulfiller_);
        fulfiller->fulfill();
    }

    static void onEvent(bufferevent *, short, void *context)
    {
        auto *self = static_cast<BufferEventStream *>(context);
        self->ended_ = true;
        self->failed_ = true;
        self->continueRead();
        if (self->writeFulfiller_) {
            auto fulfiller = kj::mv(self->writeFulfiller_);
            fulfiller->reject(disconnected());
        }
        for (auto &fulfiller : self->disconnectFulfillers_)
            fulfiller->fulfill();
        self->disconnectFulfillers_.clear();
    }

    bufferevent *connection_;
    Reading reading_;
    bool ended_ = false;
    bool failed_ = false;
    kj::Own<kj::PromiseFulfiller<size_t>> readFulfiller_;
    kj::Own<kj::PromiseFulfiller<void>> writeFulfiller_;
    kj::Vector<kj::Own<kj::PromiseFulfiller<void>>> disconnectFulfillers_;
};

// Fulfils a promise with a stream once a connection stands.
class ConnectAdapter
{
public:
    ConnectAdapter(kj::PromiseFulfiller<kj::Own<kj::AsyncIoStream>> &fulfiller, event_base *base,
                   const sockaddr_in &address)
        : fulfiller_(fulfiller)
        , connection_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(connection_, nullptr, nullptr, &ConnectAdapter::onEvent, this);
        auto target = address;
        bufferevent_socket_connect(connection_, reinterpret_cast<sockaddr *>(&target),
                                   sizeof target);
    }
    ConnectAdapter(const ConnectAdapter &) = delete;
    ConnectAdapter &operator=(const ConnectAdapter &) = delete;
    ~ConnectAdapter()
    {
        if (connection_)
            bufferevent_free(connection_);
    }

private:
    static void onEvent(bufferevent *, short what, void *context)
    {
        auto *self = static_cast<ConnectAdapter *>(context);
        if (what & BEV_EVENT_CONNECTED) {
            bufferevent *connection = self->connection_;
            self->connection_ = nullptr;
            self->fulfiller_.fulfill(kj::heap<BufferEventStream>(connection));
            return;
        }
        self->fulfiller_.reject(KJ_EXCEPTION(DISCONNECTED, "cannot connect to the peer"));
    }

    kj::PromiseFulfiller<kj::Own<kj::AsyncIoStream>> &fulfiller_;
    bufferevent *connection_;
};

Result<sockaddr_in> toSockaddr(const SocketAddress &address)
{
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &target.sin_addr) != 1) {
        return failure(ErrorKind::InvalidSettings,
                       fmt::format("'{}' is no IPv4 number", address.host),
                       "give addresses as IPv4 number and port, e.g. 10.0.0.7:7400");
    }
    return target;
}

class EvconnListener final : public StreamListener
{
public:
    EvconnListener(EventLoop &loop, AcceptHook accept)
        : loop_(loop)
        , accept_(std::move(accept))
    {
    }
    ~EvconnListener() override
    {
        if (listener_)
            evconnlistener_free(listener_);
    }

    bool open(const sockaddr_in &address)
    {
        listener_ = evconnlistener_new_bind(
                loop_.base(), &EvconnListener::onAccept, this,
                LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, kListenBacklog,
                reinterpret_cast<const sockaddr *>(&address), sizeof address);
        return listener_ != nullptr;
    }

private:
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context)
    {
        auto *self = static_cast<EvconnListener *>(context);
        evutil_make_socket_nonblocking(socket);
        bufferevent *connection
                = bufferevent_socket_new(self->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        self->accept_(kj::heap<BufferEventStream>(connection));
    }

    EventLoop &loop_;
    AcceptHook accept_;
    evconnlistener *listener_ = nullptr;
};

} // namespace

class EventLoop::Port final : public kj::EventPort
{
public:
    explicit Port(EventLoop &loop)
        : loop_(loop)
    {
    }

    bool wait() override
    {
        loop_.endTurn();
        event_base_loop(loop_.base_, EVLOOP_ONCE);
        return false;
    }

    bool poll() override
    {
        loop_.endTurn();
        event_base_loop(loop_.base_, EVLOOP_NONBLOCK);
        return false;
    }

private:
    EventLoop &loop_;
};

class EventLoop::Failures final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&exception) override
    {
        logEvent(LogLevel::Error, "task_failed",
                 { { "problem", std::string(exception.getDescription().cStr()) } });
    }
};

namespace {

Duration threadProcessorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

EventLoop::EventLoop()
    : base_(event_base_new())
    , port_(std::make_unique<Port>(*this))
    , loop_(std::make_unique<kj::EventLoop>(*port_))
    , waitScope_(std::make_unique<kj::WaitScope>(*loop_))
    , failures_(std::make_unique<Failures>())
    , tasks_(std::make_unique<kj::TaskSet>(*failures_))
{
    std::signal(SIGPIPE, SIG_IGN);
    detail::threadTurnWatch() = &watch_;
}

EventLoop::~EventLoop()
{
    if (detail::threadTurnWatch() == &watch_)
        detail::threadTurnWatch() = nullptr;
    tasks_.reset();
    waitScope_.reset();
    loop_.reset();
    event_base_free(base_);
}

void EventLoop::endTurn()
{
    const Turn turn = watch_.end(threadProcessorTime());
    if (turnHook_ && turn.duration >= kReportedTurn)
        turnHook_(turn);
}

void EventLoop::run(kj::Promise<void> until)
{
    watch_.end(threadProcessorTime()); // what came before the loop is no turn
    until.wait(*waitScope_);
}

kj::Promise<void> EventLoop::sleep(Duration duration) const
{
    return kj::newAdaptedPromise<void, TimerAdapter>(base_, duration);
}

void EventLoop::detach(kj::Promise<void> promise, std::string what)
{
    tasks_->add(promise.catch_([what = std::move(what)](kj::Exception &&exception) {
        logEvent(LogLevel::Warning, "task_failed",
                 { { "task", what },
                   { "problem", std::string(exception.getDescription().cStr()) } });
    }));
}

void EventLoop::every(Duration interval, std::string_view name, std::function<void()> hook)
{
    tasks_->add(sleep(interval).then([this, interval, name, hook = std::move(hook)]() mutable {
        runCallback({ name }, hook);
        every(interval, name, std::move(hook));
    }));
}

kj::Exception EventLoop::timedOut()
{
    return KJ_EXCEPTION(OVERLOADED, "timed out");
}

Result<SocketAddress> parseSocketAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    SocketAddress address;
    bool valid = colon != std::string_view::npos;
    if (valid) {
        address.host = text.substr(0, colon);
        const char *end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
        valid = parsed.ec == std::errc() && parsed.ptr == end && address.port != 0;
    }
    in_addr number {};
    if (!valid || inet_pton(AF_INET, address.host.c_str(), &number) != 1) {
        return failure(ErrorKind::InvalidSettings,
                       fmt::format("'{}' is no IP number with a port", text),
                       "give addresses as IPv4 number and port, e.g. 10.0.0.7:7400");
    }
    return address;
}

kj::Promise<kj::Own<kj::AsyncIoStream>> connectStream(EventLoop &loop, const SocketAddress &address)
{
    const auto target = toSockaddr(address);
    if (!target)
        return KJ_EXCEPTION(FAILED, "not an address", address.host.c_str());
    return kj::newAdaptedPromise<kj::Own<kj::AsyncIoStream>, ConnectAdapter>(loop.base(), *target);
}

Result<std::unique_ptr<StreamListener>>
StreamListener::listen(EventLoop &loop, const SocketAddress &address, AcceptHook accept)
{
    const auto target = toSockaddr(address);
    if (!target)
        return tl::unexpected(target.error());
    auto listener = std::make_unique<EvconnListener>(loop, std::move(accept));
    if (!listener->open(*target)) {
        return failure(ErrorKind::InvalidSettings,
                       fmt::format("cannot listen on {}:{}: {}", address.host, address.port,
                                   std::strerror(errno)),
                       "free the port or give another one");
    }
    return std::unique_ptr<StreamListener>(std::move(listener));
}

timeval toTimeval(Duration duration)
{
    const int64_t micros = std::max<int64_t>(
            0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    return { micros / 1000000, micros % 1000000 };
}

bool runCallback(Work what, const std::function<void()> &callback)
{
    const std::string_view name = what.name;
    const WorkScope scope(std::move(what));
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&callback] { callback(); })) {
        logEvent(LogLevel::Error, "callback_failed",
                 { { "callback", std::string(name) },
                   { "problem", std::string(exception->getDescription().cStr()) } });
        return false;
    }
    return true;
}

void setNoDelay(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string peerAddress(evutil_socket_t socket)
{
    sockaddr_in peer {};
    socklen_t size = sizeof peer;
    char host[INET_ADDRSTRLEN] = {};
    if (getpeername(socket, reinterpret_cast<sockaddr *>(&peer), &size) != 0
        || peer.sin_family != AF_INET || !inet_ntop(AF_INET, &peer.sin_addr, host, sizeof host))
        return {};
    return fmt::format("{}:{}", host, ntohs(peer.sin_port));
}

bool isEstablished(evutil_socket_t socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    return socket >= 0 && getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
            && info.tcpi_state == TCP_ESTABLISHED;
}

} // namespace bamboogap
