// One thread's event loop: libevent drives the sockets and timers, and Cap'n
// Proto's promises run on top of it.
//
// libevent's callbacks only take in data and fulfil promises. What follows from
// them runs as promise continuations after event_base_loop() has returned, so a
// continuation may free a connection without standing inside its callback.

#ifndef BAMBOOGAP_NODE_EVENTLOOP_H
#define BAMBOOGAP_NODE_EVENTLOOP_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <event2/event.h>
#include <kj/async-io.h>
#include <kj/async.h>

#include "base/clock.h"
#include "base/error.h"
#include "node/loop/turnwatch.h"

namespace bamboogap {

class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    event_base *base() const { return base_; }

    // Runs until the promise is fulfilled; throws what it was rejected with.
    void run(kj::Promise<void> until);

    kj::Promise<void> sleep(Duration duration) const;

    // Runs a promise to its end; a failure is logged with the given name.
    void detach(kj::Promise<void> promise, std::string what);

    using TurnHook = std::function<void(const Turn &)>;
    // Called after each turn that took kReportedTurn or more, before the loop waits again.
    static constexpr Duration kReportedTurn = std::chrono::milliseconds(10);
    void setTurnHook(TurnHook hook) { turnHook_ = std::move(hook); }

    // Calls the hook again and again, `interval` after it returned. Long turns name it by `name`, a
    // literal.
    void every(Duration interval, std::string_view name, std::function<void()> hook);

    // Rejects with a timeout if the promise takes longer.
    template<typename T> kj::Promise<T> within(Duration limit, kj::Promise<T> promise) const
    {
        return promise.exclusiveJoin(
                sleep(limit).then([]() -> kj::Promise<T> { return timedOut(); }));
    }

private:
    static kj::Exception timedOut();
    class Port;
    class Failures;

    void endTurn();

    event_base *base_;
    TurnWatch watch_;
    TurnHook turnHook_;
    std::unique_ptr<Port> port_;
    std::unique_ptr<kj::EventLoop> loop_;
    std::unique_ptr<kj::WaitScope> waitScope_;
    std::unique_ptr<Failures> failures_;
    std::unique_ptr<kj::TaskSet> tasks_;
};

// Host and port of an address "host:port"; the host is an IP number.
struct SocketAddress
{
    std::string host;
    uint16_t port = 0;
};

// InvalidSettings if the text is no "ip:port".
Result<SocketAddress> parseSocketAddress(std::string_view text);

// Connects and gives a stream for RPC; rejects if it cannot connect.
kj::Promise<kj::Own<kj::AsyncIoStream>> connectStream(EventLoop &loop,
                                                      const SocketAddress &address);

// Accepts connections and hands each to the hook, for as long as it lives.
class StreamListener
{
public:
    using AcceptHook = std::function<void(kj::Own<kj::AsyncIoStream>)>;

    static Result<std::unique_ptr<StreamListener>>
    listen(EventLoop &loop, const SocketAddress &address, AcceptHook accept);
    virtual ~StreamListener() = default;
};

// Runs what a C library calls back for: no exception may pass through the library. False if one
// was thrown; it is logged as callback_failed.
bool runCallback(Work what, const std::function<void()> &callback);

// For libevent; a negative duration becomes 0.
timeval toTimeval(Duration duration);

void setNoDelay(evutil_socket_t socket);

// The other end of a connected socket as "ip:port"; empty if it has none.
std::string peerAddress(evutil_socket_t socket);

// Whether a TCP connection stands in both directions: false while connecting, and once either side
// has closed or reset it.
bool isEstablished(evutil_socket_t socket);

} // namespace bamboogap

#endif
