// The replicated state: what the log's commands add up to.
//
// apply() is deterministic: the same commands in the same order give the same
// state and the same answers on every replica. Time enters only as a field of
// a command, set by the leader that proposed it.

#ifndef BAMBOOGAP_CONTROL_STATE_H
#define BAMBOOGAP_CONTROL_STATE_H

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "control/calls.h"
#include "control/deployment.h"
#include "control/lists.h"
#include "control/suspects.h"
#include "fleet/view.h"

namespace bamboogap {

struct ChangeListsCommand
{
    Change change;
};

struct StartCallCommand
{
    CallName name;
    uint64_t contentHash = 0;
    std::string attempt;
    AttemptOwner owner;
    int64_t nowMillis = 0;
};

enum class CallOutcome : uint8_t { Answered, NotRun, Unknown };

struct FinishCallCommand
{
    CallName name;
    std::string attempt;
    CallOutcome outcome = CallOutcome::Unknown;
    KeptReply reply;
    int64_t nowMillis = 0;
};

// Sets the routers of the view if its epoch is still `base`; starts that older
// processes of the named routers left behind end as Unknown.
struct SetViewCommand
{
    Epoch base = 0;
    std::vector<RouterInfo> routers;
    std::vector<AttemptOwner> ended; // processes known to have ended
    int64_t nowMillis = 0;
};

struct StrikeCommand
{
    std::vector<Fingerprint> fingerprints;
    std::string crash;
    int64_t nowMillis = 0;
};

struct AbsolveCommand
{
    Fingerprint fingerprint = 0;
    bool release = false; // lifts a quarantine too
};

// Takes back the strikes of a crash that was none.
struct RetractCommand
{
    std::string crash;
};

struct ExpireCommand
{
    int64_t nowMillis = 0;
};

// Installs a route document; performed is false if a newer one is in force.
struct InstallRoutesCommand
{
    uint64_t version = 0;
    std::string document; // compressed
};

// Takes a data centre out of service for direct routers, or back.
struct SetOutageCommand
{
    std::string dataCentre;
    bool out = false;
};

using Command = std::variant<ChangeListsCommand, StartCallCommand, FinishCallCommand,
                             SetViewCommand, StrikeCommand, RetractCommand, AbsolveCommand,
                             ExpireCommand, InstallRoutesCommand, SetOutageCommand>;

struct Done
{
    bool performed = false;

    bool operator==(const Done &) const = default;
};

using CommandAnswer = std::variant<Done, ChangeAnswer, StartAnswer>;

std::string encodeCommand(const Command &command);
// StorageDamaged if the bytes are no command.
Result<Command> parseCommand(std::string_view bytes);

struct StateLimits
{
    CallLimits calls;
    SuspectLimits suspects;
};

class ControlState
{
public:
    explicit ControlState(StateLimits limits = {});

    CommandAnswer apply(const Command &command);

    const Lists &lists() const { return operatorLists_.lists(); }
    const View &view() const { return view_; }
    const Suspects &suspects() const { return suspects_; }
    const CallRecords &calls() const { return calls_; }
    const Deployment &deployment() const { return deployment_; }

    std::string save() const;
    // StorageDamaged if the bytes are no saved state.
    static Result<ControlState> load(std::string_view saved, StateLimits limits);

private:
    CommandAnswer perform(const ChangeListsCommand &command);
    CommandAnswer perform(const StartCallCommand &command);
    CommandAnswer perform(const FinishCallCommand &command);
    CommandAnswer perform(const SetViewCommand &command);
    CommandAnswer perform(const StrikeCommand &command);
    CommandAnswer perform(const RetractCommand &command);
    CommandAnswer perform(const AbsolveCommand &command);
    CommandAnswer perform(const ExpireCommand &command);
    CommandAnswer perform(const InstallRoutesCommand &command);
    CommandAnswer perform(const SetOutageCommand &command);

    StateLimits limits_;
    OperatorLists operatorLists_;
    CallRecords calls_;
    Suspects suspects_;
    View view_;
    Deployment deployment_;
};

} // namespace bamboogap

#endif
