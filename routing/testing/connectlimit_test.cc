// The limit on connection attempts, which protects requests from endpoints that lost power:
// connecting to one hangs.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "routing/connectlimit.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;

TEST_CASE("An attempt to connect to an endpoint without power is abandoned within the latency goal")
{
    ConnectLimit limit;
    for (int i = 0; i < 20; ++i)
        limit.onConnected(milliseconds(5));
    // Latency goals of 300 ms and more leave time to try another endpoint.
    CHECK(limit.limit() <= milliseconds(100));
    CHECK(limit.limit() >= ConnectLimit::kMinLimit);
}

TEST_CASE("The limit allows connections to a distant region")
{
    ConnectLimit limit;
    CHECK(limit.limit() == ConnectLimit::kMaxLimit);
    limit.onConnected(milliseconds(160));
    CHECK(limit.limit() >= milliseconds(320));
}

TEST_CASE("After the round trip becomes longer, connections succeed after a few attempts")
{
    ConnectLimit limit;
    limit.onConnected(milliseconds(5));
    int timeouts = 0;
    while (limit.limit() < milliseconds(200)) {
        limit.onTimeout();
        ++timeouts;
        REQUIRE(timeouts < 5);
    }
    limit.onConnected(milliseconds(200));
    CHECK(limit.limit() == ConnectLimit::kMaxLimit);
}

TEST_CASE("One slow attempt does not count forever")
{
    ConnectLimit limit;
    limit.onConnected(milliseconds(80));
    for (int i = 0; i < 100; ++i)
        limit.onConnected(milliseconds(5));
    CHECK(limit.limit() <= milliseconds(100));
}

TEST_CASE("The limit stays within its bounds and above the latest successful attempt")
{
    rc::prop("for any attempts", [](const std::vector<uint8_t> &steps) {
        ConnectLimit limit;
        for (const uint8_t step : steps) {
            const Duration took = milliseconds(2 * step);
            if (step % 4 == 0)
                limit.onTimeout();
            else
                limit.onConnected(took);
            RC_ASSERT(limit.limit() <= ConnectLimit::kMaxLimit);
            RC_ASSERT(limit.limit() >= ConnectLimit::kMinLimit);
            if (step % 4 != 0)
                RC_ASSERT(limit.limit() >= std::min<Duration>(ConnectLimit::kMaxLimit, took));
        }
    });
}

} // namespace
} // namespace bamboogap
