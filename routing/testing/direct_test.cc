// Decisions of a direct router: routes, endpoint selection, health, the warm-up rate limit
// and retries.

#include <random>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "routing/eventstream.h"
#include "routing/retrywindow.h"
#include "routing/testing/selectorfixture.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::content;
using testing::kStart;
using testing::prompt;
using testing::SelectorFixture;

TEST_CASE("the longest prefix of the host wins")
{
    const auto table = RouteTable::build(content());
    REQUIRE(table);
    CHECK(table->match("a.example", "/x/y/z")->name == "r2");
    CHECK(table->match("a.example", "/x/yz")->name == "r1");
    CHECK(table->match("a.example", "/xy/") == nullptr);
    CHECK(table->match("b.example", "/x/") == nullptr);
    CHECK(table->workspaceOfKey("k2")->name == "w1");
    CHECK(table->workspaceOfKey("k4") == nullptr);
    const Route &split = *table->match("a.example", "/x/y/z");
    CHECK(targetAt(split, 0.74).service == "engines");
    CHECK(targetAt(split, 0.76).service == "plain");
}

TEST_CASE("an invalid table is rejected with a message that names the entry")
{
    const auto rejected = [](auto change) {
        RouteTable::Content result = content();
        change(result);
        const auto built = RouteTable::build(result);
        return built ? std::string() : built.error().message;
    };
    CHECK(rejected([](auto &result) { result.routes[0].targets[0].service = "none"; })
          == "route 'r1': there is no service 'none'");
    CHECK(rejected([](auto &result) { result.routes[1].prefix = "/x/"; }).find("'r2'")
          != std::string::npos);
    CHECK(rejected([](auto &result) { result.routes[0].targets[0].weight = 0; })
          == "route 'r1': the weights add up to 0");
    CHECK(rejected([](auto &result) { result.routes[0].timeout = {}; })
          == "route 'r1': the timeout is 0");
    CHECK(rejected([](auto &result) { (*result.workspaces)[1].keys.push_back("k1"); })
          == "workspaces 'w1' and 'w2' share a key");
    CHECK(rejected([](auto &result) { result.routes[0].prefix = "/x"; }).find("slash")
          != std::string::npos);
}

// Many short requests share long prompt prefixes and arrive at routers that do not know each
// other's placements.
TEST_CASE("routers place a shared prompt at the same endpoint")
{
    SelectorFixture first(8);
    SelectorFixture second(8);
    for (uint64_t document = 100; document < 140; ++document) {
        const auto a = prompt(document, 1);
        const auto b = prompt(document, 2);
        const auto placedA = first.selector.place(first.request(a), kStart, 0.1);
        const auto placedB = second.selector.place(second.request(b), kStart, 0.9);
        REQUIRE(placedA);
        REQUIRE(placedB);
        CHECK(placedA->key == placedB->key);
    }
}

// Pending tokens must not accumulate when requests end, with or without a first token.
TEST_CASE("pending tokens are subtracted as they were added")
{
    SelectorFixture fixture(4);
    for (uint64_t i = 0; i < 200; ++i) {
        const auto promptParts = prompt(100 + i % 5, 1000 + i);
        const auto placed = fixture.selector.place(fixture.request(promptParts), kStart, 0.5);
        REQUIRE(placed);
        fixture.selector.onStarted(placed->key, fixture.request(promptParts),
                                   placed->uncachedTokens);
        const bool first = i % 3 != 0;
        if (first)
            fixture.selector.onFirstToken(placed->key, placed->uncachedTokens, placed->cost,
                                          milliseconds(20));
        fixture.selector.onEnded(placed->key, placed->uncachedTokens, first,
                                 first ? Outcome::Succeeded : Outcome::Abandoned, milliseconds(50),
                                 kStart);
    }
    for (const auto &[key, status] : fixture.selector.statuses()) {
        CHECK(status.pendingTokens == 0);
        CHECK(status.running == 0);
    }
}

