// A fake endpoint for demonstrations and process tests. It acts as a model engine
// with a bounded prefix cache, a cold start and resumable streams, or as a plain
// service that counts the orders that it executed.
//
// Words in the body of a request inject faults:
//   CRASH_ENGINE   close all connections, stay down for a while, restart cold
//   CUT_STREAM     close the connection once halfway through the stream, which
//                  can then be resumed
//   FOREIGN        respond with the id of another request
//   HALF_ANSWER    close the connection in the middle of the response body
//   GARBAGE        send a response without a request id and with an unrelated body
//   RUN_THEN_BREAK execute the order, then close the connection without a response
//   SLOW=<ms>      wait before responding

#include <algorithm>
#include <cstdlib>
#include <list>
#include <map>
#include <set>

#include <fmt/format.h>
#include <kj/debug.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "base/hash.h"
#include "fleet/announcement.h"
#include "node/endpointcall.h"
#include "node/eventloop.h"
#include "node/httpserver.h"

namespace {

using namespace bamboogap;
using nlohmann::json;

struct Options
{
    std::string id;
    std::string dataCentre;
    std::string listen;
    std::vector<std::string> announceTo;
    std::string model;
    std::string service;
    uint32_t capacity = 8;
    uint32_t coldCapacity = 2;
    int64_t coldMillis = 0;
    int64_t tokenMillis = 5;
    int tokens = 20;
    size_t cachedChats = 64;
    int64_t announceMillis = 300;
    int64_t restartMillis = 500; // time without any response after a crash
    bool platform = false; // sign responses as the platform's endpoints do
};

class FakeEndpoint
{
public:
    FakeEndpoint(EventLoop &loop, Options options)
        : loop_(loop)
        , options_(std::move(options))
        , incarnation_(static_cast<uint64_t>(wallClockMillis()))
        , startedAt_(BootClock::now())
    {
    }

    Result<void> open()
    {
        auto address = parseSocketAddress(options_.listen);
        if (!address)
            return tl::unexpected(address.error());
        auto server = HttpServer::listen(
                loop_, *address, {}, heads_, bodies_,
                [this](ExchangeId id, HttpRequest request) { handle(id, std::move(request)); });
        if (!server)
            return tl::unexpected(server.error());
        server_ = std::move(*server);
        loop_.every(std::chrono::milliseconds(options_.announceMillis), "announce",
                    [this] { announce(); });
        announce();
        return {};
    }

private:
    struct Stream
    {
        ExchangeId exchange = 0;
        std::string id;
        std::vector<std::string> events;
        size_t next = 0;
        size_t breakAtEvent = 0;
    };

    bool isCold() const
    {
        return BootClock::now() - startedAt_ < std::chrono::milliseconds(options_.coldMillis);
    }

    void announce()
    {
        if (BootClock::now() < downUntil_)
            return;
        Announcement announcement;
        announcement.id = options_.id;
        announcement.incarnation = incarnation_;
        announcement.dataCentre = options_.dataCentre;
        announcement.address = options_.listen;
        announcement.capacity = options_.capacity;
        announcement.coldCapacity = options_.coldCapacity;
        announcement.cold = isCold();
        announcement.leaving = leaving_;
        announcement.echoesRequestId = true;
        announcement.resumes = true;
        if (options_.service.empty()) {
            announcement.offers.push_back({ options_.model, "", "" });
        } else {
            announcement.kind = EndpointKind::Service;
            announcement.service = options_.service;
            announcement.repeatable.push_back({ "GET", "/status" });
        }
        if (announcement.cold != announcedCold_ || announcement.leaving != announcedLeaving_)
            ++sequence_;
        announcedCold_ = announcement.cold;
        announcedLeaving_ = announcement.leaving;
        announcement.sequence = sequence_;
        json body = toJson(announcement);
        body["load"] = { { "running", running_ }, { "waiting", 0 } };
        EndpointRequest request;
        request.address = options_.announceTo[nextRouter_++ % options_.announceTo.size()];
        request.method = "POST";
        request.path = "/v1/endpoints/announce";
        request.body = body.dump();
        request.requestId = options_.id;
        loop_.detach(
                callEndpoint(loop_, {}, std::move(request), nullptr,
                             [](std::string_view) -> kj::Promise<void> { return kj::READY_NOW; })
                        .ignoreResult(),
                "announce");
    }

