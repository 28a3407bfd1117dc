// The router's view of the fleet.

#include "fleet/member.h"

#include <algorithm>

namespace bamboogap {

namespace {

// Announcements older than this are dropped; the register forgets them sooner.
constexpr Duration kHeardMemory = std::chrono::seconds(30);
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
    heartbeat.registerTerm = registerTerm_;
    heartbeat.registerVersion = registerVersion_;
    heartbeat.knownLimits = limitsVersion_;
    heartbeat.leaving = leaving_;
    sentAt_[sequence_] = now;
    while (sentAt_.size() > kMaxHeartbeatsInFlight)
        sentAt_.erase(sentAt_.begin());

    std::erase_if(heard_,
                  [&](const auto &item) { return now - item.second.heardAt > kHeardMemory; });
    for (auto &[id, heard] : heard_) {
        const auto known = endpoints_.find(id);
        const bool leaderKnows = registerTerm_ == leaderTerm_ && known != endpoints_.end()
                && known->second.announcement == heard.announcement;
        if (heard.reported && leaderKnows)
            continue;
        HeardEndpoint item;
        item.key = endpointKey(id);
        item.digest = heard.digest;
        item.ageMillis = static_cast<uint32_t>(toMillis(now - heard.heardAt));
        if (!leaderKnows)
            item.announcement = heard.announcement;
        heartbeat.heard.push_back(std::move(item));
        heard.reported = true;
    }
    return heartbeat;
}

MemberNews Member::receive(HeartbeatReply reply, Instant now)
{
    MemberNews news;
    const auto sent = sentAt_.find(reply.sequence);
    if (sent == sentAt_.end() || reply.sequence <= lastReply_)
        return news;
    holdsLease(now);
    lastReply_ = reply.sequence;
    const Instant sentAt = sent->second;
    sentAt_.erase(sentAt_.begin(), std::next(sent));
    const bool newLeader = reply.term != leaderTerm_;
    if (newLeader) {
        // The new leader's register is empty: report all endpoints again.
        leaderTerm_ = reply.term;
        for (auto &[id, heard] : heard_)
            heard.reported = false;
    }
    if (reply.view && reply.view->epoch > view_.epoch) {
        view_ = std::move(*reply.view);
        for (auto &[id, endpoint] : endpoints_)
            findOwner(endpoint);
        news.view = true;
    }
    if (reply.lists && reply.lists->revision > lists_.revision) {
        lists_ = std::move(*reply.lists);
        news.lists = true;
    }
    if (reply.suspects) {
        suspects_.clear();
        for (const SuspectRequest &change : *reply.suspects)
            suspects_[change.fingerprint] = change.status;
        suspectsVersion_ = reply.suspectsVersion;
    }
    if (reply.registerReady) {
        news.endpoints = reply.registered.full || !reply.registered.changed.empty()
                || !reply.registered.removed.empty();
        takeRegister(std::move(reply.registered));
        takeLoads(reply);
        pools_ = std::move(reply.pools);
    }
    if (reply.granted) {
        leaseEnd_ = std::max(leaseEnd_, sentAt + reply.lease);
        everLeased_ = true;
    }
    activeEpoch_ = std::min(reply.activeEpoch, view_.epoch);
    if (holdsLease(now))
        news.ownership = refreshOwnership();
    news.acknowledge = newLeader || reply.suspects || news.view || news.lists
            || (reply.granted && activeEpoch_ < view_.epoch);
    return news;
}

bool Member::holdsLease(Instant now)
{
    if (now < leaseEnd_)
        return true;
    owned_.clear();
    return false;
}

void Member::hear(const Announcement &announcement, Instant now)
{
    Heard &heard = heard_[announcement.id];
    if (heard.digest != 0 && supersedes(heard.announcement, announcement))
        return;
    heard.announcement = announcement;
    heard.digest = digestOf(announcement);
    heard.heardAt = now;
    heard.reported = false;
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
    // A leaving notice that reached this router may be newer than the register.
    const auto heard = heard_.find(announcement.id);
    if (heard != heard_.end() && heard->second.announcement.leaving
        && heard->second.announcement.incarnation >= announcement.incarnation)
        return tl::unexpected<std::string>("leaving");
    return &found->second;
}

const RouterInfo *Member::ownerOf(const KnownEndpoint &endpoint) const
{
    return endpoint.owner < view_.routers.size() ? &view_.routers[endpoint.owner] : nullptr;
}

// Looks through all routers of the view, so only when the view or the endpoint
// is new.
void Member::findOwner(KnownEndpoint &endpoint) const
{
    const RouterInfo *owner
            = bamboogap::ownerOf(view_, endpoint.announcement.id, endpoint.announcement.dataCentre);
    endpoint.owner = owner ? static_cast<size_t>(owner - view_.routers.data()) : SIZE_MAX;
}

SuspicionStatus Member::standingOf(Fingerprint fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? SuspicionStatus::Clear : found->second;
}

void Member::takeRegister(RegisterDelta delta)
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
    for (RegisterEntry &entry : delta.changed) {
        removeSlot(entry.slot);
        const std::string id = entry.announcement.id;
        const auto before = endpoints_.find(id);
        if (before != endpoints_.end())
            removeSlot(before->second.slot);
        slots_[entry.slot] = id;
        KnownEndpoint &endpoint = endpoints_[id];
        endpoint = { std::move(entry.announcement), entry.slot, {}, 0 };
        findOwner(endpoint);
    }
    registerTerm_ = delta.term;
    registerVersion_ = delta.version;
}

void Member::takeLoads(const HeartbeatReply &reply)
{
    if (!reply.rampLimits.empty() || reply.limitsVersion != limitsVersion_) {
        rampLimits_ = reply.rampLimits;
        limitsVersion_ = reply.limitsVersion;
    }
    for (auto &[id, endpoint] : endpoints_) {
        if (endpoint.slot < reply.running.size())
            endpoint.load.running = reply.running[endpoint.slot];
        if (endpoint.slot < rampLimits_.size())
            endpoint.load.rampLimit = rampLimits_[endpoint.slot];
    }
}

// True if the set of owned endpoints changed.
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
