// Microbenchmarks of placement, admission, heartbeats, the durable log and the state.
// Most run at 1, 4 and 16 times a base size, to show how the cost scales.

#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <malloc.h>

#include <filesystem>

#include "base/hash.h"
#include "control/logstore.h"
#include "control/state.h"
#include "fleet/coordinator.h"
#include "fleet/member.h"
#include "node/convert.h"
#include "routing/admission.h"
#include "routing/placement.h"

namespace {

using namespace bamboogap;

Announcement makeAnnouncement(size_t number)
{
    Announcement announcement;
    announcement.id = "engine-" + std::to_string(number);
    announcement.incarnation = 1764806400000 + number;
    announcement.sequence = 1;
    announcement.dataCentre = "dc" + std::to_string(number % 8);
    announcement.address
            = "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8000";
    announcement.offers.push_back({ "m1", "", "v1" });
    announcement.capacity = 84;
    announcement.coldCapacity = 8;
    return announcement;
}

RouterInfo makeRouter(size_t number)
{
    return { "router-" + std::to_string(number), 1764806400000, "dc" + std::to_string(number % 8),
             "10.2." + std::to_string(number / 250) + "." + std::to_string(number % 250)
                     + ":7403" };
}

size_t heapBytes()
{
    return mallinfo2().uordblks;
}

// Places a returning chat. Argument: number of endpoints.
void placement(benchmark::State &state)
{
    const size_t before = heapBytes();
    LoadTable loadTable(1.25);
    for (int64_t i = 0; i < state.range(0); ++i)
        loadTable.set(makeAnnouncement(i).id, "model/m1", 84, true);
    state.counters["board_bytes"] = static_cast<double>(heapBytes() - before);
    ChatPlacementRequest request;
    request.pools = { "model/m1" };
    request.returning = true;
    for (auto _ : state) {
        ++request.chat;
        benchmark::DoNotOptimize(placeChat(loadTable, {}, request));
    }
}
BENCHMARK(placement)->Arg(48)->Arg(193)->Arg(770);

// Admits and finishes one request at the owner. Argument: number of endpoints owned.
void admission(benchmark::State &state)
{
    LoadTable loadTable(1.25);
    Admission admission({}, &loadTable, [](std::string_view) { return std::nullopt; });
    for (int64_t i = 0; i < state.range(0); ++i) {
        const Announcement announcement = makeAnnouncement(i);
        loadTable.set(announcement.id, announcement.poolName(), 84, true);
        admission.setEndpoint(announcement, 84);
    }
    loadTable.setPoolSample("model/m1", static_cast<uint32_t>(state.range(0) * 40));
    const Instant now { std::chrono::seconds(1) };
    RequestId id = 0;
    FinishReport done;
    done.completed = true;
    for (auto _ : state) {
        AdmissionRequest request;
        request.queueEntry.id = ++id;
        request.endpoint = "engine-1";
        benchmark::DoNotOptimize(admission.admit(request, now));
        benchmark::DoNotOptimize(admission.finish(id, done, now));
    }
}
BENCHMARK(admission)->Arg(2)->Arg(8)->Arg(32);

// A look-up and an insertion in a full affinity table. Argument: capacity in chats.
void affinity(benchmark::State &state)
{
    const size_t before = heapBytes();
    AffinityTable table(state.range(0));
    for (int64_t i = 0; i < state.range(0); ++i)
        table.record(hashBytes(std::to_string(i)), i);
    state.counters["bytes_per_chat"]
            = static_cast<double>(heapBytes() - before) / static_cast<double>(state.range(0));
    uint64_t chat = 0;
    for (auto _ : state) {
        ++chat;
        benchmark::DoNotOptimize(table.find(chat));
        table.record(chat, chat);
    }
}
BENCHMARK(affinity)->Arg(2875)->Arg(11500)->Arg(46000);

// The leader's state for a fleet in which every router has the current registry of
// endpoints.
struct Fleet
{
    Fleet(size_t routers, size_t endpoints)
        : coordinator({}, 1, View {}, now)
    {
        SetViewCommand view;
        for (size_t i = 0; i < routers; ++i)
            view.routers.push_back(makeRouter(i));
        state.apply(view);
        coordinator = Coordinator({}, 1, state.view(), now);
        for (size_t i = 0; i < endpoints; ++i) {
            const Announcement announcement = makeAnnouncement(i);
            heard.push_back(
                    { endpointKey(announcement.id), digestOf(announcement), 0, announcement });
        }
        for (size_t i = 0; i < routers; ++i)
            sendHeartbeat(i, i == 0);
        for (size_t i = 0; i < routers; ++i)
            version = sendHeartbeat(i, false).registryDelta.version;
        limits = sendHeartbeat(0, false).limitsVersion;
    }

