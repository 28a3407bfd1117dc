// Requests that were running on endpoints when these crashed, by fingerprint.
//
// Every request that was running on an endpoint when it crashed gets a record of that crash.
// One crash makes a request suspect: it may run again, but at most one suspect runs on an
// endpoint at a time, so that the next crash adds a record to one suspect only. Two different
// crashes quarantine the request: all routers reject it. A suspect that completes is cleared.
// If a reported crash did not happen (the endpoint continues under the same incarnation), its
// records are withdrawn.

#ifndef BAMBOOGAP_CONTROL_SUSPECTS_H
#define BAMBOOGAP_CONTROL_SUSPECTS_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace bamboogap {

using Fingerprint = uint64_t;

// The values are part of the wire format.
enum class SuspicionStatus : uint8_t { Clear, Suspect, Quarantined };

// A status lasts for the given time since the last crash.
struct SuspectLimits
{
    size_t maxEntries = 10000;
    size_t crashesToQuarantine = 2;
    int64_t suspectMillis = 10LL * 60 * 1000;
    int64_t quarantineMillis = 24LL * 3600 * 1000;
};

// The status of one request.
struct SuspectRequest
{
    Fingerprint fingerprint = 0;
    SuspicionStatus status = SuspicionStatus::Clear;

    bool operator==(const SuspectRequest &) const = default;
};

// All suspect and quarantined requests. Times are wall-clock milliseconds and come from the
// caller, so that the result is the same on every replica.
class SuspectRequests
{
public:
    explicit SuspectRequests(SuspectLimits limits = {});

    // Records that the request was running when the crash happened. Has no effect if the
    // crash is already recorded or the request is quarantined. Evicts the entry that expires
    // first when maxEntries is reached.
    void recordCrash(Fingerprint fingerprint, const std::string &crash, int64_t nowMillis);

    // Removes all records of a crash that did not happen.
    void withdrawCrash(const std::string &crash);

    // Clears a suspect that completed. Does not lift a quarantine.
    void clear(Fingerprint fingerprint);

    // Clears a request at an operator's request, also from quarantine. Returns false if it is
    // neither suspect nor quarantined.
    bool liftQuarantine(Fingerprint fingerprint);

    // Removes the entries whose status has expired.
    void expire(int64_t nowMillis);
    // True if expire() would remove an entry.
    bool hasExpired(int64_t nowMillis) const;

    // Clear if the request has no entry.
    SuspicionStatus statusOf(Fingerprint fingerprint) const;

    // Increases whenever a status may have changed.
    uint64_t version() const { return version_; }

    // All requests that are not clear, for routers that hold another version.
    std::vector<SuspectRequest> all() const;
    // The requests whose status may have changed after `version`, Clear ones included; nothing if
    // that version is too old or not one of this log's. Not saved: empty after load().
    std::optional<std::vector<SuspectRequest>> changesSince(uint64_t version) const;
    // Changes that are kept for changesSince().
    static constexpr size_t kMaxChanges = 2048;

    nlohmann::json save() const;
    // Restores what save() returned. Throws a nlohmann::json::exception if it is malformed.
    static SuspectRequests load(const nlohmann::json &saved, SuspectLimits limits);

private:
    struct Entry
    {
        std::vector<std::string> crashes; // ids of the crashes
        int64_t lastMillis = 0; // time of the last crash
    };

    struct Change
    {
        uint64_t version = 0;
        Fingerprint fingerprint = 0;
    };

    // Removes the entries for which the condition holds, and returns their fingerprints.
    template<typename Condition> std::vector<Fingerprint> removeIf(Condition condition);
    // Raises the version unless nothing has changed.
    void noteChanges(std::span<const Fingerprint> changed);
    bool isQuarantined(const Entry &entry) const;
    int64_t expiryMillis(const Entry &entry) const;
    std::vector<Fingerprint> evictOldest();

    SuspectLimits limits_;
    std::map<Fingerprint, Entry> entries_;
    uint64_t version_ = 0;
    std::deque<Change> changes_; // after changesFrom_, the oldest first
    uint64_t changesFrom_ = 0;
};

} // namespace bamboogap

#endif