TEST_CASE("a prompt stays at its endpoint when new endpoints join")
{
    SelectorFixture fixture(4);
    std::map<uint64_t, EndpointKey> places;
    for (uint64_t document = 100; document < 130; ++document) {
        const auto promptParts = prompt(document, 1);
        const auto placed = fixture.selector.place(fixture.request(promptParts), kStart, 0.5);
        places[document] = placed->key;
        if (document % 2 == 0) { // the other prompts were sent by other routers
            fixture.selector.onStarted(placed->key, fixture.request(promptParts),
                                       placed->uncachedTokens);
            fixture.selector.onEnded(placed->key, placed->uncachedTokens, false, Outcome::Succeeded,
                                     milliseconds(5), kStart);
        }
    }
    const Instant later = kStart + seconds(30);
    for (int i = 4; i < 8; ++i)
        fixture.announce(i, later);
    fixture.refresh(later);
    for (const auto &[document, key] : places) {
        const auto again = prompt(document, 2);
        CHECK(fixture.selector.place(fixture.request(again), later, 0.5)->key == key);
    }
}

// Load: one prompt gets much of the traffic.
TEST_CASE("a frequent prompt is sent to more endpoints before one exceeds the load bound")
{
    SelectorFixture fixture(6);
    for (uint64_t i = 0; i < 120; ++i) {
        const auto promptParts = prompt(100, 1000 + i);
        const auto placed = fixture.selector.place(fixture.request(promptParts), kStart, 0.3);
        REQUIRE(placed);
        fixture.selector.onStarted(placed->key, fixture.request(promptParts),
                                   placed->uncachedTokens);
        double sum = 0;
        uint32_t most = 0;
        for (const auto &[key, status] : fixture.selector.statuses()) {
            sum += status.load();
            most = std::max(most, status.load());
        }
        CHECK(most <= 2 * sum / 6 + 3);
    }
}

// A prompt in use was sent to another endpoint; routers that received the report must use
// that one, too.
TEST_CASE("routers use the placements reported by others")
{
    SelectorFixture first(8);
    SelectorFixture second(8);
    const auto promptParts = prompt(100, 1);
    const std::set<EndpointKey> excluded {
        first.selector.place(first.request(promptParts), kStart, 0)->key
    };
    PlacementRequest moved = first.request(promptParts);
    moved.excluded = &excluded;
    const auto placed = first.selector.place(moved, kStart, 0);
    REQUIRE(placed);
    first.selector.onStarted(placed->key, moved, placed->uncachedTokens);
    first.selector.onStarted(placed->key, moved, placed->uncachedTokens); // not reported again
    const auto placements = first.selector.takePlacements();
    REQUIRE(placements.size() == 1);
    CHECK(placements[0].parts.size() == 2); // without the request's own part
    CHECK(first.selector.takePlacements().empty());

    const auto other = prompt(100, 2);
    CHECK(second.selector.place(second.request(other), kStart, 0)->key != placed->key);
    second.selector.addPlacements(placements);
    CHECK(second.selector.place(second.request(other), kStart, 0)->key == placed->key);
}

// Seventy routers use loads that are half a second old. An engine that was idle then must
// not get the requests of all of them.
TEST_CASE("routers with the same outdated loads do not all select the same engine")
{
    constexpr size_t kRouters = 70;
    constexpr int kEngines = 60;
    std::vector<SelectorFixture> routers(kRouters, SelectorFixture(kEngines));
    std::vector<EndpointUse> others;
    for (int i = 1; i < kEngines; ++i)
        others.push_back({ endpointKey("e" + std::to_string(i)), 4, 0 });
    std::map<EndpointKey, int> added;
    for (size_t i = 0; i < kRouters; ++i) {
        routers[i].selector.setOtherUses(others);
        for (uint64_t k = 0; k < 3; ++k) {
            const auto promptParts = prompt(1000 + i * 3 + k, 1);
            const auto placed
                    = routers[i].selector.place(routers[i].request(promptParts), kStart, 0.5);
            routers[i].selector.onStarted(placed->key, routers[i].request(promptParts),
                                          placed->uncachedTokens);
            ++added[placed->key];
        }
    }
    // 210 requests for 60 engines; the limit applies to all requests that run there.
    for (const auto &[key, count] : added) {
        const int before = key == endpointKey("e0") ? 0 : 4;
        CHECK(before + count <= 2 * (4 + 210.0 / kEngines) + 3);
    }
}

