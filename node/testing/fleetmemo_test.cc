// What a replica remembers of the fleet, against power losses and damaged files.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "control/testing/fakedisk.h"
#include "node/fleetmemo.h"

namespace bamboogap {
namespace {

FleetMemo memoOf(int endpoints)
{
    FleetMemo memo { { "10.1.0.2:7560", "10.2.0.3:7560" }, {} };
    for (int i = 0; i < endpoints; ++i) {
        EndpointRecord record;
        record.id = "i-" + std::to_string(i);
        record.startMillis = 1796358000000 + i;
        record.sequence = 7;
        record.service = "engines";
        record.address = "10.1.64." + std::to_string(i) + ":8080";
        record.state = i % 3 == 0 ? EndpointState::Draining : EndpointState::Ready;
        record.warmupLeftMillis = i;
        record.models.push_back({ "m", 1 });
        memo.endpoints.push_back(std::move(record));
    }
    return memo;
}

TEST_CASE("a memo comes back as it was stored")
{
    FakeDisk disk;
    MemoFile file(disk.disk());
    REQUIRE(file.load());
    CHECK(file.load()->endpoints.empty());
    for (const int endpoints : { 3, 50, 0 }) {
        REQUIRE(file.store(memoOf(endpoints)));
        REQUIRE(file.load());
        CHECK(*file.load() == memoOf(endpoints));
    }
    CHECK_FALSE(file.mayStore(BootClock::now()));
    CHECK(file.mayStore(BootClock::now() + MemoFile::kLeastPause));
}

TEST_CASE("a power loss leaves the memo stored last, also while another is written")
{
    rc::prop("for any losses", [](uint32_t seed, bool full) {
        std::mt19937_64 random(seed);
        FakeDisk disk;
        MemoFile file(disk.disk());
        RC_ASSERT(file.store(memoOf(5)).has_value());
        if (full)
            disk.bytesLeft = random() % 100;
        else
            disk.failSyncs = true;
        RC_ASSERT(!file.store(memoOf(40)).has_value());
        disk.crash(random);
        disk.bytesLeft = SIZE_MAX;
        disk.failSyncs = false;
        MemoFile again(disk.disk());
        const auto memo = again.load();
        RC_ASSERT(memo.has_value());
        RC_ASSERT(*memo == memoOf(5));
        RC_ASSERT(again.store(memoOf(9)).has_value());
        RC_ASSERT(*again.load() == memoOf(9));
    });
}

TEST_CASE("bytes that are no memo are an error, whatever they are")
{
    const std::string good = encodeMemo(memoOf(20));
    rc::prop("for any damage", [&good](uint16_t at, uint8_t value, uint16_t length) {
        std::string bytes = good;
        bytes[at % bytes.size()] = static_cast<char>(value);
        bytes.resize(length % (bytes.size() + 1));
        const auto memo = decodeMemo(bytes);
        if (bytes != good)
            RC_ASSERT(!memo || *memo == memoOf(20));
    });
    CHECK_FALSE(decodeMemo("no memo at all"));
}

} // namespace
} // namespace bamboogap
