// Chat placement, affinity, wait queue, retry budget, event streams and request parsing.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <random>

#include "base/hash.h"
#include "routing/affinity.h"
#include "routing/chatrequest.h"
#include "routing/eventstream.h"
#include "routing/placement.h"
#include "routing/retrybudget.h"
#include "routing/waitqueue.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ChatPlacementRequest requestFor(ChatKey chat, bool returning = true)
{
    ChatPlacementRequest request;
    request.chat = chat;
    request.returning = returning;
    request.pools = { "model/m1" };
    return request;
}

LoadTable loadTableOf(size_t engines, uint32_t capacity = 8)
{
    LoadTable loadTable(1.25);
    for (size_t i = 0; i < engines; ++i)
        loadTable.set("e" + std::to_string(i), "model/m1", capacity, true);
    return loadTable;
}

TEST_CASE("the primary endpoint is the same at every router and changes only if it leaves",
          "[placement]")
{
    LoadTable loadTable = loadTableOf(20);
    std::map<ChatKey, std::string> before;
    for (ChatKey chat = 1; chat <= 2000; ++chat)
        before[chat] = placeChat(loadTable, {}, requestFor(chat)).primary()->endpoint;
    loadTable.remove("e7");
    for (const auto &[chat, primary] : before) {
        if (primary != "e7")
            CHECK(placeChat(loadTable, {}, requestFor(chat)).primary()->endpoint == primary);
    }
}

TEST_CASE("chats are distributed by capacity", "[placement]")
{
    LoadTable loadTable = loadTableOf(4);
    loadTable.set("large", "model/m1", 32, true);
    size_t large = 0;
    for (ChatKey chat = 1; chat <= 10000; ++chat)
        large += placeChat(loadTable, {}, requestFor(chat)).primary()->endpoint == "large";
    CHECK(large > 4700);
    CHECK(large < 5300);
}

TEST_CASE("endpoints that are out of service or not allowed are no candidates",
          "[placement][promise-3][promise-7]")
{
    LoadTable loadTable = loadTableOf(3);
    loadTable.set("e0", "model/m1", 8, false);
    ChatPlacementRequest request = requestFor(5);
    request.eligible = [](const EndpointLoad &endpoint) { return endpoint.id != "e1"; };
    const Candidates candidates = placeChat(loadTable, {}, request);
    REQUIRE(candidates.order.size() == 1);
    CHECK(candidates.order[0].endpoint == "e2");
    request.pools = { "model/none" };
    CHECK(placeChat(loadTable, {}, request).primary() == nullptr);
}

TEST_CASE("a new chat avoids endpoints without a free slot, a returning one tries its primary "
          "endpoint",
          "[placement]")
{
    LoadTable loadTable = loadTableOf(4);
    const std::string primary = placeChat(loadTable, {}, requestFor(9)).primary()->endpoint;
    loadTable.setOthersRunning(primary, 8);
    const Candidates newChat = placeChat(loadTable, {}, requestFor(9, false));
    CHECK(newChat.order.front().endpoint != primary);
    CHECK(newChat.primary()->endpoint == primary);
    CHECK(placeChat(loadTable, {}, requestFor(9)).order.front().endpoint == primary);
}

