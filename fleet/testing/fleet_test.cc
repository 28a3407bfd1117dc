// Leases, views, ownership and the endpoint registry: routers and leaders that communicate through
// lost, delayed and reordered messages, freeze, restart and have drifting clocks.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <functional>

#include "fleet/coordinator.h"
#include "fleet/member.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Required bound: no new requests this long after a data centre was taken out or an endpoint
// announced that it leaves.
constexpr Duration kOutOfServiceBound = seconds(5);

Announcement engine(const std::string &id, const std::string &dataCentre)
{
    Announcement announcement;
    announcement.id = id;
    announcement.incarnation = 1;
    announcement.sequence = 1;
    announcement.dataCentre = dataCentre;
    announcement.address = "127.0.0.1:1";
    announcement.offers.push_back({ "m1", "", "" });
    announcement.capacity = 8;
    return announcement;
}

// A fleet whose control group is reduced to one committed state and one leader at a time.
// (control/testing/raft_test checks that there is only one leader at a time.)
struct FleetSimulation
{
    struct RouterNode
    {
        std::unique_ptr<Member> member;
        uint64_t incarnation = 1;
        double rate = 1.0;
        bool up = true;
        bool frozen = false;
        bool disconnected = false; // neither receives nor sends messages
        Instant heartbeatDue {};
        std::vector<HeartbeatReply> receivedWhileFrozen;
        Revision highest = 0;
    };

    explicit FleetSimulation(uint64_t seed, size_t routers = 5, size_t endpoints = 9)
        : random(seed)
    {
        settings.endpoints.heartbeatTimeout = seconds(2);
        settings.lostLoadRetention = seconds(2);
        for (size_t i = 0; i < routers; ++i) {
            RouterNode node;
            std::uniform_real_distribution<double> drift(1 - settings.maxDrift / 2,
                                                         1 + settings.maxDrift / 2);
            node.rate = drift(random);
            nodes.push_back(std::move(node));
            restart(i);
        }
        for (size_t i = 0; i < endpoints; ++i)
            announced.push_back(engine("e" + std::to_string(i), "dc" + std::to_string(i % 3)));
        newLeader();
    }

    Instant local(const RouterNode &node) const
    {
        const auto nanos = static_cast<Duration::rep>(
                static_cast<double>(now.time_since_epoch().count()) * node.rate);
        return Instant(Duration(nanos));
    }

    void newLeader()
    {
        ++term;
        coordinator = std::make_unique<Coordinator>(settings, term, state.view(), now);
        leaderUp = true;
    }

    void restart(size_t i)
    {
        RouterNode &node = nodes[i];
        ++node.incarnation;
        node.member = std::make_unique<Member>(
                RouterInfo { "r" + std::to_string(i), node.incarnation,
                             "dc" + std::to_string(i % 3), "10.0.0." + std::to_string(i) + ":1" });
        node.up = true;
        node.frozen = false;
        node.highest = 0;
        node.receivedWhileFrozen.clear();
    }

