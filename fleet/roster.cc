// Ordering, silence and merging of endpoint records.

#include "fleet/roster.h"

#include <algorithm>

namespace bamboogap {

namespace {

// A departure is remembered for as long as a delayed heartbeat may come.
constexpr Duration kRememberGone = std::chrono::seconds(60);
// An endpoint that answered this router so lately is alive, whatever replicas say.
constexpr Duration kAnswerProof = std::chrono::seconds(5);
// Without any word from a replica an endpoint counts as silent after this.
constexpr Duration kNoWord = std::chrono::seconds(12);
// Warm-up ends that differ by less are the same one, heard with other delays.
constexpr Duration kSameWarmup = std::chrono::milliseconds(500);

uint32_t millisFrom(Instant begin, Instant end)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(toMillis(end - begin), 0, UINT32_MAX));
}

bool sameContent(const EndpointRecord &a, const EndpointRecord &b)
{
    return a.bornMillis == b.bornMillis && a.service == b.service && a.address == b.address
            && a.dataCentre == b.dataCentre && a.slots == b.slots && a.state == b.state
            && a.heard == b.heard && a.models == b.models;
}

} // namespace

bool isLater(const EndpointRecord &candidate, const EndpointRecord &known)
{
    if (candidate.bornMillis != known.bornMillis)
        return candidate.bornMillis > known.bornMillis;
    if (known.state == EndpointState::Gone || candidate.state == EndpointState::Gone)
        return known.state != EndpointState::Gone;
    if (candidate.sequence == known.sequence)
        return candidate.state > known.state; // replicas also learn from routers that it leaves
    return candidate.sequence > known.sequence;
}

HeardRoster::HeardRoster(uint64_t epoch, Duration silence)
    : epoch_(epoch)
    , silence_(silence)
{
}

void HeardRoster::heartbeat(EndpointRecord record, Instant now)
{
    record.heard = true;
    const auto found = entries_.find(record.id);
    const bool known = found != entries_.end();
    if (known && !isLater(record, found->second.record))
        return;
    Entry &entry = known ? found->second : entries_[record.id];
    entry.leaving = entry.leaving && record.bornMillis == entry.record.bornMillis;
    if (!known || record.bornMillis != entry.record.bornMillis)
        entry.knownSince = now;
    if (entry.leaving && record.state == EndpointState::Ready)
        record.state = EndpointState::Draining;
    const Instant coldUntil = now + std::chrono::milliseconds(record.warmupLeftMillis);
    const bool cold = record.warmupLeftMillis > 0;
    const bool warmupMoved = cold
            && (coldUntil > entry.coldUntil + kSameWarmup
                || coldUntil < entry.coldUntil - kSameWarmup);
    const bool endedEarly = !cold && entry.coldUntil > now + kSameWarmup;
    if (!known || !sameContent(record, entry.record) || warmupMoved || endedEarly)
        entry.changedAt = ++version_;
    entry.coldUntil = cold ? coldUntil : now;
    entry.heardAt = now;
    entry.record = std::move(record);
}

void HeardRoster::recall(EndpointRecord record, Instant now)
{
    if (entries_.count(record.id) > 0)
        return;
    Entry &entry = entries_[record.id];
    entry.coldUntil = now + std::chrono::milliseconds(record.warmupLeftMillis);
    entry.heardAt = now - std::max(Duration {}, silence_ - kRecalled);
    entry.knownSince = now - std::chrono::milliseconds(record.knownForMillis);
    entry.changedAt = ++version_;
    entry.record = std::move(record);
}

std::vector<EndpointRecord> HeardRoster::records(Instant now) const
{
    std::vector<EndpointRecord> records;
    for (const auto &[id, entry] : entries_) {
        if (!isHeard(entry, now))
            continue;
        records.push_back(toTell(entry, now));
    }
    return records;
}

// Not only as of the last tick: the process may have been paused since.
bool HeardRoster::isHeard(const Entry &entry, Instant now) const
{
    const bool silent = entry.record.state != EndpointState::Gone && now - entry.heardAt > silence_;
    return entry.record.heard && !silent;
}

EndpointRecord HeardRoster::toTell(const Entry &entry, Instant now) const
{
    EndpointRecord record = entry.record;
    record.warmupLeftMillis = millisFrom(now, entry.coldUntil);
    record.knownForMillis = millisFrom(entry.knownSince, now);
    record.heard = isHeard(entry, now);
    return record;
}

void HeardRoster::leave(std::string_view id, int64_t wallMillis, Instant now)
{
    const auto found = entries_.find(id);
    Entry &entry = found == entries_.end() ? entries_[std::string(id)] : found->second;
    if (found == entries_.end()) {
        entry.record.id = id;
        entry.record.bornMillis = wallMillis;
    }
    entry.record.state = EndpointState::Gone;
    entry.heardAt = now;
    entry.changedAt = ++version_;
}