TEST_CASE("the load table's sums agree with a recount", "[board][fuzz][promise-1]")
{
    rc::prop("sums", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        LoadTable loadTable(1.5);
        std::map<std::string, EndpointLoad> truth;
        uint32_t sampled = 0;
        for (int step = 0; step < 300; ++step) {
            const std::string id = "e" + std::to_string(random() % 8);
            switch (random() % 6) {
            case 0:
                loadTable.remove(id);
                truth.erase(id);
                break;
            case 1: {
                auto &endpoint = truth[id];
                endpoint.capacity = 1 + random() % 9;
                endpoint.inService = random() % 4 != 0;
                loadTable.set(id, "p", endpoint.capacity, endpoint.inService);
                break;
            }
            case 2:
                if (truth.count(id)) {
                    const uint32_t others = random() % 9;
                    truth[id].others = others;
                    loadTable.setOthersRunning(id, others);
                    sampled = random() % 40;
                    loadTable.setPoolSample("p", sampled);
                }
                break;
            case 3:
                if (truth.count(id)) {
                    truth[id].slowStartLimit = random() % 9;
                    loadTable.setSlowStartLimit(id, truth[id].slowStartLimit);
                }
                break;
            default:
                if (truth.count(id)) {
                    ++truth[id].own;
                    loadTable.addOwn(id, +1);
                }
                break;
            }
            double usableCapacity = 0;
            uint32_t own = 0;
            for (const auto &[name, endpoint] : truth) {
                if (!endpoint.inService)
                    continue;
                usableCapacity += endpoint.usableCapacity();
                own += endpoint.own;
            }
            const auto found = truth.find(id);
            if (found == truth.end() || usableCapacity == 0)
                continue;
            const double limit = std::ceil(1.5 * (std::max(own, sampled) + 1)
                                                   * found->second.usableCapacity() / usableCapacity
                                           - 1e-9);
            RC_ASSERT(loadTable.multipleLimit(*loadTable.find(id))
                      == std::max<uint32_t>(1, static_cast<uint32_t>(limit)));
        }
    });
}

TEST_CASE("the affinity table evicts the least recently used chat", "[affinity]")
{
    const auto endpointsOf = [](AffinityTable &table, ChatKey chat) {
        const auto found = table.find(chat);
        return std::vector<EndpointKey>(found.begin(), found.end());
    };
    AffinityTable table(2);
    table.record(1, 10);
    table.record(2, 20);
    CHECK(endpointsOf(table, 1) == std::vector<EndpointKey> { 10 });
    table.record(3, 30);
    CHECK(endpointsOf(table, 2).empty());
    CHECK(endpointsOf(table, 1) == std::vector<EndpointKey> { 10 });
    table.erase(1);
    CHECK(endpointsOf(table, 1).empty());
    CHECK(table.size() == 1);
}

TEST_CASE("the affinity table keeps the newest endpoints of a chat, newest first",
          "[affinity][fuzz]")
{
    rc::prop("places", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        AffinityTable table(100);
        std::map<ChatKey, std::vector<EndpointKey>> truth;
        for (int i = 0; i < 200; ++i) {
            const ChatKey chat = random() % 5;
            const EndpointKey endpoint = random() % 4;
            table.record(chat, endpoint);
            auto &list = truth[chat];
            std::erase(list, endpoint);
            list.insert(list.begin(), endpoint);
            list.resize(std::min(list.size(), kMaxEndpointsPerChat));
            const auto found = table.find(chat);
            RC_ASSERT(std::vector<EndpointKey>(found.begin(), found.end()) == list);
        }
    });
}

QueueEntry entry(RequestId id, const std::string &workspace, Priority priority, Instant startBy)
{
    return { id, workspace, 1, priority, startBy, {} };
}

RequestId takeAny(WaitQueue &queue, Instant now)
{
    return queue.take([](const QueueEntry &) { return true; }, now);
}

TEST_CASE("urgent requests precede patient ones, which still meet their deadlines", "[queue]")
{
    const Instant now { seconds(1000) };
    WaitQueue queue;
    std::vector<RequestId> displaced;
    queue.add(entry(1, "a", Priority::Patient, now + seconds(60)), now, displaced);
    queue.add(entry(2, "b", Priority::Normal, now + seconds(60)), now, displaced);
    queue.add(entry(3, "c", Priority::Urgent, now + seconds(5)), now, displaced);
    CHECK(takeAny(queue, now) == 3);
    CHECK(takeAny(queue, now) == 2);
    // Under a steady flow of normal requests the patient one moves up near its deadline.
    RequestId next = 10;
    Instant later = now;
    bool ran = false;
    while (later < now + seconds(60) && !ran) {
        queue.add(entry(next++, "b", Priority::Normal, later + seconds(30)), later, displaced);
        ran = takeAny(queue, later) == 1;
        later += milliseconds(500);
    }
    CHECK(ran);
}