    Heartbeat make(size_t i, bool full)
    {
        Heartbeat heartbeat;
        heartbeat.router = makeRouter(i);
        heartbeat.sequence = ++sequence;
        heartbeat.leaderTerm = 1;
        heartbeat.knownEpoch = state.view().epoch;
        heartbeat.registryTerm = 1;
        heartbeat.registryVersion = version;
        heartbeat.knownLimitsVersion = limits;
        // A router owns about two endpoints and receives about two announcements per
        // second.
        const size_t per = std::max<size_t>(1, heard.size() / 410);
        for (size_t k = 0; k < per; ++k) {
            SeenEndpoint item = heard[(i * per + k) % heard.size()];
            item.announcement.reset();
            heartbeat.seenEndpoints.push_back(item);
            heartbeat.loads.push_back({ item.key, 40, 84 });
        }
        if (full)
            heartbeat.seenEndpoints = heard;
        heartbeat.pools.push_back({ 7, 80 });
        return heartbeat;
    }

    HeartbeatReply sendHeartbeat(size_t i, bool full)
    {
        return coordinator.heartbeat(make(i, full), state, now);
    }

    Instant now { std::chrono::seconds(1000) };
    ControlState state;
    Coordinator coordinator;
    std::vector<SeenEndpoint> heard;
    uint64_t sequence = 0;
    uint64_t version = 0;
    uint64_t limits = 0;
};

size_t encodedBytes(const Heartbeat &heartbeat)
{
    capnp::MallocMessageBuilder message;
    write(heartbeat, message.initRoot<wire::Heartbeat>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

size_t encodedBytes(const HeartbeatReply &reply)
{
    capnp::MallocMessageBuilder message;
    write(reply, message.initRoot<wire::HeartbeatReply>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

// The leader's handling of one heartbeat, with encoding of both messages, and their
// sizes. Arguments: numbers of routers and endpoints.
void heartbeatAtLeader(benchmark::State &state)
{
    const auto routers = static_cast<size_t>(state.range(0));
    Fleet fleet(routers, static_cast<size_t>(state.range(1)));
    size_t i = 0;
    size_t up = 0;
    size_t down = 0;
    for (auto _ : state) {
        const Heartbeat heartbeat = fleet.make(++i % routers, false);
        const HeartbeatReply reply = fleet.coordinator.heartbeat(heartbeat, fleet.state, fleet.now);
        up = encodedBytes(heartbeat);
        down = encodedBytes(reply);
    }
    state.counters["bytes_up"] = static_cast<double>(up);
    state.counters["bytes_down"] = static_cast<double>(down);
}
BENCHMARK(heartbeatAtLeader)->Args({ 26, 48 })->Args({ 103, 193 })->Args({ 410, 770 });

// A router's handling of one heartbeat reply. The time includes the leader's part.
// Arguments: numbers of routers and endpoints.
void replyAtRouter(benchmark::State &state)
{
    const auto routers = static_cast<size_t>(state.range(0));
    Fleet fleet(routers, static_cast<size_t>(state.range(1)));
    Member member(makeRouter(0));
    for (auto _ : state) {
        Heartbeat heartbeat = member.makeHeartbeat(fleet.now);
        heartbeat.sequence = heartbeat.sequence + fleet.sequence;
        HeartbeatReply reply = fleet.coordinator.heartbeat(heartbeat, fleet.state, fleet.now);
        reply.sequence = heartbeat.sequence - fleet.sequence;
        benchmark::DoNotOptimize(member.receive(std::move(reply), fleet.now));
    }
}
BENCHMARK(replyAtRouter)->Args({ 26, 48 })->Args({ 103, 193 })->Args({ 410, 770 });

// Log commits with real syncs on the disk of the temporary folder. Argument: entries per
// sync.
void commitToDisk(benchmark::State &state)
{
    const auto folder = std::filesystem::temp_directory_path() / "bamboogap-bench";
    std::filesystem::remove_all(folder);
    auto disk = realDisk(folder.string());
    LogStore store(std::move(*disk));
    (void)store.open(1);
    LogIndex index = 0;
    for (auto _ : state) {
        RaftOutput output;
        for (int64_t i = 0; i < state.range(0); ++i)
            output.entries.push_back({ ++index, 1, EntryKind::Command, std::string(300, 'x') });
        (void)store.store(output);
    }
    state.counters["entries"]
            = benchmark::Counter(static_cast<double>(index), benchmark::Counter::kIsRate);
    std::filesystem::remove_all(folder);
}
BENCHMARK(commitToDisk)->Arg(1)->Arg(4)->Arg(16)->Arg(64)->UseRealTime();

ControlState stateWithCalls(int64_t calls)
{
    ControlState control;
    for (int64_t i = 0; i < calls; ++i) {
        const CallName name { "workspace", "key-" + std::to_string(i) };
        control.apply(StartCallCommand {
                name, 7, "router-1#1#" + std::to_string(i), { "router-1", 1 }, i });
        control.apply(FinishCallCommand { name,
                                          "router-1#1#" + std::to_string(i),
                                          CallOutcome::Answered,
                                          { 200, "application/json", std::string(200, 'x') },
                                          i });
    }
    return control;
}

// Loads a saved state, which is the larger part of a recovery. Argument: number of calls
// with a stored answer.
void recovery(benchmark::State &state)
{
    const size_t before = heapBytes();
    const ControlState control = stateWithCalls(state.range(0));
    state.counters["bytes_per_call"]
            = static_cast<double>(heapBytes() - before) / static_cast<double>(state.range(0));
    const std::string saved = control.save();
    state.counters["saved_bytes"] = static_cast<double>(saved.size());
    for (auto _ : state)
        benchmark::DoNotOptimize(ControlState::load(saved, {}));
}
BENCHMARK(recovery)->Arg(2500)->Arg(10000)->Arg(40000)->Unit(benchmark::kMillisecond);

// Saves a state, as for a snapshot. Argument: number of calls with a stored answer.
void snapshot(benchmark::State &state)
{
    const ControlState control = stateWithCalls(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(control.save());
}
BENCHMARK(snapshot)->Arg(2500)->Arg(10000)->Arg(40000)->Unit(benchmark::kMillisecond);

// Applies the start and the finish of one call. Argument: number of calls already stored.
void applyCall(benchmark::State &state)
{
    ControlState control = stateWithCalls(state.range(0));
    int64_t i = state.range(0);
    for (auto _ : state) {
        const CallName name { "workspace", "key-" + std::to_string(++i) };
        control.apply(StartCallCommand { name, 7, "a", { "router-1", 1 }, i });
        control.apply(FinishCallCommand { name,
                                          "a",
                                          CallOutcome::Answered,
                                          { 200, "application/json", std::string(200, 'x') },
                                          i });
    }
}
BENCHMARK(applyCall)->Arg(2500)->Arg(10000)->Arg(40000);

// Encodes and decodes the operator lists as sent in a heartbeat reply, once after a
// change. Argument: number of customers.
void listsToRouter(benchmark::State &state)
{
    OperatorLists lists;
    for (int64_t i = 0; i < state.range(0); ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        lists.plans["plan-" + std::to_string(i % 50)].allowances = { { "m1", "", "", "" } };
        lists.customers[name] = { "plan-" + std::to_string(i % 50), 1 };
    }
    size_t bytes = 0;
    for (auto _ : state) {
        const std::string encoded = toCbor(toJson(lists));
        bytes = encoded.size();
        benchmark::DoNotOptimize(parseOperatorLists(*fromCbor(encoded)));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(listsToRouter)->Arg(94)->Arg(375)->Arg(1500)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
