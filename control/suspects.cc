// Strikes and quarantine. The number of entries is small (a crash adds at most
// the requests of one endpoint), so expiry scans all of them.

#include "control/suspects.h"

#include <algorithm>

namespace bamboogap {

Suspects::Suspects(SuspectLimits limits)
    : limits_(limits)
{
}

void Suspects::strike(Fingerprint fingerprint, const std::string &crash, int64_t nowMillis)
{
    if (entries_.size() >= limits_.maxEntries && entries_.count(fingerprint) == 0)
        evictOldest();
    Entry &entry = entries_[fingerprint];
    if (isQuarantined(entry)
        || std::find(entry.crashes.begin(), entry.crashes.end(), crash) != entry.crashes.end())
        return;
    entry.crashes.push_back(crash);
    entry.lastMillis = nowMillis;
    ++version_;
}

void Suspects::retract(const std::string &crash)
{
    size_t taken = 0;
    for (auto &[fingerprint, entry] : entries_)
        taken += std::erase(entry.crashes, crash);
    if (taken == 0)
        return;
    std::erase_if(entries_, [](const auto &item) { return item.second.crashes.empty(); });
    ++version_;
}

void Suspects::absolve(Fingerprint fingerprint)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || isQuarantined(found->second))
        return;
    entries_.erase(found);
    ++version_;
}

bool Suspects::release(Fingerprint fingerprint)
{
    if (entries_.erase(fingerprint) == 0)
        return false;
    ++version_;
    return true;
}

void Suspects::expire(int64_t nowMillis)
{
    const size_t erased = std::erase_if(
            entries_, [&](const auto &item) { return dueMillis(item.second) <= nowMillis; });
    if (erased > 0)
        ++version_;
}

bool Suspects::hasExpired(int64_t nowMillis) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const auto &item) { return dueMillis(item.second) <= nowMillis; });
}

Standing Suspects::standingOf(Fingerprint fingerprint) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end())
        return Standing::Clear;
    return isQuarantined(found->second) ? Standing::Quarantined : Standing::Suspect;
}

std::vector<SuspectChange> Suspects::all() const
{
    std::vector<SuspectChange> changes;
    changes.reserve(entries_.size());
    for (const auto &[fingerprint, entry] : entries_) {
        changes.push_back(
                { fingerprint, isQuarantined(entry) ? Standing::Quarantined : Standing::Suspect });
    }
    return changes;
}

bool Suspects::isQuarantined(const Entry &entry) const
{
    return entry.crashes.size() >= limits_.strikesToQuarantine;
}

int64_t Suspects::dueMillis(const Entry &entry) const
{
    return entry.lastMillis
            + (isQuarantined(entry) ? limits_.quarantineMillis : limits_.suspectMillis);
}

void Suspects::evictOldest()
{
    const auto oldest = std::min_element(
            entries_.begin(), entries_.end(), [&](const auto &left, const auto &right) {
                return dueMillis(left.second) < dueMillis(right.second);
            });
    if (oldest != entries_.end())
        entries_.erase(oldest);
}

nlohmann::json Suspects::save() const
{
    auto list = nlohmann::json::array();
    for (const auto &[fingerprint, entry] : entries_)
        list.push_back({ fingerprint, entry.crashes, entry.lastMillis });
    return { { "version", version_ }, { "entries", list } };
}

Suspects Suspects::load(const nlohmann::json &saved, SuspectLimits limits)
{
    Suspects loaded(limits);
    loaded.version_ = saved.at("version").get<uint64_t>();
    for (const auto &item : saved.at("entries")) {
        loaded.entries_[item.at(0).get<Fingerprint>()]
                = { item.at(1).get<std::vector<std::string>>(), item.at(2).get<int64_t>() };
    }
    return loaded;
}

} // namespace bamboogap
