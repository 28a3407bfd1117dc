// Distribution of a large document to the routers of a fleet, with simulated links.

#include <functional>
#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "fleet/documentdistributor.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using Decision = DocumentDistributor::Decision;

const Instant kStart { std::chrono::seconds(1000) };

// Simulates the replicas and routers of a target deployment. Each link sends one item at a time.
// Replicas also send replies to reports all the time; a heartbeat waits until the link has sent
// everything queued before it.
class Fleet
{
public:
    using Policy = std::function<DocumentDistributor::Answer(
            size_t replica, const DocumentDistributor::Requester &)>;

    static constexpr size_t kReplicas = 5;
    static constexpr size_t kRouters = 411;
    static constexpr double kReplicaBytesPerSecond = 750e3; // 6 Mbit/s
    static constexpr double kRouterBytesPerSecond = 1250e3; // 10 Mbit/s
    static constexpr double kReportShare = 0.3; // of a replica's link
    static constexpr size_t kDocumentBytes = 29000; // 1,600 routes, deflated
    // Interval of a router's reports to its report target.
    static constexpr Duration kReportInterval = milliseconds(800);

    explicit Fleet(uint64_t seed)
        : random_(seed)
    {
        for (size_t i = 0; i < kRouters; ++i)
            at(kStart + Duration(random_() % kReportInterval.count()),
               [this, i] { request(i, {}); });
    }

    void run(Duration length, const Policy &policy)
    {
        policy_ = policy;
        const Instant end = kStart + length;
        while (!events_.empty() && events_.begin()->first <= end) {
            const auto [when, action] = *events_.begin();
            events_.erase(events_.begin());
            now = when;
            action();
        }
    }

    Instant now = kStart;
    Instant lastArrival = kStart;
    Duration longestWait {}; // longest wait of a heartbeat for its replica's link
    std::set<size_t> complete;
    std::set<size_t> unreachable; // routers that are named as peers but do not respond

private:
    void at(Instant when, std::function<void()> action)
    {
        events_.emplace(when, std::move(action));
    }

    static std::string nameOf(size_t router) { return std::to_string(router); }

    // Returns when the last byte has been sent on a link of the given rate.
    Instant send(Instant &busyUntil, double rate)
    {
        busyUntil = std::max(busyUntil, now)
                + std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(kDocumentBytes / rate));
        return busyUntil;
    }

    void arrive(size_t router, Instant when)
    {
        at(when, [this, router] {
            complete.insert(router);
            lastArrival = now;
        });
    }

    void request(size_t router, const std::string &failed)
    {
        const size_t replica = router % kReplicas;
        const auto answer
                = policy_(replica, { nameOf(router), "dc" + std::to_string(router % 5), failed });
        if (answer.decision == Decision::Wait) {
            at(now + answer.wait, [this, router] { request(router, {}); });
            return;
        }
        if (answer.decision == Decision::Send) {
            Instant &busy = replicaBusy_[replica];
            const Instant sent = send(busy, kReplicaBytesPerSecond * (1 - kReportShare));
            longestWait = std::max<Duration>(longestWait, sent - now);
            arrive(router, sent);
            return;
        }
        const size_t peer = std::stoul(answer.peer);
        if (unreachable.count(peer) > 0 || complete.count(peer) == 0) {
            const std::string name = answer.peer;
            const Duration noticed
                    = unreachable.count(peer) > 0 ? milliseconds(500) : milliseconds(5);
            at(now + noticed, [this, router, name] { request(router, name); });
            return;
        }
        arrive(router, send(routerBusy_[peer], kRouterBytesPerSecond));
    }

    std::mt19937_64 random_;
    std::multimap<Instant, std::function<void()>> events_;
    Policy policy_;
    std::map<size_t, Instant> replicaBusy_;
    std::map<size_t, Instant> routerBusy_;
};

constexpr Duration kInForceWithin = std::chrono::seconds(3); // strictest of the required bounds
constexpr Duration kElectionMin = milliseconds(300); // of the shortest configured election timeout

Fleet::Policy distributing(std::vector<DocumentDistributor> &distributors, Fleet &fleet)
{
    distributors.assign(Fleet::kReplicas, DocumentDistributor({ Fleet::kReplicaBytesPerSecond }));
    return [&](size_t replica, const DocumentDistributor::Requester &requester) {
        return distributors[replica].decide(requester, 7, Fleet::kDocumentBytes, fleet.now);
    };
}

// Guards the need for distribution (incident CONFIG on large/): every router fetched the document
// from a replica at once, which delayed the heartbeats of the log.
TEST_CASE("sending the document to all routers at once delays the heartbeats of the control group")
{
    Fleet fleet(1);
    fleet.run(std::chrono::seconds(10), [](size_t, const DocumentDistributor::Requester &) {
        return DocumentDistributor::Answer {};
    });
    CHECK(fleet.complete.size() == Fleet::kRouters);
    CHECK(fleet.longestWait > kElectionMin);
}

TEST_CASE("a large document reaches all routers in time without delaying log heartbeats")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(seed);
        std::vector<DocumentDistributor> distributors;
        fleet.run(std::chrono::seconds(10), distributing(distributors, fleet));
        CAPTURE(seed, toMillis(fleet.lastArrival - kStart), toMillis(fleet.longestWait));
        CHECK(fleet.complete.size() == Fleet::kRouters);
        CHECK(fleet.lastArrival - kStart < kInForceWithin);
        CHECK(fleet.longestWait < kElectionMin / 2);
    }
}

TEST_CASE("unreachable peers delay a document but do not stop it")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(seed);
        std::mt19937_64 random(seed);
        while (fleet.unreachable.size() < Fleet::kRouters / 5)
            fleet.unreachable.insert(random() % Fleet::kRouters);
        std::vector<DocumentDistributor> distributors;
        fleet.run(std::chrono::seconds(10), distributing(distributors, fleet));
        CAPTURE(seed, toMillis(fleet.lastArrival - kStart));
        CHECK(fleet.complete.size() == Fleet::kRouters);
        CHECK(fleet.lastArrival - kStart < kInForceWithin);
        CHECK(fleet.longestWait < kElectionMin / 2);
    }
}

TEST_CASE("a peer in the requester's data centre is preferred, and never the requester itself")
{
    DocumentDistributor distributor({ 750e3 });
    const auto decide = [&](const std::string &name, const std::string &dataCentre, Duration at) {
        return distributor.decide({ name, dataCentre, {} }, 3, 29000, kStart + at);
    };
    CHECK(decide("a", "x", {}).decision == Decision::Send);
    CHECK(decide("b", "y", {}).decision == Decision::Send);
    const auto wait = decide("c", "y", {});
    REQUIRE(wait.decision == Decision::Wait);
    CHECK(wait.wait >= DocumentDistributor::kMinWait);
    distributor.addPeer("a", "x", 3, kStart);
    distributor.addPeer("d", "x", 3, kStart);
    distributor.addPeer("e", "y", 3, kStart);
    CHECK(decide("c", "y", milliseconds(1)).peer == "e");
    CHECK(decide("d", "x", milliseconds(1)).decision == Decision::Wait);
    // A small document is sent at once. No peer has a document of another version.
    CHECK(distributor.decide({ "f", "x", {} }, 3, 100, kStart).decision == Decision::Send);
    CHECK(distributor.decide({ "f", "x", {} }, 4, 29000, kStart).decision == Decision::Wait);
}

} // namespace
} // namespace bamboogap
