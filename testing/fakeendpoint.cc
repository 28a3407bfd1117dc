// A fake endpoint for demonstrations and process tests: a model engine with a
// limited prefix cache, cold start and streams that can be resumed, or a plain
// service that counts what it ran.
//
// Words in a request's body make it misbehave:
//   CRASH_ENGINE   drop every connection, be silent, come back cold
//   CUT_STREAM     break the stream once in the middle; it can be resumed
//   FOREIGN        answer with the id of another request
//   HALF_ANSWER    promise more bytes than are sent
//   GARBAGE        answer with something that is no answer
//   RUN_THEN_BREAK run an order, then break the connection instead of answering
//   SLOW=<ms>      wait before answering

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
    int64_t silentMillis = 500;
    bool platform = false; // signs its answers as the platform's runners do
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
                loop_, *address, {},
                [this](ExchangeId id, HttpRequest request) { handle(id, std::move(request)); });
        if (!server)
            return tl::unexpected(server.error());
        server_ = std::move(*server);
        loop_.every(std::chrono::milliseconds(options_.announceMillis), [this] { announce(); });
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
        size_t cutAt = 0;
    };

    bool isCold() const
    {
        return BootClock::now() - startedAt_ < std::chrono::milliseconds(options_.coldMillis);
    }

    void announce()
    {
        if (BootClock::now() < silentUntil_)
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
        if (announcement.cold != toldCold_ || announcement.leaving != toldLeaving_)
            ++sequence_;
        toldCold_ = announcement.cold;
        toldLeaving_ = announcement.leaving;
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
        if (BootClock::now() < silentUntil_) {
            server_->breakStream(exchange);
            return;
        }
        arrive(exchange, std::move(request));
    }

    json stats() const
    {
        return {
            { "id", options_.id },   { "incarnation", incarnation_ },  { "runs", runs_ },
            { "running", running_ }, { "most_running", mostRunning_ }, { "cache_hits", cacheHits_ },
            { "crashes", crashes_ }, { "overloads", overloads_ },      { "cancelled", cancelled_ },
            { "orders", orders_ }
        };
    }

    void arrive(ExchangeId exchange, HttpRequest request)
    {
        ++runs_;
        ++running_;
        mostRunning_ = std::max(mostRunning_, running_);
        open_.insert(exchange);
        if (request.body.find("CRASH_ENGINE") != std::string::npos) {
            crash();
            return;
        }
        if (isCold() && running_ > options_.coldCapacity * 2) {
            ++overloads_;
            crash();
            return;
        }
        int64_t delay = 0;
        const size_t slow = request.body.find("SLOW=");
        if (slow != std::string::npos)
            delay = std::strtoll(request.body.c_str() + slow + 5, nullptr, 10);
        server_->onClosed(exchange, [this, exchange]() {
            ++cancelled_;
            end(exchange);
        });
        loop_.detach(loop_.sleep(std::chrono::milliseconds(delay))
                             .then([this, exchange, request = std::move(request)]() mutable {
                                 if (open_.count(exchange))
                                     serve(exchange, request);
                             }),
                     "serve");
    }

    void end(ExchangeId exchange)
    {
        if (open_.erase(exchange))
            --running_;
    }

    // Everything that runs is lost, as when the process dies.
    void crash()
    {
        ++crashes_;
        const std::set<ExchangeId> open = std::move(open_);
        open_.clear();
        running_ = 0;
        streams_.clear();
        cache_.clear();
        cacheOrder_.clear();
        incarnation_ = std::max(incarnation_ + 1, static_cast<uint64_t>(wallClockMillis()));
        sequence_ = 0;
        startedAt_ = BootClock::now();
        silentUntil_ = startedAt_ + std::chrono::milliseconds(options_.silentMillis);
        loop_.detach(kj::evalLater([this, open]() {
                         for (const ExchangeId exchange : open)
                             server_->breakStream(exchange);
                     }),
                     "crash");
    }

    void serve(ExchangeId exchange, const HttpRequest &request)
    {
        std::string requestId(request.header("X-Request-Id"));
        if (request.body.find("FOREIGN") != std::string::npos)
            requestId = "0000000000000000";
        if (request.body.find("GARBAGE") != std::string::npos) {
            replyJson(exchange, 200, json("not what was asked"), "");
            end(exchange);
            return;
        }
        if (request.body.find("HALF_ANSWER") != std::string::npos) {
            server_->startStream(exchange, 200, "application/json",
                                 { { "X-Request-Id", requestId } });
            loop_.detach(server_->chunk(exchange, "{\"half\":")
                                 .then([this, exchange]() { return server_->flush(exchange); })
                                 .then([this, exchange]() {
                                     server_->breakStream(exchange);
                                     end(exchange);
                                 }),
                         "half answer");
            return;
        }
        if (request.pathOnly() == "/v1/resume")
            resume(exchange, request);
        else if (options_.service.empty())
            chat(exchange, request, requestId);
        else
            serviceCall(exchange, request, requestId);
    }

    void serviceCall(ExchangeId exchange, const HttpRequest &request, const std::string &requestId)
    {
        const json body = json::parse(request.body, nullptr, false);
        std::string order = body.is_object() ? body.value("order", "") : "";
        if (order.empty())
            order = request.query("order");
        if (request.method == "POST" && !order.empty())
            ++orders_[order];
        if (request.body.find("RUN_THEN_BREAK") != std::string::npos) {
            end(exchange);
            loop_.detach(kj::evalLater([this, exchange]() { server_->breakStream(exchange); }),
                         "break");
            return;
        }
        replyJson(exchange, 200,
                  { { "service", options_.service },
                    { "endpoint", options_.id },
                    { "order", order },
                    { "times", orders_[order] },
                    { "path", request.path } },
                  requestId);
        end(exchange);
    }

    // A chat's key in the cache: its conversation up to the first user message.
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
            cacheOrder_.remove(key);
        cacheOrder_.push_front(key);
        cache_.insert(key);
        if (cacheOrder_.size() > options_.cachedChats) {
            cache_.erase(cacheOrder_.back());
            cacheOrder_.pop_back();
        }
        cacheHits_ += hit;
        return hit;
    }

    void chat(ExchangeId exchange, const HttpRequest &request, const std::string &requestId)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("messages")) {
            replyJson(exchange, 400, { { "error", "no messages" } }, requestId);
            end(exchange);
            return;
        }
        const bool hit = lookUpCache(body["messages"]);
        const json usage { { "cached", hit }, { "endpoint", options_.id } };
        if (!body.value("stream", false)) {
            const Duration took = std::chrono::milliseconds(options_.tokenMillis * options_.tokens);
            loop_.detach(loop_.sleep(took).then([this, exchange, requestId, usage, body]() {
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
                end(exchange);
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
            stream.cutAt = stream.events.size() / 2;
        streams_[requestId] = stream;
        server_->startStream(exchange, 200, "text/event-stream", answerHeaders(requestId));
        pump(requestId);
    }

    std::vector<HttpHeader> answerHeaders(const std::string &requestId) const
    {
        if (!options_.platform)
            return { { "X-Request-Id", requestId } };
        return { { "X-Attempt-Id", requestId }, { "X-Server-Signature", options_.id } };
    }

    void resume(ExchangeId exchange, const HttpRequest &request)
    {
        const json body = json::parse(request.body, nullptr, false);
        const std::string id = body.is_object() ? body.value("request_id", "") : "";
        const auto found = streams_.find(id);
        if (found == streams_.end()) {
            replyJson(exchange, 404, { { "error", "no such stream" } }, id);
            end(exchange);
            return;
        }
        found->second.exchange = exchange;
        found->second.next = body.value("from_event", size_t { 0 });
        found->second.cutAt = 0;
        server_->startStream(exchange, 200, "text/event-stream", answerHeaders(id));
        pump(id);
    }

    // Sends one event after the other, a token time apart.
    void pump(const std::string &id)
    {
        const auto found = streams_.find(id);
        if (found == streams_.end() || !open_.count(found->second.exchange))
            return;
        Stream &stream = found->second;
        const ExchangeId exchange = stream.exchange;
        if (stream.cutAt > 0 && stream.next == stream.cutAt) {
            server_->breakStream(exchange);
            end(exchange);
            return;
        }
        if (stream.next >= stream.events.size()) {
            server_->endStream(exchange);
            end(exchange);
            streams_.erase(id);
            return;
        }
        const std::string event = stream.events[stream.next++];
        loop_.detach(server_->chunk(exchange, event)
                             .then([this]() {
                                 return loop_.sleep(
                                         std::chrono::milliseconds(options_.tokenMillis));
                             })
                             .then([this, id]() { pump(id); },
                                   [this, exchange](kj::Exception &&) { end(exchange); }),
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
    std::unique_ptr<HttpServer> server_;
    uint64_t incarnation_;
    uint64_t sequence_ = 1;
    bool leaving_ = false;
    bool toldCold_ = false;
    bool toldLeaving_ = false;
    Instant startedAt_;
    Instant silentUntil_ {};
    size_t nextRouter_ = 0;
    std::set<ExchangeId> open_;
    std::map<std::string, Stream> streams_;
    std::set<uint64_t> cache_;
    std::list<uint64_t> cacheOrder_;
    std::map<std::string, int> orders_;
    uint32_t running_ = 0;
    uint32_t mostRunning_ = 0;
    uint64_t runs_ = 0;
    uint64_t cacheHits_ = 0;
    uint64_t crashes_ = 0;
    uint64_t overloads_ = 0;
    uint64_t cancelled_ = 0;
};

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("A fake endpoint for tests", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> id("", "id", "Id", true, "", "text", line);
    TCLAP::ValueArg<std::string> dc("", "dc", "Data centre", true, "", "text", line);
    TCLAP::ValueArg<std::string> listen("", "listen", "Address", true, "", "ip:port", line);
    TCLAP::MultiArg<std::string> to("", "announce-to", "Endpoints' port of a router", true,
                                    "ip:port", line);
    TCLAP::ValueArg<std::string> model("", "model", "Model of an engine", false, "m1", "text",
                                       line);
    TCLAP::ValueArg<std::string> service("", "service", "Name of a plain service", false, "",
                                         "text", line);
    TCLAP::ValueArg<uint32_t> capacity("", "capacity", "Requests at once", false, 8, "n", line);
    TCLAP::ValueArg<uint32_t> coldCapacity("", "cold-capacity", "The same when cold", false, 2, "n",
                                           line);
    TCLAP::ValueArg<int64_t> cold("", "cold-ms", "How long it is cold", false, 0, "ms", line);
    TCLAP::ValueArg<int64_t> token("", "token-ms", "Time of a token", false, 5, "ms", line);
    TCLAP::ValueArg<int> tokens("", "tokens", "Tokens of an answer", false, 20, "n", line);
    TCLAP::ValueArg<size_t> cached("", "cached-chats", "Size of the prefix cache", false, 64, "n",
                                   line);
    TCLAP::SwitchArg platform("", "platform", "Sign answers as the platform's runners do", line);
    line.parse(argc, argv);
    Options options;
    options.platform = platform.getValue();
    options.id = id.getValue();
    options.dataCentre = dc.getValue();
    options.listen = listen.getValue();
    options.announceTo = to.getValue();
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
