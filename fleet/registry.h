// The leader's registry of endpoints: soft state that is built from the announcements that routers
// have received, and sent to every router as versioned deltas.
//
// An endpoint is removed when no router has received an announcement of it within the heartbeat
// timeout. An endpoint that is lost repeatedly is held down, i.e. not added again, for a time that
// doubles with each loss, so that a flapping endpoint is not assigned chats that it then loses.

#ifndef BAMBOOGAP_FLEET_REGISTRY_H
#define BAMBOOGAP_FLEET_REGISTRY_H

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "fleet/announcement.h"

namespace bamboogap {

// A router's report that it has received an announcement of an endpoint.
struct SeenEndpoint
{
    EndpointKey key = 0;
    uint64_t digest = 0;
    // From the receipt of the announcement to the sending of the router's heartbeat.
    uint32_t ageMillis = 0;
    std::optional<Announcement> announcement; // omitted if the leader knows the digest
};

// Index of an endpoint in the lists of loads in heartbeat replies. Unlike the slots of an endpoint
// (EndpointRecord::slots), it has nothing to do with capacity.
using Slot = uint16_t;
inline constexpr size_t kMaxEndpoints = 65000;

struct RegistryEntry
{
    Slot slot = 0;
    Announcement announcement;

    bool operator==(const RegistryEntry &) const = default;
};

struct RegistryDelta
{
    uint64_t term = 0; // term of the leader that maintains this registry
    uint64_t version = 0; // registry version after this delta
    bool full = false; // replaces all endpoints that the router knows
    std::vector<RegistryEntry> changed;
    std::vector<Slot> removed;
};

struct RegistrySettings
{
    Duration heartbeatTimeout = std::chrono::seconds(5);
    Duration initialHoldDown = std::chrono::seconds(5);
    Duration maxHoldDown = std::chrono::seconds(60);
    // A loss that follows the previous one by more than this counts as the first one again.
    Duration flapWindow = std::chrono::minutes(5);
};

class EndpointRegistry
{
public:
    EndpointRegistry(RegistrySettings settings, uint64_t term);

    // Adds or updates an endpoint. Ignored are reports older than the heartbeat timeout,
    // announcements that a newer one supersedes, and unknown endpoints if the report has no
    // announcement or the registry is full (kMaxEndpoints).
    void observe(const SeenEndpoint &seen, Instant now);

    // Removes endpoints whose heartbeat timeout has passed, and the loss history of those removed
    // longer ago than the flap window.
    void tick(Instant now);

    // Changes since (term, version); the full registry if that version is not from this leader.
    RegistryDelta deltaSince(uint64_t term, uint64_t version) const;

    // Endpoints in service, by slot.
    const std::map<Slot, RegistryEntry> &entries() const { return entries_; }
    // The slot of an endpoint; nothing if it is not in service.
    std::optional<Slot> slotOf(EndpointKey key) const;
    // Number of endpoints that are out of service because of a hold-down.
    size_t heldDownCount(Instant now) const;

private:
    struct Known
    {
        Announcement announcement;
        uint64_t digest = 0;
        Instant lastSeen {};
        std::optional<Slot> slot; // set while in service
        uint64_t changedAt = 0;
        int losses = 0;
        Instant lastLoss {};
        Instant holdDownUntil {};
    };

    void addToService(Known &known);
    void removeFromService(Known &known, Instant now);
    std::optional<Slot> freeSlot() const;

    RegistrySettings settings_;
    uint64_t term_;
    uint64_t version_ = 1;
    std::map<EndpointKey, Known> known_;
    std::map<Slot, RegistryEntry> entries_;
    // Registry version at which a slot was last freed, for routers that may still have its
    // endpoint.
    std::map<Slot, uint64_t> removedAt_;
};

} // namespace bamboogap

#endif
