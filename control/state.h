// The replicated state machine of the control group and the commands of its log.
//
// apply() is deterministic: the same commands in the same order give the same state and the
// same answers on every replica. It reads no clock: commands that depend on time carry it in
// nowMillis (wall clock, milliseconds since the Unix epoch), set by the sender of the command.

#ifndef BAMBOOGAP_CONTROL_STATE_H
#define BAMBOOGAP_CONTROL_STATE_H

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "control/calls.h"
#include "control/deployment.h"
#include "control/lists.h"
#include "control/rollouts.h"
#include "control/suspects.h"
#include "fleet/view.h"

namespace bamboogap {

// Applies a change to the operator lists.
struct ChangeListsCommand
{
    Change change;
};

// Asks whether an attempt may send a call; see CallRecords::start().
struct StartCallCommand
{
    CallName name;
    uint64_t contentHash = 0;
    std::string attempt;
    AttemptOwner owner;
    int64_t nowMillis = 0;
};

// How an attempt ended: with a reply, without any byte sent to an endpoint, or in a way that
// does not show whether the call ran.
enum class CallOutcome : uint8_t { Answered, NotRun, Unknown };

// Records the end of an attempt; applied is false if the attempt does not hold the record.
struct FinishCallCommand
{
    CallName name;
    std::string attempt;
    CallOutcome outcome = CallOutcome::Unknown;
    KeptReply reply;
    int64_t nowMillis = 0;
};

// Replaces the routers of the view if its epoch is still `base`, else does nothing. Calls
// that the processes in `ended`, or earlier incarnations of the same routers, have started
// and not finished become Unknown.
struct SetViewCommand
{
    Epoch base = 0;
    std::vector<RouterInfo> routers;
    std::vector<AttemptOwner> ended; // router processes that are known to have exited
    int64_t nowMillis = 0;
};

// Adds a crash record to each request that was running on an endpoint when it crashed.
struct RecordCrashCommand
{
    std::vector<Fingerprint> fingerprints;
    std::string crash; // id of the crash: "endpoint#incarnation"
    int64_t nowMillis = 0;
};

// Clears a suspect request that completed or that an operator releases.
struct ClearSuspectCommand
{
    Fingerprint fingerprint = 0;
    bool liftQuarantine = false; // true: also lifts a quarantine
};

// Removes the records of a crash that was reported although the endpoint kept running.
struct WithdrawCrashCommand
{
    std::string crash; // id of the crash
};

// Removes call records and suspects whose retention has ended at nowMillis.
struct ExpireCommand
{
    int64_t nowMillis = 0;
};

// Installs a route document; applied is false if the installed version is the same or newer.
struct InstallRoutesCommand
{
    uint64_t version = 0;
    std::string document; // compressed, see base/compress.h
};

// Takes a data centre out of service for direct routers, or puts it back into service; applied is
// false if another order for it was accepted since `base`, see Deployment::setOutOfService().
struct SetOutageCommand
{
    std::string dataCentre;
    bool outOfService = false;
    std::optional<uint64_t> base;
};

using Command = std::variant<ChangeListsCommand, StartCallCommand, FinishCallCommand,
                             SetViewCommand, RecordCrashCommand, WithdrawCrashCommand,
                             ClearSuspectCommand, ExpireCommand, InstallRoutesCommand,
                             SetOutageCommand, StartRolloutCommand, AdvanceRolloutCommand>;

// Answer to commands whose only result is whether they were applied.
struct AppliedAnswer
{
    bool applied = false;

    bool operator==(const AppliedAnswer &) const = default;
};

struct RolloutAnswer
{
    Rollouts::StartResult result = Rollouts::StartResult::Superseded;

    bool operator==(const RolloutAnswer &) const = default;
};

using CommandAnswer = std::variant<AppliedAnswer, ChangeAnswer, StartAnswer, RolloutAnswer>;

std::string encodeCommand(const Command &command);
// Returns StorageDamaged if the bytes are not an encoded command.
Result<Command> parseCommand(std::string_view bytes);

// Limits must be equal on all replicas, since apply() depends on them.
struct StateLimits
{
    CallLimits calls;
    SuspectLimits suspects;
};

// The state that all replicas of the control group agree on.
class ControlState
{
public:
    explicit ControlState(StateLimits limits = {});

    // The answer is a ChangeAnswer to ChangeListsCommand, a StartAnswer to StartCallCommand, a
    // RolloutAnswer to StartRolloutCommand and an AppliedAnswer to all other commands.
    CommandAnswer apply(const Command &command);

    const OperatorLists &lists() const { return listsStore_.lists(); }
    const View &view() const { return view_; }
    const SuspectRequests &suspects() const { return suspects_; }
    const CallRecords &calls() const { return calls_; }
    const Deployment &deployment() const { return deployment_; }
    const Rollouts &rollouts() const { return rollouts_; }

    // Encodes the whole state for a snapshot.
    std::string save() const;
    // Restores a saved state; empty bytes give the initial state. Returns StorageDamaged if
    // the bytes cannot be decoded, or the error of the part that is invalid.
    static Result<ControlState> load(std::string_view saved, StateLimits limits);

private:
    CommandAnswer perform(const ChangeListsCommand &command);
    CommandAnswer perform(const StartCallCommand &command);
    CommandAnswer perform(const FinishCallCommand &command);
    CommandAnswer perform(const SetViewCommand &command);
    CommandAnswer perform(const RecordCrashCommand &command);
    CommandAnswer perform(const WithdrawCrashCommand &command);
    CommandAnswer perform(const ClearSuspectCommand &command);
    CommandAnswer perform(const ExpireCommand &command);
    CommandAnswer perform(const InstallRoutesCommand &command);
    CommandAnswer perform(const SetOutageCommand &command);
    CommandAnswer perform(const StartRolloutCommand &command);
    CommandAnswer perform(const AdvanceRolloutCommand &command);

    StateLimits limits_;
    OperatorListsStore listsStore_;
    CallRecords calls_;
    SuspectRequests suspects_;
    View view_;
    Deployment deployment_;
    Rollouts rollouts_;
};

} // namespace bamboogap

#endif
