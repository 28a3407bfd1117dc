// Rosters, router tables and placement logs of direct routers.

#include <catch2/catch.hpp>

#include "fleet/placementlog.h"
#include "fleet/roster.h"
#include "fleet/routertable.h"
#include "fleet/sharercount.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart { seconds(1000) };

EndpointRecord record(std::string id, uint64_t sequence, int64_t start = 1)
{
    EndpointRecord made;
    made.id = std::move(id);
    made.startMillis = start;
    made.sequence = sequence;
    made.service = "engines";
    made.address = "10.0.0.1:80";
    made.dataCentre = "dc1";
    made.slots = 8;
    return made;
}

struct Fixture
{
    ReplicaRoster roster { 7, seconds(5) };
    MergedRoster merged;
    uint64_t epoch = 0;
    uint64_t version = 0;

    void pass(Instant now, std::string_view replica = "r1")
    {
        const auto changes = roster.changesSince(epoch, version, now);
        epoch = changes.epoch;
        version = changes.version;
        merged.apply(replica, changes, now);
    }
    bool usable(std::string_view id, Instant now) const
    {
        const auto *found = merged.find(id);
        return found && merged.mayUse(*found, now);
    }
};

TEST_CASE("restored endpoints stay usable until they have had time to announce themselves")
{
    Fixture before;
    before.roster.heartbeat(record("stays", 9), kStart);
    before.roster.heartbeat(record("gone-meanwhile", 9), kStart);
    EndpointRecord draining = record("leaves", 9);
    draining.state = EndpointState::Draining;
    before.roster.heartbeat(draining, kStart);
    EndpointRecord cold = record("cold", 2);
    cold.warmupLeftMillis = 3000;
    before.roster.heartbeat(cold, kStart);

    const Instant restart = kStart + seconds(2);
    const auto restored = before.roster.records(restart);
    CHECK(restored.size() == 4);
    Fixture after;
    int port = 0;
    for (EndpointRecord known : restored) {
        known.address = "10.0.0.1:" + std::to_string(++port);
        after.roster.restore(known, restart);
    }
    after.pass(restart);
    CHECK(after.usable("stays", restart));
    CHECK_FALSE(after.usable("leaves", restart));
    CHECK(after.merged.find("cold")->coldUntil == restart + seconds(1));

    // A heartbeat takes precedence over a restored record, even if the heartbeat came first.
    EndpointRecord stays = record("stays", 10);
    stays.address = "10.0.0.1:9";
    after.roster.heartbeat(stays, restart + seconds(1));
    after.roster.restore(record("stays", 9), restart + seconds(1));
    const Instant later = restart + ReplicaRoster::kRestoredValidity + milliseconds(1);
    after.roster.tick(later);
    after.pass(later);
    after.roster.tick(later + seconds(2));
    // A router that has had no response from it stops using it as well.
    const Instant end = restart + seconds(6);
    CHECK(after.usable("stays", end));
    CHECK_FALSE(after.usable("gone-meanwhile", end));
}

// Load pattern: a replica is paused right after its start. When it resumes, its restored records
// have expired, and a router queries it before the next tick.
TEST_CASE("restored records expire by the clock, not at the next tick")
{
    Fixture fixture;
    fixture.roster.restore(record("e1", 9), kStart);
    const Instant resumed = kStart + ReplicaRoster::kRestoredValidity + milliseconds(1);
    fixture.pass(resumed);
    CHECK(fixture.merged.records(resumed + seconds(6)).empty());
    CHECK(fixture.roster.records(resumed).empty());
}

TEST_CASE("an endpoint that a replica reports alive is kept, however long it is unused")
{
    Fixture fixture;
    fixture.roster.heartbeat(record("idle", 1), kStart);
    fixture.pass(kStart);
    const Instant later = kStart + seconds(90);
    for (uint64_t sequence = 2; sequence < 90; ++sequence)
        fixture.roster.heartbeat(record("idle", sequence), kStart + seconds(sequence));
    fixture.pass(later); // heartbeats alone cause no changes
    fixture.merged.tick(later);
    CHECK(fixture.usable("idle", later));
    CHECK(fixture.merged.records(later).size() == 1);
}

