// What a router does with endpoints that leave or ask for quiet in their answers.

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "routing/testing/site.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::kStart;
using testing::prompt;
using testing::Site;

// Load pattern: a release under full load. Endpoints are replaced one after the other;
// each says in its answers that it leaves, while replicas go on telling that it is ready.
TEST_CASE("an endpoint that says that it leaves gets nothing more, whatever replicas tell")
{
    constexpr int kEngines = 8;
    Site site(kEngines);
    for (int i = 0; i < kEngines; ++i)
        site.announce(i, kStart, 0, 1);
    site.refresh(kStart);
    std::mt19937 random(1);
    Instant now = kStart;
    for (int leaver = 0; leaver < kEngines; ++leaver) {
        const std::string id = "e" + std::to_string(leaver);
        REQUIRE(site.merged.markLeaving(id, 1));
        CHECK_FALSE(site.merged.markLeaving(id, 1)); // said in every answer, news only once
        for (int request = 0; request < 200; ++request) {
            now += milliseconds(5);
            if (request % 20 == 0)
                site.announce(leaver, now, 0, 1); // a later heartbeat, ready
            site.refresh(now);
            const auto asked = prompt(random() % 50, 1000 + random());
            const auto placed = site.board.place(site.request(asked), now, 0.5);
            REQUIRE(placed);
            REQUIRE(site.idOf(placed->key) != id);
        }
        site.announce(leaver, now, 0, 2); // its successor has the id and starts anew
        site.refresh(now);
        CHECK(site.board.find(endpointKey(id))->usable);
        CHECK_FALSE(site.merged.markLeaving(id, 1)); // an answer that was on its way
        site.refresh(now);
        CHECK(site.board.find(endpointKey(id))->usable);
    }
}

// Load pattern: a service whose endpoints shed a burst, each for a time of its own.
TEST_CASE("no request goes to an endpoint while it wants none")
{
    constexpr int kEngines = 6;
    Site site(kEngines);
    std::mt19937 random(7);
    std::vector<Instant> quietUntil(kEngines, kStart);
    size_t refused = 0;
    for (int i = 0; i < 5000; ++i) {
        const Instant now = kStart + milliseconds(i);
        site.refresh(now);
        const auto asked = prompt(random() % 50, 1000 + random());
        const auto placed = site.board.place(site.request(asked), now, 0.5);
        const Instant first = *std::min_element(quietUntil.begin(), quietUntil.end());
        if (!placed) {
            ++refused;
            REQUIRE(placed.error() == PlacementProblem::Quiet);
            REQUIRE(first > now);
            REQUIRE(site.board.quietLeft("engines", now) == first - now);
            continue;
        }
        REQUIRE(site.board.quietLeft("engines", now) == Duration {});
        const int chosen = std::stoi(site.idOf(placed->key).substr(1));
        REQUIRE(now >= quietUntil[chosen]);
        if (random() % 4 > 0)
            continue;
        const milliseconds asksFor(200 + random() % 1500);
        quietUntil[chosen] = now + asksFor;
        site.board.askedForQuiet(placed->key, 0, asksFor, now);
        // Answers to requests that were on their way arrive out of order.
        site.board.askedForQuiet(placed->key, 0, milliseconds(1), now);
    }
    CHECK(refused > 0);
}

TEST_CASE("quiet ends with the incarnation that asked for it, and is bounded")
{
    Site site(1);
    site.announce(0, kStart, 0, 1);
    site.refresh(kStart);
    const auto asked = prompt(1, 2);
    const EndpointKey key = endpointKey("e0");
    site.board.askedForQuiet(key, 1, seconds(10), kStart);
    CHECK(site.board.place(site.request(asked), kStart, 0).error() == PlacementProblem::Quiet);
    site.announce(0, kStart, 0, 2);
    site.refresh(kStart);
    CHECK(site.board.place(site.request(asked), kStart, 0));
    // A late answer of the earlier incarnation.
    site.board.askedForQuiet(key, 1, seconds(10), kStart);
    CHECK(site.board.place(site.request(asked), kStart, 0));
    site.board.askedForQuiet(key, 2, std::chrono::hours(24), kStart);
    CHECK(site.board.quietLeft("engines", kStart) == QuietPeriod::kLongest);
}

} // namespace
} // namespace bamboogap
