// The evhttp client side of a direct router.
//
// evhttp ends a request in three ways: with a status when the answer was read, with
// status 0 when no connection could be made, and with a null request when the
// connection failed later. It frees the request itself after the callback.

#include "node/endpointpool.h"

#include <algorithm>
#include <cerrno>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "node/httpclient.h"
#include "node/messageframing.h"

namespace bamboogap {

namespace {

// Unacknowledged data on a silent connection fails it after this, in milliseconds:
// as long as callers wait for a first sign of life.
constexpr int kUnackedMillis = 2000;
constexpr int kContinue = 100;
// When a new connection is first looked at; within a data centre it stands by then.
constexpr Duration kFirstConnectLook = std::chrono::milliseconds(5);

void setSocketOptions(evutil_socket_t socket)
{
    setNoDelay(socket);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnackedMillis, sizeof kUnackedMillis);
}

} // namespace

struct EndpointPool::Connection
{
    std::string address;
    evhttp_connection *http = nullptr;
    Instant idleSince {};
    Duration keepFor {};
    bool closed = false; // by the endpoint, while idle
    bool reused = false;
    AnswerWatch watch;

    ~Connection()
    {
        if (!http)
            return;
        evhttp_connection_set_closecb(http, nullptr, nullptr);
        evhttp_connection_free(http);
    }
};

// Whether bytes, or a close, wait to be read; those that come before a request belong to none.
bool EndpointPool::hasInput(const Connection &connection)
{
    char byte = 0;
    const evutil_socket_t socket
            = bufferevent_getfd(evhttp_connection_get_bufferevent(connection.http));
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN;
}

struct EndpointPool::Call
{
    EndpointPool *pool = nullptr;
    CallId id = 0;
    std::unique_ptr<Connection> connection;
    evhttp_request *request = nullptr; // null once evhttp has ended it
    CallHooks hooks;
    std::string_view reason = "connection failed";
    CallEnd end = CallEnd::Broken; // unless it ends whole or unsent
    size_t received = 0;
    int interimAnswers = 0;
    bool starting = false; // evhttp is being given the request
    bool failedAtStart = false;
    bool headSeen = false;
    bool mayKeep = false;
    std::string dataCentre;
    event *connectTimer = nullptr;
    Instant connectBegan {};
    Duration nextConnectLook = kFirstConnectLook; // after the beginning

    ~Call()
    {
        if (connectTimer)
            event_free(connectTimer);
    }

    void reject(std::string_view problem)
    {
        reason = problem;
        end = CallEnd::Invalid;
    }

    void stopConnectTimer()
    {
        if (connectTimer)
            event_free(connectTimer);
        connectTimer = nullptr;
    }

    static int onHead(evhttp_request *request, void *context);
    static void onData(evhttp_request *request, void *context);
    static void onError(evhttp_request_error error, void *context);
    static void onDone(evhttp_request *request, void *context);
};

int EndpointPool::Call::onHead(evhttp_request *request, void *context)
{
    auto *call = static_cast<Call *>(context);
    call->stopConnectTimer();
    // evhttp reads on after 100 Continue; it would take any other interim answer for the
    // final one.
    const int status = evhttp_request_get_response_code(request);
    if (status < HTTP_OK) {
        if (status == kContinue && ++call->interimAnswers <= kMostInterimAnswers)
            return 0;
        call->reject("an interim answer that is not expected");
        return -1;
    }
    std::vector<HttpHeader> headers;
    const evkeyvalq *input = evhttp_request_get_input_headers(request);
    for (const evkeyval *item = input->tqh_first; item; item = item->next.tqe_next)
        headers.push_back({ item->key, item->value });
    if (const auto framing = bodyFraming(headers); !framing) {
        call->reject("an answer whose end is ambiguous");
        return -1;
    }
    const char *connection = evhttp_find_header(input, "Connection");
    call->mayKeep = !connection || evutil_ascii_strcasecmp(connection, "close") != 0;
    call->headSeen = true;
    bool isWanted = false;
    const auto source = [address = call->connection->address] { return address; };
    runCallback({ "answer head", 0, source },
                [&] { isWanted = call->hooks.onHead(status, headers); });
    if (isWanted)
        return 0;
    call->reject("answer refused");
    call->mayKeep = false;
    return -1;
}

void EndpointPool::Call::onData(evhttp_request *request, void *context)
{
    auto *call = static_cast<Call *>(context);
    evbuffer *input = evhttp_request_get_input_buffer(request);
    const size_t size = evbuffer_get_length(input);
    if (size == 0)
        return;
    call->received += size;
    const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
    // The hook may end the call.
    const auto source = [address = call->connection->address] { return address; };
    runCallback({ "answer data", size, source }, [&] { call->hooks.onData({ bytes, size }); });
    evbuffer_drain(input, size);
}

void EndpointPool::Call::onError(evhttp_request_error error, void *context)
{
    auto *call = static_cast<Call *>(context);
    if (call->connection->watch.malformed)
        call->reject("malformed head or chunks");
    else if (error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG)
        call->reject(reasonOf(error));
    else
        call->reason = reasonOf(error);
}