TEST_CASE("a router's address is kept while its reports omit it")
{
    RouterTable routers;
    CHECK(routers.report({ "router-1", 1, "dc1", 3, "10.0.0.5:7560" }, kStart));
    CHECK(routers.report({ "router-2", 1, "dc1", 3, "" }, kStart));
    CHECK(routers.report({ "router-1", 1, "dc1", 4, "" }, kStart + seconds(1)));
    CHECK(routers.aliveAddresses(kStart + seconds(1))
          == std::vector<std::string> { "10.0.0.5:7560" });
    CHECK(routers.aliveAddresses(kStart + seconds(60)).empty());
}

TEST_CASE("a delayed heartbeat changes nothing")
{
    Fixture fixture;
    EndpointRecord draining = record("e1", 9);
    draining.state = EndpointState::Draining;
    fixture.roster.heartbeat(draining, kStart);
    fixture.roster.heartbeat(record("e1", 8), kStart + seconds(1));
    fixture.pass(kStart + seconds(1));
    CHECK_FALSE(fixture.usable("e1", kStart + seconds(1)));

    // A later incarnation restarts its sequence numbers.
    fixture.roster.heartbeat(record("e1", 1, 2), kStart + seconds(2));
    fixture.pass(kStart + seconds(2));
    CHECK(fixture.usable("e1", kStart + seconds(2)));
    fixture.roster.heartbeat(record("e1", 50, 1), kStart + seconds(3));
    fixture.pass(kStart + seconds(3));
    CHECK(fixture.merged.find("e1")->record.startMillis == 2);
}

TEST_CASE("a shutdown announced in a response is not undone by later heartbeats")
{
    Fixture fixture;
    fixture.roster.heartbeat(record("e1", 1), kStart);
    fixture.pass(kStart);
    CHECK_FALSE(fixture.roster.markLeaving("e1", 2)); // not the known incarnation
    CHECK_FALSE(fixture.roster.markLeaving("unknown", 1));
    CHECK(fixture.roster.markLeaving("e1", 1));
    CHECK_FALSE(fixture.roster.markLeaving("e1", 1));
    fixture.pass(kStart + milliseconds(10));
    CHECK_FALSE(fixture.usable("e1", kStart + milliseconds(10)));
    fixture.roster.heartbeat(record("e1", 2), kStart + seconds(1));
    fixture.pass(kStart + seconds(1));
    CHECK_FALSE(fixture.usable("e1", kStart + seconds(1)));
    fixture.roster.heartbeat(record("e1", 1, 2), kStart + seconds(2));
    fixture.pass(kStart + seconds(2));
    CHECK(fixture.usable("e1", kStart + seconds(2)));
}

TEST_CASE("a departure is final for its incarnation")
{
    Fixture fixture;
    fixture.roster.heartbeat(record("e1", 3), kStart);
    fixture.roster.leave("e1", 500, kStart + seconds(1));
    fixture.roster.heartbeat(record("e1", 4), kStart + seconds(2));
    fixture.pass(kStart + seconds(2));
    CHECK_FALSE(fixture.usable("e1", kStart + seconds(2)));
    fixture.roster.heartbeat(record("e1", 1, 600), kStart + seconds(3));
    fixture.pass(kStart + seconds(3));
    CHECK(fixture.usable("e1", kStart + seconds(3)));
}

TEST_CASE("a departure counts at a replica that has never seen the endpoint")
{
    Fixture fixture;
    fixture.roster.heartbeat(record("e1", 3, 100), kStart);
    fixture.pass(kStart, "r1");
    ReplicaRoster other(9, seconds(5));
    other.leave("e1", 500, kStart + seconds(1));
    fixture.merged.apply("r2", other.changesSince(0, 0, kStart + seconds(1)), kStart + seconds(1));
    CHECK_FALSE(fixture.usable("e1", kStart + seconds(1)));
}