    void sendDelayed(std::function<void()> action)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        if (chance(random) < lossRate)
            return;
        const int copies = chance(random) < 0.05 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
            events.emplace(now + Duration(random() % (maxDelay.count() + 1)), action);
    }

    void sendHeartbeat(size_t i)
    {
        RouterNode &node = nodes[i];
        const Heartbeat heartbeat = node.member->makeHeartbeat(local(node));
        if (node.disconnected)
            return;
        sendDelayed([this, i, heartbeat] {
            if (!leaderUp)
                return;
            // The tests that run whole processes cover the wire format.
            const HeartbeatReply reply = coordinator->heartbeat(heartbeat, state, now);
            sendDelayed([this, i, reply] { receiveReply(i, reply); });
        });
    }

    void receiveReply(size_t i, const HeartbeatReply &reply)
    {
        RouterNode &node = nodes[i];
        if (!node.up || node.disconnected)
            return;
        if (node.frozen) {
            node.receivedWhileFrozen.push_back(reply);
            return;
        }
        const MemberUpdate update = node.member->receive(reply, local(node));
        if (update.heartbeatNow)
            node.heartbeatDue = local(node);
    }

    void unfreeze(size_t i)
    {
        RouterNode &node = nodes[i];
        node.frozen = false;
        const auto held = std::move(node.receivedWhileFrozen);
        node.receivedWhileFrozen.clear();
        for (const HeartbeatReply &reply : held)
            receiveReply(i, reply);
    }

    void step()
    {
        now += milliseconds(20);
        while (!events.empty() && events.begin()->first <= now) {
            const auto action = events.begin()->second;
            events.erase(events.begin());
            action();
        }
        for (size_t i = 0; i < nodes.size(); ++i) {
            RouterNode &node = nodes[i];
            if (!node.up || node.frozen || local(node) < node.heartbeatDue)
                continue;
            node.heartbeatDue = local(node) + milliseconds(500);
            sendHeartbeat(i);
        }
        // Each endpoint announces itself to a random router that is able to receive.
        for (const Announcement &announcement : announced) {
            if (random() % 15 != 0)
                continue;
            RouterNode &node = nodes[random() % nodes.size()];
            if (node.up && !node.frozen && !node.disconnected)
                node.member->recordAnnouncement(announcement, local(node));
        }
        if (leaderUp) {
            if (auto view = coordinator->tick(state, now, 0))
                state.apply(*view);
        }
    }

    // Routers that would send requests to the endpoint now.
    std::vector<size_t> owners(const std::string &endpoint)
    {
        std::vector<size_t> found;
        for (size_t i = 0; i < nodes.size(); ++i) {
            RouterNode &node = nodes[i];
            if (node.up && !node.frozen && node.member->owns(endpoint, local(node))
                && node.member->usable(endpoint))
                found.push_back(i);
        }
        return found;
    }

    void run(Duration length, const std::function<void()> &check = nullptr)
    {
        const Instant end = now + length;
        while (now < end) {
            step();
            if (check)
                check();
        }
    }

    void takeOut(const std::string &dataCentre)
    {
        Change change;
        change.id = "change-" + std::to_string(state.lists().revision);
        change.base = state.lists().revision;
        change.kind = ChangeKind::DataCentreOut;
        change.name = dataCentre;
        state.apply(ChangeListsCommand { change });
        outSince[dataCentre] = now;
    }

    void bringBack(const std::string &dataCentre)
    {
        Change change;
        change.id = "change-" + std::to_string(state.lists().revision);
        change.base = state.lists().revision;
        change.kind = ChangeKind::DataCentreIn;
        change.name = dataCentre;
        state.apply(ChangeListsCommand { change });
        outSince.erase(dataCentre);
    }

    // Checks the promised invariants at the current moment.
    void check()
    {
        for (const Announcement &announcement : announced) {
            const auto owning = owners(announcement.id);
            RC_ASSERT(owning.size() <= 1);
            const auto out = outSince.find(announcement.dataCentre);
            if (out != outSince.end() && now - out->second > kOutOfServiceBound)
                RC_ASSERT(owning.empty());
            const auto leaving = leavingSince.find(announcement.id);
            if (leaving != leavingSince.end() && now - leaving->second > kOutOfServiceBound)
                RC_ASSERT(owning.empty());
        }
        for (RouterNode &node : nodes) {
            if (!node.up)
                continue;
            const Revision revision = node.member->lists().revision;
            RC_ASSERT(revision >= node.highest);
            node.highest = revision;
        }
    }

    std::mt19937_64 random;
    CoordinatorSettings settings;
    ControlState state;
    std::unique_ptr<Coordinator> coordinator;
    bool leaderUp = true;
    uint64_t term = 0;
    Instant now { seconds(1000) };
    std::vector<RouterNode> nodes;
    std::vector<Announcement> announced;
    std::multimap<Instant, std::function<void()>> events;
    double lossRate = 0;
    Duration maxDelay = milliseconds(30);
    std::map<std::string, Instant> outSince;
    std::map<std::string, Instant> leavingSince;
};

TEST_CASE("routers join, and each endpoint gets one owner in its data centre", "[fleet]")
{
    FleetSimulation fleet(1);
    fleet.run(seconds(8));
    CHECK(fleet.state.view().routers.size() == 5);
    for (const Announcement &announcement : fleet.announced) {
        const auto owners = fleet.owners(announcement.id);
        REQUIRE(owners.size() == 1);
        CHECK("dc" + std::to_string(owners[0] % 3) == announcement.dataCentre);
    }
}

TEST_CASE("an owner that was frozen sends nothing when it resumes", "[fleet][promise-3][promise-7]")
{
    FleetSimulation fleet(2);
    fleet.run(seconds(8));
    const std::string endpoint = fleet.announced[0].id;
    const size_t owner = fleet.owners(endpoint).at(0);
    fleet.nodes[owner].frozen = true;
    fleet.run(seconds(10));
    REQUIRE(fleet.owners(endpoint).size() == 1); // another router took over
    fleet.nodes[owner].frozen = false; // it has received no message yet
    CHECK_FALSE(fleet.nodes[owner].member->owns(endpoint, fleet.local(fleet.nodes[owner])));
}

