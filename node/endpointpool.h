// Kept HTTP connections to endpoints, for direct routers.
//
// A call is addressed by an id and reports through hooks. A connection carries one
// call at a time; after a whole answer it is kept for the next call to that
// endpoint. Anything odd (a broken answer, bytes beyond it, a close) ends the
// connection. The hooks are never called from within start() or cancel().

#ifndef BAMBOOGAP_NODE_ENDPOINTPOOL_H
#define BAMBOOGAP_NODE_ENDPOINTPOOL_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "node/eventloop.h"
#include "node/httpserver.h"
#include "node/messageframing.h"
#include "routing/connectlimit.h"

namespace bamboogap {

using CallId = uint64_t;

enum class CallEnd {
    Whole, // the answer came in full
    NotSent, // no connection: the endpoint has seen nothing of the request
    Broken, // the connection failed later; the request may have run
    Invalid, // the endpoint sent what is no valid answer, and was still sending; it may have run
};

struct CallHooks
{
    // The status line and headers are in. False ends the call as Invalid.
    std::function<bool(int status, std::span<const HttpHeader>)> onHead;
    std::function<void(std::string_view)> onData;
    // `reason` is for the log.
    std::function<void(CallEnd, std::string_view reason)> onEnd;
};

struct PoolLimits
{
    // How long a connection may idle before it is closed here.
    Duration idle = std::chrono::seconds(4);
    // Calls that must not be repeated use a connection only if it idled less: the
    // endpoint may close it while the request is on its way.
    Duration freshIdle = std::chrono::milliseconds(500);
    size_t maxAnswerBytes = 16 << 20;
    size_t maxHeadBytes = 64 << 10;
    size_t maxHeadLines = kMostHeadLines;
};

struct PoolCall
{
    std::string address;
    std::string dataCentre; // of the endpoint: how long connecting may take is learnt by it
    std::string method;
    std::string path;
    std::vector<HttpHeader> headers;
    std::string_view body;
    bool mayRepeat = false; // else only a fresh connection is used
};

class EndpointPool
{
public:
    EndpointPool(EventLoop &loop, PoolLimits limits);
    ~EndpointPool();
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    CallId start(const PoolCall &call, CallHooks hooks);
    // Closes the call's connection, which tells the endpoint to stop.
    void cancel(CallId id);
    // Stops reading the answer, or goes on: the endpoint waits once the links are full.
    void pause(CallId id, bool paused);
    // Whether the call's connection has carried another call before: what comes on it may be left
    // from that one.
    bool isReused(CallId id) const;
    // How long the answer's connection may be kept, from its headers.
    void setKeepAlive(CallId id, Duration keepAlive);

    // Closes kept connections that idled too long.
    void closeIdle();

    uint64_t connectionsMade() const { return connectionsMade_; }
    size_t idleCount() const;
    size_t runningCount() const { return calls_.size(); }

private:
    struct Connection;
    struct Call;

    static bool hasInput(const Connection &connection);
    Connection *takeIdle(const std::string &address, bool mayRepeat);
    std::unique_ptr<Connection> connect(const std::string &address);
    void startConnectTimer(Call &call);
    void onConnectTimer(Call &call);
    void finish(CallId id, CallEnd end, std::string_view reason);
    void retire(std::unique_ptr<Connection> connection);
    void freeRetired();

    EventLoop &loop_;
    PoolLimits limits_;
    CallId lastId_ = 0;
    uint64_t connectionsMade_ = 0;
    std::map<CallId, std::unique_ptr<Call>> calls_;
    std::map<std::string, ConnectLimit, std::less<>> connectLimits_; // by data centre
    std::map<std::string, std::vector<std::unique_ptr<Connection>>, std::less<>> idle_;
    std::vector<std::unique_ptr<Connection>> retired_; // freed outside their callbacks
    event *freeEvent_ = nullptr;
};

} // namespace bamboogap

#endif
