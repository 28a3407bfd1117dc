// What receivers of a changing set know of it.

#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "control/fingerprintchanges.h"

namespace bamboogap {
namespace {

TEST_CASE("a receiver is told only what has changed")
{
    FingerprintChanges set(100);
    set.assign({ 1, 2, 3 });
    const FingerprintChange first = set.since(0, 10);
    CHECK(first.full);
    CHECK(first.added == std::vector<Fingerprint> { 1, 2, 3 });
    CHECK(set.since(first.version, 10).empty());
    set.assign({ 2, 3, 4 });
    const FingerprintChange second = set.since(first.version, 10);
    CHECK_FALSE(second.full);
    CHECK(second.added == std::vector<Fingerprint> { 4 });
    CHECK(second.removed == std::vector<Fingerprint> { 1 });
    // What came and went meanwhile is told as gone.
    set.assign({ 2, 3, 4, 5 });
    set.assign({ 2, 3, 4 });
    CHECK(set.since(second.version, 10).added.empty());
}

TEST_CASE("a receiver that knew an earlier process is told the whole set")
{
    FingerprintChanges earlier(5000);
    earlier.assign({ 8, 9 });
    FingerprintChanges set(100);
    set.assign({ 1 });
    std::set<Fingerprint> known { 8, 9 };
    const FingerprintChange change = set.since(earlier.version(), 10);
    CHECK(change.full);
    change.applyTo(known);
    CHECK(known == std::set<Fingerprint> { 1 });
}

TEST_CASE("removed members are forgotten, and receivers that missed them told the whole set")
{
    FingerprintChanges set;
    set.assign({ 1 });
    const uint64_t known = set.version();
    for (Fingerprint i = 0; i <= FingerprintChanges::kMaxRemoved; ++i)
        set.assign({ 1, 1000 + i });
    set.assign({ 1 });
    const FingerprintChange change = set.since(known, 10);
    CHECK(change.full);
    CHECK(change.added == std::vector<Fingerprint> { 1 });
    CHECK(set.since(change.version, 10).empty());
}

TEST_CASE("receivers that are told a few changes at a time know the set in the end", "[fuzz]")
{
    rc::prop("whatever changes meanwhile", [](uint32_t seed) {
        struct Receiver
        {
            uint64_t version = 0;
            std::set<Fingerprint> known;
        };
        std::mt19937 random(seed);
        FingerprintChanges set(random());
        std::vector<Receiver> receivers(4);
        const auto tell = [&](Receiver &receiver) {
            const size_t most = random() % 5;
            const FingerprintChange change = set.since(receiver.version, most);
            RC_ASSERT(change.added.size() + change.removed.size() <= most);
            change.applyTo(receiver.known);
            receiver.version = change.version;
        };
        for (int step = 0; step < 3000; ++step) {
            if (random() % 3 == 0) {
                std::set<Fingerprint> members = set.members();
                const Fingerprint one = random() % 4000;
                if (!members.insert(one).second || random() % 2 == 0)
                    members.erase(members.begin());
                set.assign(members);
            }
            tell(receivers[random() % receivers.size()]);
        }
        for (Receiver &receiver : receivers) {
            for (size_t i = 0; i < 6000 && receiver.known != set.members(); ++i)
                tell(receiver);
            RC_ASSERT(receiver.known == set.members());
        }
    });
}

} // namespace
} // namespace bamboogap
