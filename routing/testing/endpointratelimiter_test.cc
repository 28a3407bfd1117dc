// Routers that share the rate limit of an endpoint, against an exact count of what they send.

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "base/hash.h"
#include "routing/endpointratelimiter.h"
#include "routing/endpointselector.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart { seconds(1000) };
constexpr Duration kWindow = seconds(4);
constexpr Duration kStep = milliseconds(10);
constexpr Duration kReport = milliseconds(250);
constexpr Duration kAlive = seconds(3); // a router without a report, for the leader

// What the platform allows in a window.
double allowed(double perSecond)
{
    return 1.5 * 4 * perSecond + 5;
}

TEST_CASE("the shares of all routers add up to the limit")
{
    for (const uint32_t routers : { 1U, 2U, 6U, 7U, 83U, 195U, 411U }) {
        for (const double perSecond : { 0.0, 0.3, 1.0, 2.5, 4.7, 10.0, 64.0, 300.0 }) {
            for (uint64_t endpoint = 1; endpoint <= 50; ++endpoint) {
                double sum = 0;
                size_t holders = 0;
                for (uint32_t rank = 0; rank < routers; ++rank) {
                    const double share = rateShare(perSecond, combineHashes(endpoint, 7),
                                                   { routers, rank, {} });
                    sum += share;
                    holders += share > 0;
                    CHECK((share == 0 || holders == 1
                           || share >= 0.999 * EndpointRateLimiter::kLeastRouterRate));
                }
                const double limit = std::max(perSecond, EndpointRateLimiter::kLeastLimit);
                CHECK(sum == Approx(limit));
                // All that hold a share may send at once, after a pause.
                CHECK(4 * sum + double(holders) <= allowed(perSecond));
            }
        }
    }
}

TEST_CASE("few shares move when a router comes")
{
    size_t moved = 0;
    size_t shares = 0;
    constexpr uint32_t kRouters = 60;
    for (uint64_t endpoint = 1; endpoint <= 200; ++endpoint) {
        const uint64_t key = combineHashes(endpoint, 7);
        for (uint32_t rank = 0; rank < kRouters; ++rank) {
            // The new router's name is the last one.
            const bool before = rateShare(3, key, { kRouters, rank, {} }) > 0;
            const bool after = rateShare(3, key, { kRouters + 1, rank, {} }) > 0;
            shares += before;
            moved += before != after;
        }
    }
    CHECK(moved < shares / 4);
}

TEST_CASE("a share begins empty, and is spent one request at a time")
{
    EndpointRateLimiter limiter;
    CHECK(limiter.maySend(kStart));
    const SharePosition alone { 1, 0, kStart + seconds(100) };
    limiter.setLimit(1, 5, alone, kStart);
    CHECK_FALSE(limiter.maySend(kStart + milliseconds(999)));
    CHECK(limiter.maySend(kStart + milliseconds(1001)));
    CHECK(limiter.sendTime(2, kStart) - limiter.sendTime(0, kStart) == seconds(2));
    limiter.onSent(kStart + seconds(10)); // nothing was saved up
    CHECK_FALSE(limiter.maySend(kStart + milliseconds(10900)));
    // A process that was paused does not use a share that it held before.
    CHECK(limiter.sendTime(0, kStart + seconds(99)) == kStart + seconds(11));
    CHECK(limiter.sendTime(0, kStart + seconds(100)) == kStart + seconds(14));
    limiter.setLimit(3, 5, {}, kStart + seconds(10)); // the leader is not known
    CHECK(limiter.sendTime(0, kStart) == Instant::max());
    limiter.setLimit(std::nullopt, 5, {}, kStart + seconds(10));
    CHECK(limiter.maySend(kStart + seconds(10)));
}

// Routers come, go, restart, are paused and cut off from the leader, which counts a router without
// a report as alive for three seconds. Each sends whenever it may.
TEST_CASE("routers that restart, are paused and cut off keep the limit together", "[fuzz]")
{
    rc::prop("no window has more than is allowed", [](uint16_t seed) {
        struct Router
        {
            bool up = true;
            Instant cutUntil {};
            Instant reportedAt {};
            Instant pausedUntil {};
            SharePosition position;
            EndpointRateLimiter limiter;
        };
        std::mt19937 random(seed);
        std::vector<Router> routers(2 + random() % 10);
        const double perSecond = 0.5 + double(random() % 120) / 10;
        const uint64_t endpoint = combineHashes(random(), 7);
        const size_t trouble = random() % 3; // none, a few, many events
        std::deque<Instant> sent;
        size_t total = 0;
        constexpr Duration kDay = seconds(60);
        for (Instant now = kStart; now < kStart + kDay; now += kStep) {
            if (trouble > 0 && random() % 1000 == 0) { // a partition
                for (size_t i = 1 + random() % routers.size(); i < routers.size(); ++i)
                    routers[i].cutUntil = now + milliseconds(random() % 12000);
            }
            for (size_t i = 0; i < routers.size(); ++i) {
                Router &router = routers[i];
                const auto event = random() % 100000;
                if (trouble > 0 && event < 30 * trouble) {
                    router.up = !router.up;
                    if (router.up) {
                        router = {}; // knows nothing of before
                        router.reportedAt = now - kAlive * 2;
                    }
                } else if (trouble > 0 && event < 45 * trouble) {
                    router.cutUntil = now + milliseconds(random() % 8000);
                } else if (trouble > 0 && event < 60 * trouble) {
                    router.pausedUntil = now + milliseconds(random() % 8000);
                }
                if (!router.up || now < router.pausedUntil)
                    continue;
                if (now >= router.cutUntil && now - router.reportedAt >= kReport) {
                    router.reportedAt = now;
                    const auto isAlive = [now](const Router &other) {
                        return now - other.reportedAt <= kAlive;
                    };
                    const auto self = routers.begin() + static_cast<std::ptrdiff_t>(i);
                    router.position.routers = static_cast<uint32_t>(
                            std::count_if(routers.begin(), routers.end(), isAlive));
                    router.position.rank
                            = static_cast<uint32_t>(std::count_if(routers.begin(), self, isAlive));
                    router.position.confirmedUntil = now + kAlive;
                }
                router.limiter.setLimit(perSecond, endpoint, router.position, now);
                if (!router.limiter.maySend(now))
                    continue;
                router.limiter.onSent(now);
                sent.push_back(now);
                ++total;
            }
            while (!sent.empty() && now - sent.front() > kWindow)
                sent.pop_front();
            // The first report of all makes the shares; the platform allows a few seconds.
            if (now - kStart > seconds(8))
                RC_ASSERT(double(sent.size()) <= allowed(perSecond));
        }
        if (trouble == 0)
            RC_ASSERT(double(total) > 0.75 * perSecond * 60);
    });
}

} // namespace
} // namespace bamboogap
