// Takes callers' requests: parses them, checks plans and places them. How they run is
// in node/entryrun.cc.

#include "node/entryrequest.h"

#include <set>

#include <fmt/format.h>
#include <kj/debug.h>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/jsontext.h"
#include "base/log.h"
#include "node/convert.h"

namespace bamboogap {

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kModelsPath = "/v1/models";
constexpr std::string_view kServicesPrefix = "/services/";

// Headers that concern one connection or the router itself and are not passed on.
bool isPassedOn(std::string_view name)
{
    static const std::set<std::string, std::less<>> kept { "content-type",    "accept",
                                                           "accept-language", "user-agent",
                                                           "authorization",   "x-workspace",
                                                           "idempotency-key" };
    std::string lower(name);
    for (char &letter : lower)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return kept.count(lower) > 0;
}

std::vector<HttpHeader> passedOn(const HttpRequest &request)
{
    std::vector<HttpHeader> headers;
    for (const HttpHeader &header : request.headers) {
        if (isPassedOn(header.name))
            headers.push_back(header);
    }
    return headers;
}

CallerHeaders callerHeaders(const HttpRequest &request)
{
    return { request.header("Authorization"), request.header("X-Workspace"),
             request.header("X-Chat-Id"),     request.header("X-Priority"),
             request.header("X-Deadline-Ms"), request.header("Idempotency-Key"),
             request.header("X-Repeatable") };
}

} // namespace

EntryTask::EntryTask(EventLoop &loop, const Settings &settings, MemberTask &members,
                     OwnerTask &owner, ControlClient &control, Peers &peers, Metrics &metrics)
    : loop_(loop)
    , settings_(settings)
    , members_(members)
    , owner_(owner)
    , control_(control)
    , peers_(peers)
    , metrics_(metrics)
    , retries_(settings.routing.retries)
    , idBase_(combineHashes(hashBytes(members.member().self().name),
                            members.member().self().incarnation))
{
}

void EntryTask::handle(ExchangeId exchange, HttpRequest request)
{
    const std::string path(request.pathOnly());
    if (path == kChatPath) {
        if (request.method == "POST") {
            startChat(exchange, std::move(request));
            return;
        }
    } else if (path == kModelsPath) {
        if (request.method == "GET") {
            listModels(exchange, request);
            return;
        }
    } else if (path.compare(0, kServicesPrefix.size(), kServicesPrefix) == 0) {
        startService(exchange, std::move(request));
        return;
    } else {
        const Error error { ErrorKind::NotFound, fmt::format("there is nothing at {}", path),
                            fmt::format("use {}, {} or {}NAME/...", kChatPath, kModelsPath,
                                        kServicesPrefix) };
        server_->reply(exchange, refusal(error, RunState::NotRun, ""));
        return;
    }
    const Error error { ErrorKind::InvalidRequest,
                        fmt::format("{} does not take {}", path, request.method),
                        path == kChatPath ? "send POST" : "send GET" };
    HttpReply reply = refusal(error, RunState::NotRun, "");
    reply.status = 405;
    server_->reply(exchange, reply);
}

void EntryTask::listModels(ExchangeId exchange, const HttpRequest &request)
{
    const auto terms = parseRequestOptions(callerHeaders(request));
    if (!terms) {
        server_->reply(exchange, refusal(terms.error(), RunState::NotRun, ""));
        return;
    }
    std::set<std::string> models;
    for (const auto &[id, endpoint] : members_.member().endpoints()) {
        for (const Offer &offer : endpoint.announcement.offers) {
            const Allowance use { offer.model, offer.adapter, offer.version, id };
            if (members_.member().lists().allows(terms->workspace, use))
                models.insert(offer.model);
        }
    }
    auto data = nlohmann::json::array();
    for (const std::string &model : models)
        data.push_back({ { "id", model }, { "object", "model" }, { "owned_by", "bamboogap" } });
    HttpReply reply;
    reply.body = jsonText({ { "object", "list" }, { "data", data } });
    server_->reply(exchange, reply);
}

void EntryTask::startChat(ExchangeId exchange, HttpRequest http)
{
    auto request = std::make_shared<Request>();
    request->exchange = exchange;
    request->arrived = BootClock::now();
    request->call.id = combineHashes(idBase_, ++lastId_);
    request->idText = fmt::format("{:016x}", request->call.id);
    metrics_.count("bamboogap_requests_total", "kind=\"chat\"");
    auto parsed = parseChatRequest(callerHeaders(http), http.body);
    if (!parsed) {
        refuse(*request, parsed.error(), RunState::NotRun);
        return;
    }
    const OperatorLists &lists = members_.member().lists();
    if (!lists.allows(parsed->options.workspace, parsed->use)) {
        refuse(*request,
               { ErrorKind::NotPermitted,
                 fmt::format("workspace '{}' has no plan with model '{}'",
                             parsed->options.workspace, parsed->use.model),
                 "ask the operators for a plan with this model, or name another one" },
               RunState::NotRun);
        return;
    }
    ForwardCall &call = request->call;
    call.kind = ForwardKind::Chat;
    call.chat = parsed->chat;
    call.workspace = parsed->options.workspace;
    call.share = lists.customers.at(call.workspace).share;
    call.priority = parsed->options.priority;
    call.startBy = request->arrived + parsed->options.startWithin;
    call.fingerprint = parsed->fingerprint;
    call.use = parsed->use;
    call.method = "POST";
    call.path = kChatPath;
    call.headers = passedOn(http);
    call.body = std::move(http.body);
    call.stream = parsed->stream;
    request->returning = parsed->returning;
    request->repeatable = parsed->options.repeatable.value_or(true);
    if (!request->repeatable && !call.stream)
        request->idempotencyKey = parsed->options.idempotencyKey;
    run(request);
}

