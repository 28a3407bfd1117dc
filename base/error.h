// Typed errors. Every error has a kind, says what went wrong and names the
// remedy; callers, endpoints and operators see the same three parts.

#ifndef BAMBOOGAP_BASE_ERROR_H
#define BAMBOOGAP_BASE_ERROR_H

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace bamboogap {

enum class ErrorKind {
    InvalidSettings,
    InvalidRequest,
    NotPermitted,
    NotFound,
    Conflict,
    KeyReused,
    CallInProgress,
    OutcomeUnknown,
    AnswerNotKept,
    NoLease,
    NoLeader,
    NoCapacity,
    DeadlineTooShort,
    Quarantined,
    Stopping,
    ConnectFailed,
    BrokenAnswer,
    EndpointTimeout,
    StorageFailed,
    StorageDamaged,
    PeerFailed,
    Internal,
};

// The stable name of a kind as it appears in answers, logs and metrics.
std::string_view errorKindName(ErrorKind kind);

// The kind with that name; Internal if there is none.
ErrorKind parseErrorKind(std::string_view name);

struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;

    // "kind: message; remedy: ..." on one line.
    std::string text() const;
};

template<typename T> using Result = tl::expected<T, Error>;

// Builds the failed side of a Result.
tl::unexpected<Error> failure(ErrorKind kind, std::string message, std::string remedy);

} // namespace bamboogap

#endif
