// What a router makes of the replicas' lists of suspects.

#include <vector>

#include <catch2/catch.hpp>

#include "control/suspectlists.h"

namespace bamboogap {
namespace {

TEST_CASE("a replica that has just started does not clear what others have quarantined")
{
    SuspectLists lists;
    const std::vector<SuspectRequest> known { { 1, SuspicionStatus::Quarantined },
                                              { 2, SuspicionStatus::Suspect } };
    lists.assign("a", known);
    lists.assign("b", known);
    lists.assign("b", {});
    CHECK(lists.statusOf(1) == SuspicionStatus::Quarantined);
    CHECK(lists.statusOf(2) == SuspicionStatus::Suspect);
    CHECK(lists.statusOf(3) == SuspicionStatus::Clear);
    lists.assign("a", {});
    CHECK(lists.statusOf(1) == SuspicionStatus::Clear);
}

TEST_CASE("the list of a replica that has left the group does not count")
{
    SuspectLists lists;
    const std::vector<SuspectRequest> known { { 1, SuspicionStatus::Quarantined } };
    lists.assign("a", known);
    lists.remove("a");
    lists.remove("b");
    CHECK(lists.statusOf(1) == SuspicionStatus::Clear);
}

TEST_CASE("the answers of watched requests are reported ahead of those of quarantined ones")
{
    SuspectLists lists;
    lists.applyQuarantined("a", { 1, true, { 1, 2 }, {} });
    lists.applyWatched("b", { 1, true, { 5, 6 }, {} });
    CHECK(lists.toReport(10) == std::set<Fingerprint> { 1, 2, 5, 6 });
    CHECK(lists.toReport(2) == std::set<Fingerprint> { 5, 6 });
    lists.applyWatched("b", { 2, false, {}, { 5 } });
    CHECK(lists.statusOf(5) == SuspicionStatus::Clear);
    lists.dropWatched("b");
    lists.dropWatched("c");
    CHECK(lists.toReport(10) == std::set<Fingerprint> { 1, 2 });
    CHECK(lists.statusOf(1) == SuspicionStatus::Quarantined);
}

} // namespace
} // namespace bamboogap
