// What a router keeps of replicas that come and go.

#include <catch2/catch.hpp>

#include "node/synctask.h"
#include "node/testing/freeport.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;

// Answers reports with a list of replicas.
class ReplicaStandIn final : public wire::Node::Server
{
public:
    explicit ReplicaStandIn(size_t &reports)
        : reports_(reports)
    {
    }

    kj::Promise<void> sync(SyncContext context) override
    {
        ++reports_;
        auto reply = context.getResults().initReply();
        reply.setCurrent(true);
        reply.setRosterEpoch(1);
        auto replicas = reply.initReplicas(listed.size());
        for (size_t i = 0; i < listed.size(); ++i)
            replicas.set(i, listed[i]);
        return kj::READY_NOW;
    }

    std::vector<std::string> listed;

private:
    size_t &reports_;
};

SyncTask::Hooks idleHooks(const AnswerTimes &answerTimes)
{
    SyncTask::Hooks hooks;
    hooks.uses = [] { return std::vector<EndpointUse>(); };
    hooks.takePlacements = [] { return std::vector<PromptPlacement>(); };
    hooks.learn = [](std::span<const PromptPlacement>) {};
    hooks.answerTimes = [&answerTimes]() -> const AnswerTimes & { return answerTimes; };
    hooks.streamRuns = [] { return std::vector<StreamRun>(); };
    hooks.parseRoutes
            = [](std::string_view) -> Result<RouteTable> { return tl::unexpected(Error {}); };
    hooks.rolloutReports = [] { return std::vector<RolloutReport>(); };
    hooks.draw = [] { return 0.0; };
    hooks.changed = [] {};
    return hooks;
}

// Guards against a use after free: the answer of a replica that isn't in its own list erased the
// link that was still being written.
TEST_CASE("a replica that answers with a list without itself gets no further reports")
{
    EventLoop loop;
    Peers peers(loop, "key");
    const SocketAddress address { "127.0.0.1", freePort() };
    const std::string joining = address.host + ":" + std::to_string(address.port);
    size_t reports = 0;
    auto replica = kj::heap<ReplicaStandIn>(reports);
    replica->listed = { "127.0.0.1:1" };
    auto server = PeerServer::listen(loop, address, "key", kj::mv(replica));
    REQUIRE(server);

    const AnswerTimes answerTimes;
    SyncSettings settings;
    settings.name = "router-0";
    settings.peerAddress = "127.0.0.1:2";
    settings.seeds = { "127.0.0.1:1" };
    settings.interval = milliseconds(20);
    SyncTask sync(loop, peers, settings, idleHooks(answerTimes));
    sync.start();
    sync.onReplicaStarted(joining);
    loop.run(loop.sleep(milliseconds(500)));
    CHECK(sync.replicasAnswering(BootClock::now()) == 0);
    CHECK(reports == 1);
}

} // namespace
} // namespace bamboogap
