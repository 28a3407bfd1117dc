// The operators' command-line tool. It sends HTTP requests to the operators' port of any
// node. A command is one call; a command that changes the lists first reads their revision,
// unless --base gives it.

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "base/error.h"
#include "base/jsontext.h"
#include "ctl/report.h"
#include "node/endpointcall.h"
#include "node/eventloop.h"

namespace {

using bamboogap::ErrorKind;
using bamboogap::EventLoop;
using bamboogap::failure;
using bamboogap::Result;
using nlohmann::json;

constexpr const char *kVersion = "0.1.0";
constexpr bamboogap::Duration kWaitPollInterval = std::chrono::milliseconds(100);
constexpr bamboogap::Duration kWaitTimeout = std::chrono::seconds(30);
constexpr bamboogap::Duration kWatchInterval = std::chrono::seconds(1);

struct Options
{
    std::string address;
    std::vector<std::string> arguments;
    std::string plan;
    uint32_t share = 1;
    std::vector<std::string> allowances;
    std::vector<std::string> services;
    std::vector<std::string> repeatableCalls;
    std::string changeId;
    int64_t baseRevision = -1;
    bool wait = false;
    bool asJson = false;
};

struct Response
{
    int status = 0;
    json body;
};

class OperatorClient
{
public:
    OperatorClient(EventLoop &loop, std::string address)
        : loop_(loop)
        , address_(std::move(address))
    {
    }

    Result<Response> call(const std::string &method, const std::string &path,
                          const std::string &body = {})
    {
        bamboogap::EndpointRequest request;
        request.address = address_;
        request.method = method;
        request.path = path;
        request.headers.push_back({ "Content-Type", "application/json" });
        request.body = body;
        request.requestId = "bamboogapctl";
        std::string text;
        bamboogap::EndpointOutcome outcome;
        loop_.run(bamboogap::callEndpoint(loop_, {}, std::move(request), nullptr,
                                          [&text](std::string_view data) -> kj::Promise<void> {
                                              text += data;
                                              return kj::READY_NOW;
                                          })
                          .then([&outcome](bamboogap::EndpointOutcome result) {
                              outcome = std::move(result);
                          }));
        if (outcome.result != bamboogap::EndpointResult::Whole) {
            return failure(ErrorKind::ConnectFailed,
                           fmt::format("{}: {}", address_, outcome.problem),
                           "pass the operators' address of a running node with --at");
        }
        Response response { outcome.status, json::parse(text, nullptr, false) };
        if (response.body.is_discarded())
            response.body = text;
        return response;
    }

