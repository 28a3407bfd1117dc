// Reads and writes the log files.
//
// Recovery reads the records from the start. At the first invalid record it searches the rest of
// the file for a valid record whose `synced` lies beyond that offset: if there is one, acknowledged
// data was corrupted, otherwise the tail was torn. The search tries every byte offset, so it takes
// one pass over the tail.

#include "control/logstore.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <optional>

#include <fmt/format.h>

#include "base/hash.h"

namespace bamboogap {
namespace detail {

constexpr uint32_t kRecordMagic = 0x6d614267;
constexpr size_t kHeaderBytes = 4 + 1 + 4 + 8 + 8;
constexpr size_t kMaxRecordBytes = 512U << 20;
constexpr std::string_view kIdentityFile = "identity";

template<typename T> static void put(std::string &out, T value)
{
    out.append(reinterpret_cast<const char *>(&value), sizeof value);
}

template<typename T> static T get(std::string_view bytes, size_t offset)
{
    T value {};
    std::memcpy(&value, bytes.data() + offset, sizeof value);
    return value;
}

static uint64_t recordChecksum(RecordType type, uint64_t synced, std::string_view payload)
{
    return hashBytes(payload, combineHashes(static_cast<uint64_t>(type), synced));
}

std::string encodeRecord(RecordType type, uint64_t synced, std::string_view payload)
{
    std::string record;
    record.reserve(kHeaderBytes + payload.size());
    put(record, kRecordMagic);
    put(record, static_cast<uint8_t>(type));
    put(record, static_cast<uint32_t>(payload.size()));
    put(record, synced);
    put(record, recordChecksum(type, synced, payload));
    record += payload;
    return record;
}

struct Record
{
    RecordType type = RecordType::Entry;
    uint64_t synced = 0;
    std::string_view payload;
    size_t size = 0; // including the header
};

static std::optional<Record> readRecord(std::string_view file, size_t offset)
{
    if (file.size() - offset < kHeaderBytes)
        return std::nullopt;
    if (get<uint32_t>(file, offset) != kRecordMagic)
        return std::nullopt;
    Record record;
    record.type = static_cast<RecordType>(get<uint8_t>(file, offset + 4));
    const uint32_t length = get<uint32_t>(file, offset + 5);
    record.synced = get<uint64_t>(file, offset + 9);
    const uint64_t checksum = get<uint64_t>(file, offset + 17);
    if (length > kMaxRecordBytes || file.size() - offset - kHeaderBytes < length)
        return std::nullopt;
    record.payload = file.substr(offset + kHeaderBytes, length);
    record.size = kHeaderBytes + length;
    if (recordChecksum(record.type, record.synced, record.payload) != checksum)
        return std::nullopt;
    return record;
}

// Returns whether a valid record after `offset` states that the byte at `offset` was synced.
static bool wasSynced(std::string_view file, size_t offset)
{
    for (size_t candidate = offset + 1; candidate + kHeaderBytes <= file.size(); ++candidate) {
        const auto record = readRecord(file, candidate);
        if (record && record->synced > offset)
            return true;
    }
    return false;
}

static tl::unexpected<Error> damagedFile(std::string_view name, std::string_view what)
{
    return failure(ErrorKind::StorageDamaged,
                   fmt::format("file {} in the data folder is damaged: {}", name, what),
                   "move the data folder away and restart the node: it joins as a new "
                   "replica and catches up from the others");
}

static std::string encodeEntry(const LogEntry &entry)
{
    std::string payload;
    put(payload, entry.index);
    put(payload, entry.term);
    put(payload, static_cast<uint8_t>(entry.kind));
    payload += entry.data;
    return payload;
}

static std::optional<LogEntry> decodeEntry(std::string_view payload)
{
    if (payload.size() < 17)
        return std::nullopt;
    return LogEntry { get<uint64_t>(payload, 0), get<uint64_t>(payload, 8),
                      static_cast<EntryKind>(get<uint8_t>(payload, 16)),
                      std::string(payload.substr(17)) };
}

static std::string encodeHardState(HardState state)
{
    std::string payload;
    put(payload, state.term);
    put(payload, state.vote);
    return payload;
}

static std::string encodeCommit(LogIndex commit)
{
    std::string payload;
    put(payload, commit);
    return payload;
}

static std::string encodeSnapshot(const Snapshot &snapshot)
{
    const std::string membership = encodeMembership(snapshot.membership);
    std::string payload;
    put(payload, snapshot.index);
    put(payload, snapshot.term);
    put(payload, static_cast<uint32_t>(membership.size()));
    payload += membership;
    payload += snapshot.data;
    return payload;
}

static std::optional<Snapshot> decodeSnapshot(std::string_view payload)
{
    if (payload.size() < 20)
        return std::nullopt;
    Snapshot snapshot;
    snapshot.index = get<uint64_t>(payload, 0);
    snapshot.term = get<uint64_t>(payload, 8);
    const uint32_t length = get<uint32_t>(payload, 16);
    if (payload.size() - 20 < length)
        return std::nullopt;
    auto membership = parseMembership(payload.substr(20, length));
    if (!membership)
        return std::nullopt;
    snapshot.membership = std::move(*membership);
    snapshot.data = payload.substr(20 + length);
    return snapshot;
}

static std::string generationName(std::string_view prefix, uint64_t generation)
{
    return fmt::format("{}-{}", prefix, generation);
}

// Returns the highest generation n among file names of the form <prefix>-<n>.
static std::optional<uint64_t> newestGeneration(const std::vector<std::string> &names,
                                                std::string_view prefix)
{
    std::optional<uint64_t> newest;
    for (const std::string &name : names) {
        if (name.size() <= prefix.size() + 1 || name.compare(0, prefix.size(), prefix) != 0
            || name[prefix.size()] != '-')
            continue;
        uint64_t generation = 0;
        const char *begin = name.data() + prefix.size() + 1;
        const char *end = name.data() + name.size();
        const auto parsed = std::from_chars(begin, end, generation);
        if (parsed.ec == std::errc() && parsed.ptr == end)
            newest = std::max(newest.value_or(0), generation);
    }
    return newest;
}

// Applies one record to the log being recovered. Returns false if the record is malformed or does
// not follow the records before it.
static bool replay(const Record &record, StoredLog &stored)
{
    if (record.type == RecordType::HardState) {
        if (record.payload.size() != 16)
            return false;
        stored.hardState = { get<uint64_t>(record.payload, 0), get<uint64_t>(record.payload, 8) };
        return true;
    }
    if (record.type == RecordType::Commit) {
        if (record.payload.size() != 8)
            return false;
        stored.commit = std::max(stored.commit, get<uint64_t>(record.payload, 0));
        return true;
    }
    if (record.type != RecordType::Entry)
        return false;
    auto entry = decodeEntry(record.payload);
    if (!entry || entry->index <= stored.snapshot.index)
        return false;
    const LogIndex position = entry->index - stored.snapshot.index - 1;
    if (position > stored.entries.size())
        return false;
    stored.entries.resize(position);
    stored.entries.push_back(std::move(*entry));
    return true;
}

} // namespace detail

LogStore::LogStore(Disk disk)
    : disk_(std::move(disk))
{
}

Result<OpenedLog> LogStore::open(ReplicaId newId)
{
    using namespace detail;
    auto names = disk_.list();
    if (!names)
        return tl::unexpected(names.error());
    OpenedLog opened;
    const bool hasIdentity = std::find(names->begin(), names->end(), kIdentityFile) != names->end();
    const auto newest = newestGeneration(*names, "log");
    if (!hasIdentity) {
        // The first start writes the identity last. Without it, other files are left over from an
        // interrupted first start and contain nothing that was acknowledged.
        opened.id = newId;
        opened.isNew = true;
        for (const std::string &name : *names) {
            if (auto removed = disk_.remove(name); !removed)
                return tl::unexpected(removed.error());
        }
        if (auto started = startGeneration(1, {}, {}); !started)
            return tl::unexpected(started.error());
        std::string payload;
        put(payload, newId);
        const std::string record = encodeRecord(RecordType::Identity, 0, payload);
        if (auto wrote = writeFileAtomically(std::string(kIdentityFile), record); !wrote)
            return tl::unexpected(wrote.error());
        return opened;
    }
    auto identity = disk_.read(kIdentityFile);
    if (!identity)
        return tl::unexpected(identity.error());
    const auto identityRecord = readRecord(*identity, 0);
    if (!identityRecord || identityRecord->type != RecordType::Identity
        || identityRecord->payload.size() != 8) {
        return damagedFile(kIdentityFile, "its record cannot be read");
    }
    opened.id = get<uint64_t>(identityRecord->payload, 0);
    if (!newest)
        return damagedFile("log", "the file is missing");
    generation_ = *newest;

    const std::string snapshotName = generationName("snapshot", generation_);
    if (std::find(names->begin(), names->end(), snapshotName) != names->end()) {
        auto bytes = disk_.read(snapshotName);
        if (!bytes)
            return tl::unexpected(bytes.error());
        const auto record = readRecord(*bytes, 0);
        auto snapshot = record && record->type == RecordType::Snapshot
                ? decodeSnapshot(record->payload)
                : std::nullopt;
        if (!snapshot)
            return damagedFile(snapshotName, "its record cannot be read");
        opened.stored.snapshot = std::move(*snapshot);
    } else if (generation_ > 1) {
        return damagedFile(snapshotName, "the file is missing");
    }

    const std::string logName = generationName("log", generation_);
    auto bytes = disk_.read(logName);
    if (!bytes)
        return tl::unexpected(bytes.error());
    size_t offset = 0;
    while (offset < bytes->size()) {
        const auto record = readRecord(*bytes, offset);
        if (!record) {
            if (wasSynced(*bytes, offset))
                return damagedFile(
                        logName,
                        fmt::format("the record at byte {} was synced and is now invalid", offset));
            break;
        }
        if (!replay(*record, opened.stored))
            return damagedFile(
                    logName,
                    fmt::format("the record at byte {} is malformed or out of order", offset));
        offset += record->size;
    }
    opened.truncatedBytes = bytes->size() - offset;
    if (opened.truncatedBytes > 0) {
        if (auto truncated = disk_.truncate(logName, offset); !truncated)
            return tl::unexpected(truncated.error());
    }
    // The data read may be only in the page cache; sync before relying on it.
    if (auto synced = disk_.sync(logName); !synced)
        return tl::unexpected(synced.error());
    length_ = offset;
    hardState_ = opened.stored.hardState;
    commit_ = opened.stored.commit;
    return opened;
}

Result<void> LogStore::store(const RaftOutput &output)
{
    using namespace detail;
    if (output.hardState)
        hardState_ = *output.hardState;
    if (output.installedSnapshot) {
        commit_ = std::max(commit_, output.commit);
        return storeSnapshot(*output.installedSnapshot, output.entries);
    }
    std::string records;
    if (output.hardState)
        records += encodeRecord(RecordType::HardState, length_, encodeHardState(*output.hardState));
    for (const LogEntry &entry : output.entries)
        records += encodeRecord(RecordType::Entry, length_, encodeEntry(entry));
    if (records.empty())
        return {};
    if (output.commit > commit_) {
        commit_ = output.commit;
        records += encodeRecord(RecordType::Commit, length_, encodeCommit(commit_));
    }
    return runUnlessFailed([&] { return appendRecords(records); });
}

Result<void> LogStore::storeSnapshot(const Snapshot &snapshot, const std::vector<LogEntry> &entries)
{
    commit_ = std::max(commit_, snapshot.index);
    return runUnlessFailed([&] { return startGeneration(generation_ + 1, snapshot, entries); });
}

// Writes and syncs a temporary file, then renames it to `name`, so that a crash never leaves a
// partial file under that name.
Result<void> LogStore::writeFileAtomically(const std::string &name, std::string_view bytes)
{
    constexpr std::string_view kTemporaryName = "pending";
    auto names = disk_.list();
    if (!names)
        return tl::unexpected(names.error());
    if (std::find(names->begin(), names->end(), kTemporaryName) != names->end()) {
        if (auto removed = disk_.remove(kTemporaryName); !removed)
            return removed;
    }
    auto wrote = disk_.append(kTemporaryName, bytes);
    if (wrote)
        wrote = disk_.sync(kTemporaryName);
    if (wrote)
        wrote = disk_.rename(kTemporaryName, name);
    if (wrote)
        wrote = disk_.syncFolder();
    return wrote;
}

// The new generation takes effect when its complete log is renamed into place; until then the
// previous generation is used. The snapshot is renamed first, so that a log never exists without
// the snapshot it follows.
Result<void> LogStore::startGeneration(uint64_t generation, const Snapshot &snapshot,
                                       const std::vector<LogEntry> &entries)
{
    using namespace detail;
    if (snapshot.index > 0) {
        const std::string bytes = encodeRecord(RecordType::Snapshot, 0, encodeSnapshot(snapshot));
        if (auto wrote = writeFileAtomically(generationName("snapshot", generation), bytes); !wrote)
            return wrote;
    }
    std::string records = encodeRecord(RecordType::HardState, 0, encodeHardState(hardState_));
    for (const LogEntry &entry : entries)
        records += encodeRecord(RecordType::Entry, 0, encodeEntry(entry));
    records += encodeRecord(RecordType::Commit, 0, encodeCommit(commit_));
    if (auto wrote = writeFileAtomically(generationName("log", generation), records); !wrote)
        return wrote;
    const uint64_t previous = generation_;
    generation_ = generation;
    length_ = records.size();
    if (previous == 0)
        return {};
    auto names = disk_.list();
    if (!names)
        return tl::unexpected(names.error());
    for (const std::string &name :
         { generationName("log", previous), generationName("snapshot", previous) }) {
        if (std::find(names->begin(), names->end(), name) == names->end())
            continue;
        if (auto removed = disk_.remove(name); !removed)
            return removed;
    }
    return {};
}

bool LogStore::probeDiskWrite()
{
    // A few blocks, about the size of an entry.
    constexpr std::string_view kProbe = "probe";
    constexpr size_t kProbeBytes = 16 << 10;
    const std::string name(kProbe);
    const bool written = disk_.append(name, std::string(kProbeBytes, '\0')) && disk_.sync(name);
    // A probe file left behind is harmless: open() reads only files with known names.
    const bool removed = disk_.remove(name).has_value();
    return written && removed;
}

Result<void> LogStore::appendRecords(std::string_view records)
{
    using namespace detail;
    const std::string name = generationName("log", generation_);
    if (auto wrote = disk_.append(name, records); !wrote)
        return wrote;
    if (auto synced = disk_.sync(name); !synced)
        return synced;
    length_ += records.size();
    return {};
}

// Runs a write unless an earlier one failed, and records whether it failed.
Result<void> LogStore::runUnlessFailed(const std::function<Result<void>()> &write)
{
    if (failed_) {
        return failure(ErrorKind::StorageFailed, "an earlier write to the log failed",
                       "free disk space or replace the disk, then restart the node");
    }
    Result<void> outcome = write();
    failed_ = !outcome;
    return outcome;
}

} // namespace bamboogap
