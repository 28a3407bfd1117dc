// The operators' HTTP interface.

#include "node/operatorfront.h"

#include <charconv>

#include <fmt/format.h>

#include "base/jsontext.h"
#include "base/log.h"
#include "node/refusal.h"

namespace bamboogap {

namespace {

constexpr Duration kChangeLimit = std::chrono::seconds(9);
constexpr Duration kStatusLimit = std::chrono::seconds(5);

using nlohmann::json;

} // namespace

OperatorFront::OperatorFront(EventLoop &loop, const Settings &settings, MemberTask &members,
                             OwnerTask &owner, EntryTask &entry, ControlClient &control,
                             ControlTask *replica, Metrics &metrics)
    : loop_(loop)
    , settings_(settings)
    , members_(members)
    , owner_(owner)
    , entry_(entry)
    , control_(control)
    , replica_(replica)
    , metrics_(metrics)
{
}

void OperatorFront::handle(ExchangeId exchange, const HttpRequest &request)
{
    const std::string call = request.method + " " + std::string(request.pathOnly());
    if (call == "GET /healthz")
        healthz(exchange);
    else if (call == "GET /readyz")
        readyz(exchange);
    else if (call == "GET /metrics")
        metrics(exchange);
    else if (call == "GET /v1/operators/status")
        status(exchange, false);
    else if (call == "GET /v1/operators/node")
        replyJson(exchange, 200, nodeStatus());
    else if (call == "GET /v1/operators/lists")
        status(exchange, true);
    else if (call == "POST /v1/operators/changes")
        change(exchange, request);
    else if (call == "POST /v1/operators/bootstrap")
        bootstrap(exchange);
    else if (call == "POST /v1/operators/replicas/remove")
        removeReplica(exchange, request);
    else if (call == "POST /v1/operators/quarantine/release")
        release(exchange, request);
    else
        replyError(exchange,
                   { ErrorKind::NotFound, fmt::format("there is no {}", call),
                     "see docs/API.md for the operators' calls" });
}

void OperatorFront::healthz(ExchangeId exchange)
{
    replyJson(exchange, 200, { { "alive", true } });
}

void OperatorFront::readyz(ExchangeId exchange)
{
    const bool leased = members_.holdsLease();
    const bool ready = leased && !stopping_;
    replyJson(exchange, ready ? 200 : 503,
              { { "ready", ready }, { "leased", leased }, { "stopping", stopping_ } });
}

void OperatorFront::metrics(ExchangeId exchange)
{
    const Instant now = BootClock::now();
    metrics_.set("bamboogap_leased", "", members_.holdsLease() ? 1 : 0);
    metrics_.set(
            "bamboogap_lease_left_seconds", "",
            std::chrono::duration<double>(std::max(Duration {}, members_.member().leaseLeft(now)))
                    .count());
    metrics_.set("bamboogap_epoch", "", static_cast<double>(members_.member().view().epoch));
    metrics_.set("bamboogap_revision", "", static_cast<double>(members_.member().lists().revision));
    metrics_.set("bamboogap_endpoints", "",
                 static_cast<double>(members_.member().endpoints().size()));
    metrics_.set("bamboogap_endpoints_owned", "",
                 static_cast<double>(members_.member().owned().size()));
    metrics_.set("bamboogap_requests_open", "", static_cast<double>(entry_.openCount()));
    metrics_.set("bamboogap_requests_waiting", "",
                 static_cast<double>(owner_.admission().waitingCount()));
    metrics_.set("bamboogap_chats_remembered", "", static_cast<double>(owner_.rememberedChats()));
    if (replica_)
        metrics_.set("bamboogap_replica_failed", "", replica_->failed() ? 1 : 0);
    HttpReply reply;
    reply.contentType = "text/plain; version=0.0.4";
    reply.body = metrics_.render();
    server_->reply(exchange, reply);
}

// Asks the leader, so that what is shown is never older than what was accepted.
void OperatorFront::status(ExchangeId exchange, bool listsOnly)
{
    loop_.detach(control_.status(kStatusLimit)
                         .then([this, exchange, listsOnly](Result<std::string> answer) {
                             if (!answer) {
                                 replyError(exchange, answer.error());
                                 return;
                             }
                             json status = json::parse(*answer, nullptr, false);
                             if (listsOnly)
                                 status = status.value("lists", json::object());
                             else
                                 status.erase("lists");
                             replyJson(exchange, 200, status);
                         }),
                 "status");
}

json OperatorFront::nodeStatus()
{
    const Instant now = BootClock::now();
    json endpoints = json::array();
    for (const auto &[id, endpoint] : members_.member().endpoints()) {
        const EndpointLoad *onBoard = owner_.board().find(id);
        const auto usable = members_.member().usable(id);
        const bool owned = members_.member().owned().count(id) > 0;
        endpoints.push_back({ { "id", id },
                              { "owned", owned },
                              { "usable", usable ? std::string("yes") : usable.error() },
                              { "running", onBoard ? onBoard->running() : 0 },
                              { "limit", owned ? owner_.admission().limitOf(id) : 0 } });
    }
    json status { { "name", settings_.name },
                  { "data_centre", settings_.dataCentre },
                  { "leased", members_.holdsLease() },
                  { "lease_left_ms", toMillis(members_.member().leaseLeft(now)) },
                  { "epoch", members_.member().view().epoch },
                  { "active_epoch", members_.member().activeEpoch() },
                  { "revision", members_.member().lists().revision },
                  { "open_requests", entry_.openCount() },
                  { "waiting", owner_.admission().waitingCount() },
                  { "chats_remembered", owner_.rememberedChats() },
                  { "endpoints", endpoints } };
    if (replica_)
        status["replica"] = replica_->status();
    return status;
}

void OperatorFront::change(ExchangeId exchange, const HttpRequest &request)
{
    const auto change = parseJson(request.body, kSmallJson).and_then(parseChange);
    if (!change) {
        replyError(exchange, change.error());
        return;
    }
    loop_.detach(
            control_.command(ChangeListsCommand { *change }, kChangeLimit)
                    .then([this, exchange, change](Result<CommandAnswer> answer) {
                        if (!answer) {
                            Error error = answer.error();
                            error.message += "; whether the change was accepted is not known";
                            error.remedy = "send the same change with the same id again";
                            replyError(exchange, error);
                            return;
                        }
                        const auto &outcome = std::get<ChangeAnswer>(*answer);
                        logEvent(LogLevel::Info, "change",
                                 { { "id", change->id },
                                   { "kind", std::string(changeKindName(change->kind)) },
                                   { "name", change->name },
                                   { "accepted", outcome.accepted ? "yes" : "no" },
                                   { "revision", fmt::to_string(outcome.revision) },
                                   { "problem", outcome.problem } });
                        if (outcome.accepted) {
                            replyJson(exchange, 200,
                                      { { "accepted", true }, { "revision", outcome.revision } });
                            return;
                        }
                        json body = json::parse(refusalBody(
                                { outcome.kind, outcome.problem,
                                  outcome.kind == ErrorKind::Conflict
                                          ? "read the lists and make the change against their "
                                            "revision"
                                          : "correct the change and send it with a new id" },
                                RunState::NotRun, change->id));
                        body["accepted"] = false;
                        body["revision"] = outcome.revision;
                        replyJson(exchange, httpStatus(outcome.kind), body);
                    }),
            "change");
}

void OperatorFront::bootstrap(ExchangeId exchange)
{
    if (!replica_) {
        replyError(exchange,
                   { ErrorKind::Conflict, "this node has no data folder",
                     "bootstrap on a node with node.data_folder" });
        return;
    }
    loop_.detach(replica_->bootstrap().then([this, exchange](Result<void> outcome) {
        if (!outcome)
            replyError(exchange, outcome.error());
        else
            replyJson(exchange, 200, { { "accepted", true } });
    }),
                 "bootstrap");
}

void OperatorFront::removeReplica(ExchangeId exchange, const HttpRequest &request)
{
    const std::string name(request.query("name"));
    if (name.empty()) {
        replyError(exchange,
                   { ErrorKind::InvalidRequest, "the query names no replica", "send ?name=NODE" });
        return;
    }
    loop_.detach(control_.removeReplica(name).then([this, exchange](Result<void> outcome) {
        if (!outcome)
            replyError(exchange, outcome.error());
        else
            replyJson(exchange, 200, { { "accepted", true } });
    }),
                 "remove replica");
}

void OperatorFront::release(ExchangeId exchange, const HttpRequest &request)
{
    const std::string_view text = request.query("fingerprint");
    Fingerprint fingerprint = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), fingerprint, 16);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        replyError(exchange,
                   { ErrorKind::InvalidRequest, "the query names no fingerprint",
                     "send ?fingerprint=HEX as the status shows it" });
        return;
    }
    loop_.detach(control_.command(ClearSuspectCommand { fingerprint, true }, kChangeLimit)
                         .then([this, exchange](Result<CommandAnswer> answer) {
                             if (!answer) {
                                 replyError(exchange, answer.error());
                                 return;
                             }
                             const auto *done = std::get_if<AppliedAnswer>(&*answer);
                             if (done && done->applied) {
                                 replyJson(exchange, 200, { { "accepted", true } });
                                 return;
                             }
                             replyError(exchange,
                                        { ErrorKind::NotFound,
                                          "no request with this fingerprint is held",
                                          "take the fingerprint from the status" });
                         }),
                 "release");
}

void OperatorFront::replyJson(ExchangeId exchange, int status, const json &body)
{
    HttpReply reply;
    reply.status = status;
    reply.body = jsonText(body);
    server_->reply(exchange, reply);
}

void OperatorFront::replyError(ExchangeId exchange, const Error &error)
{
    server_->reply(exchange, refusal(error, RunState::NotRun, ""));
}

} // namespace bamboogap
