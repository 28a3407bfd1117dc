// Ordering, timeouts and merging of endpoint records.

#include "fleet/roster.h"

#include <algorithm>

namespace bamboogap {

namespace {

// Departures are kept for as long as a delayed heartbeat may still arrive.
constexpr Duration kGoneRetention = std::chrono::seconds(60);
// An endpoint that responded to this router within this time is alive, whatever the replicas
// report.
constexpr Duration kResponseValidity = std::chrono::seconds(5);
// An endpoint that no reachable replica has a record of times out this long after it was last known
// to be alive.
constexpr Duration kNoReportTimeout = std::chrono::seconds(12);
// Ends of warm-up that differ by less are treated as equal: the difference is message delay.
constexpr Duration kWarmupTolerance = std::chrono::milliseconds(500);

uint32_t millisFrom(Instant begin, Instant end)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(toMillis(end - begin), 0, UINT32_MAX));
}

bool sameContent(const EndpointRecord &a, const EndpointRecord &b)
{
    return a.startMillis == b.startMillis && a.service == b.service && a.address == b.address
            && a.dataCentre == b.dataCentre && a.slots == b.slots && a.state == b.state
            && a.alive == b.alive && a.models == b.models && a.softwareVersion == b.softwareVersion;
}

} // namespace

bool isLater(const EndpointRecord &candidate, const EndpointRecord &known)
{
    if (candidate.startMillis != known.startMillis)
        return candidate.startMillis > known.startMillis;
    if (known.state == EndpointState::Gone || candidate.state == EndpointState::Gone)
        return known.state != EndpointState::Gone;
    if (candidate.sequence == known.sequence)
        return candidate.state > known.state; // routers report draining endpoints to replicas, too
    return candidate.sequence > known.sequence;
}

ReplicaRoster::ReplicaRoster(uint64_t epoch, Duration heartbeatTimeout)
    : epoch_(epoch)
    , heartbeatTimeout_(heartbeatTimeout)
{
}

void ReplicaRoster::heartbeat(EndpointRecord record, Instant now)
{
    record.alive = true;
    const auto found = entries_.find(record.id);
    const bool known = found != entries_.end();
    if (known && !isLater(record, found->second.record))
        return;
    Entry &entry = known ? found->second : entries_[record.id];
    entry.leaving = entry.leaving && record.startMillis == entry.record.startMillis;
    if (!known || record.startMillis != entry.record.startMillis)
        entry.knownSince = now;
    if (entry.leaving && record.state == EndpointState::Ready)
        record.state = EndpointState::Draining;
    const Instant coldUntil = now + std::chrono::milliseconds(record.warmupLeftMillis);
    const bool cold = record.warmupLeftMillis > 0;
    const bool warmupChanged = cold
            && (coldUntil > entry.coldUntil + kWarmupTolerance
                || coldUntil < entry.coldUntil - kWarmupTolerance);
    const bool warmupEndedEarly = !cold && entry.coldUntil > now + kWarmupTolerance;
    if (!known || !sameContent(record, entry.record) || warmupChanged || warmupEndedEarly)
        entry.changedAt = ++version_;
    entry.coldUntil = cold ? coldUntil : now;
    entry.lastSeen = now;
    entry.record = std::move(record);
}

void ReplicaRoster::restore(EndpointRecord record, Instant now)
{
    const auto found = entries_.find(record.id);
    if (found != entries_.end() && !isLater(record, found->second.record))
        return;
    Entry &entry = entries_[record.id];
    entry.coldUntil = now + std::chrono::milliseconds(record.warmupLeftMillis);
    entry.lastSeen = now - std::max(Duration {}, heartbeatTimeout_ - kRestoredValidity);
    entry.knownSince = now - std::chrono::milliseconds(record.knownForMillis);
    entry.changedAt = ++version_;
    entry.record = std::move(record);
}

std::vector<EndpointRecord> ReplicaRoster::records(Instant now) const
{
    std::vector<EndpointRecord> records;
    for (const auto &[id, entry] : entries_) {
        if (!isAlive(entry, now))
            continue;
        records.push_back(currentRecord(entry, now));
    }
    return records;
}

