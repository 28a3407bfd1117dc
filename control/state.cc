// Commands and the state they build. Both are stored as CBOR by the JSON
// library: self-describing, so that a newer version can read an older log.

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

json binary(std::string_view bytes)
{
    return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

// One pair of functions for each command; the "op" field tells them apart.
json describe(const ChangeListsCommand &command)
{
    return { { "op", "change" }, { "change", toJson(command.change) } };
}

json describe(const StartCallCommand &command)
{
    return { { "op", "start" },
             { "name", toJson(command.name) },
             { "content", command.contentHash },
             { "attempt", command.attempt },
             { "owner", toJson(command.owner) },
             { "now", command.nowMillis } };
}

json describe(const FinishCallCommand &command)
{
    return { { "op", "finish" },
             { "name", toJson(command.name) },
             { "attempt", command.attempt },
             { "outcome", static_cast<int>(command.outcome) },
             { "status", command.reply.status },
             { "type", command.reply.contentType },
             { "body", binary(command.reply.body) },
             { "now", command.nowMillis } };
}

json describe(const SetViewCommand &command)
{
    json ended = json::array();
    for (const AttemptOwner &owner : command.ended)
        ended.push_back(toJson(owner));
    return { { "op", "view" },
             { "view", toJson(View { command.base, command.routers }) },
             { "ended", ended },
             { "now", command.nowMillis } };
}

json describe(const StrikeCommand &command)
{
    return { { "op", "strike" },
             { "fingerprints", command.fingerprints },
             { "crash", command.crash },
             { "now", command.nowMillis } };
}

json describe(const RetractCommand &command)
{
    return { { "op", "retract" }, { "crash", command.crash } };
}

json describe(const AbsolveCommand &command)
{
    return { { "op", "absolve" },
             { "fingerprint", command.fingerprint },
             { "release", command.release } };
}

json describe(const ExpireCommand &command)
{
    return { { "op", "expire" }, { "now", command.nowMillis } };
}

json describe(const InstallRoutesCommand &command)
{
    return { { "op", "routes" },
             { "version", command.version },
             { "document", binary(command.document) } };
}

json describe(const SetOutageCommand &command)
{
    return { { "op", "outage" }, { "name", command.dataCentre }, { "out", command.out } };
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
        return StrikeCommand { value.at("fingerprints").get<std::vector<Fingerprint>>(),
                               value.at("crash").get<std::string>(),
                               value.at("now").get<int64_t>() };
    }
    if (op == "retract")
        return RetractCommand { value.at("crash").get<std::string>() };
    if (op == "absolve") {
        return AbsolveCommand { value.at("fingerprint").get<Fingerprint>(),
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
        return SetOutageCommand { value.at("name").get<std::string>(),
                                  value.at("out").get<bool>() };
    }
    return failure(ErrorKind::StorageDamaged, fmt::format("unknown command '{}' in the log", op),
                   "run the version that wrote the log, or a newer one");
}

tl::unexpected<Error> unreadable(std::string_view what, std::string_view detail)
{
    return failure(ErrorKind::StorageDamaged, fmt::format("{} cannot be read: {}", what, detail),
                   "move the data folder away and let this replica join again");
}

} // namespace

std::string encodeCommand(const Command &command)
{
    const json value = std::visit([](const auto &kind) { return describe(kind); }, command);
    const std::vector<uint8_t> bytes = json::to_cbor(value);
    return std::string(bytes.begin(), bytes.end());
}

Result<Command> parseCommand(std::string_view bytes)
{
    try {
        return commandFromJson(json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const json::exception &problem) {
        return unreadable("a command", problem.what());
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
    return operatorLists_.apply(command.change);
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
        return Done { calls_.answer(command.name, command.attempt, command.reply,
                                    command.nowMillis) };
    case CallOutcome::NotRun:
        return Done { calls_.notRun(command.name, command.attempt, command.nowMillis) };
    case CallOutcome::Unknown:
        return Done { calls_.unknown(command.name, command.attempt, command.nowMillis) };
    }
    return Done { false };
}

CommandAnswer ControlState::perform(const SetViewCommand &command)
{
    if (command.base != view_.epoch)
        return Done { false };
    view_.epoch = command.base + 1;
    view_.routers = command.routers;
    for (const AttemptOwner &owner : command.ended)
        calls_.abandon(owner.router, owner.incarnation + 1, command.nowMillis);
    return Done { true };
}

CommandAnswer ControlState::perform(const StrikeCommand &command)
{
    for (const Fingerprint fingerprint : command.fingerprints)
        suspects_.strike(fingerprint, command.crash, command.nowMillis);
    return Done { true };
}

CommandAnswer ControlState::perform(const RetractCommand &command)
{
    suspects_.retract(command.crash);
    return Done { true };
}

CommandAnswer ControlState::perform(const AbsolveCommand &command)
{
    if (command.release)
        return Done { suspects_.release(command.fingerprint) };
    suspects_.absolve(command.fingerprint);
    return Done { true };
}

CommandAnswer ControlState::perform(const ExpireCommand &command)
{
    calls_.expire(command.nowMillis);
    suspects_.expire(command.nowMillis);
    return Done { true };
}

CommandAnswer ControlState::perform(const InstallRoutesCommand &command)
{
    return Done { deployment_.install(command.version, command.document) };
}

CommandAnswer ControlState::perform(const SetOutageCommand &command)
{
    return Done { deployment_.setOut(command.dataCentre, command.out) };
}

std::string ControlState::save() const
{
    const json value { { "lists", operatorLists_.save() },
                       { "calls", calls_.save() },
                       { "suspects", suspects_.save() },
                       { "view", toJson(view_) },
                       { "deployment", deployment_.save() } };
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
        auto lists = OperatorLists::load(value.at("lists"));
        if (!lists)
            return tl::unexpected(lists.error());
        auto calls = CallRecords::load(value.at("calls"), limits.calls);
        if (!calls)
            return tl::unexpected(calls.error());
        state.operatorLists_ = std::move(*lists);
        state.calls_ = std::move(*calls);
        state.suspects_ = Suspects::load(value.at("suspects"), limits.suspects);
        state.view_ = viewFromJson(value.at("view"));
        if (value.contains("deployment")) { // absent in files of version 0.1
            auto deployment = Deployment::load(value.at("deployment"));
            if (!deployment)
                return tl::unexpected(deployment.error());
            state.deployment_ = std::move(*deployment);
        }
    } catch (const json::exception &problem) {
        return unreadable("the saved state", problem.what());
    }
    return state;
}

} // namespace bamboogap
