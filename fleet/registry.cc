// Maintains the registry entries and their versions.

#include "fleet/registry.h"

#include <algorithm>

namespace bamboogap {

EndpointRegistry::EndpointRegistry(RegistrySettings settings, uint64_t term)
    : settings_(settings)
    , term_(term)
{
}

void EndpointRegistry::observe(const SeenEndpoint &seen, Instant now)
{
    const Instant seenAt = now - std::chrono::milliseconds(seen.ageMillis);
    if (now - seenAt > settings_.heartbeatTimeout)
        return;
    auto found = known_.find(seen.key);
    if (found == known_.end()) {
        if (!seen.announcement || known_.size() >= kMaxEndpoints)
            return;
        found = known_.try_emplace(seen.key).first;
        found->second.announcement = *seen.announcement;
        found->second.digest = seen.digest;
    }
    Known &known = found->second;
    const bool newer = seen.announcement && supersedes(*seen.announcement, known.announcement);
    if (!newer && seen.digest != known.digest)
        return; // an older announcement that was delayed
    if (newer) {
        const bool restarted = seen.announcement->incarnation > known.announcement.incarnation;
        if (restarted && known.slot)
            removeFromService(known, now);
        known.announcement = *seen.announcement;
        known.digest = seen.digest;
        if (known.slot) {
            entries_[*known.slot].announcement = known.announcement;
            known.changedAt = ++version_;
        }
    }
    known.lastSeen = std::max(known.lastSeen, seenAt);
    if (!known.slot && now >= known.holdDownUntil)
        addToService(known);
}

void EndpointRegistry::tick(Instant now)
{
    for (auto &[key, known] : known_) {
        if (known.slot && now - known.lastSeen > settings_.heartbeatTimeout)
            removeFromService(known, now);
    }
    std::erase_if(known_, [&](const auto &item) {
        return !item.second.slot && now - item.second.lastSeen > settings_.flapWindow;
    });
}

RegistryDelta EndpointRegistry::deltaSince(uint64_t term, uint64_t version) const
{
    RegistryDelta delta;
    delta.term = term_;
    delta.version = version_;
    delta.full = term != term_ || version == 0 || version > version_;
    if (!delta.full && version == version_)
        return delta;
    for (const auto &[key, known] : known_) {
        if (known.slot && (delta.full || known.changedAt > version))
            delta.changed.push_back({ *known.slot, known.announcement });
    }
    if (!delta.full) {
        for (const auto &[slot, at] : removedAt_) {
            if (at > version && entries_.count(slot) == 0)
                delta.removed.push_back(slot);
        }
    }
    return delta;
}

std::optional<Slot> EndpointRegistry::slotOf(EndpointKey key) const
{
    const auto found = known_.find(key);
    return found == known_.end() ? std::nullopt : found->second.slot;
}

size_t EndpointRegistry::heldDownCount(Instant now) const
{
    return std::count_if(known_.begin(), known_.end(), [now](const auto &item) {
        return !item.second.slot && now < item.second.holdDownUntil;
    });
}

void EndpointRegistry::addToService(Known &known)
{
    known.slot = freeSlot();
    if (!known.slot)
        return;
    entries_[*known.slot] = { *known.slot, known.announcement };
    known.changedAt = ++version_;
}

// The first loss within the flap window causes no hold-down, the second one the initial hold-down;
// each further loss doubles it up to the maximum.
void EndpointRegistry::removeFromService(Known &known, Instant now)
{
    entries_.erase(*known.slot);
    removedAt_[*known.slot] = ++version_;
    known.slot.reset();
    if (now - known.lastLoss > settings_.flapWindow)
        known.losses = 0;
    known.lastLoss = now;
    ++known.losses;
    if (known.losses < 2)
        return;
    const int doublings = std::min(known.losses - 2, 8);
    known.holdDownUntil
            = now + std::min(settings_.initialHoldDown * (1 << doublings), settings_.maxHoldDown);
}

// Returns the lowest unused slot. Slots are dense, so the search ends at the first gap.
std::optional<Slot> EndpointRegistry::freeSlot() const
{
    size_t candidate = 0;
    for (const auto &[slot, entry] : entries_) {
        if (slot != candidate)
            break;
        ++candidate;
    }
    if (candidate >= kMaxEndpoints)
        return std::nullopt;
    return static_cast<Slot>(candidate);
}

} // namespace bamboogap
