// Reads the headers and the JSON body of a chat request.
//
// When a caller names no chat, the chat is told by the beginning of its
// conversation: everything up to the first user message. That part is the same
// in every later turn, so the turns find the same endpoint.

#include "routing/chatrequest.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/hash.h"

namespace bamboogap {

namespace {

using nlohmann::json;

constexpr size_t kMaxNameLength = 200;
constexpr int64_t kMaxDeadlineMillis = 24LL * 3600 * 1000;

// How long work of each priority may wait when the caller names no deadline.
constexpr Duration kUrgentWait = std::chrono::seconds(5);
constexpr Duration kNormalWait = std::chrono::seconds(30);
constexpr Duration kPatientWait = std::chrono::minutes(5);

tl::unexpected<Error> badHeader(std::string_view header, std::string_view expected)
{
    return failure(ErrorKind::InvalidRequest, fmt::format("header {} is not {}", header, expected),
                   fmt::format("send {} as {}, or leave it out", header, expected));
}

tl::unexpected<Error> badBody(std::string_view field, std::string_view expected)
{
    return failure(ErrorKind::InvalidRequest,
                   fmt::format("body field '{}' is not {}", field, expected),
                   fmt::format("send '{}' as {}", field, expected));
}

Duration defaultWait(Priority priority)
{
    switch (priority) {
    case Priority::Urgent:
        return kUrgentWait;
    case Priority::Normal:
        return kNormalWait;
    case Priority::Patient:
        return kPatientWait;
    }
    return kNormalWait;
}

std::string_view bearerToken(std::string_view authorization)
{
    constexpr std::string_view kScheme = "Bearer ";
    if (authorization.substr(0, kScheme.size()) != kScheme)
        return {};
    return authorization.substr(kScheme.size());
}

// The part of a conversation that all of its turns share.
uint64_t hashOpening(const json &messages)
{
    uint64_t hash = 0;
    for (const json &message : messages) {
        hash = combineHashes(
                hash, hashBytes(message.dump(-1, ' ', false, json::error_handler_t::replace)));
        if (message.value("role", json()) == "user")
            break;
    }
    return hash;
}

bool readOptionalText(const json &body, const char *field, std::string &target)
{
    if (!body.contains(field) || body[field].is_null())
        return true;
    if (!body[field].is_string())
        return false;
    target = body[field].get<std::string>();
    return target.size() <= kMaxNameLength;
}

} // namespace

Result<CallerTerms> parseCallerTerms(const CallerHeaders &headers)
{
    CallerTerms terms;
    terms.workspace
            = headers.workspace.empty() ? bearerToken(headers.authorization) : headers.workspace;
    if (terms.workspace.empty()) {
        return failure(ErrorKind::NotPermitted, "the request names no workspace",
                       "send the workspace as header X-Workspace or as bearer token");
    }
    if (terms.workspace.size() > kMaxNameLength)
        return badHeader("X-Workspace", fmt::format("at most {} bytes", kMaxNameLength));
    if (headers.priority == "urgent")
        terms.priority = Priority::Urgent;
    else if (headers.priority == "patient")
        terms.priority = Priority::Patient;
    else if (!headers.priority.empty() && headers.priority != "normal")
        return badHeader("X-Priority", "urgent, normal or patient");
    terms.startWithin = defaultWait(terms.priority);
    if (!headers.deadlineMillis.empty()) {
        int64_t millis = 0;
        const char *end = headers.deadlineMillis.data() + headers.deadlineMillis.size();
        const auto parsed = std::from_chars(headers.deadlineMillis.data(), end, millis);
        if (parsed.ec != std::errc() || parsed.ptr != end || millis < 1
            || millis > kMaxDeadlineMillis) {
            return badHeader("X-Deadline-Ms",
                             fmt::format("a whole number of milliseconds from 1 "
                                         "to {}",
                                         kMaxDeadlineMillis));
        }
        terms.startWithin = std::chrono::milliseconds(millis);
    }
    if (headers.idempotencyKey.size() > kMaxNameLength)
        return badHeader("Idempotency-Key", fmt::format("at most {} bytes", kMaxNameLength));
    terms.idempotencyKey = headers.idempotencyKey;
    if (headers.repeatable == "yes")
        terms.repeatable = true;
    else if (headers.repeatable == "no")
        terms.repeatable = false;
    else if (!headers.repeatable.empty())
        return badHeader("X-Repeatable", "yes or no");
    return terms;
}

Result<ChatRequest> parseChatRequest(const CallerHeaders &headers, std::string_view body)
{
    auto terms = parseCallerTerms(headers);
    if (!terms)
        return tl::unexpected(terms.error());
    ChatRequest request;
    request.terms = std::move(*terms);
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object()) {
        return failure(ErrorKind::InvalidRequest, "the body is no JSON object",
                       "send a chat completion request as JSON");
    }
    if (!readOptionalText(value, "model", request.use.model) || request.use.model.empty())
        return badBody("model", "the name of a model");
    if (!readOptionalText(value, "adapter", request.use.adapter))
        return badBody("adapter", "the name of an adapter");
    if (!readOptionalText(value, "version", request.use.version))
        return badBody("version", "the name of a version");
    if (value.contains("stream") && !value["stream"].is_boolean())
        return badBody("stream", "true or false");
    request.stream = value.value("stream", false);
    if (!value.contains("messages") || !value["messages"].is_array() || value["messages"].empty())
        return badBody("messages", "a list with at least one message");
    for (const json &message : value["messages"]) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return badBody("messages", "a list of objects with a role");
        if (message["role"] == "assistant")
            request.returning = true;
    }
    if (headers.chat.size() > kMaxNameLength)
        return badHeader("X-Chat-Id", fmt::format("at most {} bytes", kMaxNameLength));
    const uint64_t scope
            = combineHashes(hashBytes(request.terms.workspace), hashBytes(request.use.model));
    const uint64_t own
            = headers.chat.empty() ? hashOpening(value["messages"]) : hashBytes(headers.chat, 1);
    request.chat = combineHashes(scope, own);
    request.fingerprint = fingerprintOf(request.terms.workspace, "chat", body);
    return request;
}

Fingerprint fingerprintOf(std::string_view workspace, std::string_view target,
                          std::string_view body)
{
    return combineHashes(combineHashes(hashBytes(workspace), hashBytes(target)), hashBytes(body));
}

} // namespace bamboogap
