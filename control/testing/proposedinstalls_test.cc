// Orders for route documents that need no entry of their own.

#include <catch2/catch.hpp>

#include "control/proposedinstalls.h"

namespace bamboogap {
namespace {

TEST_CASE("an order waits for the first proposed document that is as new")
{
    ProposedInstalls installs;
    CHECK_FALSE(installs.covering(1));
    installs.add(10, 4);
    installs.add(11, 7);
    installs.add(12, 7);
    CHECK(installs.covering(3) == LogIndex { 10 });
    CHECK(installs.covering(4) == LogIndex { 10 });
    CHECK(installs.covering(5) == LogIndex { 11 });
    CHECK_FALSE(installs.covering(8));
    installs.removeUpTo(11);
    CHECK(installs.covering(5) == LogIndex { 12 });
    installs.clear();
    CHECK_FALSE(installs.covering(1));
}

} // namespace
} // namespace bamboogap
