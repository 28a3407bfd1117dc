// Expiry scans all entries: there are few of them, since a crash adds at most the requests of
// one endpoint.

#include "control/suspects.h"

#include <algorithm>

namespace bamboogap {

SuspectRequests::SuspectRequests(SuspectLimits limits)
    : limits_(limits)
{
}

void SuspectRequests::recordCrash(Fingerprint fingerprint, const std::string &crash,
                                  int64_t nowMillis)
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

void SuspectRequests::withdrawCrash(const std::string &crash)
{
    size_t removed = 0;
    for (auto &[fingerprint, entry] : entries_)
        removed += std::erase(entry.crashes, crash);
    if (removed == 0)
        return;
    std::erase_if(entries_, [](const auto &item) { return item.second.crashes.empty(); });
    ++version_;
}

void SuspectRequests::clear(Fingerprint fingerprint)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || isQuarantined(found->second))
        return;
    entries_.erase(found);
    ++version_;
}

bool SuspectRequests::liftQuarantine(Fingerprint fingerprint)
{
    if (entries_.erase(fingerprint) == 0)
        return false;
    ++version_;
    return true;
}

void SuspectRequests::expire(int64_t nowMillis)
{
    const size_t erased = std::erase_if(
            entries_, [&](const auto &item) { return expiryMillis(item.second) <= nowMillis; });
    if (erased > 0)
        ++version_;
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

void SuspectRequests::evictOldest()
{
    const auto oldest = std::min_element(
            entries_.begin(), entries_.end(), [&](const auto &left, const auto &right) {
                return expiryMillis(left.second) < expiryMillis(right.second);
            });
    if (oldest != entries_.end())
        entries_.erase(oldest);
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
    for (const auto &item : saved.at("entries")) {
        loaded.entries_[item.at(0).get<Fingerprint>()]
                = { item.at(1).get<std::vector<std::string>>(), item.at(2).get<int64_t>() };
    }
    return loaded;
}

} // namespace bamboogap
