// Records of calls that must not be repeated: the aggregate against a plain
// oracle, and a whole group with routers that crash, freeze and resend.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <rapidcheck/state.h>

#include "control/testing/cluster.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const AttemptOwner kOwner { "router-a", 1 };

TEST_CASE("only the attempt of a started record may go", "[calls][promise-6]")
{
    CallRecords records;
    const CallName name { "ws", "key" };
    CHECK(records.start(name, 1, "a1", kOwner, 0).decision == StartDecision::Go);
    CHECK(records.start(name, 1, "a1", kOwner, 0).decision == StartDecision::Go);
    CHECK(records.start(name, 1, "a2", kOwner, 0).decision == StartDecision::InProgress);
    CHECK(records.start(name, 2, "a3", kOwner, 0).decision == StartDecision::KeyReused);
    CHECK(records.answer(name, "a1", { 200, "text/plain", "done" }, 1));
    const StartAnswer resent = records.start(name, 1, "a4", kOwner, 2);
    CHECK(resent.decision == StartDecision::Answered);
    CHECK(resent.reply.body == "done");
}

TEST_CASE("a call that was not run may be started again, by another attempt only",
          "[calls][promise-6]")
{
    CallRecords records;
    const CallName name { "ws", "key" };
    records.start(name, 1, "a1", kOwner, 0);
    CHECK(records.notRun(name, "a1", 1));
    CHECK(records.start(name, 1, "a1", kOwner, 2).decision == StartDecision::Superseded);
    CHECK(records.start(name, 1, "a2", kOwner, 2).decision == StartDecision::Go);
    CHECK_FALSE(records.notRun(name, "a1", 3));
    CHECK_FALSE(records.answer(name, "a1", {}, 3));
}

TEST_CASE("what a lost router left started is unknown and stays so", "[calls][promise-6]")
{
    CallRecords records;
    const CallName name { "ws", "key" };
    records.start(name, 1, "a1", kOwner, 0);
    CHECK(records.abandon("router-a", 2, 1) == 1);
    CHECK(records.start(name, 1, "a2", kOwner, 2).decision == StartDecision::Unknown);
    CHECK_FALSE(records.notRun(name, "a1", 3));
    CHECK(records.answer(name, "a1", { 200, "", "late but true" }, 4));
    CHECK(records.start(name, 1, "a2", kOwner, 5).decision == StartDecision::Answered);
}

TEST_CASE("retention, size limits and saved state", "[calls]")
{
    CallLimits limits;
    limits.maxRecords = 2;
    limits.maxReplyBytes = 10;
    limits.retentionMillis = 1000;
    limits.maxRunMillis = 500;
    CallRecords records(limits);
    records.start({ "ws", "1" }, 1, "a", kOwner, 0);
    records.start({ "ws", "2" }, 1, "b", kOwner, 0);
    CHECK(records.start({ "ws", "3" }, 1, "c", kOwner, 0).decision == StartDecision::Full);
    CHECK(records.answer({ "ws", "1" }, "a", { 200, "", "longer than ten bytes" }, 10));
    CHECK(records.start({ "ws", "1" }, 1, "d", kOwner, 20).decision
          == StartDecision::AnsweredNotKept);
    const auto loaded = CallRecords::load(records.save(), limits);
    REQUIRE(loaded);
    CHECK(loaded->save() == records.save());
    CHECK(records.hasExpired(500));
    records.expire(500); // the second one ran too long
    CHECK(records.start({ "ws", "2" }, 1, "e", kOwner, 600).decision == StartDecision::Unknown);
    records.expire(1010); // the first one's retention is over
    CHECK(records.start({ "ws", "1" }, 1, "f", kOwner, 1020).decision == StartDecision::Go);
}

// ---- The aggregate against an oracle, by RapidCheck's stateful testing -------

// The oracle knows only what promises are about: which attempt was told to go,
// whether one may have run, and what the caller must be told.
struct CallModel
{
    std::string holder; // attempt that was told to go and has not ended
    bool ended = false;
    bool answered = false;
    bool unknown = false;
    std::set<std::string> used;
};

struct CallSystem
{
    CallRecords records;
    const CallName name { "ws", "key" };
};

using CallCommand = rc::state::Command<CallModel, CallSystem>;

struct StartOne : CallCommand
{
    std::string attempt = "a" + std::to_string(*rc::gen::inRange(0, 6));

