// The endpoints that announce themselves to control replicas, as direct routers
// know them.
//
// A replica keeps what it has heard itself (HeardRoster) and hands out changes. A
// router merges the rosters of all replicas it reaches (MergedRoster): an endpoint
// talks to one replica at a time, and in a network partition different replicas
// hear different endpoints. Records of one endpoint are ordered by its birth, then
// by its sequence number, so that delayed heartbeats change nothing.

#ifndef BAMBOOGAP_FLEET_ROSTER_H
#define BAMBOOGAP_FLEET_ROSTER_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "fleet/announcement.h"

namespace bamboogap {

enum class EndpointState : uint8_t { Ready, Draining, Gone };

struct ModelOffer
{
    std::string name;
    int64_t version = 0;

    bool operator==(const ModelOffer &) const = default;
};

struct EndpointRecord
{
    std::string id;
    int64_t bornMillis = 0; // wall-clock start of this incarnation; 0 if not told
    uint64_t sequence = 0; // grows with each heartbeat of an incarnation
    std::string service;
    std::string address;
    std::string dataCentre;
    uint32_t slots = 1; // requests run at once
    uint32_t warmupLeftMillis = 0; // how long it stays cold
    uint32_t knownForMillis = 0; // how long replicas have known this incarnation
    EndpointState state = EndpointState::Ready;
    bool heard = true; // false: silent for longer than allowed
    std::vector<ModelOffer> models;

    bool operator==(const EndpointRecord &) const = default;
};

// True if `candidate` says something later than `known` about the same endpoint.
// A departure is the last word of an incarnation.
bool isLater(const EndpointRecord &candidate, const EndpointRecord &known);

struct RosterChanges
{
    uint64_t epoch = 0;
    uint64_t version = 0;
    bool full = false; // replaces all that was known of this replica
    std::vector<EndpointRecord> records;
};

// What one replica has heard.
class HeardRoster
{
public:
    // epoch tells apart the rosters of a replica before and after a restart;
    // silence is how long an endpoint may say nothing.
    HeardRoster(uint64_t epoch, Duration silence);

    // How long the record of an earlier process counts without a heartbeat: endpoints
    // announce themselves within two of them as a rule.
    static constexpr Duration kRecalled = std::chrono::seconds(2);

    void heartbeat(EndpointRecord record, Instant now);
    // Takes over what an earlier process of the replica knew, unless something is known.
    void recall(EndpointRecord record, Instant now);
    // What is to be recalled: all that is known but endpoints that fell silent.
    std::vector<EndpointRecord> records(Instant now) const;
    // A departure names no birth: it holds for the incarnation that is known, or
    // for any born before wallMillis.
    void leave(std::string_view id, int64_t wallMillis, Instant now);
    // An endpoint said to a router that it is about to end. Holds for this incarnation,
    // whatever its later heartbeats say. True if it was not known.
    bool leaving(std::string_view id, int64_t bornMillis);
    // Marks endpoints that fell silent and forgets those long gone.
    void tick(Instant now);

    // The oldest `most` changes after a version; the version of the result says how far
    // they reach.
    RosterChanges changesSince(uint64_t epoch, uint64_t version, Instant now,
                               size_t most = SIZE_MAX) const;
    uint64_t epoch() const { return epoch_; }
    uint64_t version() const { return version_; }
    size_t size() const { return entries_.size(); }

private:
    struct Entry;
    bool isHeard(const Entry &entry, Instant now) const;
    EndpointRecord toTell(const Entry &entry, Instant now) const;

    struct Entry
    {
        EndpointRecord record;
        Instant heardAt {};
        Instant knownSince {}; // this incarnation
        Instant coldUntil {};
        uint64_t changedAt = 0; // roster version
        bool leaving = false; // this incarnation said so in an answer
    };

    uint64_t epoch_;
    Duration silence_;
    uint64_t version_ = 1;
    std::map<std::string, Entry, std::less<>> entries_;
};

// The rosters of all replicas, as one router sees them.
class MergedRoster
{
public:
    struct Endpoint
    {
        EndpointRecord record;
        EndpointKey key = 0;
        Instant coldUntil {};
        Instant firstSeen {};
        Instant knownSince {}; // this incarnation, by the replica that knows it longest
        Instant lastProof {}; // last sign of life: a replica's word or an answer
        bool leaving = false; // this incarnation said so to this router
        std::map<std::string, bool, std::less<>> heardBy; // by replica
    };

    void apply(std::string_view replica, const RosterChanges &changes, Instant now);
    // Whether the replica can be reached. While it cannot, and others can, its word
    // does not count; it need not be told again when the replica is back.
    void setReachable(std::string_view replica, bool reachable);
    // The endpoint answered a request of this router.
    void answered(std::string_view id, Instant now);
    // The incarnation said to this router that it is about to end; records that replicas
    // still tell of it as ready change nothing. True if this is news.
    bool leaving(std::string_view id, int64_t bornMillis);
    // Another endpoint answered at this address: the record is outdated.
    void misdirected(std::string_view id);
    void tick(Instant now);

    // Grows when an endpoint comes, goes or changes.
    uint64_t version() const { return version_; }
    const std::map<std::string, Endpoint, std::less<>> &endpoints() const { return endpoints_; }
    const Endpoint *find(std::string_view id) const;
    // All that did not fall silent, also those that drain or have left.
    std::vector<EndpointRecord> records(Instant now) const;
    // False for endpoints that are draining, gone, silent, or whose address has
    // passed to another endpoint.
    bool mayUse(const Endpoint &endpoint, Instant now) const;
    // True while it is there at all: a draining engine still hands out its cache.
    bool isThere(const Endpoint &endpoint, Instant now) const;

private:
    bool isSilent(const Endpoint &endpoint, Instant now) const;

    uint64_t version_ = 1;
    std::map<std::string, Endpoint, std::less<>> endpoints_;
    std::map<std::string, std::string, std::less<>> addressOwners_; // newest id by address
    std::set<std::string, std::less<>> lostReplicas_;
};

} // namespace bamboogap

#endif
