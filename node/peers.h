// Connections to other processes of the fleet.
//
// Each peer has one connection for control and one for requests, so that a
// large answer does not hold up a heartbeat. A connection is made when it is
// first used and made again after it was lost.

#ifndef BAMBOOGAP_NODE_PEERS_H
#define BAMBOOGAP_NODE_PEERS_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node/eventloop.h"
#include "node/wire.capnp.h"

namespace bamboogap {

enum class Lane { Control, Requests };

class Peers
{
public:
    // `key` is the fleet's key, without which a peer answers nothing.
    Peers(EventLoop &loop, std::string key);
    ~Peers();

    // A client of the peer; its calls are rejected when it cannot be reached.
    wire::Node::Client node(const std::string &address, Lane lane);

    // Fulfilled once the peer can be called. A rejection proves that nothing
    // was sent to it.
    kj::Promise<void> ready(const std::string &address, Lane lane);

    // The answer of a call that was just sent to the peer, rejected if it takes longer. Then the
    // connection is closed, so that the next call makes another one: the peer may have lost it
    // without a word, and TCP notices that late.
    template<typename T>
    kj::Promise<T> answerWithin(Duration limit, const std::string &address, Lane lane,
                                kj::Promise<T> answer)
    {
        return loop_.within(limit, kj::mv(answer))
                .catch_([drop = dropOnTimeout(address, lane)](
                                kj::Exception &&problem) -> kj::Promise<T> {
                    drop(problem);
                    return kj::mv(problem);
                });
    }

    // Calls to this address stay within the process.
    void setSelf(std::string address, wire::Node::Client node);

    // Closes the connection, e.g. after a call was not answered in time.
    void drop(const std::string &address, Lane lane);

private:
    struct Connection;
    // Drops the connection that stands or is made now.
    std::function<void(const kj::Exception &)> dropOnTimeout(const std::string &address, Lane lane);

    using Place = std::pair<std::string, Lane>;

    EventLoop &loop_;
    std::string key_;
    std::map<Place, std::shared_ptr<Connection>> connections_;
    std::string selfAddress_;
    kj::Maybe<wire::Node::Client> self_;
};

// Serves this process's Node to the peers that know the fleet's key.
class PeerServer
{
public:
    static Result<std::unique_ptr<PeerServer>> listen(EventLoop &loop, const SocketAddress &address,
                                                      std::string key, wire::Node::Client node);
    virtual ~PeerServer() noexcept(false) { }
};

} // namespace bamboogap

#endif