    void apply(CallModel &model) const override
    {
        const bool fresh = model.holder.empty() && !model.answered && !model.unknown;
        if (fresh && model.used.count(attempt) == 0) {
            model.holder = attempt;
            model.used.insert(attempt);
        }
    }
    void run(const CallModel &model, CallSystem &system) const override
    {
        const auto answer = system.records.start(system.name, 1, attempt, kOwner, 0);
        const bool fresh = model.holder.empty() && !model.answered && !model.unknown
                && model.used.count(attempt) == 0;
        const bool mayGo = fresh || (!model.holder.empty() && model.holder == attempt);
        RC_ASSERT((answer.decision == StartDecision::Go) == mayGo);
        if (model.answered)
            RC_ASSERT(answer.decision == StartDecision::Answered);
        if (model.unknown)
            RC_ASSERT(answer.decision == StartDecision::Unknown);
    }
    void show(std::ostream &os) const override { os << "start " << attempt; }
};

struct EndOne : CallCommand
{
    std::string attempt = "a" + std::to_string(*rc::gen::inRange(0, 6));
    CallOutcome outcome
            = *rc::gen::element(CallOutcome::Answered, CallOutcome::NotRun, CallOutcome::Unknown);

    void apply(CallModel &model) const override
    {
        if (model.holder != attempt)
            return;
        model.holder.clear();
        model.answered = outcome == CallOutcome::Answered;
        model.unknown = outcome == CallOutcome::Unknown;
    }
    void run(const CallModel &model, CallSystem &system) const override
    {
        bool done = false;
        if (outcome == CallOutcome::Answered)
            done = system.records.answer(system.name, attempt, { 200, "", "x" }, 0);
        else if (outcome == CallOutcome::NotRun)
            done = system.records.notRun(system.name, attempt, 0);
        else
            done = system.records.unknown(system.name, attempt, 0);
        if (!model.unknown)
            RC_ASSERT(done == (!model.holder.empty() && model.holder == attempt));
        // Unknown may be replaced by the true answer of the attempt that held it.
        if (model.unknown && done)
            RC_ASSERT(outcome == CallOutcome::Answered);
        if (model.unknown && done)
            RC_DISCARD("the oracle follows no late answers");
    }
    void show(std::ostream &os) const override { os << "end " << attempt; }
};

TEST_CASE("call records against an oracle", "[calls][fuzz][promise-6]")
{
    rc::prop("only one attempt goes at a time", [] {
        CallModel model;
        CallSystem system;
        rc::state::check(model, system, rc::state::gen::execOneOfWithArgs<StartOne, EndOne>());
    });
}

// ---- The whole group ----------------------------------------------------------

// Callers send a call with one key through any of the routers, again and again,
// while replicas and routers crash and freeze at every step. A router does what
// node/entrytask does: commit the start, send once, commit the end.
struct CallSimulation
{
    enum class Step { Propose, AwaitStart, Send, Finish, Done };

    struct Attempt
    {
        std::string id;
        std::string key;
        size_t router = 0;
        Step step = Step::Propose;
        size_t leader = 0;
        LogIndex index = 0;
        Term term = 0;
        CallOutcome outcome = CallOutcome::Answered;
        bool saidNotRun = false;
        bool sent = false;
    };

    explicit CallSimulation(uint64_t seed)
        : cluster(3, seed)
    {
    }

    void run()
    {
        RC_ASSERT(cluster.formGroup());
        auto &random = cluster.random();
        cluster.faults.dropProbability = 0.03;
        cluster.faults.duplicateProbability = 0.03;
        cluster.faults.maxDelay = milliseconds(40);
        for (int turn = 0; turn < 250; ++turn) {
            disturb(random() % 20, random() % 3);
            if (random() % 4 == 0)
                resend();
            for (Attempt &attempt : attempts) {
                // A router that is down or frozen does nothing; one that thaws goes
                // on where it stood.
                if (attempt.step != Step::Done && !frozen[attempt.router])
                    advance(attempt);
            }
            cluster.run(milliseconds(random() % 60));
            check();
        }
    }

    void disturb(uint64_t what, size_t i)
    {
        if (what == 0 && cluster.nodes[i]->raft)
            cluster.kill(i);
        else if (what == 1 || what == 2)
            restart(i);
        else if (what == 3 && cluster.nodes[i]->raft)
            cluster.nodes[i]->frozen = true;
        else if (what == 4 && cluster.nodes[i]->frozen)
            cluster.unfreeze(i);
        else if (what == 5)
            cluster.isolate(i);
        else if (what == 6 || what == 7)
            cluster.heal();
        else if (what == 8)
            loseRouter(i);
        else if (what == 9)
            frozen[i] = !frozen[i];
    }

