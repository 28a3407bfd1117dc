#include "base/error.h"

#include <fmt/format.h>

namespace bamboogap {

std::string_view errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSettings:
        return "invalid_settings";
    case ErrorKind::InvalidRequest:
        return "invalid_request";
    case ErrorKind::NotPermitted:
        return "not_permitted";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::KeyReused:
        return "key_reused";
    case ErrorKind::CallInProgress:
        return "call_in_progress";
    case ErrorKind::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorKind::AnswerNotKept:
        return "answer_not_kept";
    case ErrorKind::NoLease:
        return "no_lease";
    case ErrorKind::NoLeader:
        return "no_leader";
    case ErrorKind::NoCapacity:
        return "no_capacity";
    case ErrorKind::DeadlineTooShort:
        return "deadline_too_short";
    case ErrorKind::Quarantined:
        return "quarantined";
    case ErrorKind::Stopping:
        return "stopping";
    case ErrorKind::ConnectFailed:
        return "connect_failed";
    case ErrorKind::BrokenAnswer:
        return "broken_answer";
    case ErrorKind::EndpointTimeout:
        return "endpoint_timeout";
    case ErrorKind::StorageFailed:
        return "storage_failed";
    case ErrorKind::StorageDamaged:
        return "storage_damaged";
    case ErrorKind::PeerFailed:
        return "peer_failed";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

ErrorKind parseErrorKind(std::string_view name)
{
    for (int value = 0; value <= static_cast<int>(ErrorKind::Internal); ++value) {
        const auto kind = static_cast<ErrorKind>(value);
        if (errorKindName(kind) == name)
            return kind;
    }
    return ErrorKind::Internal;
}

std::string Error::text() const
{
    return fmt::format("{}: {}; remedy: {}", errorKindName(kind), message, remedy);
}

tl::unexpected<Error> failure(ErrorKind kind, std::string message, std::string remedy)
{
    return tl::unexpected<Error>(Error { kind, std::move(message), std::move(remedy) });
}

} // namespace bamboogap