// Compares with the current time, since the process may have been paused after the last tick().
bool ReplicaRoster::isAlive(const Entry &entry, Instant now) const
{
    const bool timedOut
            = entry.record.state != EndpointState::Gone && now - entry.lastSeen > heartbeatTimeout_;
    return entry.record.alive && !timedOut;
}

EndpointRecord ReplicaRoster::currentRecord(const Entry &entry, Instant now) const
{
    EndpointRecord record = entry.record;
    record.warmupLeftMillis = millisFrom(now, entry.coldUntil);
    record.knownForMillis = millisFrom(entry.knownSince, now);
    record.alive = isAlive(entry, now);
    return record;
}

void ReplicaRoster::leave(std::string_view id, int64_t wallMillis, Instant now)
{
    const auto found = entries_.find(id);
    Entry &entry = found == entries_.end() ? entries_[std::string(id)] : found->second;
    if (found == entries_.end()) {
        entry.record.id = id;
        entry.record.startMillis = wallMillis;
    }
    entry.record.state = EndpointState::Gone;
    entry.lastSeen = now;
    entry.changedAt = ++version_;
}

std::optional<EndpointRecord> ReplicaRoster::find(std::string_view id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.record);
}

bool ReplicaRoster::markLeaving(std::string_view id, int64_t startMillis)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.record.startMillis != startMillis
        || found->second.leaving)
        return false;
    Entry &entry = found->second;
    entry.leaving = true;
    if (entry.record.state != EndpointState::Ready)
        return false;
    entry.record.state = EndpointState::Draining;
    entry.changedAt = ++version_;
    return true;
}

void ReplicaRoster::tick(Instant now)
{
    for (auto item = entries_.begin(); item != entries_.end();) {
        Entry &entry = item->second;
        if (now - entry.lastSeen > kGoneRetention) {
            item = entries_.erase(item);
            continue;
        }
        if (entry.record.alive && !isAlive(entry, now)) {
            entry.record.alive = false;
            entry.changedAt = ++version_;
        }
        ++item;
    }
}

RosterChanges ReplicaRoster::changesSince(uint64_t epoch, uint64_t version, Instant now,
                                          size_t maxRecords) const
{
    RosterChanges changes;
    changes.epoch = epoch_;
    changes.version = version_;
    changes.full = epoch != epoch_;
    std::vector<const Entry *> changed;
    for (const auto &[id, entry] : entries_) {
        if (changes.full || entry.changedAt > version)
            changed.push_back(&entry);
    }
    if (changed.size() > maxRecords) {
        std::sort(changed.begin(), changed.end(), [](const Entry *left, const Entry *right) {
            return left->changedAt < right->changedAt;
        });
        changed.resize(maxRecords);
        changes.version = changed.back()->changedAt;
    }
    for (const Entry *entry : changed)
        changes.records.push_back(currentRecord(*entry, now));
    return changes;
}

void MergedRoster::apply(std::string_view replica, const RosterChanges &changes, Instant now)
{
    if (changes.full) {
        for (auto &[id, endpoint] : endpoints_)
            endpoint.aliveByReplica.erase(std::string(replica));
    }
    for (const EndpointRecord &record : changes.records) {
        const auto [item, added] = endpoints_.try_emplace(record.id);
        Endpoint &endpoint = item->second;
        if (added) {
            endpoint.key = endpointKey(record.id);
            endpoint.firstSeen = now;
        }
        const Instant knownSince = now - std::chrono::milliseconds(record.knownForMillis);
        if (added || record.startMillis > endpoint.record.startMillis)
            endpoint.knownSince = knownSince;
        else if (record.startMillis == endpoint.record.startMillis)
            endpoint.knownSince = std::min(endpoint.knownSince, knownSince);
        const bool departureOfUnseenIncarnation = !added && record.state == EndpointState::Gone
                && record.startMillis > endpoint.record.startMillis;
        if (departureOfUnseenIncarnation) {
            endpoint.record.state = EndpointState::Gone;
            endpoint.record.startMillis = record.startMillis;
            ++version_;
        } else if (added || isLater(record, endpoint.record)) {
            endpoint.leaving
                    = endpoint.leaving && record.startMillis == endpoint.record.startMillis;
            endpoint.record = record;
            endpoint.coldUntil = now + std::chrono::milliseconds(record.warmupLeftMillis);
            ++version_;
        }
        if (record.startMillis >= endpoint.record.startMillis) {
            endpoint.aliveByReplica[std::string(replica)] = record.alive;
            if (record.alive)
                endpoint.lastAlive = now;
        }
        if (record.address.empty())
            continue; // a departure of an endpoint that the replica has never seen
        std::string &owner = addressOwners_[record.address];
        const Endpoint *current = find(owner);
        const auto age = [](const Endpoint &of) {
            return std::pair { of.record.startMillis, of.firstSeen };
        };
        if (!current || current->record.address != record.address || age(endpoint) > age(*current))
            owner = record.id;
    }
}