    void restart(size_t i)
    {
        if (!cluster.nodes[i]->raft)
            cluster.start(i);
    }

    // Its attempts end where they stand; the control group learns of it.
    void loseRouter(size_t router)
    {
        for (Attempt &attempt : attempts) {
            if (attempt.router == router)
                attempt.step = Step::Done;
        }
        ++incarnation[router];
        frozen[router] = false;
        if (const auto leads = cluster.leader()) {
            SetViewCommand view;
            view.base = cluster.nodes[*leads]->state.view().epoch;
            view.ended.push_back({ "router-" + std::to_string(router), incarnation[router] - 1 });
            (void)cluster.propose(*leads, view);
        }
    }

    void resend()
    {
        Attempt attempt;
        attempt.id = "attempt-" + std::to_string(attempts.size());
        attempt.key = "key-" + std::to_string(cluster.random()() % 8);
        attempt.router = cluster.random()() % 3;
        attempts.push_back(attempt);
    }

    void advance(Attempt &attempt)
    {
        switch (attempt.step) {
        case Step::Propose:
            propose(attempt);
            break;
        case Step::AwaitStart:
            awaitStart(attempt);
            break;
        case Step::Send:
            send(attempt);
            break;
        case Step::Finish:
            finish(attempt);
            break;
        case Step::Done:
            break;
        }
    }

    void propose(Attempt &attempt)
    {
        const auto leads = cluster.leader();
        if (!leads)
            return;
        StartCallCommand start;
        start.name = { "ws", attempt.key };
        start.contentHash = 1;
        start.attempt = attempt.id;
        start.owner = { "router-" + std::to_string(attempt.router), incarnation[attempt.router] };
        const auto index = cluster.propose(*leads, start);
        if (!index)
            return;
        attempt.leader = *leads;
        attempt.index = *index;
        attempt.term = cluster.nodes[*leads]->raft ? cluster.nodes[*leads]->raft->term() : 0;
        attempt.step = Step::AwaitStart;
    }

    void awaitStart(Attempt &attempt)
    {
        const auto &node = *cluster.nodes[attempt.leader];
        const auto answer = node.answers.find(attempt.index);
        if (!node.raft || node.raft->role() != RaftRole::Leader
            || (answer != node.answers.end() && answer->second.first != attempt.term)) {
            attempt.step = Step::Propose; // ask again, with the same attempt
            return;
        }
        if (answer == node.answers.end())
            return;
        const auto &start = std::get<StartAnswer>(answer->second.second);
        attempt.step = start.decision == StartDecision::Go ? Step::Send : Step::Done;
    }

    void send(Attempt &attempt)
    {
        const auto chance = cluster.random()() % 4;
        if (chance == 0) {
            attempt.outcome = CallOutcome::NotRun;
        } else {
            attempt.sent = true;
            ++runs[attempt.key];
            attempt.outcome = chance == 1 ? CallOutcome::Unknown : CallOutcome::Answered;
        }
        attempt.step = Step::Finish;
    }

    void finish(Attempt &attempt)
    {
        const auto leads = cluster.leader();
        if (!leads)
            return;
        FinishCallCommand command;
        command.name = { "ws", attempt.key };
        command.attempt = attempt.id;
        command.outcome = attempt.outcome;
        if (cluster.propose(*leads, command)) {
            attempt.saidNotRun = attempt.outcome == CallOutcome::NotRun;
            attempt.step = Step::Done;
        }
    }

    void check() const
    {
        for (const auto &[key, count] : runs)
            RC_ASSERT(count <= 1);
        for (const Attempt &attempt : attempts)
            RC_ASSERT(!(attempt.saidNotRun && attempt.sent));
    }

    Cluster cluster;
    std::vector<Attempt> attempts;
    std::map<std::string, int> runs; // what the endpoint counted
    bool frozen[3] = { false, false, false };
    uint64_t incarnation[3] = { 1, 1, 1 };
};

TEST_CASE("a call runs at most once through crashes of replicas and routers",
          "[calls][fuzz][promise-6][promise-5]")
{
    rc::prop("at most once", [](uint64_t seed) { CallSimulation(seed).run(); });
}

} // namespace
} // namespace bamboogap
