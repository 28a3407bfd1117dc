// Tests of the operator lists (concurrent changes, resent changes, invalid input), of the
// encoding of commands, and of suspect requests.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "control/state.h"

namespace bamboogap {
namespace {

Change dataCentreOutChange(std::string id, Revision base, std::string name)
{
    Change change;
    change.id = std::move(id);
    change.base = base;
    change.kind = ChangeKind::DataCentreOut;
    change.name = std::move(name);
    return change;
}

TEST_CASE("of two changes based on the same revision exactly one is accepted", "[lists][promise-9]")
{
    OperatorListsStore lists;
    CHECK(lists.apply(dataCentreOutChange("a", 0, "dc1")).accepted);
    const ChangeAnswer second = lists.apply(dataCentreOutChange("b", 0, "dc2"));
    CHECK_FALSE(second.accepted);
    CHECK(second.kind == ErrorKind::Conflict);
    CHECK(second.revision == 1);
}

TEST_CASE("a resent change gets its first answer again, also from restored lists",
          "[lists][promise-9]")
{
    OperatorListsStore lists;
    const ChangeAnswer first = lists.apply(dataCentreOutChange("a", 0, "dc1"));
    const ChangeAnswer rejected = lists.apply(dataCentreOutChange("b", 0, "dc2"));
    auto loaded = OperatorListsStore::load(
            nlohmann::json::from_cbor(nlohmann::json::to_cbor(lists.save())));
    REQUIRE(loaded);
    CHECK(loaded->apply(dataCentreOutChange("a", 0, "dc1")) == first);
    CHECK(loaded->apply(dataCentreOutChange("b", 0, "dc2")) == rejected);
    CHECK(loaded->lists() == lists.lists());
    const ChangeAnswer reused = loaded->apply(dataCentreOutChange("a", 1, "dc3"));
    CHECK_FALSE(reused.accepted);
    CHECK(reused.kind == ErrorKind::KeyReused);
}

TEST_CASE("a rejected change returns the reason", "[lists]")
{
    OperatorListsStore lists;
    Change customer;
    customer.id = "c";
    customer.kind = ChangeKind::SetCustomer;
    customer.name = "ws";
    customer.customer.plan = "none";
    const ChangeAnswer answer = lists.apply(customer);
    CHECK_FALSE(answer.accepted);
    CHECK(answer.kind == ErrorKind::InvalidRequest);
    CHECK(answer.problem.find("none") != std::string::npos);
    Change in = dataCentreOutChange("d", 0, "dc1");
    in.kind = ChangeKind::DataCentreIn;
    CHECK_FALSE(lists.apply(in).accepted);
}

TEST_CASE("the error for invalid JSON of a change names the field", "[lists]")
{
    const auto problem = [](const char *text) {
        const auto change = parseChange(nlohmann::json::parse(text, nullptr, false));
        REQUIRE_FALSE(change);
        CHECK(change.error().kind == ErrorKind::InvalidRequest);
        CHECK_FALSE(change.error().remedy.empty());
        return change.error().message;
    };
    CHECK(problem("not json").find("body") != std::string::npos);
    CHECK(problem(R"({"id":"a"})").find("name") != std::string::npos);
    CHECK(problem(R"({"id":"a","name":"n","kind":"set-plan","base":-1})").find("base")
          != std::string::npos);
    CHECK(problem(R"({"id":"a","name":"n","kind":"x","base":1})").find("kind")
          != std::string::npos);
    CHECK(problem(R"({"id":"a","name":"n","kind":"set-plan","base":1,"extra":1})").find("extra")
          != std::string::npos);
    CHECK(problem(R"({"id":"a","name":"n","base":1,"kind":"set-customer",
                      "customer":{"plan":"p","share":0}})")
                  .find("share")
          != std::string::npos);
}

TEST_CASE("plans allow only what they list", "[lists]")
{
    OperatorLists lists;
    lists.plans["p"].allowances = { { "m1", "", "", "" }, { "m2", "a", "*", "e7" } };
    lists.plans["p"].services = { "repairs" };
    lists.customers["ws"] = { "p", 1 };
    CHECK(lists.allows("ws", { "m1", "any", "v", "e1" }));
    CHECK(lists.allows("ws", { "m2", "a", "v3", "e7" }));
    CHECK_FALSE(lists.allows("ws", { "m2", "b", "v3", "e7" }));
    CHECK_FALSE(lists.allows("ws", { "m2", "a", "v3", "e8" }));
    CHECK_FALSE(lists.allows("other", { "m1", "", "", "" }));
    CHECK(lists.allowsService("ws", "repairs"));
    CHECK_FALSE(lists.allowsService("ws", "bookings"));
}

TEST_CASE("a repeatable path matches whole segments only", "[lists][promise-6]")
{
    OperatorLists lists;
    lists.services["s"].repeatable = { { "GET", "/status" } };
    CHECK(lists.isRepeatable("s", "GET", "/status"));
    CHECK(lists.isRepeatable("s", "GET", "/status/7"));
    CHECK(lists.isRepeatable("s", "GET", "/status?order=1"));
    CHECK_FALSE(lists.isRepeatable("s", "GET", "/status-change"));
    CHECK_FALSE(lists.isRepeatable("s", "GET", "/status/../orders"));
    CHECK_FALSE(lists.isRepeatable("s", "GET", "/status/%2e%2e/orders"));
    CHECK_FALSE(lists.isRepeatable("s", "POST", "/status"));
    CHECK_FALSE(lists.isRepeatable("t", "GET", "/status"));
}

// Random changes and resends, compared with a reference model of the accepted changes.
TEST_CASE("operator lists match a reference model", "[lists][fuzz][promise-9]")
{
    rc::prop("revisions and answers", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        OperatorListsStore lists;
        std::vector<std::pair<Change, ChangeAnswer>> history;
        std::set<std::string> out; // data centres out of service in the model
        Revision revision = 0;
        for (int i = 0; i < 100; ++i) {
            if (!history.empty() && random() % 3 == 0) {
                const auto &[change, answer] = history[random() % history.size()];
                RC_ASSERT(lists.apply(change) == answer);
                continue;
            }
            Change change
                    = dataCentreOutChange("id-" + std::to_string(i), revision - (random() % 4 == 0),
                                          "dc" + std::to_string(random() % 5));
            if (random() % 2 == 0)
                change.kind = ChangeKind::DataCentreIn;
            const bool valid
                    = change.kind == ChangeKind::DataCentreOut || out.count(change.name) > 0;
            const bool expected = change.base == revision && valid;
            const ChangeAnswer answer = lists.apply(change);
            RC_ASSERT(answer.accepted == expected);
            if (expected) {
                ++revision;
                if (change.kind == ChangeKind::DataCentreOut)
                    out.insert(change.name);
                else
                    out.erase(change.name);
            }
            RC_ASSERT(lists.lists().revision == revision);
            RC_ASSERT(lists.lists().dataCentresOut == out);
            history.emplace_back(change, answer);
        }
    });
}