TEST_CASE("an endpoint times out only when no replica sees it")
{
    Fixture fixture;
    ReplicaRoster other(9, seconds(5));
    fixture.roster.heartbeat(record("e1", 3), kStart);
    other.heartbeat(record("e1", 4), kStart + seconds(5));
    fixture.roster.tick(kStart + seconds(6));
    fixture.pass(kStart + seconds(6), "r1");
    fixture.merged.apply("r2", other.changesSince(0, 0, kStart + seconds(6)), kStart + seconds(6));
    CHECK(fixture.usable("e1", kStart + seconds(6)));

    other.tick(kStart + seconds(11));
    fixture.merged.apply("r2", other.changesSince(9, 1, kStart + seconds(11)),
                         kStart + seconds(11));
    CHECK_FALSE(fixture.usable("e1", kStart + seconds(12)));
    // A response to this router outweighs replicas that report a timeout.
    fixture.merged.recordResponse("e1", kStart + seconds(12));
    CHECK(fixture.usable("e1", kStart + seconds(12)));
}

TEST_CASE("without replicas a router keeps its endpoints for a limited time")
{
    Fixture fixture;
    fixture.roster.heartbeat(record("e1", 3), kStart);
    fixture.pass(kStart);
    CHECK(fixture.usable("e1", kStart + seconds(600)));
    // An unreachable replica no longer keeps the endpoint alive.
    fixture.merged.setReachable("r1", false);
    CHECK(fixture.usable("e1", kStart + seconds(10)));
    CHECK_FALSE(fixture.usable("e1", kStart + seconds(13)));
    // Once reachable, it need not resend its records.
    fixture.merged.setReachable("r1", true);
    CHECK(fixture.usable("e1", kStart + seconds(14)));
}

TEST_CASE("an address belongs to its newest endpoint")
{
    Fixture fixture;
    fixture.roster.heartbeat(record("e1", 3, 100), kStart);
    fixture.roster.heartbeat(record("e2", 1, 200), kStart + seconds(1));
    fixture.pass(kStart + seconds(1));
    CHECK_FALSE(fixture.usable("e1", kStart + seconds(1)));
    CHECK(fixture.usable("e2", kStart + seconds(1)));
}

TEST_CASE("unchanged heartbeats cause no messages, a new warm-up does")
{
    Fixture fixture;
    fixture.roster.heartbeat(record("e1", 1), kStart);
    fixture.pass(kStart);
    for (int i = 2; i < 10; ++i)
        fixture.roster.heartbeat(record("e1", i), kStart + seconds(i));
    CHECK(fixture.roster.changesSince(fixture.epoch, fixture.version, kStart).records.empty());
    EndpointRecord cold = record("e1", 11);
    cold.warmupLeftMillis = 3000;
    fixture.roster.heartbeat(cold, kStart + seconds(11));
    fixture.pass(kStart + seconds(11));
    CHECK(fixture.merged.find("e1")->coldUntil == kStart + seconds(14));
}

TEST_CASE("routers that timed out, left or were replaced do not count")
{
    RouterTable routers;
    for (const char *name : { "a", "b", "c" })
        CHECK(routers.report({ name, 1, "dc1", 1 }, kStart));
    CHECK(routers.aliveCount(kStart) == 3);
    CHECK(routers.rankOf("c", kStart) == 2);
    CHECK_FALSE(routers.report({ "a", 0, "dc1", 1 }, kStart)); // an earlier process
    routers.leave("b", kStart);
    CHECK(routers.aliveCount(kStart) == 2);
    const Instant later = kStart + RouterTable::kAliveTimeout + milliseconds(1);
    CHECK(routers.aliveCount(later) == 0);
}

TEST_CASE("routers that left or are cut off still count as sharers of a limit")
{
    RouterTable routers;
    routers.recall(2, false, kStart);
    const auto report = [&](Instant now) {
        for (const char *name : { "a", "b", "c" })
            routers.report({ name, 1, "dc1", 1 }, now);
    };
    report(kStart);
    CHECK(routers.sharerCount(kStart) == 0); // not all may have reported yet
    const Instant later = kStart + RouterTable::kAliveTimeout;
    CHECK(routers.sharerCount(later) == 3);
    report(later);
    routers.leave("b", later);
    CHECK(routers.aliveCount(later) == 2);
    CHECK(routers.sharerCount(later + RouterTable::kAliveTimeout) == 3);
    routers.removeExpired(later + RouterTable::kRetention + milliseconds(1));
    CHECK(routers.sharerCount(later + RouterTable::kRetention + milliseconds(1)) == 0);
}

