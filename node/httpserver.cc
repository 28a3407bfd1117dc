// The evhttp server.
//
// Where a request ends is decided by RequestFraming, which sees the bytes before evhttp does:
// a request of evhttp's that it has not seen whole is refused, and its connection closed.
//
// Two things evhttp leaves to its user. While a handler works, evhttp reads
// nothing and so does not see a caller go; CallerWatch does. And its read
// timeout, meant for slow senders, would also end a long answer, so it is
// lifted while an answer is on its way.

#include "node/httpserver.h"

#include <cstring>
#include <limits>
#include <optional>
#include <strings.h>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <kj/debug.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/jsontext.h"
#include "base/log.h"
#include "node/httpclient.h"

namespace bamboogap {

namespace {

// A chunk waits for the caller while this much has not been taken.
constexpr size_t kUntakenBytes = 64 << 10;
// Room for the sizes and trailers of a request's chunks beside its head and body.
constexpr size_t kFramingBytes = 64 << 10;
constexpr Duration kLookForSlow = std::chrono::seconds(1);
// A caller that is refused while it sends gets so long to read the answer: a connection that is
// closed with unread bytes is reset, and the answer lost.
constexpr Duration kDiscard = std::chrono::seconds(1);
// How often the socket of a caller that has sent more than its request is asked whether it is
// closed.
constexpr Duration kLookForClose = std::chrono::milliseconds(100);
constexpr std::string_view kRetryAfter = "1"; // seconds
constexpr uint32_t kMostImportant = 0;
// Left for connections to endpoints and peers, and for files.
constexpr int kKeptDescriptors = 64;
constexpr int kLeastKeptPart = 8; // an eighth, under a low limit
constexpr Duration kLogRefusals = std::chrono::seconds(1);
// To a malformed request that evhttp takes for the begin of a longer one.
constexpr std::string_view kMalformedAnswer
        = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr int kTooManyLinesStatus = 431;
constexpr std::string_view kTooManyLinesAnswer
        = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\n"
          "Connection: close\r\n\r\n";

constexpr ev_uint16_t kMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT
        | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

std::string methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "UNKNOWN";
    }
}

// As the head of an HTTP/1.1 answer, with the body, after which the connection closes.
std::string lastAnswer(const HttpReply &reply)
{
    std::string text = fmt::format("HTTP/1.1 {} Refused\r\n", reply.status);
    for (const HttpHeader &header : reply.headers) {
        if (header.name != "Connection")
            text += fmt::format("{}: {}\r\n", header.name, header.value);
    }
    return text
            + fmt::format("Content-Type: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
                          reply.contentType, reply.body.size(), reply.body);
}

HttpReply plainRefusal()
{
    HttpReply reply;
    reply.status = 503;
    reply.headers = { { "Retry-After", std::string(kRetryAfter) } };
    return reply;
}

// By evhttp's server, since the callback for a failed accept gets nothing else. Used by one thread.
std::map<void *, HttpServer *> &servers()
{
    static std::map<void *, HttpServer *> byHttp;
    return byHttp;
}

int descriptorLimit()
{
    rlimit limit {};
    constexpr rlim_t kMost = std::numeric_limits<int>::max();
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<int>(std::min(limit.rlim_cur, kMost))
                                                 : std::numeric_limits<int>::max();
}