void EndpointPool::Call::onDone(evhttp_request *request, void *context)
{
    auto *call = static_cast<Call *>(context);
    EndpointPool *pool = call->pool;
    const CallId id = call->id;
    call->request = nullptr;
    if (call->starting) {
        call->failedAtStart = true; // start() still uses the call
        return;
    }
    if (!request) {
        pool->finish(id, call->end, call->reason);
        return;
    }
    if (evhttp_request_get_response_code(request) == 0) {
        pool->finish(id, CallEnd::NotSent, "no connection");
        return;
    }
    if (!call->headSeen) {
        pool->finish(id, call->end, call->reason);
        return;
    }
    onData(request, context);
    // The call may have been cancelled by its own hook.
    if (pool->calls_.count(id) > 0)
        pool->finish(id, CallEnd::Whole, "");
}

EndpointPool::EndpointPool(EventLoop &loop, PoolLimits limits)
    : loop_(loop)
    , limits_(limits)
    , freeEvent_(event_new(
              loop.base(), -1, 0,
              [](evutil_socket_t, short, void *self) {
                  static_cast<EndpointPool *>(self)->freeRetired();
              },
              this))
{
}

EndpointPool::~EndpointPool()
{
    while (!calls_.empty())
        cancel(calls_.begin()->first);
    freeRetired();
    event_free(freeEvent_);
}

EndpointPool::Connection *EndpointPool::takeIdle(const std::string &address, bool mayRepeat)
{
    const auto found = idle_.find(address);
    if (found == idle_.end())
        return nullptr;
    const Instant now = BootClock::now();
    auto &connections = found->second;
    while (!connections.empty()) {
        // The one used last, so that the others time out.
        std::unique_ptr<Connection> connection = std::move(connections.back());
        connections.pop_back();
        const Duration idled = now - connection->idleSince;
        const Duration limit = mayRepeat ? connection->keepFor
                                         : std::min(connection->keepFor, limits_.freshIdle);
        if (connection->closed || idled > limit || hasInput(*connection)) {
            retire(std::move(connection));
            continue;
        }
        return connection.release();
    }
    return nullptr;
}

std::unique_ptr<EndpointPool::Connection> EndpointPool::connect(const std::string &address)
{
    const auto target = parseSocketAddress(address);
    if (!target)
        return nullptr;
    auto connection = std::make_unique<Connection>();
    connection->address = address;
    connection->http
            = evhttp_connection_base_new(loop_.base(), nullptr, target->host.c_str(), target->port);
    connection->keepFor = limits_.idle;
    evhttp_connection_set_retries(connection->http, 0);
    evhttp_connection_set_max_body_size(connection->http,
                                        static_cast<ev_ssize_t>(limits_.maxAnswerBytes));
    boundReading(connection->http, limits_.maxHeadBytes);
    watchAnswers(connection->http, connection->watch);
    // Callers' deadlines end a call; evhttp's own limit only backs them up.
    const timeval backstop = toTimeval(std::chrono::minutes(10));
    evhttp_connection_set_timeout_tv(connection->http, &backstop);
    ++connectionsMade_;
    return connection;
}