TEST_CASE("a restarted replica counts the routers that it recalls as sharers")
{
    RouterTable routers;
    routers.recall(6, false, kStart);
    routers.report({ "a", 1, "dc1", 1 }, kStart);
    const Instant later = kStart + RouterTable::kAliveTimeout;
    CHECK(routers.sharerCount(later) == 6);
    CHECK(routers.sharerCount(kStart + RouterTable::kRetention + milliseconds(1)) == 1);
}

TEST_CASE("a replica tells whether an earlier process of a router may have run")
{
    RouterTable first;
    first.recall(0, true, kStart);
    first.report({ "a", 1, "dc1", 1 }, kStart);
    first.report({ "b", 1, "dc1", 1 }, kStart);
    CHECK(first.sharerCount(kStart) == 2);
    CHECK_FALSE(first.mayHavePredecessor("a", kStart));
    first.report({ "a", 2, "dc1", 1 }, kStart);
    CHECK(first.mayHavePredecessor("a", kStart));
    first.leave("b", kStart);
    first.report({ "b", 2, "dc1", 1 }, kStart);
    CHECK(first.mayHavePredecessor("b", kStart));

    RouterTable restarted; // its disk or its settings tell of an earlier fleet
    restarted.recall(1, true, kStart);
    restarted.report({ "a", 1, "dc1", 1 }, kStart);
    CHECK(restarted.mayHavePredecessor("a", kStart));
    CHECK(restarted.sharerCount(kStart) == 0);
    const Instant later = kStart + RouterTable::kRetention + milliseconds(1);
    CHECK_FALSE(restarted.mayHavePredecessor("c", later));
}

TEST_CASE("the largest number of sharers that was told of late counts")
{
    SharerCount sharers;
    CHECK(sharers.count(kStart) == 0);
    sharers.onReply(6, kStart);
    sharers.onReply(0, kStart + seconds(1));
    sharers.onReply(2, kStart + seconds(50));
    CHECK(sharers.count(kStart + seconds(50)) == 6);
    CHECK(sharers.count(kStart + seconds(61)) == 2);
    CHECK(sharers.count(kStart + seconds(111)) == 0);
}

TEST_CASE("routers of a large fleet stay alive over their longer report intervals")
{
    RouterTable routers;
    constexpr int kRouters = 411;
    for (int i = 0; i < kRouters; ++i)
        routers.report({ "r" + std::to_string(i), 1, "dc1", 1 }, kStart);
    constexpr auto kInterval = milliseconds(8) * kRouters; // of a router's reports to all replicas
    CHECK(routers.aliveCount(kStart + 2 * kInterval) == kRouters);
    routers.removeExpired(kStart + 2 * kInterval);
    CHECK(routers.routers().size() == kRouters);
    routers.removeExpired(kStart + std::chrono::minutes(3));
    CHECK(routers.routers().empty());
}

TEST_CASE("unpacking restores packed loads for the endpoints that the router knows")
{
    const std::vector<EndpointUse> sent { { 0x1'0000'0005, 3, 6400 },
                                          { 0x2'0000'0006, 70000, 64 * 70000 } };
    const std::string bytes = packUses(sent);
    CHECK(bytes.size() == 16);
    std::vector<EndpointUse> known { { 0x1'0000'0005, 9, 9 },
                                     { 0x2'0000'0006, 0, 0 },
                                     { 7, 8, 8 } };
    unpackUses(bytes + "odd", known);
    CHECK(known[0] == sent[0]);
    CHECK(known[1] == EndpointUse { 0x2'0000'0006, 65535, 64 * 65535 });
    CHECK(known[2] == EndpointUse { 7, 0, 0 });
}