    EventLoop &loop() { return loop_; }

private:
    EventLoop &loop_;
    std::string address_;
};

std::string randomChangeId()
{
    std::random_device device;
    return fmt::format("ctl-{:08x}{:08x}", device(), device());
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts(1);
    for (const char character : text) {
        if (character == separator)
            parts.emplace_back();
        else
            parts.back() += character;
    }
    return parts;
}

// Parses "MODEL:ADAPTER:VERSION:ENDPOINT"; an empty or missing part allows any value.
json parseAllowance(const std::string &text)
{
    const std::vector<std::string> parts = split(text, ':');
    const auto part = [&](size_t i) { return i < parts.size() ? parts[i] : std::string(); };
    return { { "model", part(0) },
             { "adapter", part(1) },
             { "version", part(2) },
             { "endpoint", part(3) } };
}

json buildChange(const Options &options)
{
    json change { { "kind", options.arguments[0] }, { "name", options.arguments[1] } };
    if (options.arguments[0] == "set-customer")
        change["customer"] = { { "plan", options.plan }, { "share", options.share } };
    if (options.arguments[0] == "set-plan") {
        json allowances = json::array();
        for (const std::string &text : options.allowances)
            allowances.push_back(parseAllowance(text));
        change["plan"] = { { "allowances", allowances }, { "services", options.services } };
    }
    if (options.arguments[0] == "set-service") {
        json calls = json::array();
        for (const std::string &text : options.repeatableCalls) {
            const std::vector<std::string> parts = split(text, ' ');
            calls.push_back(
                    { { "method", parts[0] }, { "path", parts.size() > 1 ? parts[1] : "" } });
        }
        change["service"] = { { "repeatable", calls } };
    }
    return change;
}

int printError(const bamboogap::Error &error)
{
    fmt::print(stderr, "{}\n", error.text());
    return EXIT_FAILURE;
}

int printResponse(const Options &options, const Response &response)
{
    const bool succeeded = response.status >= 200 && response.status < 300;
    if (options.asJson || response.body.is_string()) {
        fmt::print("{}\n",
                   response.body.is_string() ? response.body.get<std::string>()
                                             : bamboogap::jsonText(response.body, 2));
    } else if (succeeded) {
        fmt::print("{}", bamboogap::formatAsText(response.body));
    }
    if (!succeeded && response.body.is_object() && response.body.contains("error")) {
        const json &error = response.body["error"];
        fmt::print(stderr, "{}: {}; remedy: {}\n", error.value("type", "error"),
                   error.value("message", ""), error.value("remedy", ""));
    }
    return succeeded ? EXIT_SUCCESS : EXIT_FAILURE;
}

// Waits until every router has applied the revision, for at most kWaitTimeout.
int waitUntilInForce(OperatorClient &client, uint64_t revision)
{
    const bamboogap::Instant deadline = bamboogap::BootClock::now() + kWaitTimeout;
    while (bamboogap::BootClock::now() < deadline) {
        const auto status = client.call("GET", "/v1/operators/status");
        if (status && status->body.is_object()
            && status->body.value("revision_in_force", uint64_t { 0 }) >= revision) {
            fmt::print("in force everywhere\n");
            return EXIT_SUCCESS;
        }
        client.loop().run(client.loop().sleep(kWaitPollInterval));
    }
    return printError({ ErrorKind::EndpointTimeout,
                        "the change was accepted but is not yet in force everywhere",
                        "check the revisions of the routers with: bamboogapctl status" });
}

int submitChange(OperatorClient &client, const Options &options)
{
    json change = buildChange(options);
    change["id"] = options.changeId.empty() ? randomChangeId() : options.changeId;
    if (options.baseRevision >= 0) {
        change["base"] = static_cast<uint64_t>(options.baseRevision);
    } else {
        const auto lists = client.call("GET", "/v1/operators/lists");
        if (!lists)
            return printError(lists.error());
        if (lists->status != 200)
            return printResponse(options, *lists);
        change["base"] = lists->body.value("revision", uint64_t { 0 });
    }
    const auto response = client.call("POST", "/v1/operators/changes", bamboogap::jsonText(change));
    if (!response)
        return printError(response.error());
    const int exitCode = printResponse(options, *response);
    if (exitCode != EXIT_SUCCESS || !options.wait)
        return exitCode;
    return waitUntilInForce(client, response->body.value("revision", uint64_t { 0 }));
}

int callAndPrint(OperatorClient &client, const Options &options, const std::string &method,
                 const std::string &path)
{
    const auto response = client.call(method, path);
    return response ? printResponse(options, *response) : printError(response.error());
}

int watchStatus(OperatorClient &client, const Options &options)
{
    while (true) {
        const int exitCode = callAndPrint(client, options, "GET", "/v1/operators/status");
        if (exitCode != EXIT_SUCCESS)
            fmt::print(stderr, "could not read the status; retrying\n");
        fmt::print("--\n");
        std::fflush(stdout);
        client.loop().run(client.loop().sleep(kWatchInterval));
    }
}

int startRollout(OperatorClient &client, const Options &options)
{
    constexpr size_t kService = 2;
    constexpr size_t kVersion = 3;
    constexpr size_t kSeconds = 4;
    double seconds = 0;
    try {
        seconds = std::stod(options.arguments[kSeconds]);
    } catch (const std::logic_error &) {
        return printError(
                { ErrorKind::InvalidRequest,
                  fmt::format("'{}' is no number of seconds", options.arguments[kSeconds]),
                  "see bamboogapctl --help" });
    }
    const json order { { "service", options.arguments[kService] },
                       { "version", options.arguments[kVersion] },
                       { "duration_s", seconds } };
    const auto response = client.call("POST", "/v1/operators/rollouts", bamboogap::jsonText(order));
    return response ? printResponse(options, *response) : printError(response.error());
}

int runRollouts(OperatorClient &client, const Options &options)
{
    const std::vector<std::string> &arguments = options.arguments;
    const std::string action = arguments.size() > 1 ? arguments[1] : std::string();
    if (action == "list" && arguments.size() == 2)
        return callAndPrint(client, options, "GET", "/v1/operators/rollouts");
    if (action == "show" && arguments.size() == 3)
        return callAndPrint(client, options, "GET",
                            "/v1/operators/rollouts?service=" + arguments[2]);
    if (action == "start" && arguments.size() == 5)
        return startRollout(client, options);
    return printError({ ErrorKind::InvalidRequest,
                        "rollouts needs: list, show SERVICE, or start SERVICE VERSION SECONDS",
                        "see bamboogapctl --help" });
}

struct CommandHelp
{
    const char *usage;
    const char *description;
};

constexpr CommandHelp kCommands[] = {
    { "status", "Show the fleet: leader, routers, endpoints, calls, quarantine" },
    { "node", "Show the node at --at: lease, owned endpoints, open requests" },
    { "lists", "Show customers, plans, services, and data centres and endpoints out of service" },
    { "watch", "Show the status once a second" },
    { "bootstrap", "Form a new control group at the node at --at (once per fleet)" },
    { "set-plan NAME --allow MODEL[:ADAPTER[:VERSION[:ENDPOINT]]] ... --service NAME ...",
      "Set the models and services that a plan may use" },
    { "set-customer WORKSPACE --plan NAME [--share N]", "Assign a plan to a customer" },
    { "set-service NAME --repeatable 'METHOD /path' ...",
      "Set which calls of a service may be repeated" },
    { "remove-plan | remove-customer | remove-service NAME",
      "Remove a plan, customer or service from the lists" },
    { "data-centre-out | data-centre-in NAME",
      "Take a data centre out of service, or put it back into service" },
    { "endpoint-out | endpoint-in ID",
      "Take an endpoint out of service, or put it back into service" },
    { "remove-replica NODE", "Remove a control replica that is permanently lost" },
    { "release FINGERPRINT", "Release a request from quarantine" },
    { "rollouts list", "List the latest rollout of each service (at a replica)" },
    { "rollouts show SERVICE", "Show the latest rollout of a service" },
    { "rollouts start SERVICE VERSION SECONDS",
      "Shift a service's traffic to endpoints of another software version, by a deadline" },
};

std::string helpText()
{
    std::string text = "Commands:\n";
    for (const CommandHelp &command : kCommands)
        text += fmt::format("  {}\n      {}\n", command.usage, command.description);
    return text;
}

int run(const Options &options)
{
    EventLoop loop;
    OperatorClient client(loop, options.address);
    const std::string &command = options.arguments[0];
    const std::string argument
            = options.arguments.size() > 1 ? options.arguments[1] : std::string();
    if (command == "status")
        return callAndPrint(client, options, "GET", "/v1/operators/status");
    if (command == "node")
        return callAndPrint(client, options, "GET", "/v1/operators/node");
    if (command == "lists")
        return callAndPrint(client, options, "GET", "/v1/operators/lists");
    if (command == "watch")
        return watchStatus(client, options);
    if (command == "bootstrap")
        return callAndPrint(client, options, "POST", "/v1/operators/bootstrap");
    if (command == "rollouts")
        return runRollouts(client, options);
    if (argument.empty()) {
        return printError(
                { ErrorKind::InvalidRequest,
                  fmt::format("'{}' is an unknown command, or its argument is missing", command),
                  "see bamboogapctl --help" });
    }
    if (command == "remove-replica")
        return callAndPrint(client, options, "POST",
                            "/v1/operators/replicas/remove?name=" + argument);
    if (command == "release")
        return callAndPrint(client, options, "POST",
                            "/v1/operators/quarantine/release?fingerprint=" + argument);
    return submitChange(client, options);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    try {
        TCLAP::CmdLine line(helpText(), ' ', kVersion);
        TCLAP::ValueArg<std::string> address("", "at", "Operators' address of a node", false,
                                             "127.0.0.1:7402", "ip:port", line);
        TCLAP::ValueArg<std::string> plan("", "plan", "Plan of a customer", false, "", "name",
                                          line);
        TCLAP::ValueArg<uint32_t> share("", "share", "Share of a customer while requests wait",
                                        false, 1, "number", line);
        TCLAP::MultiArg<std::string> allowances(
                "", "allow", "Model, adapter, version and endpoint that a plan may use", false,
                "use", line);
        TCLAP::MultiArg<std::string> services("", "service", "A service that a plan may call",
                                              false, "name", line);
        TCLAP::MultiArg<std::string> repeatableCalls(
                "", "repeatable", "A call that may be repeated", false, "'METHOD /path'", line);
        TCLAP::ValueArg<std::string> changeId("", "id",
                                              "Id of the change; pass the same one to resend it",
                                              false, "", "text", line);
        TCLAP::ValueArg<int64_t> baseRevision("", "base",
                                              "Revision of the lists on which the change is based",
                                              false, -1, "number", line);
        TCLAP::SwitchArg wait("", "wait", "Wait until the change is in force everywhere", line);
        TCLAP::SwitchArg asJson("", "json", "Print JSON", line);
        TCLAP::UnlabeledMultiArg<std::string> arguments("command", "Command and its argument", true,
                                                        "argument", line);
        line.parse(argc, argv);
        options = { address.getValue(),
                    arguments.getValue(),
                    plan.getValue(),
                    share.getValue(),
                    allowances.getValue(),
                    services.getValue(),
                    repeatableCalls.getValue(),
                    changeId.getValue(),
                    baseRevision.getValue(),
                    wait.getValue(),
                    asJson.getValue() };
    } catch (const TCLAP::ArgException &problem) {
        fmt::print(stderr, "{}: {}; see --help\n", problem.argId(), problem.error());
        return EXIT_FAILURE;
    }
    return run(options);
}