TEST_CASE("no requests go to a data centre that is out, even if the owner is disconnected",
          "[fleet][promise-3]")
{
    FleetSimulation fleet(3);
    fleet.run(seconds(8));
    const size_t owner = fleet.owners("e0").at(0);
    fleet.nodes[owner].disconnected = true;
    fleet.takeOut("dc0");
    fleet.run(kOutOfServiceBound);
    fleet.run(seconds(20), [&] {
        for (const Announcement &announcement : fleet.announced) {
            if (announcement.dataCentre == "dc0")
                REQUIRE(fleet.owners(announcement.id).empty());
        }
    });
    fleet.bringBack("dc0");
    fleet.run(seconds(5));
    CHECK(fleet.owners("e0").size() == 1);
}

TEST_CASE("a leaving endpoint gets no requests after the bound", "[fleet][promise-7]")
{
    FleetSimulation fleet(4);
    fleet.run(seconds(8));
    REQUIRE(fleet.owners("e0").size() == 1);
    fleet.announced[0].leaving = true;
    ++fleet.announced[0].sequence;
    fleet.run(kOutOfServiceBound);
    CHECK(fleet.owners("e0").empty());
    // It returns as a new incarnation.
    fleet.announced[0].leaving = false;
    ++fleet.announced[0].incarnation;
    fleet.run(seconds(5));
    CHECK(fleet.owners("e0").size() == 1);
}

TEST_CASE("a new leader moves no endpoint while an unknown router may hold a lease",
          "[fleet][promise-3]")
{
    FleetSimulation fleet(5);
    fleet.run(seconds(8));
    fleet.newLeader();
    CHECK(fleet.coordinator->activeEpoch(fleet.state, fleet.now) == 0);
    fleet.run(fleet.settings.lease * 2);
    CHECK(fleet.coordinator->activeEpoch(fleet.state, fleet.now) == fleet.state.view().epoch);
}

TEST_CASE("endpoints stay in service during a change of leader", "[fleet]")
{
    FleetSimulation fleet(6);
    fleet.run(seconds(8));
    fleet.leaderUp = false;
    fleet.run(seconds(1));
    fleet.newLeader();
    fleet.run(seconds(5), [&] {
        for (const Announcement &announcement : fleet.announced)
            REQUIRE(fleet.owners(announcement.id).size() == 1);
    });
}

// Work moves between routers all the time. Each sum in a reply must be a load that was present at
// the time of a sample, not a mix of loads from different moments.
TEST_CASE("all loads in a sum are from the same moment", "[fleet][fuzz][promise-1]")
{
    rc::prop("samples", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        ControlState state;
        Instant now { seconds(1000) };
        Coordinator coordinator({}, 1, state.view(), now);
        std::vector<RouterInfo> routers;
        for (int i = 0; i < 4; ++i)
            routers.push_back({ "r" + std::to_string(i), 1, "dc", std::to_string(i) });
        std::vector<uint32_t> running(4, 6);
        std::vector<uint64_t> sequence(4, 0);
        std::vector<uint64_t> sampleOf(4, 0);
        std::vector<uint32_t> sampledLoad(4, 0);
        uint64_t sample = 0;
        for (int step = 0; step < 500; ++step) {
            now += milliseconds(10);
            if (step % 10 == 0) {
                sample = coordinator.beginSample();
                // All routers take the sample at the same time; their reports arrive later.
                for (size_t i = 0; i < 4; ++i) {
                    sampleOf[i] = random() % 8 == 0 ? sampleOf[i] : sample;
                    sampledLoad[i] = running[i];
                }
            }
            const size_t from = random() % 4;
            const size_t to = random() % 4;
            if (running[from] > 0) {
                --running[from];
                ++running[to];
            }
            const size_t i = random() % 4;
            Heartbeat heartbeat;
            heartbeat.router = routers[i];
            heartbeat.sequence = ++sequence[i];
            heartbeat.leaderTerm = 1;
            heartbeat.sample = sampleOf[i];
            heartbeat.pools.push_back({ 7, sampledLoad[i] });
            const HeartbeatReply reply = coordinator.heartbeat(heartbeat, state, now);
            for (const PoolLoad &load : reply.pools)
                RC_ASSERT(load.running <= 24U);
            if (auto view = coordinator.tick(state, now, 0))
                state.apply(*view);
        }
    });
}

TEST_CASE("a flapping endpoint is held down for longer each time", "[fleet]")
{
    RegistrySettings settings;
    EndpointRegistry endpoints(settings, 1);
    Instant now { seconds(1000) };
    Announcement announcement = engine("e", "dc");
    std::vector<Duration> downtimes;
    for (int flap = 0; flap < 6; ++flap) {
        ++announcement.incarnation;
        const Instant back = now;
        while (endpoints.entries().empty()) {
            endpoints.observe({ endpointKey("e"), digestOf(announcement), 0, announcement }, now);
            now += milliseconds(100);
        }
        downtimes.push_back(now - back);
        now += settings.heartbeatTimeout + seconds(1);
        endpoints.tick(now);
        REQUIRE(endpoints.entries().empty());
    }
    CHECK(downtimes[0] < seconds(1));
    CHECK(downtimes[1] < seconds(1));
    CHECK(downtimes[3] > downtimes[2]);
    CHECK(downtimes[5] <= settings.maxHoldDown + seconds(1));
}

