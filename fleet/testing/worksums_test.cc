// Sums of the routers' load at a replica.

#include <map>
#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "fleet/reportlog.h"
#include "fleet/worksums.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;

const Instant kStart { std::chrono::seconds(1000) };

using Uses = std::vector<EndpointUse>;

TEST_CASE("a router gets the in-flight load of the others")
{
    WorkSums sums;
    sums.report("a", Uses { { 5, 2, 100 }, { 6, 1, 0 } }, true, kStart);
    sums.report("b", Uses { { 5, 3, 50 } }, true, kStart);
    sums.report("c", Uses {}, true, kStart);
    const Uses others = sums.othersOf("c", 3);
    REQUIRE(others.size() == 2);
    CHECK(others[0] == EndpointUse { 5, 5, 150 });
    CHECK(sums.othersOf("a", 3) == Uses { { 5, 3, 50 } });
    CHECK(sums.groupSize() == 0); // every replica has these reports

    sums.remove("b");
    CHECK(sums.othersOf("c", 2) == Uses { { 5, 2, 100 }, { 6, 1, 0 } });
    sums.tick(kStart + milliseconds(3001), milliseconds(3000));
    CHECK(sums.othersOf("c", 2).empty());
}

TEST_CASE("the groups of two replicas add up to the same totals at both")
{
    WorkSums first;
    WorkSums second;
    first.report("a", Uses { { 5, 2, 640 } }, false, kStart);
    first.report("b", Uses { { 6, 1, 0 } }, false, kStart);
    second.report("c", Uses { { 5, 4, 64 } }, false, kStart);
    second.groupReport("one", first.groupSize(), packUses(first.group()), kStart);
    first.groupReport("two", second.groupSize(), packUses(second.group()), kStart);
    CHECK(first.othersOf("a", 3) == Uses { { 5, 4, 64 }, { 6, 1, 0 } });
    CHECK(second.othersOf("c", 3) == Uses { { 5, 2, 640 }, { 6, 1, 0 } });

    // A router that moves from one report target to another is counted once.
    first.remove("b");
    second.report("b", Uses { { 6, 1, 0 } }, false, kStart);
    second.groupReport("one", first.groupSize(), packUses(first.group()), kStart);
    CHECK(second.othersOf("c", 3) == Uses { { 5, 2, 640 }, { 6, 1, 0 } });

    // Without an update from the other replica, its group is extrapolated from the rest.
    second.tick(kStart + WorkSums::kGroupTimeout + milliseconds(1), milliseconds(3000));
    CHECK(second.othersOf("c", 3) == Uses { { 6, 2, 0 } });
}

TEST_CASE("sums match a naive computation", "[fuzz]")
{
    rc::prop("random reports", [](uint32_t seed) {
        std::mt19937 random(seed);
        WorkSums sums;
        std::map<std::string, Uses> reports; // by router, or by "group N" for the sum of a group
        const auto someUses = [&] {
            Uses uses;
            for (EndpointKey key = 0; key < 6; ++key) {
                if (random() % 2 == 0)
                    uses.push_back({ key, 1 + static_cast<uint32_t>(random() % 9),
                                     64 * static_cast<uint32_t>(random() % 50) });
            }
            return uses;
        };
        for (int step = 0; step < 60; ++step) {
            const std::string router = "r" + std::to_string(random() % 5);
            const std::string replica = "group " + std::to_string(random() % 3);
            const Uses uses = someUses();
            switch (random() % 4) {
            case 0:
                sums.remove(router);
                reports.erase(router);
                break;
            case 1:
                sums.groupReport(replica, 0, packUses(uses), kStart);
                reports[replica] = uses;
                break;
            default:
                sums.report(router, uses, random() % 2 == 0, kStart);
                reports[router] = uses;
            }
            std::map<EndpointKey, EndpointUse> plain;
            for (const auto &[name, reported] : reports) {
                if (name == router)
                    continue;
                for (const EndpointUse &use : reported) {
                    EndpointUse &sum = plain[use.key];
                    sum.key = use.key;
                    sum.running += use.running;
                    sum.pendingPrefillTokens += use.pendingPrefillTokens;
                }
            }
            Uses expected;
            for (const auto &[key, sum] : plain)
                expected.push_back(sum);
            RC_ASSERT(sums.othersOf(router, 0) == expected);
        }
    });
}

TEST_CASE("each report is returned once, also after older ones were dropped")
{
    ReportLog<int> log;
    uint64_t position = 0;
    int expected = 0;
    std::mt19937 random(5);
    for (int report = 0; report < 2000;) {
        for (unsigned burst = random() % 100; burst > 0; --burst)
            log.add(report++);
        for (const int entry : log.since(position))
            REQUIRE(entry == expected++);
        position = log.end();
        REQUIRE(expected == report);
    }
    // A reader that is behind gets the latest entries, in order. A position beyond the end yields
    // none.
    const auto late = log.since(0);
    REQUIRE(late.size() >= ReportLog<int>::kMaxEntries / 2);
    CHECK(late.back() == expected - 1);
    CHECK(log.since(UINT64_MAX).empty());
}

TEST_CASE("sums stay bounded when a group report is invalid")
{
    WorkSums sums;
    sums.groupReport("odd", UINT16_MAX, std::string(100001, '\xff'), kStart);
    sums.report("a", Uses { { 5, UINT32_MAX, UINT32_MAX } }, false, kStart);
    for (const EndpointUse &use : sums.othersOf("b", 1000))
        CHECK(use.running <= UINT32_MAX);
    sums.tick(kStart + WorkSums::kGroupTimeout + milliseconds(1), milliseconds(3000));
    CHECK(sums.othersOf("a", 2).empty());
}

} // namespace
} // namespace bamboogap
