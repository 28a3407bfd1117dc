// Endpoints that announce themselves to control replicas, as used by direct routers.
//
// Each replica keeps the endpoints that have sent it heartbeats (ReplicaRoster) and sends changes
// to routers. A router merges the rosters of all replicas that it can reach (MergedRoster): an
// endpoint sends heartbeats to one replica at a time, and in a network partition different replicas
// may see different endpoints. Records of one endpoint are ordered by start time and then by
// sequence number, so that delayed heartbeats have no effect.

#ifndef BAMBOOGAP_FLEET_ROSTER_H
#define BAMBOOGAP_FLEET_ROSTER_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "fleet/announcement.h"

namespace bamboogap {

// Draining endpoints get no new requests; Gone ones have shut down.
enum class EndpointState : uint8_t { Ready, Draining, Gone };

struct ModelOffer
{
    std::string name;
    int64_t version = 0;

    bool operator==(const ModelOffer &) const = default;
};

// State of an endpoint, from its last heartbeat to a replica.
struct EndpointRecord
{
    std::string id;
    int64_t startMillis = 0; // wall-clock start of this incarnation; 0 if unknown
    uint64_t sequence = 0; // increases with each heartbeat of an incarnation
    std::string service;
    std::string address;
    std::string dataCentre;
    uint32_t slots = 1; // number of concurrent requests
    uint32_t warmupLeftMillis = 0; // remaining warm-up time
    uint32_t knownForMillis = 0; // how long replicas have known this incarnation
    EndpointState state = EndpointState::Ready;
    bool alive = true; // false: its heartbeat timeout has passed
    std::vector<ModelOffer> models;
    std::string softwareVersion; // empty if not told, or unless the deployment has rollouts

    bool operator==(const EndpointRecord &) const = default;
};

// Returns true if `candidate` supersedes `known`, a record of the same endpoint. A departure
// (EndpointState::Gone) is final for its incarnation.
bool isLater(const EndpointRecord &candidate, const EndpointRecord &known);

// Changes of the roster of one replica, up to `version` of `epoch`.
struct RosterChanges
{
    uint64_t epoch = 0;
    uint64_t version = 0;
    bool full = false; // replaces all earlier records from this replica
    std::vector<EndpointRecord> records;
};

// Endpoints that have sent heartbeats to one replica.
class ReplicaRoster
{
public:
    // `epoch` distinguishes the rosters of a replica before and after a restart. An endpoint
    // without a heartbeat for `heartbeatTimeout` is marked as not alive.
    ReplicaRoster(uint64_t epoch, Duration heartbeatTimeout);

    // How long a record restored from an earlier process is valid without a heartbeat. Endpoints
    // normally send their next heartbeat within two seconds.
    static constexpr Duration kRestoredValidity = std::chrono::seconds(2);

    // Records a heartbeat. Ignored if the known record is as recent or more recent (see isLater()).
    void heartbeat(EndpointRecord record, Instant now);
    // Restores a record from an earlier process of the replica, unless the known record is as
    // recent or more recent.
    void restore(EndpointRecord record, Instant now);
    // Records to store for restore(): all endpoints except those whose heartbeat timeout has
    // passed.
    std::vector<EndpointRecord> records(Instant now) const;
    // Marks an endpoint as gone. A departure carries no start time: it applies to the known
    // incarnation, or for an unknown endpoint to any incarnation that started before wallMillis.
    void leave(std::string_view id, int64_t wallMillis, Instant now);
    // Marks the incarnation as draining because it told a router that it is about to shut down.
    // Later heartbeats of the incarnation do not undo this. Returns true if the record changed.
    bool markLeaving(std::string_view id, int64_t startMillis);
    // Marks endpoints whose heartbeat timeout has passed, and removes those not seen for a minute.
    void tick(Instant now);

