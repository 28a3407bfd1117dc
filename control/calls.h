// Records of non-idempotent calls, which must run at most once.
//
// A call is identified by its workspace and idempotency key. Its record goes through
//   (none) -> Started -> Answered | NotRun | Unknown
// and only the attempt that a Started record names may send the call to an endpoint, once.
// An attempt reports NotRun only if it sent no byte; another attempt may then start the call
// again. A call in phase Unknown may have run and is never sent again, though the attempt
// that holds the record may still deliver the reply late, which makes the call Answered.
//
// The at-most-once guarantee depends on one invariant: start() returns Proceed to an attempt only
// if no other attempt of the same call can have sent anything.

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

// Identifies a call.
struct CallName
{
    std::string workspace;
    std::string key; // idempotency key, chosen by the caller

    auto operator<=>(const CallName &) const = default;
};

// The router process that makes an attempt.
struct AttemptOwner
{
    std::string router;
    uint64_t incarnation = 0;

    bool operator==(const AttemptOwner &) const = default;
};

// The stored reply to a call, returned when the call is repeated.
struct KeptReply
{
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const KeptReply &) const = default;
};

// AnsweredNotKept: the call was answered, but its reply exceeded a limit and was not stored.
enum class CallPhase { Started, Answered, AnsweredNotKept, NotRun, Unknown };

enum class StartDecision {
    Proceed, // this attempt may send the call, once
    InProgress, // another attempt is running
    Answered, // the call has run; its stored reply is returned
    AnsweredNotKept, // the call has run, but its reply was not stored: over a size limit
    Unknown, // the call may have run and is never sent again
    KeyReused, // the key was used for a call with other content
    Full, // maxRecords reached; nothing was started
    Superseded, // this attempt has already ended as NotRun
};

struct StartAnswer
{
    StartDecision decision = StartDecision::Full;
    KeptReply reply; // with Answered

    bool operator==(const StartAnswer &) const = default;
};

struct CallLimits
{
    size_t maxRecords = 50000; // a snapshot of this many pauses the replica for about 0.15 s
    size_t maxReplyBytes = 256 << 10; // larger replies are not stored
    size_t maxKeptBytes = 64 << 20; // total size of the stored replies
    int64_t retentionMillis = 24LL * 3600 * 1000; // of a record, counted from the end of the call
    int64_t maxRunMillis = 15LL * 60 * 1000; // a call started longer ago becomes Unknown
};

// The records of all calls. An attempt holds a record if the record names it and its outcome
// is still open (Started or Unknown). Times are wall-clock milliseconds and come from the
// caller, so that the result is the same on every replica.
class CallRecords
{
public:
    explicit CallRecords(CallLimits limits = {});

    // Decides whether an attempt may send the call, and records it as started if so. The same
    // attempt gets Proceed again until it ends. contentHash detects a key reused for another call.
    StartAnswer start(const CallName &name, uint64_t contentHash, std::string_view attempt,
                      const AttemptOwner &owner, int64_t nowMillis);

    // Ends an attempt with a reply, which is stored if the limits allow it. Returns false if
    // the attempt does not hold the record.
    bool markAnswered(const CallName &name, std::string_view attempt, KeptReply reply,
                      int64_t nowMillis);

    // Ends an attempt that sent no byte. Returns false if the attempt is not the one that the
    // record names, or if the record is not in phase Started.
    bool markNotRun(const CallName &name, std::string_view attempt, int64_t nowMillis);

    // Ends an attempt whose call may have run. Returns false in the same cases as markNotRun().
    bool markUnknown(const CallName &name, std::string_view attempt, int64_t nowMillis);

    // Marks as Unknown all calls that incarnations of the router before `incarnation` have
    // started and not finished. Returns their number.
    size_t abandonStarted(std::string_view router, uint64_t incarnation, int64_t nowMillis);

    // Marks calls that were started more than maxRunMillis ago as Unknown, and deletes the
    // records whose retention has ended.
    void expire(int64_t nowMillis);

    // True if expire() would change a record.
    bool hasExpired(int64_t nowMillis) const;

    size_t size() const { return records_.size(); }
    size_t keptBytes() const { return keptBytes_; }
    // Number of records in the given phase; scans all records.
    size_t countOf(CallPhase phase) const;

    nlohmann::json save() const;
    // Restores what save() returned. Throws a nlohmann::json::exception if it is malformed.
    static Result<CallRecords> load(const nlohmann::json &saved, CallLimits limits);

private:
    struct Record
    {
        uint64_t contentHash = 0;
        std::string attempt;
        AttemptOwner owner;
        // Hashes of the most recent attempts that ended as NotRun: a delayed start command of
        // such an attempt must not restart the call.
        std::vector<uint64_t> endedAttempts;
        CallPhase phase = CallPhase::Started;
        int64_t phaseStartMillis = 0; // time at which the phase was entered
        KeptReply reply;
    };

    Record *findHeldRecord(const CallName &name, std::string_view attempt);
    void enterPhase(const CallName &name, Record &record, CallPhase phase, int64_t nowMillis);
    int64_t expiryMillis(const Record &record) const;

    CallLimits limits_;
    std::map<CallName, Record> records_;
    std::set<std::pair<int64_t, CallName>> expiries_; // expiry time of each record
    size_t keptBytes_ = 0; // total size of the stored reply bodies
};

} // namespace bamboogap

#endif
