// Tests of the at-most-once guarantee of CallRecords: alone, against a reference model, and
// in a simulated control group with routers that crash, freeze and resend.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <rapidcheck/state.h>

#include "control/testing/cluster.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const AttemptOwner kOwner { "router-a", 1 };

TEST_CASE("only the attempt that holds a started record may send the call", "[calls][promise-6]")
{
    CallRecords records;
    const CallName name { "ws", "key" };
    CHECK(records.start(name, 1, "a1", kOwner, 0).decision == StartDecision::Proceed);
    CHECK(records.start(name, 1, "a1", kOwner, 0).decision == StartDecision::Proceed);
    CHECK(records.start(name, 1, "a2", kOwner, 0).decision == StartDecision::InProgress);
    CHECK(records.start(name, 2, "a3", kOwner, 0).decision == StartDecision::KeyReused);
    CHECK(records.markAnswered(name, "a1", { 200, "text/plain", "done" }, 1));
    const StartAnswer resent = records.start(name, 1, "a4", kOwner, 2);
    CHECK(resent.decision == StartDecision::Answered);
    CHECK(resent.reply.body == "done");
}

TEST_CASE("a call that was not run may be started again, but only by another attempt",
          "[calls][promise-6]")
{
    CallRecords records;
    const CallName name { "ws", "key" };
    records.start(name, 1, "a1", kOwner, 0);
    CHECK(records.markNotRun(name, "a1", 1));
    CHECK(records.start(name, 1, "a1", kOwner, 2).decision == StartDecision::Superseded);
    CHECK(records.start(name, 1, "a2", kOwner, 2).decision == StartDecision::Proceed);
    CHECK_FALSE(records.markNotRun(name, "a1", 3));
    CHECK_FALSE(records.markAnswered(name, "a1", {}, 3));
}

TEST_CASE("calls that a lost router left started become unknown", "[calls][promise-6]")
{
    CallRecords records;
    const CallName name { "ws", "key" };
    records.start(name, 1, "a1", kOwner, 0);
    CHECK(records.abandonStarted("router-a", 2, 1) == 1);
    CHECK(records.start(name, 1, "a2", kOwner, 2).decision == StartDecision::Unknown);
    CHECK_FALSE(records.markNotRun(name, "a1", 3));
    CHECK(records.markAnswered(name, "a1", { 200, "", "late but true" }, 4));
    CHECK(records.start(name, 1, "a2", kOwner, 5).decision == StartDecision::Answered);
}

TEST_CASE("retention, size limits and saved state of call records", "[calls]")
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
    CHECK(records.markAnswered({ "ws", "1" }, "a", { 200, "", "longer than ten bytes" }, 10));
    CHECK(records.start({ "ws", "1" }, 1, "d", kOwner, 20).decision
          == StartDecision::AnsweredNotKept);
    const auto loaded = CallRecords::load(records.save(), limits);
    REQUIRE(loaded);
    CHECK(loaded->save() == records.save());
    CHECK(records.hasExpired(500));
    records.expire(500); // the second call exceeds maxRunMillis
    CHECK(records.start({ "ws", "2" }, 1, "e", kOwner, 600).decision == StartDecision::Unknown);
    records.expire(1010); // the retention of the first call ends
    CHECK(records.start({ "ws", "1" }, 1, "f", kOwner, 1020).decision == StartDecision::Proceed);
}

// ---- CallRecords against a reference model, with RapidCheck's stateful testing ----

// The model has only the state that the guarantee refers to: which attempt may send the
// call, whether the call may have run, and how it ended.
struct CallModel
{
    std::string running; // attempt that may send the call and has not ended
    bool ended = false;
    bool answered = false;
    bool unknown = false;
    std::set<std::string> usedAttempts;
};

struct CallSystem
{
    CallRecords records;
    const CallName name { "ws", "key" };
};

using CallCommand = rc::state::Command<CallModel, CallSystem>;

struct StartAttempt : CallCommand
{
    std::string attempt = "a" + std::to_string(*rc::gen::inRange(0, 6));

    void apply(CallModel &model) const override
    {
        const bool startable = model.running.empty() && !model.answered && !model.unknown;
        if (startable && model.usedAttempts.count(attempt) == 0) {
            model.running = attempt;
            model.usedAttempts.insert(attempt);
        }
    }
    void run(const CallModel &model, CallSystem &system) const override
    {
        const auto answer = system.records.start(system.name, 1, attempt, kOwner, 0);
        const bool startable = model.running.empty() && !model.answered && !model.unknown
                && model.usedAttempts.count(attempt) == 0;
        const bool mayProceed = startable || (!model.running.empty() && model.running == attempt);
        RC_ASSERT((answer.decision == StartDecision::Proceed) == mayProceed);
        if (model.answered)
            RC_ASSERT(answer.decision == StartDecision::Answered);
        if (model.unknown)
            RC_ASSERT(answer.decision == StartDecision::Unknown);
    }
    void show(std::ostream &os) const override { os << "start " << attempt; }
};

struct EndAttempt : CallCommand
{
    std::string attempt = "a" + std::to_string(*rc::gen::inRange(0, 6));
    CallOutcome outcome
            = *rc::gen::element(CallOutcome::Answered, CallOutcome::NotRun, CallOutcome::Unknown);

