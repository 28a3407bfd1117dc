// What a control replica remembers of the fleet across a restart, beside its log.
//
// Answers the load pattern of a fleet that lost power as a whole: callers are there at once,
// while endpoints announce themselves again over their next heartbeats, and routers know the
// seeds only, which may be the last replicas to come back. A replica that starts offers the
// endpoints it knew until they had time to announce themselves, and calls the routers it knew.
//
// The memo is a hint: it may be old or missing. Nothing that must hold rests on it.

#ifndef BAMBOOGAP_NODE_FLEETMEMO_H
#define BAMBOOGAP_NODE_FLEETMEMO_H

#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "control/disk.h"
#include "fleet/roster.h"

namespace bamboogap {

struct FleetMemo
{
    std::vector<std::string> routers; // peers' addresses
    std::vector<EndpointRecord> endpoints;

    bool operator==(const FleetMemo &) const = default;
};

std::string encodeMemo(const FleetMemo &memo);
// StorageDamaged if the bytes are nothing that encodeMemo() made.
Result<FleetMemo> decodeMemo(std::string_view bytes);

// The memo's file in a replica's data folder, replaced as a whole.
class MemoFile
{
public:
    static constexpr Duration kLeastPause = std::chrono::seconds(1);
    // A save takes no more than one part in so many of the time, also on a slow disk.
    static constexpr int kPausePerSave = 50;

    explicit MemoFile(Disk disk);

    // An empty memo if there is none. StorageFailed, or StorageDamaged.
    Result<FleetMemo> load() const;
    bool mayStore(Instant now) const { return now >= nextAt_; }
    // StorageFailed; the memo stored before is kept then.
    Result<void> store(const FleetMemo &memo);

private:
    Disk disk_;
    Instant nextAt_ {};
};

} // namespace bamboogap

#endif