    // Returns the oldest `maxRecords` changes after `version`. The version of the result is that of
    // the last change included.
    RosterChanges changesSince(uint64_t epoch, uint64_t version, Instant now,
                               size_t maxRecords = SIZE_MAX) const;
    uint64_t epoch() const { return epoch_; }
    uint64_t version() const { return version_; }
    size_t size() const { return entries_.size(); }
    std::optional<EndpointRecord> find(std::string_view id) const;

private:
    struct Entry;
    bool isAlive(const Entry &entry, Instant now) const;
    EndpointRecord currentRecord(const Entry &entry, Instant now) const;

    struct Entry
    {
        EndpointRecord record;
        Instant lastSeen {};
        Instant knownSince {}; // of this incarnation
        Instant coldUntil {};
        uint64_t changedAt = 0; // roster version of the last change
        bool leaving = false; // this incarnation announced its shutdown in a response
    };

    uint64_t epoch_;
    Duration heartbeatTimeout_;
    uint64_t version_ = 1;
    std::map<std::string, Entry, std::less<>> entries_;
};

// The rosters of all replicas, merged by one router.
class MergedRoster
{
public:
    struct Endpoint
    {
        EndpointRecord record;
        EndpointKey key = 0;
        Instant coldUntil {};
        Instant firstSeen {};
        Instant knownSince {}; // of this incarnation, at the replica that has known it longest
        // Last evidence that it is alive: a replica's record or a response to this router.
        Instant lastAlive {};
        bool leaving = false; // this incarnation announced its shutdown to this router
        std::map<std::string, bool, std::less<>>
                aliveByReplica; // EndpointRecord::alive, by replica
    };

    // Merges changes that a replica sent.
    void apply(std::string_view replica, const RosterChanges &changes, Instant now);
    // Sets whether the replica can be reached. The records of an unreachable replica are ignored:
    // an endpoint that no reachable replica has a record of times out 12 s after the last evidence
    // that it was alive. The records count again, without being resent, once the replica is
    // reachable. Callers mark a replica as unreachable only while another one can be reached, so
    // that a router that can reach none keeps the endpoints that it knows.
    void setReachable(std::string_view replica, bool reachable);
    // The endpoint responded to a request of this router.
    void recordResponse(std::string_view id, Instant now);
    // Marks the incarnation as leaving because it told this router that it is about to shut down.
    // Records from replicas that still list it as ready do not undo this. Returns true if it was
    // not marked before.
    bool markLeaving(std::string_view id, int64_t startMillis);
    // True if the incarnation is known to be draining, leaving or gone.
    bool hasAnnouncedDeparture(std::string_view id, int64_t startMillis) const;
    // Marks the record as gone because another endpoint responded at its address.
    void markMisdirected(std::string_view id);
    // Removes timed-out endpoints for which the last evidence is more than a minute old.
    void tick(Instant now);

    // Increases when an endpoint is added, removed or changed.
    uint64_t version() const { return version_; }
    const std::map<std::string, Endpoint, std::less<>> &endpoints() const { return endpoints_; }
    // Null if unknown.
    const Endpoint *find(std::string_view id) const;
    // All endpoints that have not timed out, including those that are draining or gone.
    std::vector<EndpointRecord> records(Instant now) const;
    // False for endpoints that are draining, gone or timed out, or whose address now belongs to
    // another endpoint.
    bool mayUse(const Endpoint &endpoint, Instant now) const;
    // Like mayUse(), but true also for endpoints that are draining or leaving: a draining engine
    // still serves copies of its cache.
    bool isPresent(const Endpoint &endpoint, Instant now) const;

private:
    bool isTimedOut(const Endpoint &endpoint, Instant now) const;

    uint64_t version_ = 1;
    std::map<std::string, Endpoint, std::less<>> endpoints_;
    // Id of the newest endpoint, by address.
    std::map<std::string, std::string, std::less<>> addressOwners_;
    std::set<std::string, std::less<>> lostReplicas_;
};

} // namespace bamboogap

#endif