void MergedRoster::setReachable(std::string_view replica, bool reachable)
{
    if (reachable)
        lostReplicas_.erase(std::string(replica));
    else
        lostReplicas_.emplace(replica);
}

void MergedRoster::recordResponse(std::string_view id, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end())
        found->second.lastAlive = now;
}

bool MergedRoster::markLeaving(std::string_view id, int64_t startMillis)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.leaving
        || found->second.record.startMillis != startMillis)
        return false;
    found->second.leaving = true;
    ++version_;
    return true;
}

bool MergedRoster::hasAnnouncedDeparture(std::string_view id, int64_t startMillis) const
{
    const Endpoint *endpoint = find(id);
    return endpoint && endpoint->record.startMillis == startMillis
            && (endpoint->leaving || endpoint->record.state != EndpointState::Ready);
}

void MergedRoster::markMisdirected(std::string_view id)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.record.state == EndpointState::Gone)
        return;
    found->second.record.state = EndpointState::Gone;
    ++version_;
}

void MergedRoster::tick(Instant now)
{
    for (auto item = endpoints_.begin(); item != endpoints_.end();) {
        const Endpoint &endpoint = item->second;
        if (isTimedOut(endpoint, now) && now - endpoint.lastAlive > kGoneRetention
            && now - endpoint.firstSeen > kGoneRetention) {
            addressOwners_.erase(endpoint.record.address);
            item = endpoints_.erase(item);
            ++version_;
        } else {
            ++item;
        }
    }
}

std::vector<EndpointRecord> MergedRoster::records(Instant now) const
{
    std::vector<EndpointRecord> records;
    for (const auto &[id, endpoint] : endpoints_) {
        if (isTimedOut(endpoint, now))
            continue;
        records.push_back(endpoint.record);
        records.back().warmupLeftMillis = millisFrom(now, endpoint.coldUntil);
        records.back().knownForMillis = millisFrom(endpoint.knownSince, now);
    }
    return records;
}

const MergedRoster::Endpoint *MergedRoster::find(std::string_view id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

bool MergedRoster::isTimedOut(const Endpoint &endpoint, Instant now) const
{
    if (now - endpoint.lastAlive < kResponseValidity)
        return false;
    bool reported = false;
    for (const auto &[replica, aliveAtReplica] : endpoint.aliveByReplica) {
        if (lostReplicas_.count(replica) > 0)
            continue;
        if (aliveAtReplica)
            return false;
        reported = true;
    }
    return reported || now - endpoint.lastAlive > kNoReportTimeout;
}

bool MergedRoster::mayUse(const Endpoint &endpoint, Instant now) const
{
    return endpoint.record.state == EndpointState::Ready && !endpoint.leaving
            && isPresent(endpoint, now);
}

bool MergedRoster::isPresent(const Endpoint &endpoint, Instant now) const
{
    if (endpoint.record.state == EndpointState::Gone || isTimedOut(endpoint, now))
        return false;
    const auto owner = addressOwners_.find(endpoint.record.address);
    return owner == addressOwners_.end() || owner->second == endpoint.record.id;
}

} // namespace bamboogap
