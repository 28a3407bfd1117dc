// Requests under which endpoints crashed, by fingerprint.
//
// Every request that ran on an endpoint when it crashed gets a strike of that
// crash. One strike makes a request suspect: it may run again, but at most one
// suspect runs on an endpoint at a time, so that a second crash adds a second
// strike to one suspect only. Two strikes of different crashes quarantine the
// request: it is refused everywhere. A suspect that completes is absolved, and
// the strikes of a crash that was none (the endpoint goes on under the same
// incarnation) are taken back.

#ifndef BAMBOOGAP_CONTROL_SUSPECTS_H
#define BAMBOOGAP_CONTROL_SUSPECTS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace bamboogap {

using Fingerprint = uint64_t;

enum class Standing : uint8_t { Clear, Suspect, Quarantined };

struct SuspectLimits
{
    size_t maxEntries = 10000;
    size_t strikesToQuarantine = 2;
    int64_t suspectMillis = 10LL * 60 * 1000; // a single strike is forgotten after this
    int64_t quarantineMillis = 24LL * 3600 * 1000;
};

struct SuspectChange
{
    Fingerprint fingerprint = 0;
    Standing standing = Standing::Clear;

    bool operator==(const SuspectChange &) const = default;
};

class Suspects
{
public:
    explicit Suspects(SuspectLimits limits = {});

    // Adds a strike; a second strike of the same crash counts once.
    void strike(Fingerprint fingerprint, const std::string &crash, int64_t nowMillis);

    // Takes back every strike of a crash that turned out to be none.
    void retract(const std::string &crash);

    // Clears a suspect that completed. Quarantine is not lifted by it.
    void absolve(Fingerprint fingerprint);

    // Lifts a quarantine by an operator's order. False if there is none.
    bool release(Fingerprint fingerprint);

    void expire(int64_t nowMillis);
    bool hasExpired(int64_t nowMillis) const;

    Standing standingOf(Fingerprint fingerprint) const;

    // Grows with each change of a standing.
    uint64_t version() const { return version_; }

    // Every entry that is not clear, for routers whose version differs.
    std::vector<SuspectChange> all() const;

    nlohmann::json save() const;
    static Suspects load(const nlohmann::json &saved, SuspectLimits limits);

private:
    struct Entry
    {
        std::vector<std::string> crashes;
        int64_t lastMillis = 0;
    };

    bool isQuarantined(const Entry &entry) const;
    int64_t dueMillis(const Entry &entry) const;
    void evictOldest();

    SuspectLimits limits_;
    std::map<Fingerprint, Entry> entries_;
    uint64_t version_ = 0;
};

} // namespace bamboogap

#endif
