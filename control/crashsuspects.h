// Requests, and parts of prompts, under which endpoints crash.
//
// A request may crash each endpoint that runs it, and a prompt part each engine that begins to
// generate on it, whatever else the prompt holds. A crash also ends sound requests that run
// beside, and a connection may break without a crash, so that the number of broken requests
// alone would blame what is sent often. Hence, of a request's fingerprint and of each part:
//
// - For it counts a crash of an endpoint on which a request with it was not answered in full. It
//   counts only if that request was sent after the crash counted before it: an event that
//   takes many endpoints at once counts as one. This does not hold for a request that was never
//   answered: an event would have to meet several copies of the first request of its kind.
// - Against it counts a whole answer to a request with it, or a stream with it that goes on for
//   much longer than those that crashed: all earlier crashes are forgotten. The begin of an answer
//   proves nothing, since endpoints may crash some events later. A crash is withdrawn if the
//   endpoint's incarnation answers later requests.
// - It is quarantined after several crashes, once every router had time to report answers to this
//   process, which may have started after the crashes, and
//   if the fault is not the endpoints': some request was answered meanwhile, or no others ended in
//   other crashes.
// - Crashes that something quarantined explains do not count against what came beside it, nor do
//   those of something more likely: with more crashes, and not known to have been answered ever.
//   What was answered before waits until all reports of its crashes have come.
//
// A quarantine ends when evidence that came in late takes its crashes away.

#ifndef BAMBOOGAP_CONTROL_CRASHSUSPECTS_H
#define BAMBOOGAP_CONTROL_CRASHSUSPECTS_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "control/suspects.h"

namespace bamboogap {

// A request that was not answered in full when its endpoint crashed.
struct CrashEvidence
{
    Fingerprint subject = 0; // the request, or a part of its prompt
    std::string endpoint; // its id
    int64_t startMillis = 0; // of its incarnation
    Instant sentAt {};
    Instant brokeAt {};
    bool isWholeRequest = false; // the subject is the request's own fingerprint
    Duration ran {}; // from the first token to the crash
    Instant heardAt = Instant::min(); // when this process first heard of it
};

// The longest of the streams with a subject that are under way.
struct StreamRun
{
    Fingerprint subject = 0;
    Duration ran {}; // from the first token to the last event
    Instant lastEventAt {};
};

// The id of a part among fingerprints of requests.
Fingerprint partFingerprint(uint64_t partId);

// The name of a crash, as SuspectRequests uses it.
std::string crashName(std::string_view endpoint, int64_t startMillis);

struct CrashSuspectLimits
{
    size_t maxSubjects = 2000; // the one whose last crash is the oldest is dropped beyond
    size_t maxCrashes = 16; // of a subject; the oldest is dropped beyond
    size_t crashesToQuarantine = 3;
    Duration retention = std::chrono::minutes(10); // of a subject after its last crash
    // A stream is taken for harmless if it has run for so many times the longest run that ended in
    // a crash, and so much longer: engines differ in speed.
    int64_t harmlessRunFactor = 2;
    Duration harmlessRunMargin = std::chrono::seconds(1);
};

class CrashSuspects
{
public:
    struct Verdict
    {
        Fingerprint subject = 0;
        std::vector<std::string> crashes; // their names
    };

    explicit CrashSuspects(CrashSuspectLimits limits = {});

    void recordCrash(const CrashEvidence &crash);
    // A request with the subject was answered in full.
    void recordAnswer(Fingerprint subject, Instant at);
    void recordRun(const StreamRun &run);
    // Some request was.
    void recordAnyAnswer(Instant at);
    // The incarnation goes on: what looked like its crash was none.
    void withdrawCrash(std::string_view endpoint, int64_t startMillis);
    // Drops all evidence against a subject whose quarantine was lifted.
    void forget(Fingerprint subject) { entries_.erase(subject); }
    void expire(Instant now);

    // Quarantines the subjects with enough evidence and returns them. evidenceDelay is the longest
    // time from an answer to its report.
    std::vector<Verdict> quarantine(Instant now, Duration evidenceDelay);
    // Subjects whose quarantine has ended for late evidence since the last call.
    std::vector<Fingerprint> takeReleased();

    bool isQuarantined(Fingerprint subject) const;
    // At most maxCount subjects that are not quarantined, those with the most crashes first and
    // `preferred` ones ahead of others with as many: their answers are of interest.
    std::vector<Fingerprint> suspects(size_t maxCount,
                                      const std::set<Fingerprint> &preferred = {}) const;
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
        Duration longestRun {}; // of those that ended in crashes
        Instant heardAt = Instant::max(); // when this process first heard of a crash
        bool isWholeRequest = false;
        bool wasAnswered = false; // before the crashes
        bool quarantined = false;
    };
    // The crashes that count against a subject.
    struct Count
    {
        size_t crashes = 0;
        Instant first {};
        Instant enough {}; // the crash that made them enough
    };

    // By the name of a crash: the number of crashes of the subject that most likely caused it, of
    // those that were never answered. SIZE_MAX if one is quarantined.
    using Explanations = std::map<std::string, size_t, std::less<>>;

    Count countCrashes(const Entry &entry, const Explanations &others) const;
    void releaseWithoutEvidence(Entry &entry, Fingerprint subject);
    bool hasEnoughCrashes(const Entry &entry) const;
    bool mayBeQuarantined(const Entry &entry, const Count &count, Instant now,
                          Duration evidenceDelay) const;
    Explanations explanations() const;
    bool hasAllCrashesSince(const Entry &entry, Instant since) const;
    template<typename Condition>
    void removeCrashes(Entry &entry, Fingerprint subject, Condition condition);
    void dropOldest();

    CrashSuspectLimits limits_;
    std::map<Fingerprint, Entry> entries_;
    std::vector<Fingerprint> released_;
    Instant anyAnswerAt_ {};
};

} // namespace bamboogap

#endif
