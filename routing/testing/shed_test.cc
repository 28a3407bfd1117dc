// Endpoints that announce in their responses that they leave, or that ask for a back-off.

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "routing/testing/selectorfixture.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::kStart;
using testing::prompt;
using testing::SelectorFixture;

// A release under full load: endpoints are replaced one after the other. Each announces in
// its responses that it leaves, while the replicas still report it as ready.
TEST_CASE("an endpoint that announces that it leaves gets no requests, whatever replicas report")
{
    constexpr int kEngines = 8;
    SelectorFixture fixture(kEngines);
    for (int i = 0; i < kEngines; ++i)
        fixture.announce(i, kStart, 0, 1);
    fixture.refresh(kStart);
    std::mt19937 random(1);
    Instant now = kStart;
    for (int leaving = 0; leaving < kEngines; ++leaving) {
        const std::string id = "e" + std::to_string(leaving);
        REQUIRE(fixture.merged.markLeaving(id, 1));
        CHECK_FALSE(fixture.merged.markLeaving(id, 1)); // in every response; reported once
        for (int request = 0; request < 200; ++request) {
            now += milliseconds(5);
            if (request % 20 == 0)
                fixture.announce(leaving, now, 0, 1); // a later heartbeat that still says ready
            fixture.refresh(now);
            const auto promptParts = prompt(random() % 50, 1000 + random());
            const auto placed = fixture.selector.place(fixture.request(promptParts), now, 0.5);
            REQUIRE(placed);
            REQUIRE(fixture.idOf(placed->key) != id);
        }
        fixture.announce(leaving, now, 0, 2); // a new incarnation with the same id
        fixture.refresh(now);
        CHECK(fixture.selector.find(endpointKey(id))->usable);
        CHECK_FALSE(fixture.merged.markLeaving(
                id, 1)); // a response of the old incarnation that arrives late
        fixture.refresh(now);
        CHECK(fixture.selector.find(endpointKey(id))->usable);
    }
}

// All endpoints of a service shed load, each for a different time.
TEST_CASE("no request goes to an endpoint during its back-off")
{
    constexpr int kEngines = 6;
    SelectorFixture fixture(kEngines);
    std::mt19937 random(7);
    std::vector<Instant> backoffUntil(kEngines, kStart);
    size_t rejected = 0;
    for (int i = 0; i < 5000; ++i) {
        const Instant now = kStart + milliseconds(i);
        fixture.refresh(now);
        const auto promptParts = prompt(random() % 50, 1000 + random());
        const auto placed = fixture.selector.place(fixture.request(promptParts), now, 0.5);
        const Instant first = *std::min_element(backoffUntil.begin(), backoffUntil.end());
        if (!placed) {
            ++rejected;
            REQUIRE(placed.error() == PlacementProblem::Backoff);
            REQUIRE(first > now);
            REQUIRE(fixture.selector.backoffLeft("engines", now) == first - now);
            continue;
        }
        REQUIRE(fixture.selector.backoffLeft("engines", now) == Duration {});
        const int chosen = std::stoi(fixture.idOf(placed->key).substr(1));
        REQUIRE(now >= backoffUntil[chosen]);
        if (random() % 4 > 0)
            continue;
        const milliseconds requested(200 + random() % 1500);
        backoffUntil[chosen] = now + requested;
        fixture.selector.onBackoffRequested(placed->key, 0, requested, now);
        // Answers to concurrent requests arrive out of order.
        fixture.selector.onBackoffRequested(placed->key, 0, milliseconds(1), now);
    }
    CHECK(rejected > 0);
}

TEST_CASE("a back-off ends with the incarnation that asked for it, and is bounded")
{
    SelectorFixture fixture(1);
    fixture.announce(0, kStart, 0, 1);
    fixture.refresh(kStart);
    const auto promptParts = prompt(1, 2);
    const EndpointKey key = endpointKey("e0");
    fixture.selector.onBackoffRequested(key, 1, seconds(10), kStart);
    CHECK(fixture.selector.place(fixture.request(promptParts), kStart, 0).error()
          == PlacementProblem::Backoff);
    fixture.announce(0, kStart, 0, 2);
    fixture.refresh(kStart);
    CHECK(fixture.selector.place(fixture.request(promptParts), kStart, 0));
    // A late response of the earlier incarnation.
    fixture.selector.onBackoffRequested(key, 1, seconds(10), kStart);
    CHECK(fixture.selector.place(fixture.request(promptParts), kStart, 0));
    fixture.selector.onBackoffRequested(key, 2, std::chrono::hours(24), kStart);
    CHECK(fixture.selector.backoffLeft("engines", kStart) == BackoffPeriod::kMaxDuration);
}

} // namespace
} // namespace bamboogap