bool HeardRoster::leaving(std::string_view id, int64_t bornMillis)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.record.bornMillis != bornMillis
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

void HeardRoster::tick(Instant now)
{
    for (auto item = entries_.begin(); item != entries_.end();) {
        Entry &entry = item->second;
        if (now - entry.heardAt > kRememberGone) {
            item = entries_.erase(item);
            continue;
        }
        if (entry.record.heard && !isHeard(entry, now)) {
            entry.record.heard = false;
            entry.changedAt = ++version_;
        }
        ++item;
    }
}

RosterChanges HeardRoster::changesSince(uint64_t epoch, uint64_t version, Instant now,
                                        size_t most) const
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
    if (changed.size() > most) {
        std::sort(changed.begin(), changed.end(), [](const Entry *left, const Entry *right) {
            return left->changedAt < right->changedAt;
        });
        changed.resize(most);
        changes.version = changed.back()->changedAt;
    }
    for (const Entry *entry : changed)
        changes.records.push_back(toTell(*entry, now));
    return changes;
}

void MergedRoster::apply(std::string_view replica, const RosterChanges &changes, Instant now)
{
    if (changes.full) {
        for (auto &[id, endpoint] : endpoints_)
            endpoint.heardBy.erase(std::string(replica));
    }
    for (const EndpointRecord &record : changes.records) {
        const auto [item, added] = endpoints_.try_emplace(record.id);
        Endpoint &endpoint = item->second;
        if (added) {
            endpoint.key = endpointKey(record.id);
            endpoint.firstSeen = now;
        }
        const Instant knownSince = now - std::chrono::milliseconds(record.knownForMillis);
        if (added || record.bornMillis > endpoint.record.bornMillis)
            endpoint.knownSince = knownSince;
        else if (record.bornMillis == endpoint.record.bornMillis)
            endpoint.knownSince = std::min(endpoint.knownSince, knownSince);
        const bool departsBeforeBirthIsKnown = !added && record.state == EndpointState::Gone
                && record.bornMillis > endpoint.record.bornMillis;
        if (departsBeforeBirthIsKnown) {
            endpoint.record.state = EndpointState::Gone;
            endpoint.record.bornMillis = record.bornMillis;
            ++version_;
        } else if (added || isLater(record, endpoint.record)) {
            endpoint.leaving = endpoint.leaving && record.bornMillis == endpoint.record.bornMillis;
            endpoint.record = record;
            endpoint.coldUntil = now + std::chrono::milliseconds(record.warmupLeftMillis);
            ++version_;
        }
        if (record.bornMillis >= endpoint.record.bornMillis) {
            endpoint.heardBy[std::string(replica)] = record.heard;
            if (record.heard)
                endpoint.lastProof = now;
        }
        if (record.address.empty())
            continue; // a departure of an endpoint that the replica never heard
        std::string &owner = addressOwners_[record.address];
        const Endpoint *holder = find(owner);
        const auto age = [](const Endpoint &of) {
            return std::pair { of.record.bornMillis, of.firstSeen };
        };
        if (!holder || holder->record.address != record.address || age(endpoint) > age(*holder))
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

void MergedRoster::answered(std::string_view id, Instant now)
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end())
        found->second.lastProof = now;
}

bool MergedRoster::leaving(std::string_view id, int64_t bornMillis)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.leaving
        || found->second.record.bornMillis != bornMillis)
        return false;
    found->second.leaving = true;
    ++version_;
    return true;
}

void MergedRoster::misdirected(std::string_view id)
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
        if (isSilent(endpoint, now) && now - endpoint.lastProof > kRememberGone
            && now - endpoint.firstSeen > kRememberGone) {
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
        if (isSilent(endpoint, now))
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

bool MergedRoster::isSilent(const Endpoint &endpoint, Instant now) const
{
    if (now - endpoint.lastProof < kAnswerProof)
        return false;
    bool told = false;
    for (const auto &[replica, heard] : endpoint.heardBy) {
        if (lostReplicas_.count(replica) > 0)
            continue;
        if (heard)
            return false;
        told = true;
    }
    return told || now - endpoint.lastProof > kNoWord;
}

bool MergedRoster::mayUse(const Endpoint &endpoint, Instant now) const
{
    return endpoint.record.state == EndpointState::Ready && !endpoint.leaving
            && isThere(endpoint, now);
}

bool MergedRoster::isThere(const Endpoint &endpoint, Instant now) const
{
    if (endpoint.record.state == EndpointState::Gone || isSilent(endpoint, now))
        return false;
    const auto owner = addressOwners_.find(endpoint.record.address);
    return owner == addressOwners_.end() || owner->second == endpoint.record.id;
}

} // namespace bamboogap
