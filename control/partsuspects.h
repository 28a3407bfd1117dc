// Prompt parts under which engines crash.
//
// A prompt part may crash each engine that begins to generate on it, whatever else the prompt
// holds. No two of the requests need to be equal, so that the quarantine of whole requests (see
// control/suspects.h) does not stop them. A crash also ends sound requests in the same batch, so
// that the number of crashes alone would blame the parts that many requests share. Hence:
//
// - For a part counts a crash of an engine on which a request with the part was waiting for its
//   first token. It counts only if that request was sent after the crash counted before it: an
//   event that takes many engines at once counts as one.
// - Against a part counts a first token of a request with it: all earlier crashes are forgotten.
// - A part is quarantined after several crashes, once every router had time to report first
//   tokens, and if some other request got one meanwhile, which shows that engines work.
// - Crashes that a quarantined part explains do not count against the parts beside it. Of several
//   parts with enough crashes those go first that are not known to have got a first token ever.
//
// A quarantine ends when evidence that came in late takes its crashes away.

#ifndef BAMBOOGAP_CONTROL_PARTSUSPECTS_H
#define BAMBOOGAP_CONTROL_PARTSUSPECTS_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "control/suspects.h"

namespace bamboogap {

// A request with the part that had no first token when its engine crashed.
struct PartCrash
{
    Fingerprint part = 0;
    std::string endpoint; // id of the engine
    int64_t startMillis = 0; // of its incarnation
    Instant sentAt {};
    Instant brokeAt {};
};

// The id of a part among fingerprints of requests.
Fingerprint partFingerprint(uint64_t partId);

// The name of a crash, as SuspectRequests uses it.
std::string crashName(std::string_view endpoint, int64_t startMillis);

struct PartSuspectLimits
{
    size_t maxParts = 2000; // the part whose last crash is the oldest is dropped beyond
    size_t maxCrashes = 16; // of a part; the oldest is dropped beyond
    size_t crashesToQuarantine = 3;
    Duration retention = std::chrono::minutes(10); // of a part after its last crash
};

class PartSuspects
{
public:
    struct Verdict
    {
        Fingerprint part = 0;
        std::vector<std::string> crashes; // their names
    };

    explicit PartSuspects(PartSuspectLimits limits = {});

    void recordCrash(const PartCrash &crash);
    // A request with the part got its first token.
    void recordFirstToken(Fingerprint part, Instant at);
    // Some request got its first token.
    void recordAnyFirstToken(Instant at);
    // The incarnation goes on: what looked like its crash was none.
    void withdrawCrash(std::string_view endpoint, int64_t startMillis);
    // Drops all evidence of a part, whose quarantine was lifted.
    void forget(Fingerprint part) { entries_.erase(part); }
    void expire(Instant now);

    // Quarantines the parts with enough evidence and returns them. evidenceDelay is the longest
    // time from a first token to its report.
    std::vector<Verdict> quarantine(Instant now, Duration evidenceDelay);
    // Parts whose quarantine has ended for late evidence since the last call.
    std::vector<Fingerprint> takeReleased();

    bool isQuarantined(Fingerprint part) const;
    // At most maxCount parts that are not quarantined, those with the most crashes first: first
    // tokens of these are of interest.
    std::vector<Fingerprint> suspects(size_t maxCount) const;
    size_t size() const { return entries_.size(); }

private:
    struct Crash
    {
        std::string name;
        Instant sentAt {};
        Instant brokeAt {};
    };
    struct Entry
    {
        std::vector<Crash> crashes; // by brokeAt
        bool hadFirstToken = false; // before the crashes
        bool quarantined = false;
    };
    // The crashes that count against a part.
    struct Count
    {
        size_t crashes = 0;
        Instant first {};
    };

    using CrashNames = std::set<std::string, std::less<>>;

    static Count countInSequence(const Entry &entry, const CrashNames &explained);
    CrashNames explainedCrashes() const;
    template<typename Condition>
    void removeCrashes(Entry &entry, Fingerprint part, Condition condition);
    void dropOldest();

    PartSuspectLimits limits_;
    std::map<Fingerprint, Entry> entries_;
    std::vector<Fingerprint> released_;
    Instant anyFirstTokenAt_ {};
};

} // namespace bamboogap

#endif
