// The limit of connection attempts, against the load pattern of endpoints that lose power.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "routing/connectlimit.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;

TEST_CASE("A request at an endpoint without power is given up before its goal has passed")
{
    ConnectLimit limit;
    for (int i = 0; i < 20; ++i)
        limit.connected(milliseconds(5));
    // Goals of 300 ms and more leave time for another endpoint.
    CHECK(limit.limit() <= milliseconds(100));
    CHECK(limit.limit() >= ConnectLimit::kLeast);
}

TEST_CASE("Endpoints in a distant region are given the time that they need")
{
    ConnectLimit limit;
    CHECK(limit.limit() == ConnectLimit::kLongest);
    limit.connected(milliseconds(160));
    CHECK(limit.limit() >= milliseconds(320));
}

TEST_CASE("When the way becomes longer, some attempts later connections are made again")
{
    ConnectLimit limit;
    limit.connected(milliseconds(5));
    int lost = 0;
    while (limit.limit() < milliseconds(200)) {
        limit.expired();
        ++lost;
        REQUIRE(lost < 5);
    }
    limit.connected(milliseconds(200));
    CHECK(limit.limit() == ConnectLimit::kLongest);
}

TEST_CASE("One slow attempt does not count forever")
{
    ConnectLimit limit;
    limit.connected(milliseconds(80));
    for (int i = 0; i < 100; ++i)
        limit.connected(milliseconds(5));
    CHECK(limit.limit() <= milliseconds(100));
}

TEST_CASE("The limit stays within its bounds and above what just succeeded")
{
    rc::prop("for any attempts", [](const std::vector<uint8_t> &steps) {
        ConnectLimit limit;
        for (const uint8_t step : steps) {
            const Duration took = milliseconds(2 * step);
            if (step % 4 == 0)
                limit.expired();
            else
                limit.connected(took);
            RC_ASSERT(limit.limit() <= ConnectLimit::kLongest);
            RC_ASSERT(limit.limit() >= ConnectLimit::kLeast);
            if (step % 4 != 0)
                RC_ASSERT(limit.limit() >= std::min<Duration>(ConnectLimit::kLongest, took));
        }
    });
}

} // namespace
} // namespace bamboogap
