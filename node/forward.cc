// Wire form of forwarded requests. Deadlines travel as time left, since the
// clocks of two machines have nothing in common.

#include "node/forward.h"

#include "node/convert.h"

namespace bamboogap {

namespace {

int64_t toMicros(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

} // namespace

void write(const ForwardCall &call, Instant now, wire::ForwardRequest::Builder builder)
{
    builder.setId(call.id);
    builder.setKind(call.kind == ForwardKind::Chat ? wire::ForwardKind::CHAT
                                                   : wire::ForwardKind::SERVICE);
    builder.setEndpoint(call.endpoint);
    builder.setIsHome(call.isHome);
    builder.setChat(call.chat);
    builder.setWorkspace(call.workspace);
    builder.setShare(call.share);
    builder.setPriority(static_cast<uint8_t>(call.priority));
    builder.setStartWithinMicros(toMicros(call.startBy - now));
    builder.setFingerprint(call.fingerprint);
    builder.setMayWait(call.mayWait);
    builder.setModel(call.use.model);
    builder.setAdapter(call.use.adapter);
    builder.setVersion(call.use.version);
    builder.setService(call.service);
    builder.setMethod(call.method);
    builder.setPath(call.path);
    auto headers = builder.initHeaders(call.headers.size());
    for (size_t i = 0; i < call.headers.size(); ++i) {
        headers[i].setName(call.headers[i].name);
        headers[i].setValue(call.headers[i].value);
    }
    builder.setBody(toData(call.body));
    builder.setStream(call.stream);
}

ForwardCall read(wire::ForwardRequest::Reader reader, Instant now)
{
    ForwardCall call;
    call.id = reader.getId();
    call.kind = reader.getKind() == wire::ForwardKind::CHAT ? ForwardKind::Chat
                                                            : ForwardKind::Service;
    call.endpoint = toView(reader.getEndpoint());
    call.isHome = reader.getIsHome();
    call.chat = reader.getChat();
    call.workspace = toView(reader.getWorkspace());
    call.share = reader.getShare();
    const size_t priority = std::min<size_t>(reader.getPriority(), kPriorities - 1);
    call.priority = static_cast<Priority>(priority);
    call.startBy = now + std::chrono::microseconds(reader.getStartWithinMicros());
    call.fingerprint = reader.getFingerprint();
    call.mayWait = reader.getMayWait();
    call.use.model = toView(reader.getModel());
    call.use.adapter = toView(reader.getAdapter());
    call.use.version = toView(reader.getVersion());
    call.service = toView(reader.getService());
    call.method = toView(reader.getMethod());
    call.path = toView(reader.getPath());
    for (const auto header : reader.getHeaders()) {
        call.headers.push_back(
                { std::string(toView(header.getName())), std::string(toView(header.getValue())) });
    }
    call.body = toView(reader.getBody());
    call.stream = reader.getStream();
    return call;
}

void write(const ForwardOutcome &outcome, wire::ForwardOutcome::Builder builder)
{
    switch (outcome.result) {
    case ForwardResult::Complete:
        builder.setResult(wire::ForwardResult::COMPLETE);
        break;
    case ForwardResult::NotRun:
        builder.setResult(wire::ForwardResult::NOT_RUN);
        break;
    case ForwardResult::Failed:
        builder.setResult(wire::ForwardResult::FAILED);
        break;
    }
    builder.setEndpoint(outcome.endpoint);
    write(outcome.problem, builder.initProblem());
    builder.setRetryAfterMicros(toMicros(outcome.retryAfter));
    auto movedTo = builder.initMovedTo(outcome.movedTo.size());
    for (size_t i = 0; i < outcome.movedTo.size(); ++i)
        movedTo.set(i, outcome.movedTo[i]);
    builder.setCrashed(outcome.crashed);
    builder.setWaitedMicros(toMicros(outcome.waited));
}

ForwardOutcome read(wire::ForwardOutcome::Reader reader)
{
    ForwardOutcome outcome;
    switch (reader.getResult()) {
    case wire::ForwardResult::COMPLETE:
        outcome.result = ForwardResult::Complete;
        break;
    case wire::ForwardResult::NOT_RUN:
        outcome.result = ForwardResult::NotRun;
        break;
    default:
        // An unknown result may have run.
        outcome.result = ForwardResult::Failed;
        break;
    }
    outcome.endpoint = toView(reader.getEndpoint());
    outcome.problem = read(reader.getProblem());
    outcome.retryAfter = std::chrono::microseconds(reader.getRetryAfterMicros());
    for (const auto endpoint : reader.getMovedTo())
        outcome.movedTo.emplace_back(toView(endpoint));
    outcome.crashed = reader.getCrashed();
    outcome.waited = std::chrono::microseconds(reader.getWaitedMicros());
    return outcome;
}

} // namespace bamboogap
