// Persistent storage of a replica's Raft log: a write-ahead log and a snapshot.
//
// Files in the data folder:
//   identity        the replica's id, written once
//   log-<n>         records, appended and synced; the generation n increases with each snapshot
//   snapshot-<n>    the state that precedes the first entry of log-<n>
// A log contains hard states, entries, and the commit index that was known at the last write.
//
// A record is a fixed header and a payload:
//   magic u32 | type u8 | length u32 | synced u64 | checksum u64 | payload
// `synced` is the number of bytes of the file that were known to be synced when the record was
// written. It distinguishes two cases of an invalid record at some offset:
//  - No later valid record has `synced` beyond the offset: the record is the torn tail of a write
//    that was never acknowledged, and the file is truncated there.
//  - A later valid record has `synced` beyond the offset: acknowledged data was corrupted. open()
//    returns StorageDamaged, because the replica must not vote with an incomplete log.

#ifndef BAMBOOGAP_CONTROL_LOGSTORE_H
#define BAMBOOGAP_CONTROL_LOGSTORE_H

#include <string>

#include "control/disk.h"
#include "control/raft.h"

namespace bamboogap {

struct OpenedLog
{
    ReplicaId id = kNoReplica;
    bool isNew = false; // the folder was empty, so this is a new replica
    StoredLog stored;
    uint64_t truncatedBytes = 0; // length of the torn tail that was removed
};

class LogStore
{
public:
    explicit LogStore(Disk disk);

    // Reads the folder and removes a torn tail; newId becomes the identity if the folder is empty.
    // StorageDamaged if acknowledged data cannot be read, StorageFailed if a file operation fails.
    Result<OpenedLog> open(ReplicaId newId);

    // Stores and syncs the durable state of an output. After a failed write every further write
    // is rejected with StorageFailed.
    Result<void> store(const RaftOutput &output);

    // Stores a snapshot and starts a new log that contains the given entries, which follow the
    // snapshot. The previous log and snapshot files are removed.
    Result<void> storeSnapshot(const Snapshot &snapshot, const std::vector<LogEntry> &entries);

    // Tests with a probe file whether the disk accepts writes again after a failure. This store
    // continues to reject writes: partial data of the failed write is only handled by open().
    bool probeDiskWrite();

private:
    // Starts the log file of a generation and removes the files of the previous one.
    Result<void> startGeneration(uint64_t generation, const Snapshot &snapshot,
                                 const std::vector<LogEntry> &entries);
    Result<void> appendRecords(std::string_view records);
    Result<void> writeFileAtomically(const std::string &name, std::string_view bytes);
    Result<void> runUnlessFailed(const std::function<Result<void>()> &write);

    Disk disk_;
    uint64_t generation_ = 0;
    uint64_t length_ = 0; // of the current log file, all of it synced
    HardState hardState_;
    LogIndex commit_ = 0; // last stored commit index
    bool failed_ = false;
};

namespace detail {

enum class RecordType : uint8_t {
    HardState = 1,
    Entry = 2,
    Snapshot = 3,
    Identity = 4,
    Commit = 5
};

std::string encodeRecord(RecordType type, uint64_t synced, std::string_view payload);

} // namespace detail

} // namespace bamboogap

#endif
