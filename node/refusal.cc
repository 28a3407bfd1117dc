// The one form of every refusal.

#include "node/refusal.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/jsontext.h"

namespace bamboogap {

namespace {

std::string_view runStateName(RunState ran)
{
    switch (ran) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Complete:
        return "complete";
    }
    return "unknown";
}

// Kinds for which coming back helps even if no better time is known.
bool helpsToComeBack(ErrorKind kind)
{
    return kind == ErrorKind::NoLease || kind == ErrorKind::NoLeader
            || kind == ErrorKind::NoCapacity || kind == ErrorKind::DeadlineTooShort
            || kind == ErrorKind::CallInProgress || kind == ErrorKind::ConnectFailed
            || kind == ErrorKind::Stopping;
}

} // namespace

int httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSettings:
    case ErrorKind::InvalidRequest:
        return 400;
    case ErrorKind::NotPermitted:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
    case ErrorKind::CallInProgress:
        return 409;
    case ErrorKind::AnswerNotKept:
        return 410;
    case ErrorKind::KeyReused:
    case ErrorKind::Quarantined:
        return 422;
    case ErrorKind::NoLease:
    case ErrorKind::NoLeader:
    case ErrorKind::NoCapacity:
    case ErrorKind::DeadlineTooShort:
    case ErrorKind::Stopping:
        return 503;
    case ErrorKind::ConnectFailed:
    case ErrorKind::BrokenAnswer:
    case ErrorKind::PeerFailed:
    case ErrorKind::OutcomeUnknown:
        return 502;
    case ErrorKind::EndpointTimeout:
        return 504;
    case ErrorKind::StorageFailed:
    case ErrorKind::StorageDamaged:
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

std::string refusalBody(const Error &error, RunState ran, std::string_view requestId)
{
    const nlohmann::json body { { "error",
                                  { { "type", errorKindName(error.kind) },
                                    { "message", error.message },
                                    { "remedy", error.remedy },
                                    { "ran", runStateName(ran) },
                                    { "request_id", requestId } } } };
    return jsonText(body);
}

HttpReply refusal(const Error &error, RunState ran, std::string_view requestId, Duration retryAfter)
{
    HttpReply reply;
    reply.status = httpStatus(error.kind);
    reply.body = refusalBody(error, ran, requestId);
    if (retryAfter <= Duration {} && helpsToComeBack(error.kind))
        retryAfter = std::chrono::seconds(1);
    if (retryAfter > Duration {}) {
        const int64_t seconds = (toMillis(retryAfter) + 999) / 1000;
        reply.headers.push_back({ "Retry-After", fmt::to_string(std::max<int64_t>(1, seconds)) });
    }
    return reply;
}

} // namespace bamboogap
