// The leader's register of endpoints: soft state built from what the routers
// heard, handed to every router as versioned deltas.
//
// An endpoint that no router has heard for the silence time is removed. One
// that is lost again and again is held down for a time that doubles with each
// loss, so that a flapping endpoint does not draw chats that it then drops.

#ifndef BAMBOOGAP_FLEET_REGISTER_H
#define BAMBOOGAP_FLEET_REGISTER_H

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "fleet/announcement.h"

namespace bamboogap {

// A router's word that it heard an endpoint.
struct HeardEndpoint
{
    EndpointKey key = 0;
    uint64_t digest = 0;
    uint32_t ageMillis = 0; // since it was heard, when the heartbeat was sent
    std::optional<Announcement> announcement; // left out if the leader knows the digest
};

// Position of an endpoint in the dense load table.
using Slot = uint16_t;
inline constexpr size_t kMaxEndpoints = 65000;

struct RegisterEntry
{
    Slot slot = 0;
    Announcement announcement;

    bool operator==(const RegisterEntry &) const = default;
};

struct RegisterDelta
{
    uint64_t term = 0; // of the leader whose register this is
    uint64_t version = 0; // after this delta
    bool full = false; // replaces all that was known
    std::vector<RegisterEntry> changed;
    std::vector<Slot> removed;
};

struct RegisterSettings
{
    Duration silence = std::chrono::seconds(5);
    Duration holdDownFirst = std::chrono::seconds(5);
    Duration holdDownMost = std::chrono::seconds(60);
    Duration flapMemory = std::chrono::minutes(5); // losses older than this are forgotten
};

class EndpointRegister
{
public:
    EndpointRegister(RegisterSettings settings, uint64_t term);

    void hear(const HeardEndpoint &heard, Instant now);

    // Removes what has been silent too long; ends hold-downs.
    void tick(Instant now);

    // What a router that knows (term, version) has to learn.
    RegisterDelta deltaSince(uint64_t term, uint64_t version) const;

    // The entries in service, by slot.
    const std::map<Slot, RegisterEntry> &entries() const { return entries_; }
    std::optional<Slot> slotOf(EndpointKey key) const;
    size_t heldDownCount(Instant now) const;

private:
    struct Known
    {
        Announcement announcement;
        uint64_t digest = 0;
        Instant lastHeard {};
        std::optional<Slot> slot; // set while in service
        uint64_t changedAt = 0;
        int losses = 0;
        Instant lastLoss {};
        Instant heldUntil {};
    };

    void enter(Known &known);
    void leave(Known &known, Instant now);
    std::optional<Slot> freeSlot() const;

    RegisterSettings settings_;
    uint64_t term_;
    uint64_t version_ = 1;
    std::map<EndpointKey, Known> known_;
    std::map<Slot, RegisterEntry> entries_;
    std::map<Slot, uint64_t> removedAt_; // free slots that routers may still know
};

} // namespace bamboogap

#endif
