// The durable form of a replica's log: a write-ahead log and a snapshot.
//
// Files in the data folder:
//   identity        the replica's id, written once
//   log-<n>         records, appended and synced; n grows with each snapshot
//   snapshot-<n>    the state that log-<n> goes on from
// Beside hard states and entries a log holds how far it was known to be committed
// when something was stored last.
//
// A record is a fixed header and a payload:
//   magic u32 | type u8 | length u32 | synced u64 | checksum u64 | payload
// `synced` is how many bytes of the file were known to be synced when the
// record was written. It tells two kinds of damage apart. A bad record that no
// later record calls synced is the torn tail of a write that was never
// acknowledged: it is cut off. A bad record that a later record calls synced
// was acknowledged and then damaged: StorageDamaged, and the replica must not
// vote on what is left.

#ifndef BAMBOOGAP_CONTROL_LOGSTORE_H
#define BAMBOOGAP_CONTROL_LOGSTORE_H

#include <string>

#include "control/disk.h"
#include "control/raft.h"

namespace bamboogap {

struct OpenedLog
{
    ReplicaId id = kNoReplica;
    bool fresh = false; // the folder was empty: this is a new replica
    StoredLog stored;
    uint64_t cutBytes = 0; // length of the torn tail that was cut
};

class LogStore
{
public:
    explicit LogStore(Disk disk);

    // Reads the folder; newId becomes the identity if the folder is empty.
    // StorageDamaged if something that was acknowledged cannot be read back.
    Result<OpenedLog> open(ReplicaId newId);

    // Stores the durable part of an output and syncs it. After a failure the
    // store refuses every further write.
    Result<void> store(const RaftOutput &output);

    // Stores a snapshot and starts a log that goes on from it with the entries
    // given; the older files are removed.
    Result<void> storeSnapshot(const Snapshot &snapshot, const std::vector<LogEntry> &entries);

    // Whether the disk takes writes again after one has failed. The store itself goes on
    // refusing: what the failed write left behind is sorted out when the log is opened.
    bool diskTakesWrites();

private:
    Result<void> startGeneration(uint64_t generation, const Snapshot &snapshot,
                                 const std::vector<LogEntry> &entries);
    Result<void> appendRecords(std::string_view records);
    Result<void> writeWhole(const std::string &name, std::string_view bytes);
    Result<void> guarded(const std::function<Result<void>()> &write);

    Disk disk_;
    uint64_t generation_ = 0;
    uint64_t length_ = 0;
    HardState hardState_;
    LogIndex commit_ = 0; // as last stored
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
