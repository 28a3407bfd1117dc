// When a replica replaces the begin of its log by a snapshot.
//
// Load: 19 changes a second, and configurations of 3 MB that take 4 s over a replica's link of 6
// Mbit/s. A member that is sent a snapshot needs the entries that follow it; if they are compacted
// before it has them, it is sent the next snapshot, and may never catch up.

#ifndef BAMBOOGAP_CONTROL_COMPACTION_H
#define BAMBOOGAP_CONTROL_COMPACTION_H

#include <cstddef>

#include "control/raft.h"

namespace bamboogap {

// Whether the log is to be compacted. `snapshotEvery` is the number of entries between snapshots,
// `bytesSinceSnapshot` the data of the applied entries. The leader lets its log grow to twice its
// length while a member catches up.
bool isCompactionDue(const Raft &raft, size_t snapshotEvery, size_t bytesSinceSnapshot);

} // namespace bamboogap

#endif
