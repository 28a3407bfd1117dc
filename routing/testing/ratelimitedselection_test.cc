// Selection among endpoints that have named rate limits.

#include <algorithm>
#include <map>
#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "base/hash.h"
#include "routing/testing/selectorfixture.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::kStart;
using testing::prompt;
using testing::SelectorFixture;

const SharePosition kAlone { 1, 0, kStart + seconds(1000) };

struct LimitedFixture : SelectorFixture
{
    using SelectorFixture::SelectorFixture;

    EndpointRateLimits limits;

    void limit(const std::string &id, std::optional<double> perSecond, Instant now = kStart)
    {
        limits.observe({ endpointKey(id), 0, perSecond, now, now + milliseconds(1) });
        selector.setRateLimits(limits, kAlone, now);
    }
};

TEST_CASE("what is over an endpoint's limit goes to the others")
{
    LimitedFixture fixture(2);
    fixture.limit("e0", 2);
    const auto parts = prompt(7, 1);
    std::map<std::string, int> placed;
    for (int64_t i = 0; i < 100; ++i) {
        const Instant now = kStart + milliseconds(40 * i);
        const auto placement = fixture.selector.place(fixture.request(parts), now, 0.5);
        REQUIRE(placement);
        ++placed[fixture.idOf(placement->key)];
    }
    CHECK(placed["e0"] <= 8); // in four seconds
    CHECK(placed["e1"] >= 92);
}

TEST_CASE("a request that is over the limits of all endpoints is told when its turn is")
{
    LimitedFixture fixture(2);
    fixture.limit("e0", 2);
    fixture.limit("e1", 1);
    const auto parts = prompt(7, 1);
    const PlacementRequest request = fixture.request(parts);
    const auto placement = fixture.selector.place(request, kStart, 0.5);
    REQUIRE_FALSE(placement);
    CHECK(placement.error() == PlacementProblem::RateLimited);
    const auto turn = [&](size_t ahead) {
        return toMillis(fixture.selector.rateLimitedUntil(request, ahead, kStart) - kStart);
    };
    CHECK(turn(0) == 500);
    CHECK(turn(1) == 1000);
    CHECK(turn(2) == 1000);
    CHECK(turn(3) == 1500);
    CHECK(turn(5) == 2000);
    const std::set<EndpointKey> tried { endpointKey("e0") };
    PlacementRequest again = request;
    again.excluded = &tried;
    CHECK(fixture.selector.rateLimitedUntil(again, 0, kStart) == kStart + seconds(1));
    CHECK(fixture.selector.place(request, kStart + milliseconds(500), 0.5));
    CHECK_FALSE(fixture.selector.place(request, kStart + milliseconds(501), 0.5));
    fixture.limit("e1", std::nullopt, kStart + seconds(1));
    CHECK(fixture.selector.rateLimitedUntil(request, 0, kStart) == kStart);
    CHECK(fixture.selector.place(request, kStart + milliseconds(502), 0.5));
}

TEST_CASE("a limit holds for the incarnation that named it")
{
    LimitedFixture fixture(1);
    fixture.limit("e0", 1);
    const auto parts = prompt(7, 1);
    CHECK_FALSE(fixture.selector.place(fixture.request(parts), kStart, 0.5));
    fixture.announce(0, kStart + seconds(1), 0, 5);
    fixture.refresh(kStart + seconds(1));
    fixture.selector.setRateLimits(fixture.limits, kAlone, kStart + seconds(1));
    CHECK(fixture.selector.place(fixture.request(parts), kStart + seconds(1), 0.5));
}

// Otherwise both of the others are above the limit of the load, and only the least loaded is
// selected.
TEST_CASE("endpoints with a limit do not lower the load that the others may have")
{
    LimitedFixture fixture(8);
    for (int i = 0; i < 6; ++i)
        fixture.limit("e" + std::to_string(i), 0.5);
    const auto parts = prompt(7, 1);
    for (int i = 0; i < 60; ++i) {
        const std::string id = i < 38 ? "e6" : "e7";
        fixture.selector.onStarted(endpointKey(id), fixture.request(parts), 0);
    }
    std::map<std::string, int> placed;
    for (uint64_t document = 100; document < 160; ++document) {
        const auto other = prompt(document, document);
        const auto placement = fixture.selector.place(fixture.request(other), kStart, 0.5);
        REQUIRE(placement);
        ++placed[fixture.idOf(placement->key)];
    }
    CHECK(placed["e6"] > 15);
    CHECK(placed["e7"] > 15);
}

// A router of a large fleet has shares of few limits: they are seldom among the first in a prompt's
// order.
TEST_CASE("a share of a limit is used if the other endpoints are loaded")
{
    LimitedFixture fixture(30);
    fixture.limit("e7", 1);
    const auto parts = prompt(7, 1);
    for (int i = 0; i < 30; ++i) {
        const std::string id = "e" + std::to_string(i);
        for (int running = 0; running < 60 && i != 7; ++running)
            fixture.selector.onStarted(endpointKey(id), fixture.request(parts), 300);
    }
    int used = 0;
    for (uint64_t document = 100; document < 120; ++document) {
        const Instant now = kStart + seconds(2 * (document - 99));
        const auto other = prompt(document, document);
        const auto placement = fixture.selector.place(fixture.request(other), now, 0.5);
        REQUIRE(placement);
        used += fixture.idOf(placement->key) == "e7";
    }
    CHECK(used == 20);
}

// Many routers, each with a share of the limits of many endpoints, and more requests than all
// endpoints take.
TEST_CASE("the routers of a large fleet keep the limits together", "[fuzz]")
{
    rc::prop("no endpoint gets more than is allowed, and all get most of their limits",
             [](uint16_t seed) {
                 constexpr uint32_t kRouters = 60;
                 constexpr int kEndpoints = 12;
                 std::mt19937 random(seed);
                 const double perSecond = 1 + double(random() % 50) / 10;
                 std::vector<LimitedFixture> routers;
                 for (uint32_t rank = 0; rank < kRouters; ++rank) {
                     LimitedFixture &router = routers.emplace_back(kEndpoints);
                     for (int i = 0; i < kEndpoints; ++i) {
                         router.limits.observe({ endpointKey("e" + std::to_string(i)), 0, perSecond,
                                                 kStart, kStart + milliseconds(1) });
                     }
                     router.selector.setRateLimits(
                             router.limits, { kRouters, rank, kStart + seconds(1000) }, kStart);
                 }
                 std::map<EndpointKey, std::vector<Instant>> sent;
                 for (Instant now = kStart; now < kStart + seconds(12); now += milliseconds(2)) {
                     LimitedFixture &router = routers[random() % kRouters];
                     const auto parts = prompt(random() % 20, random());
                     const auto placement = router.selector.place(router.request(parts), now, 0.5);
                     if (placement)
                         sent[placement->key].push_back(now);
                 }
                 for (const auto &[key, times] : sent) {
                     size_t first = 0;
                     for (size_t last = 0; last < times.size(); ++last) {
                         while (times[last] - times[first] > seconds(4))
                             ++first;
                         RC_ASSERT(double(last - first + 1) <= 6 * perSecond + 5);
                     }
                     RC_ASSERT(double(times.size()) >= 0.6 * 12 * perSecond);
                 }
                 RC_ASSERT(sent.size() == size_t { kEndpoints });
             });
}

} // namespace
} // namespace bamboogap
