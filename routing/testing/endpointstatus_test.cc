// How long a router keeps what it knows of an endpoint whose heartbeats fail for a time.

#include <catch2/catch.hpp>

#include "routing/testing/selectorfixture.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::kStart;
using testing::prompt;
using testing::SelectorFixture;

constexpr int64_t kBorn = 1000;

// Two engines of which the first one's heartbeats can fail.
struct PausedEndpoint
{
    SelectorFixture fixture { 0 };
    EndpointKey key = endpointKey("e0");

    PausedEndpoint()
    {
        fixture.announce(0, kStart, 0, kBorn);
        fixture.announce(1, kStart, 0, kBorn);
        fixture.refresh(kStart);
    }

    // Plays the time until `end` without a heartbeat of the first engine.
    void pauseUntil(Instant end)
    {
        for (Instant now = kStart; now <= end; now += seconds(1)) {
            fixture.announce(1, now, 0, kBorn);
            fixture.replicaRoster.tick(now);
            fixture.merged.tick(now);
            fixture.refresh(now);
        }
    }

    void comeBack(Instant now, int64_t startMillis = kBorn)
    {
        fixture.announce(0, now, 0, startMillis);
        fixture.refresh(now);
    }

    // Requests of many different prompts that are placed on the first engine.
    int placed(Instant now)
    {
        int count = 0;
        for (uint64_t document = 100; document < 200; ++document) {
            const auto parts = prompt(document, 1);
            const auto placement = fixture.selector.place(fixture.request(parts), now, 0.5);
            count += placement && placement->key == key;
        }
        return count;
    }

    // Whether the first engine takes a request that the second one may not get.
    bool takesRequests(Instant now)
    {
        const auto parts = prompt(100, 1);
        const std::set<EndpointKey> second { endpointKey("e1") };
        PlacementRequest request = fixture.request(parts);
        request.excluded = &second;
        return fixture.selector.place(request, now, 0.5).has_value();
    }
};

// A back-off that an endpoint had asked for used to end when its heartbeats failed for the
// heartbeat timeout: the router then dropped its status (review/10, rule BUDGET).
TEST_CASE("a back-off outlives a pause of the endpoint's heartbeats")
{
    for (const auto pause : { seconds(1), seconds(6), seconds(30), seconds(150) }) {
        CAPTURE(pause.count());
        PausedEndpoint endpoint;
        const Duration backoff = pause + seconds(9);
        endpoint.fixture.selector.onBackoffRequested(endpoint.key, kBorn, backoff, kStart);
        endpoint.pauseUntil(kStart + pause);
        endpoint.comeBack(kStart + pause);
        REQUIRE(endpoint.fixture.selector.find(endpoint.key)->usable);
        CHECK(endpoint.placed(kStart + pause) == 0);
        CHECK_FALSE(endpoint.takesRequests(kStart + pause));
        CHECK_FALSE(endpoint.takesRequests(kStart + backoff - milliseconds(1)));
        CHECK(endpoint.takesRequests(kStart + backoff));
    }
}

TEST_CASE("a back-off ends with the endpoint's incarnation")
{
    PausedEndpoint endpoint;
    endpoint.fixture.selector.onBackoffRequested(endpoint.key, kBorn, seconds(60), kStart);
    endpoint.pauseUntil(kStart + seconds(6));
    endpoint.comeBack(kStart + seconds(6), kBorn + 6000);
    CHECK(endpoint.takesRequests(kStart + seconds(6)));
}

// An endpoint on probation gets one request at a time until one succeeds; late heartbeats used to
// end the probation.
TEST_CASE("a probation outlives a pause of the endpoint's heartbeats")
{
    PausedEndpoint endpoint;
    EndpointSelector &selector = endpoint.fixture.selector;
    for (uint32_t i = 0; i < EndpointHealth::kBreaksToEject; ++i) {
        selector.onStarted(endpoint.key, endpoint.fixture.request({}), 0);
        selector.onEnded(endpoint.key, 0, false, Outcome::Broken, milliseconds(5), kStart);
    }
    const Instant back = kStart + seconds(10);
    endpoint.pauseUntil(back);
    endpoint.comeBack(back);
    REQUIRE(selector.find(endpoint.key)->usable);
    CHECK(selector.find(endpoint.key)->health.onProbation(back));
    selector.onStarted(endpoint.key, endpoint.fixture.request({}), 0);
    CHECK(endpoint.placed(back) == 0);
}

TEST_CASE("the status of an endpoint that has left is dropped")
{
    PausedEndpoint endpoint;
    endpoint.fixture.replicaRoster.leave("e0", kBorn + 1000, kStart);
    endpoint.fixture.refresh(kStart);
    CHECK(endpoint.fixture.selector.find(endpoint.key) == nullptr);
}

} // namespace
} // namespace bamboogap