// The same for prompts whose primary endpoints are at the load limit.
TEST_CASE("prompts whose primary endpoints are full do not all go to the same engine")
{
    constexpr size_t kRouters = 70;
    constexpr int kEngines = 60;
    std::vector<SelectorFixture> routers(kRouters, SelectorFixture(kEngines));
    std::vector<EndpointUse> others;
    for (int i = 0; i < kEngines; ++i) // a third of the engines is far above the mean
        others.push_back({ endpointKey("e" + std::to_string(i)), i % 3 == 0 ? 30U : 4U, 3000 });
    others[1] = { endpointKey("e1"), 0, 0 };
    std::map<EndpointKey, int> added;
    for (size_t i = 0; i < kRouters; ++i) {
        routers[i].selector.setOtherUses(others);
        const auto promptParts = prompt(1000 + i, 1);
        const auto placed = routers[i].selector.place(routers[i].request(promptParts), kStart, 0.5);
        ++added[placed->key];
    }
    for (const auto &[key, count] : added)
        CHECK(count <= 10);
}

// A data centre is out of service while the others take its load. The mean in the load limit
// must include all engines that are alive.
TEST_CASE("engines of a data centre out of service count for the mean")
{
    SelectorFixture fixture(12); // every second engine is in dc2
    fixture.dataCentresOut = { "dc2" };
    fixture.refresh(kStart);
    std::vector<EndpointUse> others;
    for (int i = 0; i < 12; i += 2)
        others.push_back({ endpointKey("e" + std::to_string(i)), i == 0 ? 7U : 3U, 0 });
    fixture.selector.setOtherUses(others);
    // 22 requests on 12 engines: another one on e0 would make 8, above the limit of 2 x 1.8
    // + 3.
    for (uint64_t document = 100; document < 200; ++document) {
        const auto promptParts = prompt(document, 1);
        CHECK(fixture.idOf(fixture.selector.place(fixture.request(promptParts), kStart, 0.5)->key)
              != "e0");
    }
}

// The same for a plain service with few endpoints.
TEST_CASE("plain requests are distributed over endpoints with similar load")
{
    SelectorFixture fixture(0);
    for (int i = 0; i < 3; ++i) {
        EndpointRecord record;
        record.id = "p" + std::to_string(i);
        record.sequence = 1;
        record.service = "plain";
        record.address = "10.0.1." + std::to_string(i + 1) + ":80";
        record.dataCentre = "dc1";
        record.slots = 6;
        fixture.replicaRoster.heartbeat(record, kStart);
    }
    fixture.refresh(kStart);
    fixture.selector.setOtherUses(
            std::vector<EndpointUse> { { endpointKey("p1"), 2, 0 }, { endpointKey("p2"), 2, 0 } });
    PlacementRequest request;
    request.service = "plain";
    request.dataCentre = "dc1";
    std::map<EndpointKey, int> placed;
    for (int i = 0; i < 300; ++i)
        ++placed[fixture.selector.place(request, kStart, i / 300.0)->key];
    CHECK(placed[endpointKey("p0")] <= 210); // two of the three pairs contain the least loaded one
    CHECK(placed[endpointKey("p0")] >= 150);
    CHECK(placed.size() == 3);
}

TEST_CASE("an engine copies from the one that has the prompt cached")
{
    SelectorFixture fixture(4);
    const auto promptParts = prompt(100, 1);
    const auto placed = fixture.selector.place(fixture.request(promptParts), kStart, 0);
    CHECK(placed->copyFrom.empty());
    fixture.selector.onStarted(placed->key, fixture.request(promptParts), placed->uncachedTokens);
    const std::set<EndpointKey> excluded { placed->key };
    PlacementRequest elsewhere = fixture.request(promptParts);
    elsewhere.excluded = &excluded;
    const auto copied = fixture.selector.place(elsewhere, kStart, 0);
    CHECK(copied->copyFrom == fixture.selector.find(placed->key)->address);
    fixture.selector.onStarted(copied->key, elsewhere, copied->uncachedTokens);
    CHECK(fixture.selector.place(elsewhere, kStart, 0)->copyFrom.empty());
}

TEST_CASE("a draining engine gets no request, but its cache can be copied")
{
    SelectorFixture fixture(4);
    const auto promptParts = prompt(100, 1);
    const auto placed = fixture.selector.place(fixture.request(promptParts), kStart, 0);
    fixture.selector.onStarted(placed->key, fixture.request(promptParts), placed->uncachedTokens);
    fixture.selector.onEnded(placed->key, placed->uncachedTokens, false, Outcome::Succeeded,
                             milliseconds(5), kStart);
    EndpointRecord draining = fixture.merged.find(fixture.idOf(placed->key))->record;
    draining.state = EndpointState::Draining;
    draining.sequence = ++fixture.sequence;
    fixture.replicaRoster.heartbeat(draining, kStart);
    fixture.refresh(kStart);
    const auto next = fixture.selector.place(fixture.request(promptParts), kStart, 0);
    REQUIRE(next);
    CHECK(next->key != placed->key);
    CHECK(next->copyFrom == draining.address);
}

