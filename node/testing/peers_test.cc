// Connections between processes of the fleet that are lost without a word.

#include <catch2/catch.hpp>

#include "node/peers.h"
#include "node/testing/freeport.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLimit = milliseconds(100);

class AnsweringNode final : public wire::Node::Server
{
public:
    kj::Promise<void> identify(IdentifyContext context) override
    {
        context.getResults().setId(7);
        return kj::READY_NOW;
    }
};

TEST_CASE("a peer that lost a connection without a word is reached by the next call")
{
    EventLoop loop;
    Peers peers(loop, "key");
    const SocketAddress address { "127.0.0.1", freePort() };
    const std::string text = address.host + ":" + std::to_string(address.port);
    // The connection stands, but nobody reads it.
    std::vector<kj::Own<kj::AsyncIoStream>> silent;
    auto listener = StreamListener::listen(loop, address,
                                           [&](auto stream) { silent.push_back(kj::mv(stream)); });
    REQUIRE(listener);
    const auto call = [&]() {
        bool answered = false;
        auto request = peers.node(text, Lane::Requests).identifyRequest();
        loop.run(peers.answerWithin(kLimit, text, Lane::Requests, request.send())
                         .then([&](auto &&response) { answered = response.getId() == 7; },
                               [](kj::Exception &&) {}));
        return answered;
    };
    CHECK_FALSE(call());
    CHECK(silent.size() == 1);
    listener->reset();
    auto server = PeerServer::listen(loop, address, "key", kj::heap<AnsweringNode>());
    REQUIRE(server);
    CHECK(call());
    CHECK(call());
}

} // namespace
} // namespace bamboogap
