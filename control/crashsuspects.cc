#include "control/crashsuspects.h"

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

CrashSuspects::CrashSuspects(CrashSuspectLimits limits)
    : limits_(limits)
{
}

void CrashSuspects::recordCrash(const CrashEvidence &crash)
{
    if (entries_.size() >= limits_.maxSubjects && entries_.count(crash.subject) == 0)
        dropOldest();
    Entry &entry = entries_[crash.subject];
    entry.isWholeRequest = crash.isWholeRequest;
    entry.longestRun = std::max(entry.longestRun, crash.ran);
    entry.heardAt = std::min(entry.heardAt, crash.heardAt);
    std::vector<Crash> &crashes = entry.crashes;
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

void CrashSuspects::recordAnswer(Fingerprint subject, Instant at)
{
    const auto found = entries_.find(subject);
    if (found == entries_.end())
        return;
    found->second.wasAnswered = true;
    removeCrashes(found->second, subject, [at](const Crash &crash) { return crash.brokeAt <= at; });
    releaseWithoutEvidence(found->second, subject);
    if (found->second.crashes.empty())
        entries_.erase(found);
}

void CrashSuspects::recordRun(const StreamRun &run)
{
    const auto found = entries_.find(run.subject);
    if (found == entries_.end())
        return;
    const Duration harmless
            = found->second.longestRun * limits_.harmlessRunFactor + limits_.harmlessRunMargin;
    if (run.ran > harmless)
        recordAnswer(run.subject, run.lastEventAt);
}

void CrashSuspects::recordAnyAnswer(Instant at)
{
    anyAnswerAt_ = std::max(anyAnswerAt_, at);
}

void CrashSuspects::withdrawCrash(std::string_view endpoint, int64_t startMillis)
{
    const std::string name = crashName(endpoint, startMillis);
    for (auto &[subject, entry] : entries_)
        removeCrashes(entry, subject, [&](const Crash &crash) { return crash.name == name; });
    std::erase_if(entries_, [](const auto &item) { return item.second.crashes.empty(); });
}

template<typename Condition>
void CrashSuspects::removeCrashes(Entry &entry, Fingerprint subject, Condition condition)
{
    if (std::erase_if(entry.crashes, condition) > 0)
        releaseWithoutEvidence(entry, subject);
}

void CrashSuspects::releaseWithoutEvidence(Entry &entry, Fingerprint subject)
{
    if (entry.quarantined && countCrashes(entry, {}).crashes < limits_.crashesToQuarantine) {
        entry.quarantined = false;
        released_.push_back(subject);
    }
}

// The largest number of crashes of which each had a request that was sent after the one before; all
// crashes of a request that was never answered.
CrashSuspects::Count CrashSuspects::countCrashes(const Entry &entry,
                                                 const Explanations &others) const
{
    const bool countsCopies = entry.isWholeRequest && !entry.wasAnswered;
    const size_t crashes = entry.wasAnswered ? 0 : entry.crashes.size();
    const auto isExplained = [&](const Crash &crash) {
        const auto other = others.find(crash.name);
        return other != others.end() && other->second > crashes;
    };
    Count count;
    Instant last = Instant::min();
    for (const Crash &crash : entry.crashes) {
        if ((crash.sentAt < last && !countsCopies) || isExplained(crash))
            continue;
        if (count.crashes == 0)
            count.first = crash.brokeAt;
        if (++count.crashes == limits_.crashesToQuarantine)
            count.enough = crash.brokeAt;
        last = crash.brokeAt;
    }
    return count;
}

bool CrashSuspects::hasEnoughCrashes(const Entry &entry) const
{
    return entry.crashes.size() >= limits_.crashesToQuarantine;
}

CrashSuspects::Explanations CrashSuspects::explanations() const
{
    Explanations found;
    for (const auto &[subject, entry] : entries_) {
        if (!entry.quarantined && (entry.wasAnswered || !hasEnoughCrashes(entry)))
            continue;
        for (const Crash &crash : entry.crashes) {
            size_t &most = found[crash.name];
            most = std::max(most, entry.quarantined ? SIZE_MAX : entry.crashes.size());
        }
    }
    return found;
}

bool CrashSuspects::hasAllCrashesSince(const Entry &entry, Instant since) const
{
    const auto isOwn = [&entry](const Crash &crash) {
        return std::any_of(entry.crashes.begin(), entry.crashes.end(),
                           [&](const Crash &own) { return own.name == crash.name; });
    };
    return std::all_of(entries_.begin(), entries_.end(), [&](const auto &item) {
        const std::vector<Crash> &crashes = item.second.crashes;
        return std::all_of(crashes.begin(), crashes.end(), [&](const Crash &crash) {
            return crash.brokeAt < since || isOwn(crash);
        });
    });
}

bool CrashSuspects::mayBeQuarantined(const Entry &entry, const Count &count, Instant now,
                                     Duration evidenceDelay) const
{
    if (count.crashes < limits_.crashesToQuarantine)
        return false;
    const Instant crashed = entry.wasAnswered ? count.enough : count.first;
    if (now - std::max(crashed, entry.heardAt) < evidenceDelay)
        return false;
    return anyAnswerAt_ > count.first || hasAllCrashesSince(entry, count.first);
}

std::vector<CrashSuspects::Verdict> CrashSuspects::quarantine(Instant now, Duration evidenceDelay)
{
    std::vector<Verdict> verdicts;
    while (true) {
        const Explanations others = explanations();
        std::pair<bool, size_t> most; // was never answered, and the number of crashes
        std::vector<Fingerprint> subjects; // that have the most
        for (const auto &[subject, entry] : entries_) {
            if (entry.quarantined || !hasEnoughCrashes(entry))
                continue;
            const Count count = countCrashes(entry, others);
            if (!mayBeQuarantined(entry, count, now, evidenceDelay))
                continue;
            const std::pair weight { !entry.wasAnswered, count.crashes };
            if (weight > most)
                subjects.clear();
            if (weight >= most) {
                most = weight;
                subjects.push_back(subject);
            }
        }
        if (subjects.empty())
            return verdicts;
        for (const Fingerprint subject : subjects) {
            Entry &entry = entries_.at(subject);
            entry.quarantined = true;
            Verdict verdict { subject, {} };
            for (const Crash &crash : entry.crashes)
                verdict.crashes.push_back(crash.name);
            verdicts.push_back(std::move(verdict));
        }
    }
}

std::vector<Fingerprint> CrashSuspects::takeReleased()
{
    return std::exchange(released_, {});
}

bool CrashSuspects::isQuarantined(Fingerprint subject) const
{
    const auto found = entries_.find(subject);
    return found != entries_.end() && found->second.quarantined;
}

std::vector<Fingerprint> CrashSuspects::suspects(size_t maxCount,
                                                 const std::set<Fingerprint> &preferred) const
{
    struct Candidate
    {
        size_t crashes;
        bool isPreferred;
        Fingerprint subject;
    };
    std::vector<Candidate> candidates;
    for (const auto &[subject, entry] : entries_) {
        if (!entry.quarantined)
            candidates.push_back({ entry.crashes.size(), preferred.count(subject) > 0, subject });
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::pair(a.crashes, a.isPreferred) > std::pair(b.crashes, b.isPreferred);
    });
    candidates.resize(std::min(candidates.size(), maxCount));
    std::vector<Fingerprint> subjects;
    for (const Candidate &candidate : candidates)
        subjects.push_back(candidate.subject);
    return subjects;
}

void CrashSuspects::expire(Instant now)
{
    std::erase_if(entries_, [&](const auto &item) {
        return now - item.second.crashes.back().brokeAt > limits_.retention;
    });
}

void CrashSuspects::dropOldest()
{
    const auto oldest = std::min_element(
            entries_.begin(), entries_.end(), [](const auto &left, const auto &right) {
                return left.second.crashes.back().brokeAt < right.second.crashes.back().brokeAt;
            });
    if (oldest != entries_.end())
        entries_.erase(oldest);
}

} // namespace bamboogap
