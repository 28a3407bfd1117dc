// The operators' command-line tool. It speaks HTTP to the operators' port of
// any node; each command is one call, or a read and a change.

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "base/error.h"
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
constexpr bamboogap::Duration kWaitPoll = std::chrono::milliseconds(100);
constexpr bamboogap::Duration kWaitLimit = std::chrono::seconds(30);
constexpr bamboogap::Duration kWatchInterval = std::chrono::seconds(1);

struct Options
{
    std::string at;
    std::vector<std::string> words;
    std::string plan;
    uint32_t share = 1;
    std::vector<std::string> allow;
    std::vector<std::string> services;
    std::vector<std::string> repeatable;
    std::string id;
    int64_t base = -1;
    bool wait = false;
    bool asJson = false;
};

struct Answer
{
    int status = 0;
    json body;
};

class Client
{
public:
    Client(EventLoop &loop, std::string address)
        : loop_(loop)
        , address_(std::move(address))
    {
    }

    Result<Answer> call(const std::string &method, const std::string &path,
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
                          .then([&outcome](bamboogap::EndpointOutcome ended) {
                              outcome = std::move(ended);
                          }));
        if (outcome.result != bamboogap::EndpointResult::Whole) {
            return failure(ErrorKind::ConnectFailed,
                           fmt::format("{}: {}", address_, outcome.problem),
                           "name the operators' address of a node that runs, with --at");
        }
        Answer answer { outcome.status, json::parse(text, nullptr, false) };
        if (answer.body.is_discarded())
            answer.body = text;
        return answer;
    }

    EventLoop &loop() { return loop_; }

private:
    EventLoop &loop_;
    std::string address_;
};

std::string randomId()
{
    std::random_device device;
    return fmt::format("ctl-{:08x}{:08x}", device(), device());
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts(1);
    for (const char letter : text) {
        if (letter == separator)
            parts.emplace_back();
        else
            parts.back() += letter;
    }
    return parts;
}

// "model:adapter:version:endpoint"; what is left out allows any value.
json parseAllow(const std::string &text)
{
    const std::vector<std::string> parts = split(text, ':');
    const auto part = [&](size_t i) { return i < parts.size() ? parts[i] : std::string(); };
    return { { "model", part(0) },
             { "adapter", part(1) },
             { "version", part(2) },
             { "endpoint", part(3) } };
}

json changeFor(const Options &options)
{
    json change { { "kind", options.words[0] }, { "name", options.words[1] } };
    if (options.words[0] == "set-customer")
        change["customer"] = { { "plan", options.plan }, { "share", options.share } };
    if (options.words[0] == "set-plan") {
        json allowances = json::array();
        for (const std::string &text : options.allow)
            allowances.push_back(parseAllow(text));
        change["plan"] = { { "allowances", allowances }, { "services", options.services } };
    }
    if (options.words[0] == "set-service") {
        json calls = json::array();
        for (const std::string &text : options.repeatable) {
            const std::vector<std::string> parts = split(text, ' ');
            calls.push_back(
                    { { "method", parts[0] }, { "path", parts.size() > 1 ? parts[1] : "" } });
        }
        change["service"] = { { "repeatable", calls } };
    }
    return change;
}

int fail(const bamboogap::Error &error)
{
    fmt::print(stderr, "{}\n", error.text());
    return EXIT_FAILURE;
}

int printAnswer(const Options &options, const Answer &answer)
{
    const bool good = answer.status >= 200 && answer.status < 300;
    if (options.asJson || answer.body.is_string()) {
        fmt::print("{}\n",
                   answer.body.is_string() ? answer.body.get<std::string>() : answer.body.dump(2));
    } else if (good) {
        fmt::print("{}", bamboogap::describe(answer.body));
    }
    if (!good && answer.body.is_object() && answer.body.contains("error")) {
        const json &error = answer.body["error"];
        fmt::print(stderr, "{}: {}; remedy: {}\n", error.value("type", "error"),
                   error.value("message", ""), error.value("remedy", ""));
    }
    return good ? EXIT_SUCCESS : EXIT_FAILURE;
}

// Waits until every router acts by the revision.
int waitInForce(Client &client, uint64_t revision)
{
    const bamboogap::Instant giveUpAt = bamboogap::BootClock::now() + kWaitLimit;
    while (bamboogap::BootClock::now() < giveUpAt) {
        const auto status = client.call("GET", "/v1/operators/status");
        if (status && status->body.is_object()
            && status->body.value("revision_in_force", uint64_t { 0 }) >= revision) {
            fmt::print("in force everywhere\n");
            return EXIT_SUCCESS;
        }
        client.loop().run(client.loop().sleep(kWaitPoll));
    }
    return fail({ ErrorKind::EndpointTimeout, "accepted, but not yet in force everywhere",
                  "see the routers' revisions with: bamboogapctl status" });
}

int runChange(Client &client, const Options &options)
{
    json change = changeFor(options);
    change["id"] = options.id.empty() ? randomId() : options.id;
    if (options.base >= 0) {
        change["base"] = static_cast<uint64_t>(options.base);
    } else {
        const auto lists = client.call("GET", "/v1/operators/lists");
        if (!lists)
            return fail(lists.error());
        if (lists->status != 200)
            return printAnswer(options, *lists);
        change["base"] = lists->body.value("revision", uint64_t { 0 });
    }
    const auto answer = client.call("POST", "/v1/operators/changes", change.dump());
    if (!answer)
        return fail(answer.error());
    const int printed = printAnswer(options, *answer);
    if (printed != EXIT_SUCCESS || !options.wait)
        return printed;
    return waitInForce(client, answer->body.value("revision", uint64_t { 0 }));
}