    void handle(ExchangeId exchange, HttpRequest request)
    {
        const std::string path(request.pathOnly());
        if (path == "/stats") {
            replyJson(exchange, 200, stats(), "");
            return;
        }
        if (path == "/leave") {
            leaving_ = true;
            announce();
            replyJson(exchange, 200, { { "leaving", true } }, "");
            return;
        }
        if (path == "/make-cold") {
            startedAt_ = BootClock::now();
            replyJson(exchange, 200, { { "cold", true } }, "");
            return;
        }
        if (BootClock::now() < downUntil_) {
            server_->breakStream(exchange);
            return;
        }
        startRequest(exchange, std::move(request));
    }

    json stats() const
    {
        return { { "id", options_.id },           { "incarnation", incarnation_ },
                 { "runs", requestCount_ },       { "running", running_ },
                 { "most_running", maxRunning_ }, { "cache_hits", cacheHits_ },
                 { "crashes", crashCount_ },      { "overloads", overloadCount_ },
                 { "cancelled", cancelCount_ },   { "orders", orderCounts_ } };
    }

    void startRequest(ExchangeId exchange, HttpRequest request)
    {
        ++requestCount_;
        ++running_;
        maxRunning_ = std::max(maxRunning_, running_);
        activeExchanges_.insert(exchange);
        if (request.body.find("CRASH_ENGINE") != std::string::npos) {
            crash();
            return;
        }
        if (isCold() && running_ > options_.coldCapacity * 2) {
            ++overloadCount_;
            crash();
            return;
        }
        int64_t delay = 0;
        const size_t slow = request.body.find("SLOW=");
        if (slow != std::string::npos)
            delay = std::strtoll(request.body.c_str() + slow + 5, nullptr, 10);
        server_->onClosed(exchange, [this, exchange]() {
            ++cancelCount_;
            finishRequest(exchange);
        });
        loop_.detach(loop_.sleep(std::chrono::milliseconds(delay))
                             .then([this, exchange, request = std::move(request)]() mutable {
                                 if (activeExchanges_.count(exchange))
                                     respond(exchange, request);
                             }),
                     "serve");
    }

    void finishRequest(ExchangeId exchange)
    {
        if (activeExchanges_.erase(exchange))
            --running_;
    }

    // Drops all running requests, streams and cached prefixes, as when the process dies.
    void crash()
    {
        ++crashCount_;
        const std::set<ExchangeId> dropped = std::move(activeExchanges_);
        activeExchanges_.clear();
        running_ = 0;
        streams_.clear();
        cache_.clear();
        recencyList_.clear();
        incarnation_ = std::max(incarnation_ + 1, static_cast<uint64_t>(wallClockMillis()));
        sequence_ = 0;
        startedAt_ = BootClock::now();
        downUntil_ = startedAt_ + std::chrono::milliseconds(options_.restartMillis);
        loop_.detach(kj::evalLater([this, dropped]() {
                         for (const ExchangeId exchange : dropped)
                             server_->breakStream(exchange);
                     }),
                     "crash");
    }

    void respond(ExchangeId exchange, const HttpRequest &request)
    {
        std::string requestId(request.header("X-Request-Id"));
        if (request.body.find("FOREIGN") != std::string::npos)
            requestId = "0000000000000000";
        if (request.body.find("GARBAGE") != std::string::npos) {
            replyJson(exchange, 200, json("not what was asked"), "");
            finishRequest(exchange);
            return;
        }
        if (request.body.find("HALF_ANSWER") != std::string::npos) {
            server_->startStream(exchange, 200, "application/json",
                                 { { "X-Request-Id", requestId } });
            loop_.detach(server_->chunk(exchange, "{\"half\":")
                                 .then([this, exchange]() { return server_->flush(exchange); })
                                 .then([this, exchange]() {
                                     server_->breakStream(exchange);
                                     finishRequest(exchange);
                                 }),
                         "half answer");
            return;
        }
        if (request.pathOnly() == "/v1/resume")
            resumeStream(exchange, request);
        else if (options_.service.empty())
            respondToChat(exchange, request, requestId);
        else
            respondToServiceCall(exchange, request, requestId);
    }

    void respondToServiceCall(ExchangeId exchange, const HttpRequest &request,
                              const std::string &requestId)
    {
        const json body = json::parse(request.body, nullptr, false);
        std::string order = body.is_object() ? body.value("order", "") : "";
        if (order.empty())
            order = request.query("order");
        if (request.method == "POST" && !order.empty())
            ++orderCounts_[order];
        if (request.body.find("RUN_THEN_BREAK") != std::string::npos) {
            finishRequest(exchange);
            loop_.detach(kj::evalLater([this, exchange]() { server_->breakStream(exchange); }),
                         "break");
            return;
        }
        replyJson(exchange, 200,
                  { { "service", options_.service },
                    { "endpoint", options_.id },
                    { "order", order },
                    { "times", orderCounts_[order] },
                    { "path", request.path } },
                  requestId);
        finishRequest(exchange);
    }

