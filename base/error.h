// Typed errors. Every error has a kind, a message that describes the failure and a
// remedy that suggests what to do; callers, endpoints and operators see all three.

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
    KeyReused, // the key or id was used for another request
    CallInProgress, // another attempt of the call is running
    OutcomeUnknown, // the call may have run and must not be repeated
    AnswerNotKept, // the call has run, but its reply was not stored
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
    StorageDamaged, // data cannot be decoded or fails a check
    PeerFailed,
    Internal,
};

// The stable name of a kind, as used in HTTP responses, logs and metrics.
std::string_view errorKindName(ErrorKind kind);

// The kind with the given name; Internal if the name is unknown.
ErrorKind parseErrorKind(std::string_view name);

struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;

    // Formats the error as "kind: message; remedy: ..." on one line.
    std::string text() const;
};

template<typename T> using Result = tl::expected<T, Error>;

// Returns the error as the unexpected value of a Result.
tl::unexpected<Error> failure(ErrorKind kind, std::string message, std::string remedy);

} // namespace bamboogap

#endif
