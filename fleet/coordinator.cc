// Grants leases, proposes views and distributes the endpoint registry.

#include "fleet/coordinator.h"

#include <algorithm>
#include <limits>

namespace bamboogap {

Coordinator::Coordinator(CoordinatorSettings settings, uint64_t term, const View &view, Instant now)
    : settings_(settings)
    , term_(term)
    , startedAt_(now)
    , registry_(settings.endpoints, term)
{
    for (const RouterInfo &info : view.routers) {
        Router &router = routers_[info.name];
        router.info = info;
        router.lastSeen = now;
        router.leaseEnd = now + leaseUpperBound();
    }
}

HeartbeatReply Coordinator::heartbeat(const Heartbeat &heartbeat, const ControlState &state,
                                      Instant now)
{
    HeartbeatReply reply;
    reply.sequence = heartbeat.sequence;
    reply.term = term_;
    Router *router = findOrAddRouter(heartbeat, now);
    if (!router)
        return reply;
    router->ackedEpoch = heartbeat.knownEpoch;
    router->ackedRevision = heartbeat.knownRevision;
    router->ackedSuspects = heartbeat.knownSuspects;
    router->leaving = heartbeat.leaving;
    router->reportedEndpoints = heartbeat.leaderTerm == term_;
    router->loads.clear();
    for (const OwnLoad &load : heartbeat.loads)
        router->loads[load.key] = load;
    addToSample(heartbeat, *router);
    router->sample = heartbeat.sample;
    for (const SeenEndpoint &seen : heartbeat.seenEndpoints)
        registry_.observe(seen, now);

    const View &view = state.view();
    const RouterInfo *member = view.find(heartbeat.router.name);
    if (member && *member == heartbeat.router) {
        reply.granted = true;
        reply.lease = settings_.lease;
        router->leaseEnd = now + leaseUpperBound();
    }
    if (heartbeat.knownEpoch != view.epoch)
        reply.view = view;
    reply.activeEpoch = activeEpoch(state, now);
    if (heartbeat.knownRevision < state.lists().revision)
        reply.lists = state.lists();
    reply.suspectsVersion = state.suspects().version();
    if (heartbeat.knownSuspects != reply.suspectsVersion) {
        if (heartbeat.takesSuspectChanges)
            reply.suspects = state.suspects().changesSince(heartbeat.knownSuspects);
        reply.suspectsAreChanges = reply.suspects.has_value();
        if (!reply.suspects)
            reply.suspects = state.suspects().all();
    }
    reply.registryReady = registryReady(view, now);
    if (reply.registryReady) {
        reply.registryDelta
                = registry_.deltaSince(heartbeat.registryTerm, heartbeat.registryVersion);
        addLoads(reply, heartbeat, now);
        reply.pools = poolLoads(now);
    }
    return reply;
}

std::optional<SetViewCommand> Coordinator::tick(const ControlState &state, Instant now,
                                                int64_t nowMillis)
{
    registry_.tick(now);
    std::erase_if(replaced_, [&](const Router &router) { return !mayHoldLease(router, now); });
    std::erase_if(routers_, [&](const auto &item) {
        return now - item.second.lastSeen > settings_.lostLoadRetention
                && !mayHoldLease(item.second, now) && !state.view().find(item.first);
    });
    SetViewCommand command;
    command.base = state.view().epoch;
    command.nowMillis = nowMillis;
    for (const auto &[name, router] : routers_) {
        const bool alive = router.everSeen && now - router.lastSeen < settings_.lease;
        const bool held = mayHoldLease(router, now);
        // A router that is leaving is left out of the proposal, but keeps its lease until it has
        // acknowledged a view without itself or the lease has ended.
        if (!router.leaving && (alive || held))
            command.routers.push_back(router.info);
    }
    std::sort(
            command.routers.begin(), command.routers.end(),
            [](const RouterInfo &left, const RouterInfo &right) { return left.name < right.name; });
    if (command.routers == state.view().routers)
        return std::nullopt;
    for (const RouterInfo &before : state.view().routers) {
        const auto stays = std::find(command.routers.begin(), command.routers.end(), before);
        const auto found = routers_.find(before.name);
        const bool leavesOrderly = found != routers_.end() && found->second.info == before
                && found->second.leaving && mayHoldLease(found->second, now);
        if (stays == command.routers.end() && !leavesOrderly)
            command.ended.push_back({ before.name, before.incarnation });
    }
    return command;
}

Epoch Coordinator::activeEpoch(const ControlState &state, Instant now) const
{
    // Routers that were removed from the view before this leader was elected may still hold leases.
    if (now < startedAt_ + leaseUpperBound())
        return 0;
    Epoch active = state.view().epoch;
    for (const auto &[name, router] : routers_) {
        if (mayHoldLease(router, now))
            active = std::min(active, router.ackedEpoch);
    }
    for (const Router &router : replaced_) {
        if (mayHoldLease(router, now))
            active = std::min(active, router.ackedEpoch);
    }
    return active;
}

Revision Coordinator::revisionInForce(const ControlState &state, Instant now) const
{
    if (now < startedAt_ + leaseUpperBound()) {
        const bool allHeard = std::all_of(routers_.begin(), routers_.end(),
                                          [](const auto &item) { return item.second.everSeen; });
        if (!allHeard)
            return 0;
    }
    Revision revision = state.lists().revision;
    for (const auto &[name, router] : routers_) {
        if (mayHoldLease(router, now))
            revision = std::min(revision, router.ackedRevision);
    }
    for (const Router &router : replaced_) {
        if (mayHoldLease(router, now))
            revision = std::min(revision, router.ackedRevision);
    }
    return revision;
}

bool Coordinator::suspectsInForce(const ControlState &state, Instant now) const
{
    const uint64_t version = state.suspects().version();
    return std::all_of(routers_.begin(), routers_.end(), [&](const auto &item) {
        return !mayHoldLease(item.second, now) || item.second.ackedSuspects >= version;
    });
}

std::vector<RouterStatus> Coordinator::routers(const ControlState &state, Instant now) const
{
    std::vector<RouterStatus> all;
    for (const auto &[name, router] : routers_) {
        const RouterInfo *member = state.view().find(name);
        all.push_back({ router.info, member && *member == router.info,
                        mayHoldLease(router, now) && router.everSeen, router.leaving,
                        router.ackedEpoch, router.ackedRevision, toMillis(now - router.lastSeen) });
    }
    return all;
}

// Upper bound, on the leader's clock, of the time from a grant to the end of the lease, for any
// clock drift allowed between leader and router. The router counts its lease from before the grant.
Duration Coordinator::leaseUpperBound() const
{
    return std::chrono::duration_cast<Duration>(settings_.lease * (1.0 + 2 * settings_.maxDrift));
}

bool Coordinator::mayHoldLease(const Router &router, Instant now) const
{
    return now < router.leaseEnd;
}

// A new leader sends no registry until each router of the view has reported its endpoints or its
// lease has ended.
bool Coordinator::registryReady(const View &view, Instant now) const
{
    if (now >= startedAt_ + leaseUpperBound())
        return true;
    return std::all_of(view.routers.begin(), view.routers.end(), [&](const RouterInfo &info) {
        const auto found = routers_.find(info.name);
        return found != routers_.end() && found->second.reportedEndpoints;
    });
}

// Sets the running requests by slot, summed over all routers, and the slow-start limits if they
// have changed since the router last received them, which is rare once all endpoints are warm.
void Coordinator::addLoads(HeartbeatReply &reply, const Heartbeat &heartbeat, Instant now)
{
    const auto &entries = registry_.entries();
    const size_t slots = entries.empty() ? 0 : entries.rbegin()->first + size_t { 1 };
    reply.running.resize(slots);
    std::vector<uint16_t> limits(slots);
    const auto add = [&](const Router &router) {
        if (now - router.lastSeen > settings_.lease + settings_.lostLoadRetention)
            return;
        for (const auto &[key, load] : router.loads) {
            const auto slot = registry_.slotOf(key);
            if (!slot)
                continue;
            const uint32_t running = reply.running[*slot] + uint32_t { load.running };
            reply.running[*slot] = static_cast<uint16_t>(
                    std::min<uint32_t>(running, std::numeric_limits<uint16_t>::max()));
            limits[*slot] = std::max(limits[*slot], load.slowStartLimit);
        }
    };
    for (const auto &[name, router] : routers_)
        add(router);
    for (const Router &router : replaced_)
        add(router);
    if (limits != slowStartLimits_) {
        slowStartLimits_ = std::move(limits);
        ++limitsVersion_;
    }
    reply.limitsVersion = limitsVersion_;
    if (heartbeat.leaderTerm != term_ || heartbeat.knownLimitsVersion != limitsVersion_)
        reply.slowStartLimits = slowStartLimits_;
}

uint64_t Coordinator::beginSample()
{
    previousSums_ = std::move(currentSums_);
    currentSums_.clear();
    return ++sample_;
}

// Adds the loads of a router to the current sample, at most once per sample.
void Coordinator::addToSample(const Heartbeat &heartbeat, const Router &router)
{
    if (heartbeat.sample != sample_ || router.sample == sample_)
        return;
    for (const PoolLoad &load : heartbeat.pools)
        currentSums_[load.pool] += load.running;
}

// Returns the sums of the latest complete sample: the current one if every router that may hold a
// lease has reported for it, otherwise the previous one.
std::vector<PoolLoad> Coordinator::poolLoads(Instant now) const
{
    const bool whole = std::all_of(routers_.begin(), routers_.end(), [&](const auto &item) {
        return !mayHoldLease(item.second, now) || item.second.sample == sample_;
    });
    std::vector<PoolLoad> loads;
    for (const auto &[pool, running] : whole ? currentSums_ : previousSums_)
        loads.push_back({ pool, running });
    return loads;
}

// Finds or creates the record of the process that sent the heartbeat. Returns null for a process
// that a newer one has replaced and for a heartbeat that arrives after a later one.
Coordinator::Router *Coordinator::findOrAddRouter(const Heartbeat &heartbeat, Instant now)
{
    Router &router = routers_[heartbeat.router.name];
    const bool known = !router.info.name.empty();
    if (known && heartbeat.router.incarnation < router.info.incarnation)
        return nullptr;
    if (known && heartbeat.router.incarnation > router.info.incarnation) {
        // Two processes cannot run at the same address, since both need the port, so the old
        // process has ended. At another address the old lease has to expire first.
        if (router.info.address != heartbeat.router.address && mayHoldLease(router, now))
            replaced_.push_back(router);
        router = Router {};
    }
    if (router.everSeen && heartbeat.sequence <= router.sequence)
        return nullptr;
    router.info = heartbeat.router;
    router.sequence = heartbeat.sequence;
    router.lastSeen = now;
    router.everSeen = true;
    return &router;
}

} // namespace bamboogap
