// Which limit of an endpoint holds, by observations that come in any order.

#include <algorithm>
#include <map>
#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "fleet/endpointratelimits.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr EndpointKey kKey = 7;
const Instant kStart { seconds(1000) };

Instant at(int64_t millis)
{
    return kStart + milliseconds(millis);
}

LimitObservation named(double perSecond, int64_t sent, int64_t answered, int64_t born = 1)
{
    return { kKey, born, perSecond, at(sent), at(answered) };
}

LimitObservation unnamed(int64_t sent, int64_t answered, int64_t born = 1)
{
    return { kKey, born, std::nullopt, at(sent), at(answered) };
}

TEST_CASE("a limit holds until an answer to a later request does not name it")
{
    EndpointRateLimits limits;
    CHECK_FALSE(limits.observe(unnamed(0, 10)));
    CHECK(limits.observe(named(3, 20, 30)));
    CHECK(limits.limitOf(kKey, 1) == 3.0);
    CHECK_FALSE(limits.limitOf(kKey, 2));
    CHECK_FALSE(limits.limitOf(kKey + 1, 1));
    CHECK_FALSE(limits.observe(named(3, 35, 40)));
    CHECK_FALSE(limits.observe(unnamed(39, 50))); // may have been answered before the limit
    CHECK(limits.limitOf(kKey, 1) == 3.0);
    CHECK(limits.observe(unnamed(41, 60)));
    CHECK_FALSE(limits.limitOf(kKey, 1));
    CHECK_FALSE(limits.observe(named(3, 20, 55))); // reported late
    CHECK_FALSE(limits.limitOf(kKey, 1));
}

TEST_CASE("a limit changes with the latest answer and in small steps, too")
{
    EndpointRateLimits limits;
    limits.observe(named(100, 0, 10));
    CHECK_FALSE(limits.observe(named(101, 20, 30)));
    CHECK_FALSE(limits.observe(named(102, 30, 40)));
    CHECK(limits.observe(named(103, 40, 50)));
    CHECK(limits.limitOf(kKey, 1) == 103.0);
    CHECK(limits.observe(named(0, 50, 60)));
    CHECK(limits.limitOf(kKey, 1) == 0.0);
    CHECK_FALSE(limits.observe(named(50, 40, 55))); // older
    CHECK(limits.limitOf(kKey, 1) == 0.0);
}

TEST_CASE("a limit ends with the incarnation that named it")
{
    EndpointRateLimits limits;
    limits.observe(named(3, 0, 10));
    CHECK(limits.observe(unnamed(5, 20, 2)));
    CHECK_FALSE(limits.limitOf(kKey, 2));
    CHECK_FALSE(limits.observe(named(3, 25, 30)));
    limits.observe(named(4, 30, 40, 2));
    uint64_t version = limits.version();
    CHECK(limits.observe(named(4, 50, 60, 3))); // the same limit of another incarnation
    const auto changes = limits.changesSince(version, 10);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].startMillis == 3);
    limits.expire(at(60) + EndpointRateLimits::kRetention);
    CHECK(limits.limitOf(kKey, 3) == 4.0);
    limits.expire(at(61) + EndpointRateLimits::kRetention);
    CHECK_FALSE(limits.limitOf(kKey, 3));
}

// Endpoints begin and end limits; routers observe some of the answers and report them late and in
// any order. Once all reports are in, replica and router know what the endpoints said last, and
// the router was told in changes only.
TEST_CASE("observations in any order lead to the limits of the last answers", "[fuzz]")
{
    rc::prop("router, replica and endpoints agree", [](uint16_t seed) {
        std::mt19937 random(seed);
        EndpointRateLimits replica(1 + random());
        EndpointRateLimits router;
        uint64_t known = 0;
        std::map<EndpointKey, std::optional<double>> truth;
        std::vector<LimitObservation> late;
        const auto tell = [&] {
            size_t count = 0;
            do {
                const auto changes = replica.changesSince(known, 3);
                count = changes.size();
                for (const LimitObservation &change : changes)
                    router.observe(change);
            } while (count == 3);
        };
        for (int64_t now = 0; now < 20000; now += 50) {
            const EndpointKey key = random() % 5;
            std::optional<double> &limit = truth[key];
            if (random() % 20 == 0) {
                limit = random() % 2 == 0 ? std::nullopt
                                          : std::optional<double>(1.0 + random() % 50);
            }
            late.push_back({ key, 1, limit, at(now + 5), at(now + 45) });
            std::shuffle(late.begin(), late.end(), random);
            for (size_t i = 0; i < late.size() / 2; ++i) {
                replica.observe(late.back());
                late.pop_back();
            }
            if (random() % 3 == 0)
                tell();
        }
        for (const LimitObservation &observation : late)
            replica.observe(observation);
        for (const auto &[key, limit] : truth) {
            // One answer more of each, after all others.
            replica.observe({ key, 1, limit, at(30000), at(30040) });
        }
        tell();
        for (const auto &[key, limit] : truth) {
            const auto found = replica.limitOf(key, 1);
            RC_ASSERT(found.has_value() == limit.has_value());
            if (limit) {
                const double larger = std::max(*found, *limit);
                RC_ASSERT(std::abs(*found - *limit) <= EndpointRateLimits::kTolerance * larger);
            }
            RC_ASSERT(router.limitOf(key, 1) == found);
        }
    });
}

} // namespace
} // namespace bamboogap
