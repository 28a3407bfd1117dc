// How errors look to callers, endpoints and operators over HTTP.

#ifndef BAMBOOGAP_NODE_REFUSAL_H
#define BAMBOOGAP_NODE_REFUSAL_H

#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "node/httpserver.h"

namespace bamboogap {

// What became of a request that got no answer of its own.
enum class RunState {
    NotRun, // not one byte was sent to an endpoint
    Unknown, // it may have run
    Complete, // it ran, but its answer cannot be given
};

int httpStatus(ErrorKind kind);

std::string refusalBody(const Error &error, RunState ran, std::string_view requestId);

// A JSON error with Retry-After where coming back helps.
HttpReply refusal(const Error &error, RunState ran, std::string_view requestId,
                  Duration retryAfter = {});

} // namespace bamboogap

#endif
