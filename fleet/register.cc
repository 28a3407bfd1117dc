// Keeps the register and its versions.

#include "fleet/register.h"

#include <algorithm>

namespace bamboogap {

EndpointRegister::EndpointRegister(RegisterSettings settings, uint64_t term)
    : settings_(settings)
    , term_(term)
{
}

void EndpointRegister::hear(const HeardEndpoint &heard, Instant now)
{
    const Instant heardAt = now - std::chrono::milliseconds(heard.ageMillis);
    if (now - heardAt > settings_.silence)
        return;
    auto found = known_.find(heard.key);
    if (found == known_.end()) {
        if (!heard.announcement || known_.size() >= kMaxEndpoints)
            return;
        found = known_.try_emplace(heard.key).first;
        found->second.announcement = *heard.announcement;
        found->second.digest = heard.digest;
    }
    Known &known = found->second;
    const bool newer = heard.announcement && supersedes(*heard.announcement, known.announcement);
    if (!newer && heard.digest != known.digest)
        return; // an older announcement that was still on its way
    if (newer) {
        const bool restarted = heard.announcement->incarnation > known.announcement.incarnation;
        if (restarted && known.slot)
            leave(known, now);
        known.announcement = *heard.announcement;
        known.digest = heard.digest;
        if (known.slot) {
            entries_[*known.slot].announcement = known.announcement;
            known.changedAt = ++version_;
        }
    }
    known.lastHeard = std::max(known.lastHeard, heardAt);
    if (!known.slot && now >= known.heldUntil)
        enter(known);
}

void EndpointRegister::tick(Instant now)
{
    for (auto &[key, known] : known_) {
        if (known.slot && now - known.lastHeard > settings_.silence)
            leave(known, now);
    }
    std::erase_if(known_, [&](const auto &item) {
        return !item.second.slot && now - item.second.lastHeard > settings_.flapMemory;
    });
}

RegisterDelta EndpointRegister::deltaSince(uint64_t term, uint64_t version) const
{
    RegisterDelta delta;
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

std::optional<Slot> EndpointRegister::slotOf(EndpointKey key) const
{
    const auto found = known_.find(key);
    return found == known_.end() ? std::nullopt : found->second.slot;
}

size_t EndpointRegister::heldDownCount(Instant now) const
{
    return std::count_if(known_.begin(), known_.end(), [now](const auto &item) {
        return !item.second.slot && now < item.second.heldUntil;
    });
}

void EndpointRegister::enter(Known &known)
{
    known.slot = freeSlot();
    if (!known.slot)
        return;
    entries_[*known.slot] = { *known.slot, known.announcement };
    known.changedAt = ++version_;
}

// The first loss within the memory costs nothing; each further one doubles
// the time for which the endpoint is not taken back.
void EndpointRegister::leave(Known &known, Instant now)
{
    entries_.erase(*known.slot);
    removedAt_[*known.slot] = ++version_;
    known.slot.reset();
    if (now - known.lastLoss > settings_.flapMemory)
        known.losses = 0;
    known.lastLoss = now;
    ++known.losses;
    if (known.losses < 2)
        return;
    const int doublings = std::min(known.losses - 2, 8);
    known.heldUntil
            = now + std::min(settings_.holdDownFirst * (1 << doublings), settings_.holdDownMost);
}

// The lowest slot that is not in use. Slots are dense, so the search ends at
// the first gap.
std::optional<Slot> EndpointRegister::freeSlot() const
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