TEST_CASE("endpoints that drain, are out of service or were tried get no request")
{
    SelectorFixture fixture(2);
    const auto promptParts = prompt(100, 1);
    fixture.dataCentresOut = { "dc1" };
    fixture.refresh(kStart);
    for (int i = 0; i < 10; ++i)
        CHECK(fixture.idOf(
                      fixture.selector.place(fixture.request(promptParts), kStart, i / 10.0)->key)
              == "e1");
    PlacementRequest again = fixture.request(promptParts);
    const std::set<EndpointKey> tried { endpointKey("e1") };
    again.excluded = &tried;
    CHECK(fixture.selector.place(again, kStart, 0).error() == PlacementProblem::NoEndpoint);

    // After the outage the endpoint counts as cold for the warm-up time.
    fixture.dataCentresOut.clear();
    fixture.refresh(kStart);
    CHECK(fixture.selector.find(endpointKey("e0"))->coldUntil == kStart + seconds(3));
}

TEST_CASE("the warm-up rate limit holds for every fleet size")
{
    for (const uint32_t routers : { 1U, 3U, 7U, 40U, 410U }) {
        constexpr double kSustainable = 12;
        uint32_t sent = 0;
        std::vector<WarmupRateLimiter> limiters(routers);
        for (Instant now = kStart; now < kStart + seconds(1); now += milliseconds(5)) {
            for (uint32_t rank = 0; rank < routers; ++rank)
                sent += limiters[rank].tryAcquire(kSustainable, { routers, rank }, 77, now);
        }
        // Bound on the requests of all routers in one second.
        CHECK(sent <= kSustainable * 1.5 + 5);
        CHECK(sent > 0);
    }
}

TEST_CASE("only cold endpoints left: requests are rejected once the warm-up rate is used up")
{
    SelectorFixture fixture(0);
    fixture.announce(0, kStart, 3000);
    fixture.refresh(kStart);
    const auto promptParts = prompt(100, 1);
    REQUIRE(fixture.selector.place(fixture.request(promptParts), kStart, 0));
    CHECK(fixture.selector.place(fixture.request(promptParts), kStart, 0).error()
          == PlacementProblem::Cold);
    CHECK(fixture.selector.place(fixture.request(promptParts), kStart + seconds(1), 0));
}

// An endpoint breaks part of its requests while its health check passes.
TEST_CASE("an endpoint that breaks requests is ejected and readmitted one request at a time")
{
    SelectorFixture fixture(5);
    const EndpointKey bad = endpointKey("e0");
    bool ejected = false;
    for (int i = 0; i < 3; ++i) {
        fixture.selector.onStarted(bad, fixture.request({}), 0);
        ejected = fixture.selector.onEnded(bad, 0, false, Outcome::Broken, milliseconds(5), kStart);
    }
    CHECK(ejected);
    for (uint64_t document = 100; document < 200; ++document) {
        const auto promptParts = prompt(document, 1);
        CHECK(fixture.selector.place(fixture.request(promptParts), kStart, 0.5)->key != bad);
    }
    const Instant later = kStart + EndpointHealth::kFirstEjection + milliseconds(1);
    CHECK(fixture.selector.find(bad)->health.onProbation(later));
    fixture.selector.onStarted(bad, fixture.request({}), 0);
    CHECK(fixture.selector.onEnded(bad, 0, false, Outcome::Broken, milliseconds(5), later));
    CHECK(fixture.selector.find(bad)->health.isEjected(later + EndpointHealth::kFirstEjection));
    const Instant last = later + 2 * EndpointHealth::kFirstEjection + milliseconds(1);
    fixture.selector.onStarted(bad, fixture.request({}), 0);
    fixture.selector.onEnded(bad, 0, true, Outcome::Succeeded, milliseconds(5), last);
    CHECK_FALSE(fixture.selector.find(bad)->health.onProbation(last));
}