std::string takeBody(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

void addHeaders(evhttp_request *request, const std::vector<HttpHeader> &headers)
{
    evkeyvalq *output = evhttp_request_get_output_headers(request);
    for (const HttpHeader &header : headers)
        evhttp_add_header(output, header.name.c_str(), header.value.c_str());
}

void sendReply(evhttp_request *request, const HttpReply &reply)
{
    evkeyvalq *output = evhttp_request_get_output_headers(request);
    if (!reply.contentType.empty())
        evhttp_add_header(output, "Content-Type", reply.contentType.c_str());
    addHeaders(request, reply.headers);
    evbuffer *body = evbuffer_new();
    evbuffer_add(body, reply.body.data(), reply.body.size());
    evhttp_send_reply(request, reply.status, nullptr, body);
    evbuffer_free(body);
}

// Reports once that the caller of an exchange has closed or reset its connection.
//
// libevent reports a reset as readable and writable, and not as closed; as long as a socket that
// was reset is watched for something else, the loop is woken without end. So the watch waits for
// readability, and asks the socket what it means. Bytes of a next request, which evhttp leaves in
// the socket, keep it readable; meanwhile the watch asks at intervals.
class CallerWatch
{
public:
    CallerWatch(event_base *base, evutil_socket_t socket, std::function<void()> onClosed)
        : socket_(socket)
        , onClosed_(std::move(onClosed))
        , readable_(event_new(base, socket, EV_READ, &CallerWatch::onEvent, this))
        , interval_(event_new(base, -1, 0, &CallerWatch::onEvent, this))
    {
        event_add(readable_.get(), nullptr);
    }

private:
    struct FreeEvent
    {
        void operator()(event *freed) const { event_free(freed); }
    };

    static void onEvent(evutil_socket_t, short, void *raw)
    {
        auto *watch = static_cast<CallerWatch *>(raw);
        if (!isEstablished(watch->socket_)) {
            watch->onClosed_();
            return;
        }
        char next = 0;
        if (recv(watch->socket_, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 1) {
            const timeval interval = toTimeval(kLookForClose);
            event_add(watch->interval_.get(), &interval);
        } else {
            event_add(watch->readable_.get(), nullptr);
        }
    }

    evutil_socket_t socket_;
    std::function<void()> onClosed_;
    std::unique_ptr<event, FreeEvent> readable_;
    std::unique_ptr<event, FreeEvent> interval_;
};

} // namespace

struct HttpServer::Exchange
{
    HttpServer *server = nullptr;
    ExchangeId id = 0;
    evhttp_request *request = nullptr; // null once evhttp has freed it
    std::optional<CallerWatch> callerWatch;
    bool gone = false; // the caller closed its side
    bool answered = false; // in full; evhttp writes it
    bool streaming = false;
    size_t heldBytes = 0; // of the budget of bodies
    size_t heldHeadBytes = 0; // of the budget of heads
    std::optional<Duration> waitForFirst;
    std::function<void()> closedHook;
    kj::Own<kj::PromiseFulfiller<void>> taken;

    ~Exchange()
    {
        server->bodies_.release(heldBytes);
        server->heads_.release(heldHeadBytes);
        if (request) {
            if (evhttp_connection *connection = evhttp_request_get_connection(request))
                evhttp_connection_set_closecb(connection, nullptr, nullptr);
            evhttp_request_set_on_complete_cb(request, nullptr, nullptr);
        }
    }

    // Reports once that the caller has gone.
    void callerGone()
    {
        if (gone)
            return;
        gone = true;
        if (taken) {
            auto fulfiller = kj::mv(taken);
            fulfiller->reject(KJ_EXCEPTION(DISCONNECTED, "the caller has gone"));
        }
        if (closedHook) {
            auto hook = std::move(closedHook);
            closedHook = nullptr;
            runCallback({ "caller has gone" }, hook);
        }
    }
};

// Sees the bytes that callers send on one connection, before evhttp does. evhttp tells nobody when
// it frees a connection's buffer, and a reference to it would keep its events on a socket that is
// closed; so a watch stays until its address is used again, and only the buffer calls it.
struct HttpServer::Watch
{
    HttpServer *server = nullptr;
    bufferevent *buffered = nullptr;
    Instant acceptedAt {};
    size_t mostBytes = 0; // of a request that is not whole
    RequestFraming framing;
    uint64_t handled = 0; // requests that evhttp has given to the server
    bool refused = false;
    bool discards = false; // what comes, as the caller is refused already
    size_t heldBytes = 0; // of the budget of bodies, for the request that is not whole
    size_t heldHeadBytes = 0; // of the budget of heads, for requests that were not handled
    std::optional<uint32_t> priority; // of the request that is not whole, once it was asked for

    ~Watch() { release(); }

    // The connection closes: what is held for its requests is free.
    void release()
    {
        server->bodies_.release(std::exchange(heldBytes, 0));
        server->heads_.release(std::exchange(heldHeadBytes, 0));
        framing.giveUp();
    }

    // What the heads cost that were not handled.
    size_t headCost() const
    {
        size_t cost = 0;
        for (const HeadSize &size : framing.heads())
            cost += HeadBudget::cost(size);
        return cost;
    }

    static void onInput(evbuffer *input, const evbuffer_cb_info *info, void *context)
    {
        auto *watch = static_cast<Watch *>(context);
        if (info->n_added == 0)
            return;
        if (!watch->discards) {
            const evutil_socket_t socket = bufferevent_getfd(watch->buffered);
            const WorkScope scope({ "bytes of a caller", info->n_added,
                                    [socket] { return peerAddress(socket); } });
            watch->framing.feed(tail(input, info->n_added));
            watch->server->onBytes(watch->buffered);
        }
        if (watch->discards) {
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        if (evbuffer_get_length(input) > watch->mostBytes)
            failConnection(watch->buffered);
    }
};

std::string_view HttpRequest::header(std::string_view name) const
{
    for (const HttpHeader &header : headers) {
        if (header.name.size() == name.size()
            && strncasecmp(header.name.data(), name.data(), name.size()) == 0)
            return header.value;
    }
    return {};
}

std::string_view HttpRequest::pathOnly() const
{
    return std::string_view(path).substr(0, path.find('?'));
}

std::string_view HttpRequest::query(std::string_view name) const
{
    const size_t mark = path.find('?');
    std::string_view rest = mark == std::string::npos ? std::string_view()
                                                      : std::string_view(path).substr(mark + 1);
    while (!rest.empty()) {
        const size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    }
    return {};
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(EventLoop &loop,
                                                       const SocketAddress &address,
                                                       const HttpLimits &limits, HeadBudget &heads,
                                                       BodyBudget &bodies, Handler handler)
{
    std::unique_ptr<HttpServer> server(
            new HttpServer(loop, limits, heads, bodies, std::move(handler)));
    server->bound_
            = evhttp_bind_socket_with_handle(server->http_, address.host.c_str(), address.port);
    if (!server->bound_) {
        return failure(ErrorKind::InvalidSettings,
                       fmt::format("cannot listen on {}:{}: {}", address.host, address.port,
                                   std::strerror(errno)),
                       "free the port or give another one");
    }
    evconnlistener *listener = evhttp_bound_socket_get_listener(server->bound_);
    evconnlistener_set_error_cb(listener, &HttpServer::onAcceptFailed);
    servers()[server->http_] = server.get();
    server->spareDescriptor_ = dup(evconnlistener_get_fd(listener));
    return server;
}

HttpServer::HttpServer(EventLoop &loop, const HttpLimits &limits, HeadBudget &heads,
                       BodyBudget &bodies, Handler handler)
    : loop_(loop)
    , limits_(limits)
    , heads_(heads)
    , bodies_(bodies)
    , handler_(std::move(handler))
    , descriptorLimit_(descriptorLimit())
    , http_(evhttp_new(loop.base()))
{
    evhttp_set_allowed_methods(http_, kMethods);
    setLimits(limits);
    evhttp_set_gencb(http_, &HttpServer::onRequest, this);
    evhttp_set_bevcb(http_, &HttpServer::onConnection, this);
}

bufferevent *HttpServer::onConnection(event_base *base, void *context)
{
    auto *server = static_cast<HttpServer *>(context);
    bufferevent *buffered = bufferevent_socket_new(base, -1, 0);
    if (!buffered)
        return nullptr; // evhttp makes one of its own or gives up
    const HttpLimits &limits = server->limits_;
    auto watch = std::make_unique<Watch>();
    watch->server = server;
    watch->buffered = buffered;
    watch->acceptedAt = BootClock::now();
    watch->mostBytes = limits.maxHeaderBytes + limits.maxBodyBytes + kFramingBytes;
    watch->framing = RequestFraming(limits.headLines());
    evbuffer_add_cb(bufferevent_get_input(buffered), &Watch::onInput, watch.get());
    server->watches_[buffered] = std::move(watch);
    return buffered;
}

// Notes the first byte of a request.
void HttpServer::onBytes(bufferevent *buffered)
{
    void *context = nullptr; // evhttp's own, the connection
    bufferevent_getcb(buffered, nullptr, nullptr, nullptr, &context);
    auto *connection = static_cast<evhttp_connection *>(context);
    if (!connection || answering_.count(connection) > 0)
        return;
    refuseSoon(*watches_.at(buffered), connection);
    admitHead(*watches_.at(buffered), connection);
    admitBody(*watches_.at(buffered), connection);
    if (reading_.count(connection) > 0)
        return;
    reading_[connection] = BootClock::now();
    if (takesLastDescriptors(buffered) && watches_.at(buffered)->handled == 0) {
        noteRefusedConnection();
        refuseLater(*watches_.at(buffered), connection, lastAnswer(plainRefusal()));
    }
    evhttp_connection_set_closecb(
            connection,
            [](evhttp_connection *closing, void *raw) {
                static_cast<HttpServer *>(raw)->forget(closing);
            },
            this);
    if (!lookingForSlow_) {
        lookingForSlow_ = true;
        lookForSlow();
    }
}

void HttpServer::onAcceptFailed(evconnlistener *listener, void *http)
{
    const int error = errno;
    const auto found = servers().find(http);
    if (found == servers().end())
        return;
    if (error == EMFILE || error == ENFILE)
        found->second->refuseConnection(listener);
    else
        logEvent(LogLevel::Warning, "accept_failed", { { "problem", std::strerror(error) } });
}

// Without a descriptor for the connection the caller would wait for an answer. A close before
// anything was read tells it that its request may go elsewhere.
void HttpServer::refuseConnection(evconnlistener *listener)
{
    if (spareDescriptor_ >= 0)
        close(spareDescriptor_);
    const int caller = accept(evconnlistener_get_fd(listener), nullptr, nullptr);
    if (caller >= 0)
        close(caller);
    spareDescriptor_ = dup(evconnlistener_get_fd(listener));
    noteRefusedConnection();
}

void HttpServer::noteRefusedConnection()
{
    ++refusedConnections_;
    if (connectionRefused_)
        connectionRefused_();
    const Instant now = BootClock::now();
    if (now - refusalLoggedAt_ < kLogRefusals)
        return;
    refusalLoggedAt_ = now;
    logEvent(LogLevel::Error, "descriptors_used_up",
             { { "refused_connections", fmt::to_string(std::exchange(refusedConnections_, 0)) },
               { "remedy", "raise the limit on open files, or add routers" } });
}

// Descriptors are given out from the lowest, so a high one tells that few are left.
bool HttpServer::takesLastDescriptors(bufferevent *buffered) const
{
    const int kept = std::min(kKeptDescriptors, descriptorLimit_ / kLeastKeptPart);
    return bufferevent_getfd(buffered) >= descriptorLimit_ - kept;
}

// A connection closes on which no request is being answered.
void HttpServer::forget(evhttp_connection *connection)
{
    idle_.erase(connection);
    reading_.erase(connection);
    malformed_.erase(connection);
    refused_.erase(connection);
    discarding_.erase(connection);
    releaseWatch(connection);
}

// The watch stays until its address is used again, but holds nothing.
void HttpServer::releaseWatch(evhttp_connection *connection)
{
    const auto found = watches_.find(evhttp_connection_get_bufferevent(connection));
    if (found != watches_.end())
        found->second->release();
}

void HttpServer::lookForSlow()
{
    loop_.detach(loop_.sleep(kLookForSlow).then([this, alive = std::weak_ptr<bool>(alive_)]() {
        if (alive.expired())
            return;
        closeSlow();
        lookingForSlow_ = !reading_.empty();
        if (lookingForSlow_)
            lookForSlow();
    }),
                 "look for slow requests");
}

// Closes connections whose request does not become whole, also if its bytes trickle.
void HttpServer::closeSlow()
{
    descriptorLimit_ = descriptorLimit();
    const Instant now = BootClock::now();
    std::vector<evhttp_connection *> slow;
    for (const auto &[connection, since] : reading_) {
        if (now - since > limits_.wholeRequest)
            slow.push_back(connection);
    }
    for (const auto &[connection, since] : std::map(discarding_)) {
        if (now - since > kDiscard)
            evhttp_connection_free(connection);
    }
    for (evhttp_connection *connection : slow) {
        if (reading_.count(connection) == 0)
            continue;
        logEvent(LogLevel::Info, "slow_request_closed",
                 { { "limit_ms", fmt::to_string(toMillis(limits_.wholeRequest)) } });
        evhttp_connection_free(connection); // its close callback takes it off the lists
    }
}

// Whether the request is whole. Answers it if not: its connection closes then, and what follows on
// it is not read.
bool HttpServer::mayHandle(bufferevent *buffered, evhttp_request *request)
{
    std::string problem = "its end has not come";
    int status = HTTP_BADREQUEST;
    // evhttp makes connections of its own if onConnection() cannot.
    if (const auto found = watches_.find(buffered); found != watches_.end()) {
        Watch &watch = *found->second;
        if (++watch.handled <= watch.framing.wholeRequests())
            return true;
        watch.refused = true;
        if (watch.framing.isMalformed())
            problem = watch.framing.problem();
        if (watch.framing.hasTooManyLines()) {
            status = kTooManyLinesStatus;
            heads_.noteRefusal(HeadRefusal::Lines);
        }
    }
    if (status == HTTP_BADREQUEST)
        logEvent(LogLevel::Warning, "malformed_request", { { "problem", problem } });
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    evbuffer *body = evbuffer_new();
    evbuffer_add_printf(body, "malformed request: %s\n", problem.c_str());
    evhttp_send_reply(request, status, nullptr, body);
    evbuffer_free(body);
    return false;
}

// Deferred: evhttp may find an end of the request in the bytes that it is about to read.
void HttpServer::refuseSoon(Watch &watch, evhttp_connection *connection)
{
    if (watch.refused || !watch.framing.isMalformed()
        || watch.handled < watch.framing.wholeRequests())
        return;
    if (malformed_.empty()) {
        loop_.detach(kj::evalLater([this, alive = std::weak_ptr<bool>(alive_)]() {
                         if (!alive.expired())
                             refuseMalformed();
                     }),
                     "refuse malformed requests");
    }
    malformed_.insert(connection);
    // Whatever evhttp finds in it is refused, and it would allocate a header for each line.
    if (watch.framing.hasTooManyLines()) {
        evbuffer *input = bufferevent_get_input(watch.buffered);
        evbuffer_drain(input, evbuffer_get_length(input));
    }
}

void HttpServer::refuseMalformed()
{
    for (evhttp_connection *connection : std::exchange(malformed_, {})) {
        bufferevent *buffered = evhttp_connection_get_bufferevent(connection);
        Watch &watch = *watches_.at(buffered);
        if (watch.refused)
            continue; // evhttp answers it
        watch.refused = true;
        const bool tooManyLines = watch.framing.hasTooManyLines();
        if (tooManyLines) {
            heads_.noteRefusal(HeadRefusal::Lines);
        } else {
            logEvent(LogLevel::Warning, "malformed_request",
                     { { "problem", watch.framing.problem() } });
        }
        // evhttp may be about to refuse it for another reason, such as a body that seems too long.
        evbuffer *output = bufferevent_get_output(buffered);
        evbuffer_unfreeze(output, 1);
        evbuffer_drain(output, evbuffer_get_length(output));
        const std::string_view answer = tooManyLines ? kTooManyLinesAnswer : kMalformedAnswer;
        send(bufferevent_getfd(buffered), answer.data(), answer.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT);
        evhttp_connection_free(connection); // its close callback takes it off the lists
    }
}

// Takes the room for the heads that have come, before evhttp reads them. If there is none, heads
// that were begun earlier and are not finished give way: an ordinary caller sends its head at once.
void HttpServer::admitHead(Watch &watch, evhttp_connection *connection)
{
    const size_t cost = watch.headCost();
    if (watch.refused || cost <= watch.heldHeadBytes)
        return;
    const size_t more = cost - watch.heldHeadBytes;
    while (!heads_.take(more, cost)) {
        if (cost <= heads_.share(cost) && evictOldestHead(connection))
            continue;
        heads_.noteRefusal(HeadRefusal::Memory);
        refuseLater(watch, connection, lastAnswer(plainRefusal()));
        return;
    }
    watch.heldHeadBytes = cost;
}

// Closes the connection, of any port, whose unfinished head was begun first.
bool HttpServer::evictOldestHead(const evhttp_connection *except)
{
    evhttp_connection *oldest = nullptr;
    Instant since = Instant::max();
    for (const auto &[http, server] : servers()) {
        if (&server->heads_ != &heads_)
            continue;
        for (const auto &[connection, begun] : server->reading_) {
            const auto found = server->watches_.find(evhttp_connection_get_bufferevent(connection));
            if (connection == except || begun >= since || found == server->watches_.end())
                continue;
            const Watch &watch = *found->second;
            if (watch.heldHeadBytes == 0 || !watch.framing.isInHead())
                continue;
            oldest = connection;
            since = begun;
        }
    }
    if (!oldest)
        return false;
    heads_.noteRefusal(HeadRefusal::Evicted);
    evhttp_connection_free(oldest); // its close callback takes it off the lists
    return true;
}

// Takes the room for a body that its head declares, or for what has come of chunks.
void HttpServer::admitBody(Watch &watch, evhttp_connection *connection)
{
    const UnfinishedRequest *unfinished = watch.framing.unfinished();
    if (!unfinished || watch.refused || watch.handled < watch.framing.wholeRequests())
        return;
    const size_t bytes
            = unfinished->framing.chunked ? unfinished->bodyBytes : unfinished->framing.bytes;
    if (bytes <= watch.heldBytes || bytes > limits_.maxBodyBytes)
        return; // evhttp refuses one that is too long
    const HttpRequest head { unfinished->method, unfinished->target, unfinished->fields(), {} };
    if (!watch.priority && bytes > BodyBudget::kSmallBody)
        watch.priority = bodyHooks_.priority ? bodyHooks_.priority(head) : kMostImportant;
    if (bodies_.take(bytes - watch.heldBytes, bytes, watch.priority.value_or(kMostImportant))) {
        watch.heldBytes = bytes;
        return;
    }
    refuseLater(watch, connection, lastAnswer(bodyRefusal(head, bytes)));
}

// Deferred: evhttp is reading the connection when its request is refused.
void HttpServer::refuseLater(Watch &watch, evhttp_connection *connection, std::string answer)
{
    watch.refused = true;
    watch.discards = true;
    watch.framing.giveUp(); // its connection stays for kDiscard
    if (refused_.empty()) {
        loop_.detach(kj::evalLater([this, alive = std::weak_ptr<bool>(alive_)]() {
                         if (!alive.expired())
                             refuseNow();
                     }),
                     "refuse unread requests");
    }
    refused_[connection] = std::move(answer);
}

HttpReply HttpServer::bodyRefusal(const HttpRequest &request, size_t bytes) const
{
    logEvent(LogLevel::Warning, "body_refused",
             { { "bytes", fmt::to_string(bytes) },
               { "taken", fmt::to_string(bodies_.taken()) },
               { "limit", fmt::to_string(bodies_.limit()) } });
    if (bodyHooks_.refusal)
        return bodyHooks_.refusal(request);
    return plainRefusal();
}

void HttpServer::refuseNow()
{
    for (const auto &[connection, answer] : std::exchange(refused_, {})) {
        const evutil_socket_t socket
                = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        send(socket, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        shutdown(socket, SHUT_WR);
        discarding_[connection] = BootClock::now();
    }
}

// Room for the body of a request that is whole; its head may have come with all of it.
bool HttpServer::holdWholeBody(Watch *watch, size_t bytes, const HttpRequest &request)
{
    const size_t held = watch ? watch->heldBytes : 0;
    if (bytes <= held)
        return true;
    const uint32_t priority = bytes > BodyBudget::kSmallBody && bodyHooks_.priority
            ? bodyHooks_.priority(request)
            : kMostImportant;
    return bodies_.take(bytes - held, bytes, priority);
}

HttpServer::~HttpServer()
{
    exchanges_.clear();
    closeIdle();
    servers().erase(http_);
    evhttp_free(http_);
    if (spareDescriptor_ >= 0)
        close(spareDescriptor_);
}

void HttpServer::onRequest(evhttp_request *request, void *context)
{
    auto *server = static_cast<HttpServer *>(context);
    evhttp_connection *connection = evhttp_request_get_connection(request);
    bufferevent *buffered = evhttp_connection_get_bufferevent(connection);
    const evutil_socket_t socket = bufferevent_getfd(buffered);
    setNoDelay(socket);
    server->idle_.erase(connection);
    server->reading_.erase(connection);
    if (!server->mayHandle(buffered, request))
        return;
    HttpRequest parsed;
    parsed.method = methodName(evhttp_request_get_command(request));
    parsed.path = evhttp_request_get_uri(request);
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *item = headers->tqh_first; item; item = item->next.tqe_next)
        parsed.headers.push_back({ item->key, item->value });
    const auto found = server->watches_.find(buffered);
    Watch *watch = found == server->watches_.end() ? nullptr : found->second.get();
    const size_t bodyBytes = evbuffer_get_length(evhttp_request_get_input_buffer(request));
    const bool hasRoom = server->holdWholeBody(watch, bodyBytes, parsed);
    const size_t reserved = watch ? std::exchange(watch->heldBytes, 0) : 0;
    const size_t headCost = watch
            ? std::min(HeadBudget::cost(watch->framing.takeHead()), watch->heldHeadBytes)
            : 0;
    if (watch) {
        watch->priority.reset();
        watch->heldHeadBytes -= headCost;
    }
    if (!hasRoom) {
        server->bodies_.release(reserved);
        server->heads_.release(headCost);
        sendReply(request, server->bodyRefusal(parsed, bodyBytes));
        return;
    }
    server->answering_.insert(connection);
    const timeval readerLimit = toTimeval(server->limits_.slowReader);
    bufferevent_set_timeouts(buffered, nullptr, &readerLimit);

    const ExchangeId id = ++server->lastId_;
    auto exchange = std::make_unique<Exchange>();
    exchange->server = server;
    exchange->id = id;
    exchange->request = request;
    exchange->heldBytes = std::max(reserved, bodyBytes);
    exchange->heldHeadBytes = headCost;
    if (watch && watch->handled == 1)
        exchange->waitForFirst = BootClock::now() - watch->acceptedAt;
    exchange->callerWatch.emplace(server->loop_.base(), socket, [left = exchange.get()] {
        left->server->freeAbandoned(left->id);
        left->callerGone();
    });
    evhttp_connection_set_closecb(
            connection,
            [](evhttp_connection *gone, void *raw) {
                auto *closing = static_cast<Exchange *>(raw);
                closing->request = nullptr;
                closing->server->answering_.erase(gone);
                closing->server->releaseWatch(gone);
                closing->server->closed(closing->id);
            },
            exchange.get());
    evhttp_request_set_on_complete_cb(request, &HttpServer::onComplete, exchange.get());
    server->exchanges_[id] = std::move(exchange);

    parsed.body = takeBody(request);
    const Work work { "request", parsed.body.size(), [socket] { return peerAddress(socket); } };
    if (!runCallback(work, [&] { server->handler_(id, std::move(parsed)); }))
        server->replyFailed(id);
}

void HttpServer::replyFailed(ExchangeId id)
{
    const Exchange *exchange = find(id);
    if (!exchange || exchange->answered)
        return;
    if (exchange->streaming) {
        freeAbandoned(id); // deferred: evhttp is in the request's callback
        return;
    }
    HttpReply failed;
    failed.status = 500;
    failed.body = jsonText({ { "error",
                               { { "type", "internal_error" },
                                 { "message", "the request could not be handled" } } } });
    reply(id, failed);
}

// evhttp does not read while a request is handled, so that it never sees its caller go. Deferred,
// since the handler may still look at the exchange.
void HttpServer::freeAbandoned(ExchangeId id)
{
    loop_.detach(kj::evalLater([this, id, alive = std::weak_ptr<bool>(alive_)]() {
                     if (alive.expired())
                         return;
                     Exchange *exchange = find(id);
                     if (exchange && !exchange->answered)
                         breakStream(id);
                 }),
                 "free an abandoned exchange");
}

// evhttp has written the whole answer; the connection may bring another request.
void HttpServer::onComplete(evhttp_request *request, void *context)
{
    auto *exchange = static_cast<Exchange *>(context);
    HttpServer *server = exchange->server;
    evhttp_connection *connection = evhttp_request_get_connection(request);
    if (connection) {
        server->answering_.erase(connection);
        const timeval limit = toTimeval(server->limits_.slowSender);
        bufferevent_set_timeouts(evhttp_connection_get_bufferevent(connection), &limit, &limit);
        server->idle_.insert(connection);
        evhttp_connection_set_closecb(
                connection,
                [](evhttp_connection *closing, void *raw) {
                    static_cast<HttpServer *>(raw)->forget(closing);
                },
                server);
        // The next request may have come already.
        bufferevent *buffered = evhttp_connection_get_bufferevent(connection);
        if (evbuffer_get_length(bufferevent_get_input(buffered)) > 0)
            server->onBytes(buffered);
    }
    exchange->request = nullptr;
    server->exchanges_.erase(exchange->id);
}

// evhttp has closed the connection and frees the request itself.
void HttpServer::closed(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    exchange->callerGone();
    exchanges_.erase(id);
}

HttpServer::Exchange *HttpServer::find(ExchangeId id)
{
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

void HttpServer::reply(ExchangeId id, const HttpReply &reply)
{
    Exchange *exchange = find(id);
    if (!exchange || exchange->streaming)
        return;
    exchange->closedHook = nullptr;
    exchange->answered = true;
    sendReply(exchange->request, reply);
}

void HttpServer::startStream(ExchangeId id, int status, std::string_view contentType,
                             const std::vector<HttpHeader> &headers)
{
    Exchange *exchange = find(id);
    if (!exchange || exchange->streaming)
        return;
    exchange->streaming = true;
    evkeyvalq *output = evhttp_request_get_output_headers(exchange->request);
    if (!contentType.empty())
        evhttp_add_header(output, "Content-Type", std::string(contentType).c_str());
    addHeaders(exchange->request, headers);
    evhttp_send_reply_start(exchange->request, status, nullptr);
}

kj::Promise<void> HttpServer::chunk(ExchangeId id, std::string_view data)
{
    Exchange *exchange = find(id);
    if (!exchange || exchange->gone)
        return KJ_EXCEPTION(DISCONNECTED, "the caller has gone");
    evhttp_connection *connection = evhttp_request_get_connection(exchange->request);
    evbuffer *output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhttp_send_reply_chunk_with_cb(
            exchange->request, buffer,
            [](evhttp_connection *, void *raw) {
                auto *taking = static_cast<Exchange *>(raw);
                if (!taking->taken)
                    return;
                auto fulfiller = kj::mv(taking->taken);
                fulfiller->fulfill();
            },
            exchange);
    evbuffer_free(buffer);
    if (evbuffer_get_length(output) <= kUntakenBytes)
        return kj::READY_NOW;
    auto paf = kj::newPromiseAndFulfiller<void>();
    exchange->taken = kj::mv(paf.fulfiller);
    return kj::mv(paf.promise);
}

bool HttpServer::isBehind(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (!exchange || exchange->gone)
        return false;
    evhttp_connection *connection = evhttp_request_get_connection(exchange->request);
    evbuffer *output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    return evbuffer_get_length(output) > kUntakenBytes;
}

kj::Promise<void> HttpServer::flush(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (!exchange || exchange->gone)
        return kj::READY_NOW;
    evhttp_connection *connection = evhttp_request_get_connection(exchange->request);
    evbuffer *output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    if (evbuffer_get_length(output) == 0)
        return kj::READY_NOW;
    auto paf = kj::newPromiseAndFulfiller<void>();
    exchange->taken = kj::mv(paf.fulfiller);
    return kj::mv(paf.promise);
}

void HttpServer::endStream(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (!exchange || !exchange->streaming)
        return;
    exchange->closedHook = nullptr;
    exchange->answered = true;
    evhttp_send_reply_end(exchange->request);
}

// Closes the connection before the last chunk: no HTTP client takes that for a
// whole answer.
void HttpServer::breakStream(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    exchange->closedHook = nullptr;
    evhttp_connection *connection = evhttp_request_get_connection(exchange->request);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    exchange->request = nullptr;
    exchanges_.erase(id);
    answering_.erase(connection);
    releaseWatch(connection);
    evhttp_connection_free(connection);
}

// Asks the socket: the event of the close may still wait in the loop.
bool HttpServer::hasCallerLeft(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (!exchange || exchange->gone || !exchange->request)
        return true;
    evhttp_connection *connection = evhttp_request_get_connection(exchange->request);
    return !isEstablished(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
}

std::optional<Duration> HttpServer::waitForFirstRequest(ExchangeId id)
{
    const Exchange *exchange = find(id);
    return exchange ? exchange->waitForFirst : std::nullopt;
}

void HttpServer::onClosed(ExchangeId id, std::function<void()> hook)
{
    Exchange *exchange = find(id);
    if (!exchange || exchange->gone) {
        hook();
        return;
    }
    exchange->closedHook = std::move(hook);
}

void HttpServer::closeIdle()
{
    const auto idle = std::move(idle_);
    idle_.clear();
    for (evhttp_connection *connection : idle) {
        if (reading_.count(connection) > 0)
            continue; // a request is coming in; its answer tells to close
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        releaseWatch(connection);
        evhttp_connection_free(connection);
    }
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    limits_ = limits;
    evhttp_set_max_headers_size(http_, static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(limits.maxBodyBytes));
    const timeval senderLimit = toTimeval(limits.slowSender);
    evhttp_set_timeout_tv(http_, &senderLimit);
}

void HttpServer::stopAccepting()
{
    if (bound_)
        evhttp_del_accept_socket(http_, bound_);
    bound_ = nullptr;
}

} // namespace bamboogap
