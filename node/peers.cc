// Cap'n Proto RPC over pooled connections.

#include "node/peers.h"

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

#include "base/log.h"

namespace bamboogap {

namespace {

// A machine that is back after a loss of power is found within this; two regions
// are at most 150 ms apart.
constexpr Duration kConnectLimit = std::chrono::milliseconds(500);
// A message is at most 256 MB (a snapshot of the control state); a peer that
// sends nonsense is cut off at this.
constexpr uint64_t kMaxMessageWords = (256ULL << 20) / sizeof(capnp::word);
constexpr int kMaxNesting = 32;

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxMessageWords;
    options.nestingLimit = kMaxNesting;
    return options;
}

// One accepted or made connection with its RPC system. The members are
// destroyed from last to first: the RPC system before the stream.
struct Session
{
    Session(kj::Own<kj::AsyncIoStream> connected, capnp::rpc::twoparty::Side side)
        : stream(kj::mv(connected))
        , network(*stream, side, readerOptions())
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc;
};

// Compares keys in a time that does not tell how much of them matches.
bool sameKey(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (size_t i = 0; i < left.size() && i < right.size(); ++i)
        difference |= static_cast<unsigned char>(left[i] ^ right[i]);
    return difference == 0;
}

class GateServer final : public wire::Gate::Server
{
public:
    GateServer(std::string key, wire::Node::Client node)
        : key_(std::move(key))
        , node_(kj::mv(node))
    {
    }

    kj::Promise<void> enter(EnterContext context) override
    {
        const auto key = context.getParams().getKey();
        if (!sameKey(key_, std::string_view(key.cStr(), key.size()))) {
            logEvent(LogLevel::Warning, "peer_refused",
                     { { "reason", "wrong fleet key" },
                       { "remedy", "give every node the same fleet.key" } });
            return KJ_EXCEPTION(FAILED, "wrong fleet key");
        }
        context.getResults().setNode(node_);
        return kj::READY_NOW;
    }

private:
    std::string key_;
    wire::Node::Client node_;
};

class PeerServerImpl final : public PeerServer
{
public:
    PeerServerImpl(EventLoop &loop, std::string key, wire::Node::Client node)
        : loop_(loop)
        , gate_(kj::heap<GateServer>(std::move(key), kj::mv(node)))
    {
    }

    void accept(kj::Own<kj::AsyncIoStream> stream)
    {
        auto session
                = std::make_shared<Session>(kj::mv(stream), capnp::rpc::twoparty::Side::SERVER);
        session->rpc = capnp::makeRpcServer(session->network, kj::cp(gate_));
        auto ended = session->network.onDisconnect();
        // The session ends after its own callbacks have returned.
        loop_.detach(ended.then([session]() {}, [session](kj::Exception &&) {})
                             .then([]() { return kj::evalLater([]() {}); })
                             .attach(kj::heap<std::shared_ptr<Session>>(session)),
                     "peer session");
    }

    std::unique_ptr<StreamListener> listener;

private:
    EventLoop &loop_;
    wire::Gate::Client gate_;
};

} // namespace

struct Peers::Connection
{
    explicit Connection(wire::Node::Client client)
        : node(kj::mv(client))
    {
    }

    std::shared_ptr<Session> session;
    wire::Node::Client node;
    kj::Own<kj::PromiseFulfiller<void>> close;
    kj::Maybe<kj::ForkedPromise<void>> ready;
};

Peers::Peers(EventLoop &loop, std::string key)
    : loop_(loop)
    , key_(std::move(key))
{
}

Peers::~Peers() = default;

void Peers::setSelf(std::string address, wire::Node::Client node)
{
    selfAddress_ = std::move(address);
    self_ = kj::mv(node);
}

