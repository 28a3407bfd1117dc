// Tests the log store on a disk with lost, torn and corrupted writes, and with too little space.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "control/logstore.h"
#include "control/testing/fakedisk.h"

namespace bamboogap {
namespace {

LogEntry command(LogIndex index, Term term, std::string data)
{
    return { index, term, EntryKind::Command, std::move(data) };
}

RaftOutput outputOf(std::vector<LogEntry> entries, std::optional<HardState> state = std::nullopt)
{
    RaftOutput output;
    output.entries = std::move(entries);
    output.hardState = state;
    return output;
}

TEST_CASE("an empty folder gets an identity that later starts keep")
{
    FakeDisk disk;
    LogStore first(disk.disk());
    const auto opened = first.open(77);
    REQUIRE(opened);
    CHECK(opened->isNew);
    CHECK(opened->id == 77);
    LogStore second(disk.disk());
    const auto again = second.open(88);
    REQUIRE(again);
    CHECK_FALSE(again->isNew);
    CHECK(again->id == 77);
}

TEST_CASE("stored records are read back without truncated suffixes")
{
    FakeDisk disk;
    LogStore store(disk.disk());
    REQUIRE(store.open(1));
    REQUIRE(store.store(outputOf({ command(1, 1, "a"), command(2, 1, "b"), command(3, 1, "c") },
                                 HardState { 1, 9 })));
    REQUIRE(store.store(outputOf({ command(2, 2, "B") }, HardState { 2, 8 })));
    LogStore again(disk.disk());
    const auto opened = again.open(1);
    REQUIRE(opened);
    CHECK(opened->stored.hardState == HardState { 2, 8 });
    REQUIRE(opened->stored.entries.size() == 2);
    CHECK(opened->stored.entries[1] == command(2, 2, "B"));
}

TEST_CASE("a snapshot replaces the log, and the previous files are removed")
{
    FakeDisk disk;
    LogStore store(disk.disk());
    REQUIRE(store.open(1));
    REQUIRE(store.store(outputOf({ command(1, 1, "a"), command(2, 1, "b") }, HardState { 1, 1 })));
    Snapshot snapshot;
    snapshot.index = 1;
    snapshot.term = 1;
    snapshot.data = "state";
    REQUIRE(store.storeSnapshot(snapshot, { command(2, 1, "b") }));
    CHECK(disk.files().size() == 3);
    LogStore again(disk.disk());
    const auto opened = again.open(1);
    REQUIRE(opened);
    CHECK(opened->stored.snapshot.data == "state");
    CHECK(opened->stored.hardState == HardState { 1, 1 });
    REQUIRE(opened->stored.entries.size() == 1);
}

TEST_CASE("the commit index is read back, also from a new generation")
{
    FakeDisk disk;
    LogStore store(disk.disk());
    REQUIRE(store.open(1));
    REQUIRE(store.store(outputOf({ command(1, 1, "a"), command(2, 1, "b") }, HardState { 1, 1 })));
    RaftOutput output = outputOf({ command(3, 1, "c") });
    output.commit = 2;
    REQUIRE(store.store(output));
    LogStore again(disk.disk());
    const auto opened = again.open(1);
    REQUIRE(opened);
    CHECK(opened->stored.commit == 2);
    Snapshot snapshot;
    snapshot.index = 1;
    snapshot.term = 1;
    REQUIRE(again.storeSnapshot(snapshot, { command(2, 1, "b"), command(3, 1, "c") }));
    LogStore third(disk.disk());
    const auto later = third.open(1);
    REQUIRE(later);
    CHECK(later->stored.commit == 2);
    CHECK(later->stored.entries.size() == 2);
}

TEST_CASE("a commit index alone causes no write")
{
    FakeDisk disk;
    LogStore store(disk.disk());
    REQUIRE(store.open(1));
    REQUIRE(store.store(outputOf({ command(1, 1, "a") })));
    const size_t length = disk.files().at("log-1")->bytes.size();
    RaftOutput output;
    output.commit = 1;
    REQUIRE(store.store(output));
    CHECK(disk.files().at("log-1")->bytes.size() == length);
}

// The commit index used to be stored with the next record only if it increased in the same output,
// so a replica that learned of a commit from a heartbeat restarted with an older index.
TEST_CASE("a commit index that caused no write is stored with the next one")
{
    FakeDisk disk;
    LogStore store(disk.disk());
    REQUIRE(store.open(1));
    REQUIRE(store.store(outputOf({ command(1, 1, "a") })));
    RaftOutput commit;
    commit.commit = 1;
    REQUIRE(store.store(commit));
    RaftOutput next = outputOf({ command(2, 1, "b") });
    next.commit = 1;
    REQUIRE(store.store(next));
    LogStore again(disk.disk());
    const auto opened = again.open(1);
    REQUIRE(opened);
    CHECK(opened->stored.commit == 1);
}

TEST_CASE("a torn tail of any length is truncated")
{
    for (size_t kept = 0; kept < 40; ++kept) {
        FakeDisk disk;
        LogStore store(disk.disk());
        REQUIRE(store.open(1));
        REQUIRE(store.store(outputOf({ command(1, 1, "first") })));
        auto &file = *disk.files().at("log-1");
        const size_t synced = file.bytes.size();
        REQUIRE(store.store(outputOf({ command(2, 1, "second") })));
        file.bytes.resize(std::min(file.bytes.size() - 1, synced + kept));
        LogStore again(disk.disk());
        const auto opened = again.open(1);
        REQUIRE(opened);
        CHECK(opened->stored.entries.size() == 1);
        CHECK(file.bytes.size() == synced);
    }
}

TEST_CASE("corruption of acknowledged data is an error that names a remedy", "[damage]")
{
    FakeDisk fakeDisk;
    LogStore store(fakeDisk.disk());
    REQUIRE(store.open(1));
    for (LogIndex index = 1; index <= 5; ++index)
        REQUIRE(store.store(outputOf({ command(index, 1, "entry " + std::to_string(index)) })));
    const std::string bytes = fakeDisk.files().at("log-1")->bytes;
    const size_t lastRecord = bytes.rfind("entry 5") - 42;
    for (size_t offset = 0; offset < lastRecord; ++offset) {
        fakeDisk.files().at("log-1")->bytes = bytes;
        fakeDisk.files().at("log-1")->bytes[offset] ^= 0x40;
        LogStore again(fakeDisk.disk());
        const auto opened = again.open(1);
        REQUIRE_FALSE(opened);
        CHECK(opened.error().kind == ErrorKind::StorageDamaged);
        CHECK_FALSE(opened.error().remedy.empty());
    }
}

TEST_CASE("writes are rejected after a failed sync")
{
    FakeDisk disk;
    LogStore store(disk.disk());
    REQUIRE(store.open(1));
    disk.failSyncs = true;
    CHECK_FALSE(store.store(outputOf({ command(1, 1, "a") })));
    disk.failSyncs = false;
    const auto later = store.store(outputOf({ command(1, 1, "a") }));
    REQUIRE_FALSE(later);
    CHECK(later.error().kind == ErrorKind::StorageFailed);
}

TEST_CASE("a full disk fails the write and keeps acknowledged entries")
{
    FakeDisk disk;
    LogStore store(disk.disk());
    REQUIRE(store.open(1));
    REQUIRE(store.store(outputOf({ command(1, 1, "kept") })));
    disk.bytesLeft = 20;
    CHECK_FALSE(store.store(outputOf({ command(2, 1, "does not fit") })));
    disk.bytesLeft = SIZE_MAX;
    LogStore again(disk.disk());
    const auto opened = again.open(1);
    REQUIRE(opened);
    REQUIRE(opened->stored.entries.size() == 1);
    CHECK(opened->stored.entries[0].data == "kept");
}

// Compares random writes, snapshots and crashes with a plain list of the acknowledged entries, all
// of which must be present after each crash.
TEST_CASE("acknowledged entries survive crashes", "[fuzz]")
{
    rc::prop("acknowledged entries survive", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        FakeDisk disk;
        auto store = std::make_unique<LogStore>(disk.disk());
        RC_ASSERT(store->open(5).has_value());
        std::vector<LogEntry> oracle; // acknowledged entries; the first has index 1
        HardState oracleState;
        LogIndex snapshotIndex = 0;
        for (int step = 0; step < 60; ++step) {
            const auto choice = random() % 10;
            if (choice < 6) {
                const LogIndex from
                        = snapshotIndex + 1 + random() % (oracle.size() - snapshotIndex + 1);
                std::vector<LogEntry> entries;
                for (LogIndex index = from; index < from + 1 + random() % 3; ++index)
                    entries.push_back(command(index, step + 1, std::string(random() % 50, 'x')));
                const HardState state { static_cast<Term>(step + 1), random() % 3 };
                RC_ASSERT(store->store(outputOf(entries, state)).has_value());
                oracle.resize(from - 1);
                oracle.insert(oracle.end(), entries.begin(), entries.end());
                oracleState = state;
            } else if (choice < 8 && oracle.size() > snapshotIndex) {
                snapshotIndex += 1 + random() % (oracle.size() - snapshotIndex);
                Snapshot snapshot;
                snapshot.index = snapshotIndex;
                snapshot.term = oracle[snapshotIndex - 1].term;
                RC_ASSERT(store->storeSnapshot(snapshot,
                                               { oracle.begin() + snapshotIndex, oracle.end() })
                                  .has_value());
            } else {
                // Half of the crashes happen during a write.
                if (random() % 2 == 0) {
                    disk.bytesLeft = random() % 60;
                    (void)store->store(outputOf({ command(oracle.size() + 1, step + 1, "lost") }));
                    disk.bytesLeft = SIZE_MAX;
                }
                disk.crash(random);
                store = std::make_unique<LogStore>(disk.disk());
                const auto opened = store->open(6);
                RC_ASSERT(opened.has_value());
                RC_ASSERT(opened->id == 5U);
                RC_ASSERT(opened->stored.snapshot.index == snapshotIndex);
                RC_ASSERT(opened->stored.hardState.term >= oracleState.term);
                // Unacknowledged entries may have survived after the acknowledged ones.
                const auto &entries = opened->stored.entries;
                RC_ASSERT(entries.size() >= oracle.size() - snapshotIndex);
                for (size_t i = 0; i + snapshotIndex < oracle.size(); ++i)
                    RC_ASSERT(entries[i] == oracle[i + snapshotIndex]);
                oracle.resize(snapshotIndex);
                oracle.insert(oracle.end(), entries.begin(), entries.end());
            }
        }
    });
}

} // namespace
} // namespace bamboogap
