// Applies heartbeat replies and determines which endpoints this router owns.

#include "fleet/member.h"

#include <algorithm>

namespace bamboogap {

namespace {

// Announcements older than this are dropped. The leader's registry removes them sooner.
constexpr Duration kAnnouncementRetention = std::chrono::seconds(30);
constexpr size_t kMaxHeartbeatsInFlight = 64;

} // namespace

Member::Member(RouterInfo self)
    : self_(std::move(self))
{
}

Heartbeat Member::makeHeartbeat(Instant now)
{
    Heartbeat heartbeat;
    heartbeat.router = self_;
    heartbeat.sequence = ++sequence_;
    heartbeat.knownEpoch = view_.epoch;
    heartbeat.knownRevision = lists_.revision;
    heartbeat.knownSuspects = suspectsVersion_;
    heartbeat.leaderTerm = leaderTerm_;
    heartbeat.registryTerm = registryTerm_;
    heartbeat.registryVersion = registryVersion_;
    heartbeat.knownLimitsVersion = limitsVersion_;
    heartbeat.leaving = leaving_;
    sentAt_[sequence_] = now;
    while (sentAt_.size() > kMaxHeartbeatsInFlight)
        sentAt_.erase(sentAt_.begin());

    std::erase_if(announcements_, [&](const auto &item) {
        return now - item.second.receivedAt > kAnnouncementRetention;
    });
    for (auto &[id, seen] : announcements_) {
        const auto known = endpoints_.find(id);
        const bool leaderKnows = registryTerm_ == leaderTerm_ && known != endpoints_.end()
                && known->second.announcement == seen.announcement;
        if (seen.reported && leaderKnows)
            continue;
        SeenEndpoint item;
        item.key = endpointKey(id);
        item.digest = seen.digest;
        item.ageMillis = static_cast<uint32_t>(toMillis(now - seen.receivedAt));
        if (!leaderKnows)
            item.announcement = seen.announcement;
        heartbeat.seenEndpoints.push_back(std::move(item));
        seen.reported = true;
    }
    return heartbeat;
}

MemberUpdate Member::receive(HeartbeatReply reply, Instant now)
{
    MemberUpdate update;
    const auto sent = sentAt_.find(reply.sequence);
    if (sent == sentAt_.end() || reply.sequence <= lastReply_)
        return update;
    holdsLease(now);
    lastReply_ = reply.sequence;
    const Instant sentAt = sent->second;
    sentAt_.erase(sentAt_.begin(), std::next(sent));
    const bool newLeader = reply.term != leaderTerm_;
    if (newLeader) {
        // The registry of a new leader is empty: report all endpoints again.
        leaderTerm_ = reply.term;
        for (auto &[id, seen] : announcements_)
            seen.reported = false;
    }
    if (reply.view && reply.view->epoch > view_.epoch) {
        view_ = std::move(*reply.view);
        for (auto &[id, endpoint] : endpoints_)
            assignOwner(endpoint);
        update.view = true;
    }
    if (reply.lists && reply.lists->revision > lists_.revision) {
        lists_ = std::move(*reply.lists);
        update.lists = true;
    }
    if (reply.suspects) {
        if (!reply.suspectsAreChanges)
            suspects_.clear();
        for (const SuspectRequest &change : *reply.suspects) {
            if (change.status == SuspicionStatus::Clear)
                suspects_.erase(change.fingerprint);
            else
                suspects_[change.fingerprint] = change.status;
        }
        suspectsVersion_ = reply.suspectsVersion;
    }
    if (reply.registryReady) {
        update.endpoints = reply.registryDelta.full || !reply.registryDelta.changed.empty()
                || !reply.registryDelta.removed.empty();
        applyRegistryDelta(std::move(reply.registryDelta));
        applyLoads(reply);
        pools_ = std::move(reply.pools);
    }
    if (reply.granted) {
        leaseEnd_ = std::max(leaseEnd_, sentAt + reply.lease);
        everLeased_ = true;
    }
    activeEpoch_ = std::min(reply.activeEpoch, view_.epoch);
    if (holdsLease(now))
        update.ownership = refreshOwnership();
    update.heartbeatNow = newLeader || reply.suspects || update.view || update.lists
            || (reply.granted && activeEpoch_ < view_.epoch);
    return update;
}

bool Member::holdsLease(Instant now)
{
    if (now < leaseEnd_)
        return true;
    owned_.clear();
    return false;
}

void Member::recordAnnouncement(const Announcement &announcement, Instant now)
{
    SeenAnnouncement &seen = announcements_[announcement.id];
    if (seen.digest != 0 && supersedes(seen.announcement, announcement))
        return;
    seen.announcement = announcement;
    seen.digest = digestOf(announcement);
    seen.receivedAt = now;
    seen.reported = false;
}

bool Member::owns(std::string_view endpointId, Instant now)
{
    return holdsLease(now) && owned_.count(std::string(endpointId)) > 0;
}

tl::expected<const KnownEndpoint *, std::string> Member::usable(std::string_view endpointId) const
{
    const auto found = endpoints_.find(std::string(endpointId));
    if (found == endpoints_.end())
        return tl::unexpected<std::string>("not registered");
    const Announcement &announcement = found->second.announcement;
    if (announcement.leaving)
        return tl::unexpected<std::string>("leaving");
    if (lists_.dataCentresOut.count(announcement.dataCentre))
        return tl::unexpected<std::string>("data centre out");
    if (lists_.endpointsOut.count(announcement.id))
        return tl::unexpected<std::string>("endpoint out");
    // This router may have received a leaving notice that is newer than the registry.
    const auto seen = announcements_.find(announcement.id);
    if (seen != announcements_.end() && seen->second.announcement.leaving
        && seen->second.announcement.incarnation >= announcement.incarnation)
        return tl::unexpected<std::string>("leaving");
    return &found->second;
}

const RouterInfo *Member::ownerOf(const KnownEndpoint &endpoint) const
{
    return endpoint.owner < view_.routers.size() ? &view_.routers[endpoint.owner] : nullptr;
}

// Scans all routers of the view, so it is called only when the view or the endpoint changes.
void Member::assignOwner(KnownEndpoint &endpoint) const
{
    const RouterInfo *owner
            = bamboogap::ownerOf(view_, endpoint.announcement.id, endpoint.announcement.dataCentre);
    endpoint.owner = owner ? static_cast<size_t>(owner - view_.routers.data()) : SIZE_MAX;
}

SuspicionStatus Member::suspicionStatusOf(Fingerprint fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? SuspicionStatus::Clear : found->second;
}

void Member::applyRegistryDelta(RegistryDelta delta)
{
    if (delta.full) {
        endpoints_.clear();
        slots_.clear();
    }
    const auto removeSlot = [&](Slot slot) {
        const auto found = slots_.find(slot);
        if (found == slots_.end())
            return;
        endpoints_.erase(found->second);
        slots_.erase(found);
    };
    for (const Slot slot : delta.removed)
        removeSlot(slot);
    for (RegistryEntry &entry : delta.changed) {
        removeSlot(entry.slot);
        const std::string id = entry.announcement.id;
        const auto before = endpoints_.find(id);
        if (before != endpoints_.end())
            removeSlot(before->second.slot);
        slots_[entry.slot] = id;
        KnownEndpoint &endpoint = endpoints_[id];
        endpoint = { std::move(entry.announcement), entry.slot, {}, 0 };
        assignOwner(endpoint);
    }
    registryTerm_ = delta.term;
    registryVersion_ = delta.version;
}

void Member::applyLoads(const HeartbeatReply &reply)
{
    if (!reply.slowStartLimits.empty() || reply.limitsVersion != limitsVersion_) {
        slowStartLimits_ = reply.slowStartLimits;
        limitsVersion_ = reply.limitsVersion;
    }
    for (auto &[id, endpoint] : endpoints_) {
        if (endpoint.slot < reply.running.size())
            endpoint.load.running = reply.running[endpoint.slot];
        if (endpoint.slot < slowStartLimits_.size())
            endpoint.load.slowStartLimit = slowStartLimits_[endpoint.slot];
    }
}

// Recomputes the owned endpoints. Returns true if they changed.
bool Member::refreshOwnership()
{
    std::set<std::string> owned;
    const RouterInfo *member = view_.find(self_.name);
    if (member && *member == self_) {
        for (const auto &[id, endpoint] : endpoints_) {
            const RouterInfo *owner = ownerOf(endpoint);
            if (!owner || owner->name != self_.name)
                continue;
            if (activeEpoch_ >= view_.epoch || owned_.count(id))
                owned.insert(id);
        }
    }
    const bool changed = owned != owned_;
    owned_ = std::move(owned);
    return changed;
}

} // namespace bamboogap
