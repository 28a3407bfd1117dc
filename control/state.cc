// Commands and snapshots are encoded as CBOR by the JSON library. The format is
// self-describing, so that a newer version can read an older log.

#include "control/state.h"

#include <fmt/format.h>

namespace bamboogap {

namespace {

using nlohmann::json;

json toJson(const CallName &name)
{
    return { name.workspace, name.key };
}

CallName nameFromJson(const json &value)
{
    return { value.at(0).get<std::string>(), value.at(1).get<std::string>() };
}

json toJson(const AttemptOwner &owner)
{
    return { owner.router, owner.incarnation };
}

AttemptOwner ownerFromJson(const json &value)
{
    return { value.at(0).get<std::string>(), value.at(1).get<uint64_t>() };
}

json toBinaryJson(std::string_view bytes)
{
    return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

// Encoders, one for each command; the "op" field identifies the command. commandFromJson()
// is the decoder of all of them.
json commandToJson(const ChangeListsCommand &command)
{
    return { { "op", "change" }, { "change", toJson(command.change) } };
}

json commandToJson(const StartCallCommand &command)
{
    return { { "op", "start" },
             { "name", toJson(command.name) },
             { "content", command.contentHash },
             { "attempt", command.attempt },
             { "owner", toJson(command.owner) },
             { "now", command.nowMillis } };
}

json commandToJson(const FinishCallCommand &command)
{
    return { { "op", "finish" },
             { "name", toJson(command.name) },
             { "attempt", command.attempt },
             { "outcome", static_cast<int>(command.outcome) },
             { "status", command.reply.status },
             { "type", command.reply.contentType },
             { "body", toBinaryJson(command.reply.body) },
             { "now", command.nowMillis } };
}

json commandToJson(const SetViewCommand &command)
{
    json ended = json::array();
    for (const AttemptOwner &owner : command.ended)
        ended.push_back(toJson(owner));
    return { { "op", "view" },
             { "view", toJson(View { command.base, command.routers }) },
             { "ended", ended },
             { "now", command.nowMillis } };
}

json commandToJson(const RecordCrashCommand &command)
{
    return { { "op", "strike" },
             { "fingerprints", command.fingerprints },
             { "crash", command.crash },
             { "now", command.nowMillis } };
}

json commandToJson(const WithdrawCrashCommand &command)
{
    return { { "op", "retract" }, { "crash", command.crash } };
}

json commandToJson(const ClearSuspectCommand &command)
{
    return { { "op", "absolve" },
             { "fingerprint", command.fingerprint },
             { "release", command.liftQuarantine } };
}

json commandToJson(const ExpireCommand &command)
{
    return { { "op", "expire" }, { "now", command.nowMillis } };
}

json commandToJson(const InstallRoutesCommand &command)
{
    return { { "op", "routes" },
             { "version", command.version },
             { "document", toBinaryJson(command.document) } };
}

json commandToJson(const SetOutageCommand &command)
{
    json value { { "op", "outage" },
                 { "name", command.dataCentre },
                 { "out", command.outOfService } };
    if (command.base)
        value["base"] = *command.base;
    return value;
}

json commandToJson(const StartRolloutCommand &command)
{
    json value { { "op", "rollout" },
                 { "service", command.service },
                 { "version", command.version },
                 { "duration", command.durationMillis },
                 { "now", command.nowMillis } };
    if (command.base)
        value["base"] = *command.base;
    return value;
}

json commandToJson(const AdvanceRolloutCommand &command)
{
    return { { "op", "rollout_step" },           { "service", command.service },
             { "number", command.number },       { "state", rolloutStateName(command.state) },
             { "share", command.sharePermille }, { "reason", command.reason },
             { "now", command.nowMillis } };
}

Result<Command> commandFromJson(const json &value)
{
    const auto op = value.at("op").get<std::string>();
    if (op == "change") {
        auto change = parseChange(value.at("change"));
        if (!change)
            return tl::unexpected(change.error());
        return ChangeListsCommand { *change };
    }
    if (op == "start") {
        return StartCallCommand { nameFromJson(value.at("name")),
                                  value.at("content").get<uint64_t>(),
                                  value.at("attempt").get<std::string>(),
                                  ownerFromJson(value.at("owner")),
                                  value.at("now").get<int64_t>() };
    }
    if (op == "finish") {
        const auto &body = value.at("body").get_binary();
        return FinishCallCommand { nameFromJson(value.at("name")),
                                   value.at("attempt").get<std::string>(),
                                   static_cast<CallOutcome>(value.at("outcome").get<int>()),
                                   { value.at("status").get<int>(),
                                     value.at("type").get<std::string>(),
                                     std::string(body.begin(), body.end()) },
                                   value.at("now").get<int64_t>() };
    }
    if (op == "view") {
        View view = viewFromJson(value.at("view"));
        SetViewCommand command {
            view.epoch, std::move(view.routers), {}, value.at("now").get<int64_t>()
        };
        for (const json &owner : value.at("ended"))
            command.ended.push_back(ownerFromJson(owner));
        return command;
    }
    if (op == "strike") {
        return RecordCrashCommand { value.at("fingerprints").get<std::vector<Fingerprint>>(),
                                    value.at("crash").get<std::string>(),
                                    value.at("now").get<int64_t>() };
    }
    if (op == "retract")
        return WithdrawCrashCommand { value.at("crash").get<std::string>() };
    if (op == "absolve") {
        return ClearSuspectCommand { value.at("fingerprint").get<Fingerprint>(),
                                     value.at("release").get<bool>() };
    }
    if (op == "expire")
        return ExpireCommand { value.at("now").get<int64_t>() };
    if (op == "routes") {
        const auto &document = value.at("document").get_binary();
        return InstallRoutesCommand { value.at("version").get<uint64_t>(),
                                      std::string(document.begin(), document.end()) };
    }
    if (op == "outage") {
        SetOutageCommand command { value.at("name").get<std::string>(), value.at("out").get<bool>(),
                                   std::nullopt };
        if (value.contains("base"))
            command.base = value.at("base").get<uint64_t>();
        return command;
    }
    if (op == "rollout") {
        StartRolloutCommand command { value.at("service").get<std::string>(),
                                      value.at("version").get<std::string>(),
                                      value.at("duration").get<uint64_t>(),
                                      value.at("now").get<int64_t>(), std::nullopt };
        if (value.contains("base"))
            command.base = value.at("base").get<uint64_t>();
        return command;
    }
    if (op == "rollout_step") {
        const auto state = parseRolloutState(value.at("state").get<std::string>());
        if (!state) {
            return failure(ErrorKind::StorageDamaged, "unknown state of a rollout in the log",
                           "run the version that wrote the log, or a newer one");
        }
        return AdvanceRolloutCommand { value.at("service").get<std::string>(),
                                       value.at("number").get<uint64_t>(),
                                       *state,
                                       value.at("share").get<uint32_t>(),
                                       value.at("reason").get<std::string>(),
                                       value.at("now").get<int64_t>() };
    }
    return failure(ErrorKind::StorageDamaged, fmt::format("unknown command '{}' in the log", op),
                   "run the version that wrote the log, or a newer one");
}

tl::unexpected<Error> undecodable(std::string_view what, std::string_view detail)
{
    return failure(ErrorKind::StorageDamaged, fmt::format("{} cannot be read: {}", what, detail),
                   "move the data folder away and let this replica join again");
}

} // namespace

std::string encodeCommand(const Command &command)
{
    const json value = std::visit([](const auto &kind) { return commandToJson(kind); }, command);
    const std::vector<uint8_t> bytes = json::to_cbor(value);
    return std::string(bytes.begin(), bytes.end());
}

Result<Command> parseCommand(std::string_view bytes)
{
    try {
        return commandFromJson(json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const json::exception &problem) {
        return undecodable("a log command", problem.what());
    }
}

ControlState::ControlState(StateLimits limits)
    : limits_(limits)
    , calls_(limits.calls)
    , suspects_(limits.suspects)
{
}

CommandAnswer ControlState::apply(const Command &command)
{
    return std::visit([this](const auto &kind) { return perform(kind); }, command);
}

CommandAnswer ControlState::perform(const ChangeListsCommand &command)
{
    return listsStore_.apply(command.change);
}

CommandAnswer ControlState::perform(const StartCallCommand &command)
{
    return calls_.start(command.name, command.contentHash, command.attempt, command.owner,
                        command.nowMillis);
}

CommandAnswer ControlState::perform(const FinishCallCommand &command)
{
    switch (command.outcome) {
    case CallOutcome::Answered:
        return AppliedAnswer { calls_.markAnswered(command.name, command.attempt, command.reply,
                                                   command.nowMillis) };
    case CallOutcome::NotRun:
        return AppliedAnswer { calls_.markNotRun(command.name, command.attempt,
                                                 command.nowMillis) };
    case CallOutcome::Unknown:
        return AppliedAnswer { calls_.markUnknown(command.name, command.attempt,
                                                  command.nowMillis) };
    }
    return AppliedAnswer { false };
}

CommandAnswer ControlState::perform(const SetViewCommand &command)
{
    if (command.base != view_.epoch)
        return AppliedAnswer { false };
    view_.epoch = command.base + 1;
    view_.routers = command.routers;
    for (const AttemptOwner &owner : command.ended)
        calls_.abandonStarted(owner.router, owner.incarnation + 1, command.nowMillis);
    return AppliedAnswer { true };
}

CommandAnswer ControlState::perform(const RecordCrashCommand &command)
{
    for (const Fingerprint fingerprint : command.fingerprints)
        suspects_.recordCrash(fingerprint, command.crash, command.nowMillis);
    return AppliedAnswer { true };
}

CommandAnswer ControlState::perform(const WithdrawCrashCommand &command)
{
    suspects_.withdrawCrash(command.crash);
    return AppliedAnswer { true };
}

CommandAnswer ControlState::perform(const ClearSuspectCommand &command)
{
    if (command.liftQuarantine)
        return AppliedAnswer { suspects_.liftQuarantine(command.fingerprint) };
    suspects_.clear(command.fingerprint);
    return AppliedAnswer { true };
}

CommandAnswer ControlState::perform(const ExpireCommand &command)
{
    calls_.expire(command.nowMillis);
    suspects_.expire(command.nowMillis);
    return AppliedAnswer { true };
}

CommandAnswer ControlState::perform(const InstallRoutesCommand &command)
{
    return AppliedAnswer { deployment_.install(command.version, command.document) };
}

CommandAnswer ControlState::perform(const SetOutageCommand &command)
{
    return AppliedAnswer { deployment_.setOutOfService(command.dataCentre, command.outOfService,
                                                       command.base) };
}

CommandAnswer ControlState::perform(const StartRolloutCommand &command)
{
    return RolloutAnswer { rollouts_.start(command) };
}

CommandAnswer ControlState::perform(const AdvanceRolloutCommand &command)
{
    return AppliedAnswer { rollouts_.advance(command) };
}

std::string ControlState::save() const
{
    json value { { "lists", listsStore_.save() },
                 { "calls", calls_.save() },
                 { "suspects", suspects_.save() },
                 { "view", toJson(view_) },
                 { "deployment", deployment_.save() } };
    if (rollouts_.revision() > 0)
        value["rollouts"] = rollouts_.save();
    const std::vector<uint8_t> bytes = json::to_cbor(value);
    return std::string(bytes.begin(), bytes.end());
}

Result<ControlState> ControlState::load(std::string_view saved, StateLimits limits)
{
    ControlState state(limits);
    if (saved.empty())
        return state;
    try {
        const json value = json::from_cbor(saved.begin(), saved.end());
        auto lists = OperatorListsStore::load(value.at("lists"));
        if (!lists)
            return tl::unexpected(lists.error());
        auto calls = CallRecords::load(value.at("calls"), limits.calls);
        if (!calls)
            return tl::unexpected(calls.error());
        state.listsStore_ = std::move(*lists);
        state.calls_ = std::move(*calls);
        state.suspects_ = SuspectRequests::load(value.at("suspects"), limits.suspects);
        state.view_ = viewFromJson(value.at("view"));
        if (value.contains("deployment")) { // version 0.1 did not write it
            auto deployment = Deployment::load(value.at("deployment"));
            if (!deployment)
                return tl::unexpected(deployment.error());
            state.deployment_ = std::move(*deployment);
        }
        if (value.contains("rollouts")) { // absent if there never was one
            auto rollouts = Rollouts::load(value.at("rollouts"));
            if (!rollouts)
                return tl::unexpected(rollouts.error());
            state.rollouts_ = std::move(*rollouts);
        }
    } catch (const json::exception &problem) {
        return undecodable("the state snapshot", problem.what());
    }
    return state;
}

} // namespace bamboogap