    void apply(CallModel &model) const override
    {
        if (model.running != attempt)
            return;
        model.running.clear();
        model.answered = outcome == CallOutcome::Answered;
        model.unknown = outcome == CallOutcome::Unknown;
    }
    void run(const CallModel &model, CallSystem &system) const override
    {
        bool recorded = false;
        if (outcome == CallOutcome::Answered)
            recorded = system.records.markAnswered(system.name, attempt, { 200, "", "x" }, 0);
        else if (outcome == CallOutcome::NotRun)
            recorded = system.records.markNotRun(system.name, attempt, 0);
        else
            recorded = system.records.markUnknown(system.name, attempt, 0);
        if (!model.unknown)
            RC_ASSERT(recorded == (!model.running.empty() && model.running == attempt));
        // The attempt that held the record may still replace Unknown by its reply.
        if (model.unknown && recorded)
            RC_ASSERT(outcome == CallOutcome::Answered);
        if (model.unknown && recorded)
            RC_DISCARD("the model has no late answers");
    }
    void show(std::ostream &os) const override { os << "end " << attempt; }
};

TEST_CASE("call records match a reference model", "[calls][fuzz][promise-6]")
{
    rc::prop("only one attempt at a time may send the call", [] {
        CallModel model;
        CallSystem system;
        rc::state::check(model, system,
                         rc::state::gen::execOneOfWithArgs<StartAttempt, EndAttempt>());
    });
}

// ---- CallRecords in a simulated control group ----

// Callers repeatedly send calls with a few keys through any of the routers, while replicas
// and routers crash and freeze at any step. A router does what node/entrytask does: commit
// the start, send once, commit the end.
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
        bool reportedNotRun = false;
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
            injectFault(random() % 20, random() % 3);
            if (random() % 4 == 0)
                addAttempt();
            for (Attempt &attempt : attempts) {
                // A frozen router does nothing, and continues at the same step afterwards.
                if (attempt.step != Step::Done && !frozen[attempt.router])
                    advance(attempt);
            }
            cluster.run(milliseconds(random() % 60));
            check();
        }
    }

    void injectFault(uint64_t fault, size_t i)
    {
        if (fault == 0 && cluster.nodes[i]->raft)
            cluster.kill(i);
        else if (fault == 1 || fault == 2)
            restartReplica(i);
        else if (fault == 3 && cluster.nodes[i]->raft)
            cluster.nodes[i]->frozen = true;
        else if (fault == 4 && cluster.nodes[i]->frozen)
            cluster.unfreeze(i);
        else if (fault == 5)
            cluster.isolate(i);
        else if (fault == 6 || fault == 7)
            cluster.heal();
        else if (fault == 8)
            restartRouter(i);
        else if (fault == 9)
            frozen[i] = !frozen[i];
    }

    void restartReplica(size_t i)
    {
        if (!cluster.nodes[i]->raft)
            cluster.start(i);
    }

    // Restarts the router: its attempts stop at their current step, and the control group
    // is notified that the old process has ended.
    void restartRouter(size_t router)
    {
        for (Attempt &attempt : attempts) {
            if (attempt.router == router)
                attempt.step = Step::Done;
        }
        ++incarnation[router];
        frozen[router] = false;
        if (const auto leaderIndex = cluster.leader()) {
            SetViewCommand view;
            view.base = cluster.nodes[*leaderIndex]->state.view().epoch;
            view.ended.push_back({ "router-" + std::to_string(router), incarnation[router] - 1 });
            (void)cluster.propose(*leaderIndex, view);
        }
    }

    void addAttempt()
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
        const auto leaderIndex = cluster.leader();
        if (!leaderIndex)
            return;
        StartCallCommand start;
        start.name = { "ws", attempt.key };
        start.contentHash = 1;
        start.attempt = attempt.id;
        start.owner = { "router-" + std::to_string(attempt.router), incarnation[attempt.router] };
        const auto index = cluster.propose(*leaderIndex, start);
        if (!index)
            return;
        attempt.leader = *leaderIndex;
        attempt.index = *index;
        attempt.term
                = cluster.nodes[*leaderIndex]->raft ? cluster.nodes[*leaderIndex]->raft->term() : 0;
        attempt.step = Step::AwaitStart;
    }

    void awaitStart(Attempt &attempt)
    {
        const auto &node = *cluster.nodes[attempt.leader];
        const auto answer = node.answers.find(attempt.index);
        if (!node.raft || node.raft->role() != RaftRole::Leader
            || (answer != node.answers.end() && answer->second.first != attempt.term)) {
            attempt.step = Step::Propose; // propose again, with the same attempt id
            return;
        }
        if (answer == node.answers.end())
            return;
        const auto &start = std::get<StartAnswer>(answer->second.second);
        attempt.step = start.decision == StartDecision::Proceed ? Step::Send : Step::Done;
    }

    void send(Attempt &attempt)
    {
        const auto choice = cluster.random()() % 4;
        if (choice == 0) {
            attempt.outcome = CallOutcome::NotRun;
        } else {
            attempt.sent = true;
            ++runCounts[attempt.key];
            attempt.outcome = choice == 1 ? CallOutcome::Unknown : CallOutcome::Answered;
        }
        attempt.step = Step::Finish;
    }

    void finish(Attempt &attempt)
    {
        const auto leaderIndex = cluster.leader();
        if (!leaderIndex)
            return;
        FinishCallCommand command;
        command.name = { "ws", attempt.key };
        command.attempt = attempt.id;
        command.outcome = attempt.outcome;
        if (cluster.propose(*leaderIndex, command)) {
            attempt.reportedNotRun = attempt.outcome == CallOutcome::NotRun;
            attempt.step = Step::Done;
        }
    }

    void check() const
    {
        for (const auto &[key, count] : runCounts)
            RC_ASSERT(count <= 1);
        for (const Attempt &attempt : attempts)
            RC_ASSERT(!(attempt.reportedNotRun && attempt.sent));
    }

    Cluster cluster;
    std::vector<Attempt> attempts;
    std::map<std::string, int> runCounts; // times that the endpoint ran a call, by key
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
