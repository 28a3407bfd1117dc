#include "control/compaction.h"

#include <algorithm>

namespace bamboogap {

namespace {

// A log is replaced by a snapshot when its entries take so many times the bytes of the last one:
// a replica that joins is sent little that is out of date, and snapshots stay rare. Below the
// least, the log is no burden.
constexpr size_t kLogToSnapshot = 4;
constexpr size_t kLeastLogBytes = 256 << 10;
constexpr size_t kGrowthForMembers = 2;

} // namespace

bool isCompactionDue(const Raft &raft, size_t snapshotEvery, size_t bytesSinceSnapshot)
{
    const size_t growth = raft.hasMemberCatchingUp() ? kGrowthForMembers : 1;
    const size_t mostBytes = std::max(kLeastLogBytes, kLogToSnapshot * raft.snapshotBytes());
    return raft.entryCount() >= growth * snapshotEvery || bytesSinceSnapshot > growth * mostBytes;
}

} // namespace bamboogap