CallId EndpointPool::start(const PoolCall &poolCall, CallHooks hooks)
{
    const CallId id = ++lastId_;
    auto call = std::make_unique<Call>();
    call->pool = this;
    call->id = id;
    call->hooks = std::move(hooks);
    call->connection.reset(takeIdle(poolCall.address, poolCall.mayRepeat));
    if (call->connection) {
        call->connection->reused = true;
        evhttp_connection_set_closecb(call->connection->http, nullptr, nullptr);
    } else {
        call->connection = connect(poolCall.address);
    }
    if (call->connection)
        call->connection->watch.framing = AnswerFraming(poolCall.method, limits_.maxHeadLines);
    Call *raw = call.get();
    calls_[id] = std::move(call);
    const auto notSent = [this, id] {
        // Reported from the loop, as every other end.
        loop_.detach(kj::evalLater([this, id]() {
                         finish(id, CallEnd::NotSent, "no connection could be started");
                     }),
                     "endpoint call");
    };
    if (!raw->connection) {
        notSent();
        return id;
    }
    raw->request = evhttp_request_new(&Call::onDone, raw);
    evhttp_request_set_header_cb(raw->request, &Call::onHead);
    evhttp_request_set_chunked_cb(raw->request, &Call::onData);
    evhttp_request_set_error_cb(raw->request, &Call::onError);
    evkeyvalq *headers = evhttp_request_get_output_headers(raw->request);
    for (const HttpHeader &header : poolCall.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    // evhttp states a length for some methods only.
    if (!poolCall.body.empty())
        evhttp_add_header(headers, "Content-Length", std::to_string(poolCall.body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(raw->request), poolCall.body.data(),
                 poolCall.body.size());
    if (!raw->connection->reused) {
        raw->dataCentre = poolCall.dataCentre;
        startConnectTimer(*raw);
    }
    evhttp_request *request = raw->request;
    raw->starting = true;
    const bool started = evhttp_make_request(raw->connection->http, request,
                                             methodType(poolCall.method), poolCall.path.c_str())
            == 0;
    raw->starting = false;
    if (!started || raw->failedAtStart) {
        raw->request = nullptr; // evhttp has freed it
        notSent();
        return id;
    }
    const evutil_socket_t socket
            = bufferevent_getfd(evhttp_connection_get_bufferevent(raw->connection->http));
    if (socket >= 0)
        setSocketOptions(socket);
    return id;
}

void EndpointPool::startConnectTimer(Call &call)
{
    call.connectBegan = BootClock::now();
    call.connectTimer = event_new(
            loop_.base(), -1, 0,
            [](evutil_socket_t, short, void *context) {
                auto *connecting = static_cast<Call *>(context);
                connecting->pool->onConnectTimer(*connecting);
            },
            &call);
    const timeval first = toTimeval(kFirstConnectLook);
    event_add(call.connectTimer, &first);
}

// evhttp does not say when a connection stands, so the socket is looked at after times that
// double: the time observed is at most twice the real one.
void EndpointPool::onConnectTimer(Call &call)
{
    ConnectLimit &limit = connectLimits_[call.dataCentre];
    const Duration took = BootClock::now() - call.connectBegan;
    if (isEstablished(
                bufferevent_getfd(evhttp_connection_get_bufferevent(call.connection->http)))) {
        limit.onConnected(call.nextConnectLook);
        call.stopConnectTimer();
        return;
    }
    if (took >= limit.limit()) {
        limit.onTimeout();
        finish(call.id, CallEnd::NotSent, "connect timed out");
        return;
    }
    call.nextConnectLook *= 2;
    const timeval pause = toTimeval(std::min(call.nextConnectLook, limit.limit()) - took);
    event_add(call.connectTimer, &pause);
}

void EndpointPool::cancel(CallId id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    std::unique_ptr<Call> call = std::move(found->second);
    calls_.erase(found);
    if (call->request) {
        evhttp_request_set_header_cb(call->request, nullptr);
        evhttp_request_set_chunked_cb(call->request, nullptr);
        evhttp_request_set_error_cb(call->request, nullptr);
        evhttp_cancel_request(call->request);
        call->request = nullptr;
    }
    if (call->connection)
        retire(std::move(call->connection));
}

void EndpointPool::pause(CallId id, bool paused)
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || !found->second->connection)
        return;
    bufferevent *buffered = evhttp_connection_get_bufferevent(found->second->connection->http);
    if (paused)
        bufferevent_disable(buffered, EV_READ);
    else
        bufferevent_enable(buffered, EV_READ);
}

bool EndpointPool::isReused(CallId id) const
{
    const auto found = calls_.find(id);
    return found != calls_.end() && found->second->connection && found->second->connection->reused;
}

void EndpointPool::setKeepAlive(CallId id, Duration keepAlive)
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || !found->second->connection)
        return;
    // Half of it: both sides' clocks start at other moments.
    found->second->connection->keepFor = std::min(limits_.idle, keepAlive / 2);
}

void EndpointPool::finish(CallId id, CallEnd end, std::string_view reason)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    std::unique_ptr<Call> call = std::move(found->second);
    calls_.erase(found);
    call->stopConnectTimer();
    if (call->request) {
        evhttp_request_set_header_cb(call->request, nullptr);
        evhttp_request_set_chunked_cb(call->request, nullptr);
        evhttp_request_set_error_cb(call->request, nullptr);
        evhttp_cancel_request(call->request);
        call->request = nullptr;
    }
    if (call->connection) {
        evbuffer *input
                = bufferevent_get_input(evhttp_connection_get_bufferevent(call->connection->http));
        const bool surplus = evbuffer_get_length(input) > 0;
        if (end == CallEnd::Whole && call->mayKeep && !surplus) {
            Connection *kept = call->connection.get();
            kept->idleSince = BootClock::now();
            evhttp_connection_set_closecb(
                    kept->http,
                    [](evhttp_connection *, void *raw) {
                        static_cast<Connection *>(raw)->closed = true;
                    },
                    kept);
            idle_[kept->address].push_back(std::move(call->connection));
        } else {
            retire(std::move(call->connection));
        }
    }
    runCallback({ "answer end" }, [&] { call->hooks.onEnd(end, reason); });
}

void EndpointPool::retire(std::unique_ptr<Connection> connection)
{
    retired_.push_back(std::move(connection));
    event_active(freeEvent_, 0, 0);
}

void EndpointPool::freeRetired()
{
    const auto freed = std::move(retired_);
    retired_.clear();
}

void EndpointPool::closeIdle()
{
    const Instant now = BootClock::now();
    for (auto place = idle_.begin(); place != idle_.end();) {
        auto &connections = place->second;
        for (auto &connection : connections) {
            if (connection->closed || now - connection->idleSince > connection->keepFor)
                retire(std::move(connection));
        }
        std::erase(connections, nullptr);
        place = connections.empty() ? idle_.erase(place) : std::next(place);
    }
}

size_t EndpointPool::idleCount() const
{
    size_t count = 0;
    for (const auto &[address, connections] : idle_)
        count += connections.size();
    return count;
}

} // namespace bamboogap