int runCall(Client &client, const Options &options, const std::string &method,
            const std::string &path)
{
    const auto answer = client.call(method, path);
    return answer ? printAnswer(options, *answer) : fail(answer.error());
}

int watch(Client &client, const Options &options)
{
    while (true) {
        const int outcome = runCall(client, options, "GET", "/v1/operators/status");
        if (outcome != EXIT_SUCCESS)
            fmt::print(stderr, "no status yet\n");
        fmt::print("--\n");
        std::fflush(stdout);
        client.loop().run(client.loop().sleep(kWatchInterval));
    }
}

struct CommandHelp
{
    const char *words;
    const char *what;
};

constexpr CommandHelp kCommands[] = {
    { "status", "The fleet: leader, routers, endpoints, calls, quarantine" },
    { "node", "The node at --at: lease, owned endpoints, open requests" },
    { "lists", "Customers, plans, services and what is out of service" },
    { "watch", "The status once a second" },
    { "bootstrap", "Start a new control group at this node (once in a fleet's life)" },
    { "set-plan NAME --allow MODEL[:ADAPTER[:VERSION[:ENDPOINT]]] ... --service NAME ...",
      "Set what a plan may use" },
    { "set-customer WORKSPACE --plan NAME [--share N]", "Give a customer a plan" },
    { "set-service NAME --repeatable 'METHOD /path' ...", "State which calls may be repeated" },
    { "remove-plan | remove-customer | remove-service NAME", "Remove it from the lists" },
    { "data-centre-out | data-centre-in NAME", "Take a data centre out, bring it back" },
    { "endpoint-out | endpoint-in ID", "Take an endpoint out, bring it back" },
    { "remove-replica NODE", "Drop a control replica that will not come back" },
    { "release FINGERPRINT", "Lift the quarantine of a request" },
};

std::string helpText()
{
    std::string text = "Commands:\n";
    for (const CommandHelp &command : kCommands)
        text += fmt::format("  {}\n      {}\n", command.words, command.what);
    return text;
}

int run(const Options &options)
{
    EventLoop loop;
    Client client(loop, options.at);
    const std::string &command = options.words[0];
    const std::string argument = options.words.size() > 1 ? options.words[1] : std::string();
    if (command == "status")
        return runCall(client, options, "GET", "/v1/operators/status");
    if (command == "node")
        return runCall(client, options, "GET", "/v1/operators/node");
    if (command == "lists")
        return runCall(client, options, "GET", "/v1/operators/lists");
    if (command == "watch")
        return watch(client, options);
    if (command == "bootstrap")
        return runCall(client, options, "POST", "/v1/operators/bootstrap");
    if (argument.empty()) {
        return fail({ ErrorKind::InvalidRequest,
                      fmt::format("'{}' is not a command, or lacks its name", command),
                      "see bamboogapctl --help" });
    }
    if (command == "remove-replica")
        return runCall(client, options, "POST", "/v1/operators/replicas/remove?name=" + argument);
    if (command == "release")
        return runCall(client, options, "POST",
                       "/v1/operators/quarantine/release?fingerprint=" + argument);
    return runChange(client, options);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    try {
        TCLAP::CmdLine line(helpText(), ' ', kVersion);
        TCLAP::ValueArg<std::string> at("", "at", "Operators' address of a node", false,
                                        "127.0.0.1:7402", "ip:port", line);
        TCLAP::ValueArg<std::string> plan("", "plan", "Plan of a customer", false, "", "name",
                                          line);
        TCLAP::ValueArg<uint32_t> share("", "share", "Share of a customer when work waits", false,
                                        1, "number", line);
        TCLAP::MultiArg<std::string> allow("", "allow", "What a plan may use", false, "use", line);
        TCLAP::MultiArg<std::string> services("", "service", "A service that a plan may call",
                                              false, "name", line);
        TCLAP::MultiArg<std::string> repeatable("", "repeatable", "A call that may be repeated",
                                                false, "'METHOD /path'", line);
        TCLAP::ValueArg<std::string> id("", "id", "Id of the change; a resend carries the same",
                                        false, "", "text", line);
        TCLAP::ValueArg<int64_t> base("", "base", "Revision that the change is made against", false,
                                      -1, "number", line);
        TCLAP::SwitchArg wait("", "wait", "Wait until the change is in force everywhere", line);
        TCLAP::SwitchArg asJson("", "json", "Print JSON", line);
        TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its argument", true,
                                                    "words", line);
        line.parse(argc, argv);
        options = { at.getValue(),    words.getValue(),    plan.getValue(),       share.getValue(),
                    allow.getValue(), services.getValue(), repeatable.getValue(), id.getValue(),
                    base.getValue(),  wait.getValue(),     asJson.getValue() };
    } catch (const TCLAP::ArgException &problem) {
        fmt::print(stderr, "{}: {}; see --help\n", problem.argId(), problem.error());
        return EXIT_FAILURE;
    }
    return run(options);
}