// Load pattern: a thousand endpoints register while routers start. Replies to router heartbeats
// must not be delayed by full rosters.
TEST_CASE("a large roster is sent in parts that add up to it")
{
    ReplicaRoster roster(5, seconds(5));
    constexpr size_t kEndpoints = 200;
    for (size_t i = 0; i < kEndpoints; ++i)
        roster.heartbeat(record("e" + std::to_string(i), 1, 1), kStart);
    MergedRoster merged;
    uint64_t epoch = 4;
    uint64_t version = 99; // of an earlier process of the replica
    for (int round = 1; round <= 4; ++round) {
        const auto changes = roster.changesSince(epoch, version, kStart, 64);
        CHECK(changes.full == (round == 1));
        CHECK(changes.records.size() <= 64);
        merged.apply("r", changes, kStart);
        epoch = changes.epoch;
        version = changes.version;
        // A known endpoint changes again while the rest has not been sent yet.
        roster.heartbeat(record("e0", 1, 1 + round), kStart);
        roster.leave("e1", 100 + round, kStart);
    }
    CHECK(merged.endpoints().size() == kEndpoints);
    merged.apply("r", roster.changesSince(epoch, version, kStart, 64), kStart);
    CHECK(merged.endpoints().at("e1").record.state == EndpointState::Gone);
    CHECK(roster.changesSince(epoch, roster.version(), kStart, 64).records.empty());
}

// Load pattern: all routers start at once. Without distribution, the first replica to respond would
// have to send the load of the others to all of them.
TEST_CASE("routers are distributed over the replicas that send them the others' load")
{
    std::vector<std::string> replicas;
    for (int i = 1; i <= 5; ++i)
        replicas.push_back("10.1.0." + std::to_string(i) + ":7400");
    std::map<std::string, int> routersOf;
    std::map<std::string, std::string> before;
    for (int i = 0; i < 400; ++i) {
        const std::string router = "edge-" + std::to_string(i);
        before[router] = reportTargetOf(router, replicas);
        ++routersOf[before[router]];
    }
    for (const std::string &replica : replicas) {
        CHECK(routersOf[replica] >= 40);
        CHECK(routersOf[replica] <= 120);
    }
    const std::string lost = replicas.back();
    replicas.pop_back();
    for (const auto &[router, target] : before) {
        if (target != lost)
            CHECK(reportTargetOf(router, replicas) == target);
    }
    CHECK(reportTargetOf("edge-1", {}).empty());
}

// Load pattern: a thousand endpoints, a hundred routers and a 6 Mbit/s link.
TEST_CASE("messages with the other routers' load stay within the bandwidth limit")
{
    RouterTable routers;
    routers.report({ "a", 1, "dc1", 1 }, kStart);
    constexpr size_t kBytes = 8000;
    size_t sentBytes = 0;
    for (Instant now = kStart; now < kStart + seconds(20); now += milliseconds(250))
        sentBytes += routers.maySendUses("a", kBytes, now) ? kBytes : 0;
    CHECK(sentBytes <= 20 * RouterTable::kUsesBytesPerSecond + kBytes);
    CHECK(sentBytes > 0);
    CHECK_FALSE(routers.maySendUses("unknown", 8, kStart));
    // In a small fleet the load is sent in reply to every report.
    routers.report({ "b", 1, "dc1", 1 }, kStart);
    for (Instant now = kStart; now < kStart + seconds(5); now += milliseconds(250))
        CHECK(routers.maySendUses("b", 480, now));
}

TEST_CASE("a placement log returns the other routers' placements once")
{
    PlacementLog log;
    log.add("a", { 1, { { 10, 100 } } });
    log.add("b", { 2, { { 20, 100 } } });
    uint64_t seen = 0;
    CHECK(log.since(seen, "a", 10) == std::vector<PromptPlacement> { { 2, { { 20, 100 } } } });
    CHECK(log.since(seen, "a", 10).empty());
    for (size_t i = 0; i < PlacementLog::kMaxEntries + 5; ++i)
        log.add("b", { i, {} });
    const auto newest = log.since(seen, "a", 100);
    REQUIRE(newest.size() == 100);
    CHECK(newest.back().endpoint == PlacementLog::kMaxEntries + 4);
    CHECK(log.since(seen, "a", 100).empty());
    // After a restart of the replica its versions start at zero again.
    PlacementLog restarted;
    restarted.add("b", { 7, {} });
    CHECK(restarted.since(seen, "a", 10).size() == 1);
    CHECK(seen == 1);
}

} // namespace
} // namespace bamboogap
