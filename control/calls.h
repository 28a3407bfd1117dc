// Records of calls that must not be repeated.
//
// A call is named by its workspace and idempotency key. Its record goes through
//   (none) -> Started -> Answered | NotRun | Unknown
// and only the attempt that a Started record names may send the call to an
// endpoint, once. NotRun is reported only by an attempt that sent no byte; the
// key may then be started again by another attempt. Unknown is final: the call
// is never sent again, though a late true answer may still replace it.
//
// At-most-once therefore rests on one fact alone: start() tells an attempt to
// go only when no other attempt of the key can have sent anything.

#ifndef BAMBOOGAP_CONTROL_CALLS_H
#define BAMBOOGAP_CONTROL_CALLS_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace bamboogap {

struct CallName
{
    std::string workspace;
    std::string key;

    auto operator<=>(const CallName &) const = default;
};

// The router process that runs an attempt.
struct AttemptOwner
{
    std::string router;
    uint64_t incarnation = 0;

    bool operator==(const AttemptOwner &) const = default;
};

struct KeptReply
{
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const KeptReply &) const = default;
};

enum class CallPhase { Started, Answered, AnsweredNotKept, NotRun, Unknown };

enum class StartDecision {
    Go, // this attempt may send the call, once
    InProgress, // another attempt is running
    Answered, // the reply of the first run is given
    AnsweredNotKept, // it ran and was answered, but the reply was too large to keep
    Unknown, // it may have run; it is never sent again
    KeyReused, // the key names a call with another content
    Full, // no room for another record; nothing was started
    Superseded, // this attempt was ended before
};

struct StartAnswer
{
    StartDecision decision = StartDecision::Full;
    KeptReply reply; // with Answered

    bool operator==(const StartAnswer &) const = default;
};

struct CallLimits
{
    size_t maxRecords = 50000; // a snapshot of these pauses the replica for about 0.15 s
    size_t maxReplyBytes = 256 << 10; // a larger reply is not kept
    size_t maxKeptBytes = 64 << 20; // of all replies together
    int64_t retentionMillis = 24LL * 3600 * 1000; // after the call ended
    int64_t maxRunMillis = 15LL * 60 * 1000; // a start without an end becomes Unknown
};

class CallRecords
{
public:
    explicit CallRecords(CallLimits limits = {});

    StartAnswer start(const CallName &name, uint64_t contentHash, std::string_view attempt,
                      const AttemptOwner &owner, int64_t nowMillis);

    // Ends an attempt with a reply. False if the attempt does not hold the record.
    bool answer(const CallName &name, std::string_view attempt, KeptReply reply, int64_t nowMillis);

    // Ends an attempt that sent no byte. False if the attempt does not hold the record.
    bool notRun(const CallName &name, std::string_view attempt, int64_t nowMillis);

    // Ends an attempt that may have run.
    bool unknown(const CallName &name, std::string_view attempt, int64_t nowMillis);

    // Ends as Unknown what the processes of a router before `incarnation` left started.
    size_t abandon(std::string_view router, uint64_t incarnation, int64_t nowMillis);

    // Ends starts that are too old and forgets records past their retention.
    void expire(int64_t nowMillis);

    // True if expire() would change something.
    bool hasExpired(int64_t nowMillis) const;

    size_t size() const { return records_.size(); }
    size_t keptBytes() const { return keptBytes_; }
    size_t countOf(CallPhase phase) const;

    nlohmann::json save() const;
    static Result<CallRecords> load(const nlohmann::json &saved, CallLimits limits);

private:
    struct Record
    {
        uint64_t contentHash = 0;
        std::string attempt;
        AttemptOwner owner;
        // Hashes of the attempts that ended without running: a start of theirs
        // that arrives late must not take the record. Of many, the newest.
        std::vector<uint64_t> endedAttempts;
        CallPhase phase = CallPhase::Started;
        int64_t sinceMillis = 0; // when the phase began
        KeptReply reply;
    };

    Record *heldBy(const CallName &name, std::string_view attempt);
    void enter(const CallName &name, Record &record, CallPhase phase, int64_t nowMillis);
    int64_t dueMillis(const Record &record) const;

    CallLimits limits_;
    std::map<CallName, Record> records_;
    std::set<std::pair<int64_t, CallName>> due_; // when a record expires
    size_t keptBytes_ = 0;
};

} // namespace bamboogap

#endif