    // Looks a chat up in the prefix cache and adds it. Its key is a hash of the messages up
    // to and including the first one of the user.
    bool lookUpCache(const json &messages)
    {
        uint64_t key = 0;
        for (const json &message : messages) {
            key = combineHashes(key, hashBytes(message.dump()));
            if (message.value("role", "") == "user")
                break;
        }
        const bool hit = cache_.count(key) > 0;
        if (hit)
            recencyList_.remove(key);
        recencyList_.push_front(key);
        cache_.insert(key);
        if (recencyList_.size() > options_.cachedChats) {
            cache_.erase(recencyList_.back());
            recencyList_.pop_back();
        }
        cacheHits_ += hit;
        return hit;
    }

    void respondToChat(ExchangeId exchange, const HttpRequest &request,
                       const std::string &requestId)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("messages")) {
            replyJson(exchange, 400, { { "error", "no messages" } }, requestId);
            finishRequest(exchange);
            return;
        }
        const bool hit = lookUpCache(body["messages"]);
        const json usage { { "cached", hit }, { "endpoint", options_.id } };
        if (!body.value("stream", false)) {
            const Duration duration
                    = std::chrono::milliseconds(options_.tokenMillis * options_.tokens);
            loop_.detach(loop_.sleep(duration).then([this, exchange, requestId, usage, body]() {
                replyJson(exchange, 200,
                          { { "id", requestId },
                            { "object", "chat.completion" },
                            { "model", body.value("model", "") },
                            { "usage", usage },
                            { "choices",
                              { { { "index", 0 },
                                  { "finish_reason", "stop" },
                                  { "message",
                                    { { "role", "assistant" },
                                      { "content", "answer to " + requestId } } } } } } },
                          requestId);
                finishRequest(exchange);
            }),
                         "answer");
            return;
        }
        Stream stream;
        stream.exchange = exchange;
        stream.id = requestId;
        for (int i = 0; i < options_.tokens; ++i) {
            const json event {
                { "id", requestId },
                { "object", "chat.completion.chunk" },
                { "usage", usage },
                { "choices",
                  { { { "index", 0 }, { "delta", { { "content", fmt::format("t{} ", i) } } } } } }
            };
            stream.events.push_back("data: " + event.dump() + "\n\n");
        }
        stream.events.emplace_back("data: [DONE]\n\n");
        if (request.body.find("CUT_STREAM") != std::string::npos)
            stream.breakAtEvent = stream.events.size() / 2;
        streams_[requestId] = stream;
        server_->startStream(exchange, 200, "text/event-stream", responseHeaders(requestId));
        sendNextEvent(requestId);
    }

    std::vector<HttpHeader> responseHeaders(const std::string &requestId) const
    {
        if (!options_.platform)
            return { { "X-Request-Id", requestId } };
        return { { "X-Attempt-Id", requestId }, { "X-Server-Signature", options_.id } };
    }

    void resumeStream(ExchangeId exchange, const HttpRequest &request)
    {
        const json body = json::parse(request.body, nullptr, false);
        const std::string id = body.is_object() ? body.value("request_id", "") : "";
        const auto found = streams_.find(id);
        if (found == streams_.end()) {
            replyJson(exchange, 404, { { "error", "no such stream" } }, id);
            finishRequest(exchange);
            return;
        }
        found->second.exchange = exchange;
        found->second.next = body.value("from_event", size_t { 0 });
        found->second.breakAtEvent = 0;
        server_->startStream(exchange, 200, "text/event-stream", responseHeaders(id));
        sendNextEvent(id);
    }

    // Sends the next event of a stream and schedules the one after it tokenMillis later.
    void sendNextEvent(const std::string &id)
    {
        const auto found = streams_.find(id);
        if (found == streams_.end() || !activeExchanges_.count(found->second.exchange))
            return;
        Stream &stream = found->second;
        const ExchangeId exchange = stream.exchange;
        if (stream.breakAtEvent > 0 && stream.next == stream.breakAtEvent) {
            server_->breakStream(exchange);
            finishRequest(exchange);
            return;
        }
        if (stream.next >= stream.events.size()) {
            server_->endStream(exchange);
            finishRequest(exchange);
            streams_.erase(id);
            return;
        }
        const std::string event = stream.events[stream.next++];
        loop_.detach(server_->chunk(exchange, event)
                             .then([this]() {
                                 return loop_.sleep(
                                         std::chrono::milliseconds(options_.tokenMillis));
                             })
                             .then([this, id]() { sendNextEvent(id); },
                                   [this, exchange](kj::Exception &&) { finishRequest(exchange); }),
                     "stream");
    }

    void replyJson(ExchangeId exchange, int status, const json &body, const std::string &requestId)
    {
        HttpReply reply;
        reply.status = status;
        reply.body = body.dump();
        if (!requestId.empty())
            reply.headers.push_back({ "X-Request-Id", requestId });
        server_->reply(exchange, reply);
    }

    EventLoop &loop_;
    Options options_;
    HeadBudget heads_ { headLimit(machineMemoryMb() << 20) };
    BodyBudget bodies_ { bodyLimit(machineMemoryMb() << 20) };
    std::unique_ptr<HttpServer> server_;
    uint64_t incarnation_;
    uint64_t sequence_ = 1;
    bool leaving_ = false;
    bool announcedCold_ = false;
    bool announcedLeaving_ = false;
    Instant startedAt_;
    Instant downUntil_ {};
    size_t nextRouter_ = 0;
    std::set<ExchangeId> activeExchanges_;
    std::map<std::string, Stream> streams_;
    std::set<uint64_t> cache_;
    std::list<uint64_t> recencyList_; // keys of cache_, most recently used first
    std::map<std::string, int> orderCounts_;
    uint32_t running_ = 0;
    uint32_t maxRunning_ = 0;
    uint64_t requestCount_ = 0;
    uint64_t cacheHits_ = 0;
    uint64_t crashCount_ = 0;
    uint64_t overloadCount_ = 0;
    uint64_t cancelCount_ = 0;
};

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("A fake endpoint for tests", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> id("", "id", "Id", true, "", "text", commandLine);
    TCLAP::ValueArg<std::string> dc("", "dc", "Data centre", true, "", "text", commandLine);
    TCLAP::ValueArg<std::string> listen("", "listen", "Address", true, "", "ip:port", commandLine);
    TCLAP::MultiArg<std::string> routers("", "announce-to",
                                         "Address at which a router accepts announcements", true,
                                         "ip:port", commandLine);
    TCLAP::ValueArg<std::string> model("", "model", "Model of an engine", false, "m1", "text",
                                       commandLine);
    TCLAP::ValueArg<std::string> service("", "service", "Name of a plain service", false, "",
                                         "text", commandLine);
    TCLAP::ValueArg<uint32_t> capacity("", "capacity", "Maximum number of concurrent requests",
                                       false, 8, "n", commandLine);
    TCLAP::ValueArg<uint32_t> coldCapacity("", "cold-capacity",
                                           "Maximum number of concurrent requests while cold",
                                           false, 2, "n", commandLine);
    TCLAP::ValueArg<int64_t> cold("", "cold-ms", "Duration of the cold phase after a start", false,
                                  0, "ms", commandLine);
    TCLAP::ValueArg<int64_t> token("", "token-ms", "Interval between tokens", false, 5, "ms",
                                   commandLine);
    TCLAP::ValueArg<int> tokens("", "tokens", "Tokens in a response", false, 20, "n", commandLine);
    TCLAP::ValueArg<size_t> cached("", "cached-chats",
                                   "Maximum number of chats in the prefix cache", false, 64, "n",
                                   commandLine);
    TCLAP::SwitchArg platform("", "platform", "Sign responses as the platform's endpoints do",
                              commandLine);
    commandLine.parse(argc, argv);
    Options options;
    options.platform = platform.getValue();
    options.id = id.getValue();
    options.dataCentre = dc.getValue();
    options.listen = listen.getValue();
    options.announceTo = routers.getValue();
    options.model = model.getValue();
    options.service = service.getValue();
    options.capacity = capacity.getValue();
    options.coldCapacity = std::min(coldCapacity.getValue(), options.capacity);
    options.coldMillis = cold.getValue();
    options.tokenMillis = token.getValue();
    options.tokens = tokens.getValue();
    options.cachedChats = cached.getValue();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    EventLoop loop;
    FakeEndpoint endpoint(loop, parseOptions(argc, argv));
    if (auto opened = endpoint.open(); !opened) {
        fmt::print(stderr, "{}\n", opened.error().text());
        return EXIT_FAILURE;
    }
    loop.run(kj::NEVER_DONE);
    return EXIT_SUCCESS;
}