TEST_CASE("the requests of a surging workspace delay only each other", "[queue]")
{
    const Instant now { seconds(1000) };
    WaitQueue queue;
    std::vector<RequestId> displaced;
    for (RequestId id = 1; id <= 100; ++id)
        queue.add(entry(id, "surge", Priority::Normal, now + seconds(60)), now, displaced);
    for (RequestId id = 201; id <= 205; ++id)
        queue.add(entry(id, "small", Priority::Normal, now + seconds(60)), now, displaced);
    size_t small = 0;
    for (int i = 0; i < 10; ++i)
        small += takeAny(queue, now) > 200;
    CHECK(small >= 4);
}

TEST_CASE("workspaces are served in proportion to their shares", "[queue]")
{
    const Instant now { seconds(1000) };
    WaitQueue queue;
    std::vector<RequestId> displaced;
    for (RequestId id = 1; id <= 100; ++id) {
        QueueEntry large = entry(id, "large", Priority::Normal, now + seconds(60));
        large.share = 3;
        queue.add(large, now, displaced);
        queue.add(entry(id + 1000, "small", Priority::Normal, now + seconds(60)), now, displaced);
    }
    size_t large = 0;
    for (int i = 0; i < 40; ++i)
        large += takeAny(queue, now) < 1000;
    CHECK(large >= 28);
    CHECK(large <= 32);
}

TEST_CASE("a full queue accepts only requests that precede a queued one", "[queue]")
{
    const Instant now { seconds(1000) };
    WaitQueueSettings settings;
    settings.maxWaiting = 2;
    WaitQueue queue(settings);
    std::vector<RequestId> displaced;
    CHECK(queue.add(entry(1, "a", Priority::Normal, now + seconds(9)), now, displaced));
    CHECK(queue.add(entry(2, "a", Priority::Patient, now + seconds(60)), now, displaced));
    CHECK_FALSE(queue.add(entry(3, "a", Priority::Patient, now + seconds(90)), now, displaced));
    CHECK(displaced.empty());
    CHECK(queue.add(entry(4, "a", Priority::Urgent, now + seconds(5)), now, displaced));
    CHECK(displaced == std::vector<RequestId> { 2 });
}

TEST_CASE("retries are a bounded share of first attempts", "[budget]")
{
    RetryBudget budget({ 0.1, 5 });
    size_t retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt();
        while (budget.takeRetry())
            ++retries;
    }
    CHECK(retries <= 1000 / 10 + 5);
    CHECK(retries >= 1000 / 10 - 1);
}

TEST_CASE("only complete events are forwarded, however the stream is split", "[stream][promise-4]")
{
    rc::prop("events", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        std::string text;
        const size_t events = 1 + random() % 8;
        for (size_t i = 0; i < events; ++i)
            text += "data: " + std::string(random() % 30, 'x') + "\n\n";
        text += "data: [DONE]\n\n";
        EventStream stream;
        std::string handedOn;
        size_t position = 0;
        while (position < text.size()) {
            const size_t length = 1 + random() % 12;
            handedOn += stream.feed(text.substr(position, length));
            position += length;
            RC_ASSERT(text.substr(0, handedOn.size()) == handedOn);
            const bool wholeOnly
                    = handedOn.empty() || handedOn.substr(handedOn.size() - 2) == "\n\n";
            RC_ASSERT(wholeOnly);
        }
        RC_ASSERT(handedOn == text);
        RC_ASSERT(stream.finished());
        RC_ASSERT(stream.events() == events + 1);
    });
}

TEST_CASE("a stream without its final event is not finished", "[stream][promise-4]")
{
    EventStream stream;
    stream.feed("data: {}\n\ndata: [DONE]");
    CHECK_FALSE(stream.finished());
    stream.feed("\r\n\r\n");
    CHECK(stream.finished());
}