TEST_CASE("commands round-trip through their encoding; truncated ones are rejected", "[state]")
{
    const std::vector<Command> commands {
        ChangeListsCommand { dataCentreOutChange("a", 3, "dc") },
        StartCallCommand { { "ws", "k" }, 7, "at", { "r", 2 }, 99 },
        FinishCallCommand { { "ws", "k" },
                            "at",
                            CallOutcome::Answered,
                            { 200, "text/plain", std::string("\0\xff bytes", 8) },
                            100 },
        SetViewCommand { 4, { { "r", 1, "dc", "1.2.3.4:5" } }, { { "r", 0 } }, 5 },
        RecordCrashCommand { { 1, 2 }, "e#1", 6 },
        WithdrawCrashCommand { "e#1" },
        ClearSuspectCommand { 1, true },
        ExpireCommand { 7 },
    };
    for (const Command &command : commands) {
        const std::string bytes = encodeCommand(command);
        const auto parsed = parseCommand(bytes);
        REQUIRE(parsed);
        CHECK(encodeCommand(*parsed) == bytes);
        for (size_t cut = 0; cut < bytes.size(); ++cut)
            CHECK_FALSE(parseCommand(bytes.substr(0, cut)));
    }
}

TEST_CASE("suspects: two crashes quarantine a request, one can be cleared", "[suspects]")
{
    SuspectRequests suspects;
    suspects.recordCrash(1, "e1#1", 0);
    suspects.recordCrash(1, "e1#1", 0);
    suspects.recordCrash(2, "e1#1", 0);
    CHECK(suspects.statusOf(1) == SuspicionStatus::Suspect);
    suspects.clear(2);
    CHECK(suspects.statusOf(2) == SuspicionStatus::Clear);
    suspects.recordCrash(1, "e2#1", 1);
    CHECK(suspects.statusOf(1) == SuspicionStatus::Quarantined);
    suspects.clear(1);
    CHECK(suspects.statusOf(1) == SuspicionStatus::Quarantined);
    const SuspectRequests loaded = SuspectRequests::load(suspects.save(), {});
    CHECK(loaded.statusOf(1) == SuspicionStatus::Quarantined);
    CHECK(loaded.version() == suspects.version());
    CHECK(suspects.liftQuarantine(1));
    CHECK(suspects.statusOf(1) == SuspicionStatus::Clear);
    suspects.recordCrash(4, "e1#3", 0);
    suspects.recordCrash(4, "e2#3", 0);
    suspects.withdrawCrash("e2#3");
    CHECK(suspects.statusOf(4) == SuspicionStatus::Suspect);
    suspects.withdrawCrash("e1#3");
    CHECK(suspects.statusOf(4) == SuspicionStatus::Clear);
    suspects.recordCrash(3, "e1#2", 0);
    suspects.expire(SuspectLimits().suspectMillis);
    CHECK(suspects.statusOf(3) == SuspicionStatus::Clear);
}

} // namespace
} // namespace bamboogap