void EntryTask::startService(ExchangeId exchange, HttpRequest http)
{
    auto request = std::make_shared<Request>();
    request->exchange = exchange;
    request->arrived = BootClock::now();
    request->call.id = combineHashes(idBase_, ++lastId_);
    request->idText = fmt::format("{:016x}", request->call.id);
    metrics_.count("bamboogap_requests_total", "kind=\"service\"");
    auto terms = parseRequestOptions(callerHeaders(http));
    if (!terms) {
        refuse(*request, terms.error(), RunState::NotRun);
        return;
    }
    const std::string rest = http.path.substr(kServicesPrefix.size());
    const size_t slash = std::min(rest.find('/'), rest.size());
    ForwardCall &call = request->call;
    call.kind = ForwardKind::Service;
    call.service = rest.substr(0, std::min(slash, rest.find('?')));
    call.path = slash < rest.size() ? rest.substr(slash) : "/";
    call.method = http.method;
    call.workspace = terms->workspace;
    const OperatorLists &lists = members_.member().lists();
    if (!lists.allowsService(call.workspace, call.service)) {
        refuse(*request,
               { ErrorKind::NotPermitted,
                 fmt::format("workspace '{}' has no plan with service '{}'", call.workspace,
                             call.service),
                 "ask the operators for a plan with this service" },
               RunState::NotRun);
        return;
    }
    call.share = lists.customers.at(call.workspace).share;
    call.priority = terms->priority;
    call.startBy = request->arrived + terms->startWithin;
    call.fingerprint = fingerprintOf(call.workspace, call.service + " " + call.method + call.path,
                                     http.body);
    call.headers = passedOn(http);
    call.body = std::move(http.body);
    // Calls of one customer need not meet at one endpoint: spread them.
    call.chat = call.id;
    request->repeatable = isRepeatable(*request) && terms->repeatable.value_or(true);
    if (!request->repeatable)
        request->idempotencyKey = terms->idempotencyKey;
    run(request);
}

// Operators or the service's own announcement say so; else it may not be.
bool EntryTask::isRepeatable(const Request &request) const
{
    const ForwardCall &call = request.call;
    const Member &member = members_.member();
    if (member.lists().isRepeatable(call.service, call.method, call.path))
        return true;
    OperatorLists announced;
    bool anyEndpoint = false;
    for (const auto &[id, endpoint] : member.endpoints()) {
        const Announcement &announcement = endpoint.announcement;
        if (announcement.kind != EndpointKind::Service || announcement.service != call.service)
            continue;
        // Every endpoint of the service has to say so.
        announced.services[call.service] = { announcement.repeatable };
        if (!announced.isRepeatable(call.service, call.method, call.path))
            return false;
        anyEndpoint = true;
    }
    return anyEndpoint;
}

// Why this router cannot route now; nothing if it can.
std::optional<Error> EntryTask::obstacle() const
{
    if (members_.holdsLease())
        return std::nullopt;
    return Error { ErrorKind::NoLease, "this router has no lease from the control group",
                   "come back after the time given; the balancer may choose another router" };
}

bool EntryTask::mayUse(const ForwardCall &call, std::string_view endpoint) const
{
    const Member &member = members_.member();
    const auto usable = member.usable(endpoint);
    if (!usable)
        return false;
    if (call.kind == ForwardKind::Service)
        return (*usable)->announcement.service == call.service;
    for (const Offer &offer : (*usable)->announcement.offers) {
        const bool offered = offer.model == call.use.model
                && (call.use.adapter.empty() || offer.adapter == call.use.adapter)
                && (call.use.version.empty() || offer.version == call.use.version);
        const Allowance use { offer.model, offer.adapter, offer.version, std::string(endpoint) };
        if (offered && member.lists().allows(call.workspace, use))
            return true;
    }
    return false;
}

void EntryTask::place(Request &request)
{
    ChatPlacementRequest ask;
    ask.chat = request.call.chat;
    ask.returning = request.returning;
    const ForwardCall &call = request.call;
    ask.pools = call.kind == ForwardKind::Service ? owner_.poolsOfService(call.service)
                                                  : owner_.poolsOfModel(call.use.model);
    ask.eligible = [this, &request](const EndpointLoad &endpoint) {
        return mayUse(request.call, endpoint.id);
    };
    request.candidates = placeChat(owner_.board(), settings_.routing.placement, ask);
    if (const Candidate *home = request.candidates.primary())
        request.home = home->endpoint;
}

} // namespace bamboogap