const char *const kBody = R"({"model":"m1","messages":[{"role":"system","content":"s"},
                            {"role":"user","content":"hello"}]})";

TEST_CASE("turns of one conversation have the same chat key", "[request]")
{
    CallerHeaders headers;
    headers.workspace = "ws";
    const auto first = parseChatRequest(headers, kBody);
    REQUIRE(first);
    CHECK_FALSE(first->returning);
    const auto second = parseChatRequest(
            headers, R"({"model":"m1","messages":[{"role":"system","content":"s"},
            {"role":"user","content":"hello"},{"role":"assistant","content":"x"},
            {"role":"user","content":"more"}]})");
    REQUIRE(second);
    CHECK(second->returning);
    CHECK(second->chat == first->chat);
    headers.workspace = "other";
    CHECK(parseChatRequest(headers, kBody)->chat != first->chat);
    headers.workspace = "ws";
    headers.chat = "c1";
    CHECK(parseChatRequest(headers, kBody)->chat != first->chat);
}

// Guards against a chat of 200 KB that ended the router with a stack overflow.
TEST_CASE("a chat that is nested too deep is refused", "[request]")
{
    CallerHeaders headers;
    headers.workspace = "ws";
    const auto chat = [](size_t depth) {
        return R"({"model":"m1","messages":[{"role":"user","content":)" + std::string(depth, '[')
                + std::string(depth, ']') + "}]}";
    };
    CHECK(parseChatRequest(headers, chat(50)));
    const auto refused = parseChatRequest(headers, chat(100'000));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == ErrorKind::InvalidRequest);
    CHECK(refused.error().message == "the body is nested deeper than 64 levels");
}

TEST_CASE("a bearer token names the workspace", "[request]")
{
    CallerHeaders headers;
    headers.authorization = "Bearer ws";
    REQUIRE(parseChatRequest(headers, kBody));
    CHECK(parseChatRequest(headers, kBody)->options.workspace == "ws");
    headers.authorization = "";
    const auto rejected = parseChatRequest(headers, kBody);
    REQUIRE_FALSE(rejected);
    CHECK(rejected.error().kind == ErrorKind::NotPermitted);
}

TEST_CASE("errors of invalid requests name a remedy", "[request]")
{
    CallerHeaders headers;
    headers.workspace = "ws";
    for (const char *body :
         { "", "[]", "{}", R"({"model":1,"messages":[]})", R"({"model":"m","messages":[]})",
           R"({"model":"m","messages":[1]})", R"({"model":"m","messages":[{"role":3}]})",
           R"({"model":"m","stream":"yes","messages":[{"role":"user"}]})" }) {
        const auto rejected = parseChatRequest(headers, body);
        REQUIRE_FALSE(rejected);
        CHECK(rejected.error().kind == ErrorKind::InvalidRequest);
        CHECK_FALSE(rejected.error().remedy.empty());
    }
    headers.priority = "highest";
    CHECK_FALSE(parseChatRequest(headers, kBody));
    headers.priority = "urgent";
    headers.deadlineMillis = "-5";
    CHECK_FALSE(parseChatRequest(headers, kBody));
    headers.deadlineMillis = "1500";
    CHECK(parseChatRequest(headers, kBody)->options.startWithin == milliseconds(1500));
}

TEST_CASE("any bytes are rejected or parsed without a crash", "[request][fuzz]")
{
    rc::prop("bodies", [](const std::string &noise, uint64_t seed) {
        std::mt19937_64 random(seed);
        CallerHeaders headers;
        headers.workspace = "ws";
        (void)parseChatRequest(headers, noise);
        std::string body = kBody;
        for (int i = 0; i < 3; ++i)
            body[random() % body.size()] = static_cast<char>(random());
        (void)parseChatRequest(headers, body);
    });
}

} // namespace
} // namespace bamboogap