wire::Node::Client Peers::node(const std::string &address, Lane lane)
{
    if (address == selfAddress_) {
        KJ_IF_MAYBE (self, self_)
            return *self;
    }
    const Place place { address, lane };
    const auto found = connections_.find(place);
    if (found != connections_.end())
        return found->second->node;
    const auto parsed = parseSocketAddress(address);
    if (!parsed)
        return KJ_EXCEPTION(FAILED, "not a peer address", address.c_str());

    auto paf = kj::newPromiseAndFulfiller<wire::Node::Client>();
    auto connection = std::make_shared<Connection>(wire::Node::Client(kj::mv(paf.promise)));
    connections_[place] = connection;
    auto closing = kj::newPromiseAndFulfiller<void>();
    connection->close = kj::mv(closing.fulfiller);
    auto standing = kj::newPromiseAndFulfiller<void>();
    connection->ready = standing.promise.fork();
    const auto forget = [this, place, weak = std::weak_ptr<Connection>(connection)]() {
        const auto current = connections_.find(place);
        if (current != connections_.end() && current->second == weak.lock())
            connections_.erase(current);
    };
    auto connecting = loop_.within(kConnectLimit, connectStream(loop_, *parsed))
                              .then([this, connection](kj::Own<kj::AsyncIoStream> stream) {
                                  connection->session = std::make_shared<Session>(
                                          kj::mv(stream), capnp::rpc::twoparty::Side::CLIENT);
                                  Session &session = *connection->session;
                                  session.rpc = capnp::makeRpcClient(session.network);
                                  capnp::MallocMessageBuilder message;
                                  auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
                                  vat.setSide(capnp::rpc::twoparty::Side::SERVER);
                                  auto gate = KJ_ASSERT_NONNULL(session.rpc)
                                                      .bootstrap(vat)
                                                      .castAs<wire::Gate>();
                                  auto request = gate.enterRequest();
                                  request.setKey(key_);
                                  return request.send().then(
                                          [](auto &&response) { return response.getNode(); });
                              });
    loop_.detach(
            connecting
                    .then([connection, fulfiller = kj::mv(paf.fulfiller),
                           stands = kj::mv(standing.fulfiller)](wire::Node::Client node) mutable {
                        fulfiller->fulfill(kj::mv(node));
                        stands->fulfill();
                        return connection->session->network.onDisconnect();
                    })
                    .exclusiveJoin(kj::mv(closing.promise))
                    .then([forget]() { forget(); }, [forget](kj::Exception &&) { forget(); })
                    // Frees the session outside its own callbacks.
                    .then([]() { return kj::evalLater([]() {}); })
                    .attach(kj::heap<std::shared_ptr<Connection>>(connection)),
            "peer connection");
    return connection->node;
}

kj::Promise<void> Peers::ready(const std::string &address, Lane lane)
{
    if (address == selfAddress_)
        return kj::READY_NOW;
    auto client = node(address, lane);
    const auto found = connections_.find({ address, lane });
    if (found == connections_.end())
        return KJ_EXCEPTION(FAILED, "not a peer address", address.c_str());
    KJ_IF_MAYBE (forked, found->second->ready)
        return forked->addBranch();
    return kj::READY_NOW;
}

void Peers::drop(const std::string &address, Lane lane)
{
    const auto found = connections_.find({ address, lane });
    if (found == connections_.end())
        return;
    found->second->close->fulfill();
    connections_.erase(found);
}

std::function<void(const kj::Exception &)> Peers::dropOnTimeout(const std::string &address,
                                                                Lane lane)
{
    const auto used = connections_.find({ address, lane });
    if (used == connections_.end())
        return [](const kj::Exception &) {};
    const std::weak_ptr<Connection> connection = used->second;
    return [this, address, lane, connection](const kj::Exception &problem) {
        const auto current = connections_.find({ address, lane });
        if (problem.getType() != kj::Exception::Type::OVERLOADED || current == connections_.end()
            || current->second != connection.lock())
            return;
        logEvent(LogLevel::Warning, "peer_dropped",
                 { { "peer", address }, { "reason", "it did not answer in time" } });
        drop(address, lane);
    };
}

Result<std::unique_ptr<PeerServer>> PeerServer::listen(EventLoop &loop,
                                                       const SocketAddress &address,
                                                       std::string key, wire::Node::Client node)
{
    auto server = std::make_unique<PeerServerImpl>(loop, std::move(key), kj::mv(node));
    PeerServerImpl *raw = server.get();
    auto listener = StreamListener::listen(loop, address, [raw](kj::Own<kj::AsyncIoStream> stream) {
        raw->accept(kj::mv(stream));
    });
    if (!listener)
        return tl::unexpected(listener.error());
    raw->listener = std::move(*listener);
    return std::unique_ptr<PeerServer>(std::move(server));
}

} // namespace bamboogap
