// Expiry scans all entries: there are few of them, since a crash adds at most the requests of
// one endpoint.

#include "control/suspects.h"

#include <algorithm>
#include <set>

namespace bamboogap {

SuspectRequests::SuspectRequests(SuspectLimits limits)
    : limits_(limits)
{
}

void SuspectRequests::recordCrash(Fingerprint fingerprint, const std::string &crash,
                                  int64_t nowMillis)
{
    std::vector<Fingerprint> changed;
    if (entries_.size() >= limits_.maxEntries && entries_.count(fingerprint) == 0)
        changed = evictOldest();
    Entry &entry = entries_[fingerprint];
    if (isQuarantined(entry)
        || std::find(entry.crashes.begin(), entry.crashes.end(), crash) != entry.crashes.end())
        return;
    entry.crashes.push_back(crash);
    entry.lastMillis = nowMillis;
    changed.push_back(fingerprint);
    noteChanges(changed);
}

void SuspectRequests::withdrawCrash(const std::string &crash)
{
    std::vector<Fingerprint> changed;
    for (auto &[fingerprint, entry] : entries_) {
        if (std::erase(entry.crashes, crash) > 0)
            changed.push_back(fingerprint);
    }
    removeIf([](const Entry &entry) { return entry.crashes.empty(); });
    noteChanges(changed);
}

void SuspectRequests::clear(Fingerprint fingerprint)
{
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end() && !isQuarantined(found->second))
        liftQuarantine(fingerprint);
}

bool SuspectRequests::liftQuarantine(Fingerprint fingerprint)
{
    if (entries_.erase(fingerprint) == 0)
        return false;
    noteChanges(std::span(&fingerprint, 1));
    return true;
}

void SuspectRequests::expire(int64_t nowMillis)
{
    noteChanges(removeIf([&](const Entry &entry) { return expiryMillis(entry) <= nowMillis; }));
}

template<typename Condition> std::vector<Fingerprint> SuspectRequests::removeIf(Condition condition)
{
    std::vector<Fingerprint> removed;
    for (auto item = entries_.begin(); item != entries_.end();) {
        if (!condition(item->second)) {
            ++item;
            continue;
        }
        removed.push_back(item->first);
        item = entries_.erase(item);
    }
    return removed;
}

void SuspectRequests::noteChanges(std::span<const Fingerprint> changed)
{
    if (changed.empty())
        return;
    ++version_;
    for (const Fingerprint fingerprint : changed)
        changes_.push_back({ version_, fingerprint });
    while (changes_.size() > kMaxChanges
           || (!changes_.empty() && changes_.front().version == changesFrom_)) {
        changesFrom_ = changes_.front().version;
        changes_.pop_front();
    }
}

std::optional<std::vector<SuspectRequest>> SuspectRequests::changesSince(uint64_t version) const
{
    if (version < changesFrom_ || version > version_)
        return std::nullopt;
    std::set<Fingerprint> changed;
    for (auto item = changes_.rbegin(); item != changes_.rend() && item->version > version; ++item)
        changed.insert(item->fingerprint);
    std::vector<SuspectRequest> requests;
    for (const Fingerprint fingerprint : changed)
        requests.push_back({ fingerprint, statusOf(fingerprint) });
    return requests;
}

bool SuspectRequests::hasExpired(int64_t nowMillis) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const auto &item) { return expiryMillis(item.second) <= nowMillis; });
}

SuspicionStatus SuspectRequests::statusOf(Fingerprint fingerprint) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end())
        return SuspicionStatus::Clear;
    return isQuarantined(found->second) ? SuspicionStatus::Quarantined : SuspicionStatus::Suspect;
}

std::vector<SuspectRequest> SuspectRequests::all() const
{
    std::vector<SuspectRequest> requests;
    requests.reserve(entries_.size());
    for (const auto &[fingerprint, entry] : entries_) {
        requests.push_back(
                { fingerprint,
                  isQuarantined(entry) ? SuspicionStatus::Quarantined : SuspicionStatus::Suspect });
    }
    return requests;
}

bool SuspectRequests::isQuarantined(const Entry &entry) const
{
    return entry.crashes.size() >= limits_.crashesToQuarantine;
}

int64_t SuspectRequests::expiryMillis(const Entry &entry) const
{
    return entry.lastMillis
            + (isQuarantined(entry) ? limits_.quarantineMillis : limits_.suspectMillis);
}

std::vector<Fingerprint> SuspectRequests::evictOldest()
{
    const auto oldest = std::min_element(
            entries_.begin(), entries_.end(), [&](const auto &left, const auto &right) {
                return expiryMillis(left.second) < expiryMillis(right.second);
            });
    if (oldest == entries_.end())
        return {};
    const Fingerprint evicted = oldest->first;
    entries_.erase(oldest);
    return { evicted };
}

nlohmann::json SuspectRequests::save() const
{
    auto list = nlohmann::json::array();
    for (const auto &[fingerprint, entry] : entries_)
        list.push_back({ fingerprint, entry.crashes, entry.lastMillis });
    return { { "version", version_ }, { "entries", list } };
}

SuspectRequests SuspectRequests::load(const nlohmann::json &saved, SuspectLimits limits)
{
    SuspectRequests loaded(limits);
    loaded.version_ = saved.at("version").get<uint64_t>();
    loaded.changesFrom_ = loaded.version_;
    for (const auto &item : saved.at("entries")) {
        loaded.entries_[item.at(0).get<Fingerprint>()]
                = { item.at(1).get<std::vector<std::string>>(), item.at(2).get<int64_t>() };
    }
    return loaded;
}

} // namespace bamboogap
