// An HTTP server over evhttp whose exchanges are addressed by ids.
//
// A handler gets a request and an id, and answers by that id now or later. When
// the caller has gone, answering does nothing and the close hook was called, so
// no task holds a pointer into evhttp.

#ifndef BAMBOOGAP_NODE_HTTPSERVER_H
#define BAMBOOGAP_NODE_HTTPSERVER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "node/bodybudget.h"
#include "node/eventloop.h"
#include "node/headbudget.h"
#include "node/messageframing.h"
#include "node/settings.h"

struct bufferevent;
struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_bound_socket;
struct evhttp_request;
struct evconnlistener;

namespace bamboogap {

using ExchangeId = uint64_t;

struct HttpRequest
{
    std::string method;
    std::string path; // with the query
    std::vector<HttpHeader> headers;
    std::string body;

    // The value of a header; empty if absent. Names are matched without case.
    std::string_view header(std::string_view name) const;
    std::string_view pathOnly() const;
    // The value of a query parameter, empty if absent. Not decoded.
    std::string_view query(std::string_view name) const;
};

struct HttpReply
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<HttpHeader> headers;
};

// What a server asks about a request whose body it has not read; the request has none yet.
struct BodyHooks
{
    std::function<uint32_t(const HttpRequest &)> priority; // 0 is the most important
    // The answer to one whose body finds no room.
    std::function<HttpReply(const HttpRequest &)> refusal;
};

class HttpServer
{
public:
    using Handler = std::function<void(ExchangeId, HttpRequest)>;

    // InvalidSettings if the address cannot be listened on. The budgets, shared by servers, must
    // outlive them.
    static Result<std::unique_ptr<HttpServer>> listen(EventLoop &loop, const SocketAddress &address,
                                                      const HttpLimits &limits, HeadBudget &heads,
                                                      BodyBudget &bodies, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    void reply(ExchangeId id, const HttpReply &reply);

    void startStream(ExchangeId id, int status, std::string_view contentType,
                     const std::vector<HttpHeader> &headers);
    // Fulfilled when the caller has taken enough for the next chunk; rejected
    // when the caller has gone.
    kj::Promise<void> chunk(ExchangeId id, std::string_view data);
    // Whether the caller has yet to take so much that chunk() waits for it.
    bool isBehind(ExchangeId id);
    // Fulfilled when everything that was written so far has been sent.
    kj::Promise<void> flush(ExchangeId id);
    void endStream(ExchangeId id);
    // Ends a stream so that the caller sees that it is not whole.
    void breakStream(ExchangeId id);

    // Whether the caller has closed its side already, as far as its packets tell.
    bool hasCallerLeft(ExchangeId id);
    // How long the connection stood before it brought its first request, if that is this one.
    std::optional<Duration> waitForFirstRequest(ExchangeId id);
    // The hook is called once if the caller goes before it was answered.
    void onClosed(ExchangeId id, std::function<void()> hook);

    void setBodyHooks(BodyHooks hooks) { bodyHooks_ = std::move(hooks); }
    // The hook is called for each connection that is refused for lack of descriptors.
    void setConnectionRefused(std::function<void()> hook) { connectionRefused_ = std::move(hook); }

    // Exchanges that were not answered in full.
    size_t openCount() const { return exchanges_.size(); }
    // Holds for connections made from now on, and for the idle time of all.
    void setLimits(const HttpLimits &limits);
    // Closes the connections that have brought a request before and now wait for
    // another one. A request that crosses the close was not read.
    void closeIdle();
    // Stops accepting connections; open ones go on.
    void stopAccepting();

private:
    struct Exchange;
    struct Watch;

    HttpServer(EventLoop &loop, const HttpLimits &limits, HeadBudget &heads, BodyBudget &bodies,
               Handler handler);

    static void onRequest(evhttp_request *request, void *context);
    static void onComplete(evhttp_request *request, void *context);
    static bufferevent *onConnection(event_base *base, void *context);
    void onBytes(bufferevent *buffered);
    bool mayHandle(bufferevent *buffered, evhttp_request *request);
    void refuseSoon(Watch &watch, evhttp_connection *connection);
    void refuseMalformed();
    void admitHead(Watch &watch, evhttp_connection *connection);
    bool evictOldestHead(const evhttp_connection *except);
    void releaseWatch(evhttp_connection *connection);
    void admitBody(Watch &watch, evhttp_connection *connection);
    bool holdWholeBody(Watch *watch, size_t bytes, const HttpRequest &request);
    HttpReply bodyRefusal(const HttpRequest &request, size_t bytes) const;
    void refuseNow();
    void refuseLater(Watch &watch, evhttp_connection *connection, std::string answer);
    bool takesLastDescriptors(bufferevent *buffered) const;
    static void onAcceptFailed(evconnlistener *listener, void *http);
    void refuseConnection(evconnlistener *listener);
    void noteRefusedConnection();
    void forget(evhttp_connection *connection);
    void lookForSlow();
    void closeSlow();
    void closed(ExchangeId id);
    void freeAbandoned(ExchangeId id);
    // Answers an exchange whose handler threw an exception.
    void replyFailed(ExchangeId id);
    Exchange *find(ExchangeId id);

    EventLoop &loop_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); // ends with this server
    HttpLimits limits_;
    HeadBudget &heads_;
    BodyBudget &bodies_;
    BodyHooks bodyHooks_;
    std::function<void()> connectionRefused_;
    int spareDescriptor_ = -1; // closed to accept a connection when there is no other left
    Instant refusalLoggedAt_ {};
    uint64_t refusedConnections_ = 0; // since then
    Handler handler_;
    int descriptorLimit_ = 0; // the process has fewer
    evhttp *http_ = nullptr;
    evhttp_bound_socket *bound_ = nullptr;
    ExchangeId lastId_ = 0;
    std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
    std::set<evhttp_connection *> idle_;
    std::map<bufferevent *, std::unique_ptr<Watch>> watches_;
    std::map<evhttp_connection *, Instant> reading_; // since the first byte of a request
    std::set<evhttp_connection *> answering_; // the request was whole
    // Those among reading_ whose request is malformed, though evhttp waits for more of it.
    std::set<evhttp_connection *> malformed_;
    // Those among reading_ that are refused before they are read, with their answers.
    std::map<evhttp_connection *, std::string> refused_;
    // Those among reading_ that were answered, since when; what still comes is dropped.
    std::map<evhttp_connection *, Instant> discarding_;
    bool lookingForSlow_ = false;
};

} // namespace bamboogap

#endif
