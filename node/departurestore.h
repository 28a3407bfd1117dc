// The departures of endpoints that a replica vouches for, in its data folder.
//
// An endpoint announces its departure once. After the loss of all of the group's processes nothing
// else tells a draining endpoint from one that serves, and it may go on answering for long. A
// replica therefore stores a departure before it says that it holds it. Departures are facts that
// endpoints state of themselves, so that they need no order among the replicas and no leader.
//
// Records are appended to a file and synced, several at once with one sync. A file that has grown,
// that an earlier process has written, or that could not be written in full is not written again:
// the next one begins with all departures that are still of use, and the older files are removed.

#ifndef BAMBOOGAP_NODE_DEPARTURESTORE_H
#define BAMBOOGAP_NODE_DEPARTURESTORE_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "control/disk.h"
#include "fleet/roster.h"

namespace bamboogap {

struct Departure
{
    std::string endpointId;
    // Draining or Gone. None if the endpoint was not known when it left: then each incarnation that
    // started before wallMillis has left.
    std::optional<EndpointRecord> record;
    int64_t wallMillis = 0;

    bool operator==(const Departure &) const = default;
};

class DepartureStore
{
public:
    static constexpr size_t kMaxFileBytes = 256 << 10;
    // A departed endpoint serves no longer than this, also if the fleet is down meanwhile.
    static constexpr Duration kRetention = std::chrono::minutes(10);

    explicit DepartureStore(Disk disk);

    // The departures that earlier processes have stored, one for each endpoint. To be called first.
    // StorageFailed; a file that is damaged is read up to the damage.
    Result<std::vector<Departure>> load(Instant now);
    // Whether the departure, or a later one of the endpoint, is stored.
    bool holds(const Departure &departure) const;
    // The departures are durable when it returns. StorageFailed: they may be stored or not.
    Result<void> store(std::span<const Departure> departures, Instant now);

private:
    struct Stored
    {
        Departure departure;
        Instant at {};
    };

    Result<void> write(const std::string &records);
    Result<void> beginFile(Instant now);
    void keep(Departure departure, Instant at);

    Disk disk_;
    uint64_t fileNumber_ = 0;
    // Bytes of the file; none if the next record begins a new one.
    std::optional<size_t> fileBytes_;
    std::map<std::string, Stored, std::less<>> stored_; // by endpoint
};

} // namespace bamboogap

#endif