// All endpoints of a service fail equally often.
TEST_CASE("endpoints that fail like their peers are not ejected, and some always stay")
{
    SelectorFixture fixture(10);
    std::mt19937 random(5);
    for (int i = 0; i < 3000; ++i) {
        const EndpointKey key = endpointKey("e" + std::to_string(random() % 10));
        const Instant now = kStart + milliseconds(i * 3);
        fixture.selector.onStarted(key, fixture.request({}), 0);
        const Outcome outcome = random() % 100 < 45 ? Outcome::Failed : Outcome::Succeeded;
        fixture.selector.onEnded(key, 0, true, outcome, milliseconds(5), now);
        int ejected = 0;
        for (const auto &[other, status] : fixture.selector.statuses())
            ejected += status.health.isEjected(now);
        REQUIRE(ejected <= 4);
    }
}

TEST_CASE("retries of all routers stay within the fleet's limit in every window")
{
    constexpr uint32_t kRouters = 6;
    RetryWindowSettings settings { 0.2, 52, seconds(10) };
    std::vector<RetryWindow> routers(kRouters, RetryWindow(settings));
    std::vector<Instant> retries;
    std::vector<Instant> requests;
    std::mt19937 random(3);
    for (Instant now = kStart; now < kStart + seconds(40); now += milliseconds(10)) {
        RetryWindow &router = routers[random() % kRouters];
        const bool burst = (now - kStart) % seconds(20) < seconds(6);
        for (int i = 0; i < (burst ? 3 : 1); ++i) {
            router.onRequest(now);
            requests.push_back(now);
            while (router.take(kRouters, now).granted)
                retries.push_back(now);
        }
    }
    const auto within = [](const std::vector<Instant> &list, Instant from, Duration length) {
        return std::count_if(list.begin(), list.end(),
                             [&](Instant at) { return at >= from && at < from + length; });
    };
    REQUIRE_FALSE(retries.empty());
    for (Instant from = kStart; from < kStart + seconds(30); from += milliseconds(100)) {
        const double most
                = std::max({ within(requests, from, settings.window),
                             within(requests, from - settings.window, settings.window),
                             within(requests, from - settings.window / 2, settings.window) });
        CHECK(within(retries, from, settings.window) <= settings.ratio * most + settings.slack);
    }
}

// Compares the estimate with a list of the inserted parts, most recent first.
TEST_CASE("the estimate of a prefix cache evicts the least recently used part", "[fuzz]")
{
    rc::prop("cachedTokens() agrees with a plain model", [](uint16_t seed) {
        constexpr uint64_t kCapacity = 3000;
        std::mt19937 random(seed);
        PrefixCache cache(kCapacity);
        std::vector<std::pair<std::vector<uint64_t>, uint32_t>> model; // chain and tokens
        for (int i = 0; i < 60; ++i) {
            std::vector<PrefixPart> promptParts { { random() % 3, 200 },
                                                  { 10 + random() % 6, 500 } };
            if (random() % 2)
                promptParts.push_back({ 100 + random() % 50, 100 });
            uint32_t expected = 0;
            std::vector<uint64_t> chain;
            for (const PrefixPart &part : promptParts) {
                chain.push_back(part.id);
                const auto found = std::find_if(model.begin(), model.end(), [&](const auto &item) {
                    return item.first == chain;
                });
                if (found == model.end())
                    break;
                expected += part.tokens;
            }
            RC_ASSERT(cache.cachedTokens(chainOf(promptParts)) == expected);
            cache.insert(chainOf(promptParts));
            chain.clear();
            for (const PrefixPart &part : promptParts) {
                chain.push_back(part.id);
                std::erase_if(model, [&](const auto &item) { return item.first == chain; });
                model.insert(model.begin(), { chain, part.tokens });
            }
            const auto total = [&] {
                uint64_t sum = 0;
                for (const auto &item : model)
                    sum += item.second;
                return sum;
            };
            while (total() > kCapacity)
                model.pop_back();
            RC_ASSERT(cache.tokens() == total());
        }
    });
}

TEST_CASE("an event stream records the id to resume from")
{
    EventStream events;
    CHECK(events.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.lastId() == "1");
    CHECK(events.hasPartial());
    CHECK(events.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(events.lastId() == "2");
    CHECK_FALSE(events.hasPartial());
}

} // namespace
} // namespace bamboogap
