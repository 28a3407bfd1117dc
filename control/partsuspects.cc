#include "control/partsuspects.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/hash.h"

namespace bamboogap {

Fingerprint partFingerprint(uint64_t partId)
{
    return combineHashes(hashBytes("prompt part"), partId);
}

std::string crashName(std::string_view endpoint, int64_t startMillis)
{
    return fmt::format("{}/{}", endpoint, startMillis);
}

PartSuspects::PartSuspects(PartSuspectLimits limits)
    : limits_(limits)
{
}

void PartSuspects::recordCrash(const PartCrash &crash)
{
    if (entries_.size() >= limits_.maxParts && entries_.count(crash.part) == 0)
        dropOldest();
    std::vector<Crash> &crashes = entries_[crash.part].crashes;
    const std::string name = crashName(crash.endpoint, crash.startMillis);
    const auto known = std::find_if(crashes.begin(), crashes.end(),
                                    [&](const Crash &item) { return item.name == name; });
    if (known != crashes.end()) {
        known->sentAt = std::max(known->sentAt, crash.sentAt);
        known->brokeAt = std::min(known->brokeAt, crash.brokeAt);
    } else {
        crashes.push_back({ name, crash.sentAt, crash.brokeAt });
    }
    std::sort(crashes.begin(), crashes.end(),
              [](const Crash &a, const Crash &b) { return a.brokeAt < b.brokeAt; });
    if (crashes.size() > limits_.maxCrashes)
        crashes.erase(crashes.begin());
}

void PartSuspects::recordFirstToken(Fingerprint part, Instant at)
{
    const auto found = entries_.find(part);
    if (found == entries_.end())
        return;
    found->second.hadFirstToken = true;
    removeCrashes(found->second, part, [at](const Crash &crash) { return crash.brokeAt <= at; });
    if (found->second.crashes.empty())
        entries_.erase(found);
}

void PartSuspects::recordAnyFirstToken(Instant at)
{
    anyFirstTokenAt_ = std::max(anyFirstTokenAt_, at);
}

void PartSuspects::withdrawCrash(std::string_view endpoint, int64_t startMillis)
{
    const std::string name = crashName(endpoint, startMillis);
    for (auto &[part, entry] : entries_)
        removeCrashes(entry, part, [&](const Crash &crash) { return crash.name == name; });
    std::erase_if(entries_, [](const auto &item) { return item.second.crashes.empty(); });
}

template<typename Condition>
void PartSuspects::removeCrashes(Entry &entry, Fingerprint part, Condition condition)
{
    if (std::erase_if(entry.crashes, condition) == 0)
        return;
    if (entry.quarantined && countInSequence(entry, {}).crashes < limits_.crashesToQuarantine) {
        entry.quarantined = false;
        released_.push_back(part);
    }
}

// The largest number of crashes of which each had a request that was sent after the one before.
PartSuspects::Count PartSuspects::countInSequence(const Entry &entry, const CrashNames &explained)
{
    Count count;
    Instant last = Instant::min();
    for (const Crash &crash : entry.crashes) {
        if (crash.sentAt < last || explained.count(crash.name) > 0)
            continue;
        if (count.crashes == 0)
            count.first = crash.brokeAt;
        ++count.crashes;
        last = crash.brokeAt;
    }
    return count;
}

PartSuspects::CrashNames PartSuspects::explainedCrashes() const
{
    CrashNames names;
    for (const auto &[part, entry] : entries_) {
        if (!entry.quarantined)
            continue;
        for (const Crash &crash : entry.crashes)
            names.insert(crash.name);
    }
    return names;
}

std::vector<PartSuspects::Verdict> PartSuspects::quarantine(Instant now, Duration evidenceDelay)
{
    std::vector<Verdict> verdicts;
    while (true) {
        const CrashNames explained = explainedCrashes();
        std::pair<bool, size_t> most; // never had a first token, and the number of crashes
        std::vector<Fingerprint> parts; // that have the most
        for (const auto &[part, entry] : entries_) {
            if (entry.quarantined || entry.crashes.size() < limits_.crashesToQuarantine)
                continue;
            const Count count = countInSequence(entry, explained);
            if (count.crashes < limits_.crashesToQuarantine || now - count.first < evidenceDelay
                || anyFirstTokenAt_ <= count.first)
                continue;
            const std::pair weight { !entry.hadFirstToken, count.crashes };
            if (weight > most)
                parts.clear();
            if (weight >= most) {
                most = weight;
                parts.push_back(part);
            }
        }
        if (parts.empty())
            return verdicts;
        for (const Fingerprint part : parts) {
            Entry &entry = entries_.at(part);
            entry.quarantined = true;
            Verdict verdict { part, {} };
            for (const Crash &crash : entry.crashes)
                verdict.crashes.push_back(crash.name);
            verdicts.push_back(std::move(verdict));
        }
    }
}

std::vector<Fingerprint> PartSuspects::takeReleased()
{
    return std::exchange(released_, {});
}

bool PartSuspects::isQuarantined(Fingerprint part) const
{
    const auto found = entries_.find(part);
    return found != entries_.end() && found->second.quarantined;
}

std::vector<Fingerprint> PartSuspects::suspects(size_t maxCount) const
{
    std::vector<const std::pair<const Fingerprint, Entry> *> items;
    for (const auto &item : entries_) {
        if (!item.second.quarantined)
            items.push_back(&item);
    }
    std::stable_sort(items.begin(), items.end(), [](const auto *a, const auto *b) {
        return a->second.crashes.size() > b->second.crashes.size();
    });
    items.resize(std::min(items.size(), maxCount));
    std::vector<Fingerprint> parts;
    for (const auto *item : items)
        parts.push_back(item->first);
    return parts;
}

void PartSuspects::expire(Instant now)
{
    std::erase_if(entries_, [&](const auto &item) {
        return now - item.second.crashes.back().brokeAt > limits_.retention;
    });
}

void PartSuspects::dropOldest()
{
    const auto oldest = std::min_element(
            entries_.begin(), entries_.end(), [](const auto &left, const auto &right) {
                return left.second.crashes.back().brokeAt < right.second.crashes.back().brokeAt;
            });
    if (oldest != entries_.end())
        entries_.erase(oldest);
}

} // namespace bamboogap