TEST_CASE("late and older announcements do not bring an endpoint back", "[fleet][promise-7]")
{
    EndpointRegistry endpoints({}, 1);
    const Instant now { seconds(1000) };
    Announcement older = engine("e", "dc");
    Announcement leaving = older;
    leaving.leaving = true;
    leaving.sequence = 2;
    endpoints.observe({ endpointKey("e"), digestOf(older), 0, older }, now);
    endpoints.observe({ endpointKey("e"), digestOf(leaving), 0, leaving }, now);
    endpoints.observe({ endpointKey("e"), digestOf(older), 0, older }, now);
    REQUIRE(endpoints.entries().size() == 1);
    CHECK(endpoints.entries().begin()->second.announcement.leaving);
}

TEST_CASE("registry deltas add up to the full registry", "[fleet][fuzz]")
{
    rc::prop("deltas", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        EndpointRegistry endpoints({}, 1);
        Instant now { seconds(1000) };
        std::map<Slot, RegistryEntry> copy;
        uint64_t version = 0;
        for (int i = 0; i < 200; ++i) {
            now += milliseconds(random() % 1500);
            Announcement announcement = engine("e" + std::to_string(random() % 6), "dc");
            announcement.sequence = static_cast<uint64_t>(i);
            endpoints.observe(
                    { endpointKey(announcement.id), digestOf(announcement), 0, announcement }, now);
            endpoints.tick(now);
            if (random() % 3 != 0)
                continue;
            const RegistryDelta delta = endpoints.deltaSince(1, version);
            if (delta.full)
                copy.clear();
            for (const Slot slot : delta.removed)
                copy.erase(slot);
            for (const RegistryEntry &entry : delta.changed)
                copy[entry.slot] = entry;
            version = delta.version;
            RC_ASSERT(copy == endpoints.entries());
        }
    });
}

// Regression test: a router that announced its shutdown and then sent no more heartbeats was
// removed after the retention time of lost load, which was shorter than its lease.
TEST_CASE("a router that left may hold its lease longer than its load is counted",
          "[fleet][promise-3]")
{
    FleetSimulation fleet(7);
    fleet.settings.lostLoadRetention = milliseconds(100);
    fleet.newLeader();
    fleet.run(seconds(8));
    const size_t owner = fleet.owners("e0").at(0);
    fleet.nodes[owner].member->leave();
    // The leader learns that the router is leaving; the router does not receive the new view.
    fleet.sendHeartbeat(owner);
    const Instant end = fleet.now + milliseconds(40);
    while (fleet.now < end)
        fleet.step();
    fleet.nodes[owner].disconnected = true;
    fleet.run(seconds(5), [&] { REQUIRE(fleet.owners("e0").size() <= 1); });
}

// Random histories that combine all faults.
TEST_CASE("random histories of the fleet", "[fleet][fuzz][promise-3][promise-7][promise-9]")
{
    rc::prop("one owner, no requests to what is out, revisions never decrease", [](uint64_t seed) {
        FleetSimulation fleet(seed);
        fleet.run(seconds(6), [&] { fleet.check(); });
        fleet.lossRate = 0.1;
        auto &random = fleet.random;
        for (int turn = 0; turn < 60; ++turn) {
            const size_t i = random() % fleet.nodes.size();
            auto &node = fleet.nodes[i];
            const std::string dataCentre = "dc" + std::to_string(random() % 3);
            switch (random() % 14) {
            case 0:
                node.up = false;
                break;
            case 1:
            case 2:
                if (!node.up)
                    fleet.restart(i);
                break;
            case 3:
                node.frozen = node.up;
                break;
            case 4:
                if (node.frozen)
                    fleet.unfreeze(i);
                break;
            case 5:
                node.disconnected = true;
                break;
            case 6:
            case 7:
                node.disconnected = false;
                break;
            case 8:
                fleet.leaderUp = false;
                break;
            case 9:
                fleet.newLeader();
                break;
            case 10:
                if (!fleet.outSince.count(dataCentre))
                    fleet.takeOut(dataCentre);
                break;
            case 11:
                if (fleet.outSince.count(dataCentre))
                    fleet.bringBack(dataCentre);
                break;
            case 12:
                node.member->leave();
                break;
            default:
                fleet.maxDelay = milliseconds(5 + random() % 600);
                break;
            }
            fleet.run(milliseconds(random() % 1500), [&] { fleet.check(); });
        }
    });
}

} // namespace
} // namespace bamboogap
