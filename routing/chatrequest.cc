// Parses the headers and the JSON body of a chat request.
//
// If a caller sends no chat id, the chat is identified by the start of its conversation: all
// messages up to and including the first user message. That part is the same in every later
// turn, so all turns have the same primary endpoint.

#include "routing/chatrequest.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/jsontext.h"

namespace bamboogap {

namespace {

using nlohmann::json;

constexpr size_t kMaxNameLength = 200;
// The bytes of a chat are bounded by the largest body that a node reads.
constexpr JsonLimits kChatJson { .depth = 64, .values = 500'000 };
constexpr int64_t kMaxDeadlineMillis = 24LL * 3600 * 1000;

// Longest wait by priority, for requests without a deadline.
constexpr Duration kUrgentWait = std::chrono::seconds(5);
constexpr Duration kNormalWait = std::chrono::seconds(30);
constexpr Duration kPatientWait = std::chrono::minutes(5);

tl::unexpected<Error> invalidHeader(std::string_view header, std::string_view expected)
{
    return failure(ErrorKind::InvalidRequest, fmt::format("header {} is not {}", header, expected),
                   fmt::format("send {} as {}, or leave it out", header, expected));
}

tl::unexpected<Error> invalidBodyField(std::string_view field, std::string_view expected)
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

// Hashes the part of a conversation that all of its turns share.
uint64_t hashConversationStart(const json &messages)
{
    uint64_t hash = 0;
    for (const json &message : messages) {
        hash = combineHashes(hash, hashBytes(jsonText(message)));
        if (message.value("role", json()) == "user")
            break;
    }
    return hash;
}

bool readOptionalString(const json &body, const char *field, std::string &target)
{
    if (!body.contains(field) || body[field].is_null())
        return true;
    if (!body[field].is_string())
        return false;
    target = body[field].get<std::string>();
    return target.size() <= kMaxNameLength;
}

} // namespace

Result<RequestOptions> parseRequestOptions(const CallerHeaders &headers)
{
    RequestOptions options;
    options.workspace
            = headers.workspace.empty() ? bearerToken(headers.authorization) : headers.workspace;
    if (options.workspace.empty()) {
        return failure(ErrorKind::NotPermitted, "the request has no workspace",
                       "send the workspace as header X-Workspace or as bearer token");
    }
    if (options.workspace.size() > kMaxNameLength)
        return invalidHeader("X-Workspace", fmt::format("at most {} bytes", kMaxNameLength));
    if (headers.priority == "urgent")
        options.priority = Priority::Urgent;
    else if (headers.priority == "patient")
        options.priority = Priority::Patient;
    else if (!headers.priority.empty() && headers.priority != "normal")
        return invalidHeader("X-Priority", "urgent, normal or patient");
    options.startWithin = defaultWait(options.priority);
    if (!headers.deadlineMillis.empty()) {
        int64_t millis = 0;
        const char *end = headers.deadlineMillis.data() + headers.deadlineMillis.size();
        const auto parsed = std::from_chars(headers.deadlineMillis.data(), end, millis);
        if (parsed.ec != std::errc() || parsed.ptr != end || millis < 1
            || millis > kMaxDeadlineMillis) {
            return invalidHeader("X-Deadline-Ms",
                                 fmt::format("a whole number of milliseconds from 1 "
                                             "to {}",
                                             kMaxDeadlineMillis));
        }
        options.startWithin = std::chrono::milliseconds(millis);
    }
    if (headers.idempotencyKey.size() > kMaxNameLength)
        return invalidHeader("Idempotency-Key", fmt::format("at most {} bytes", kMaxNameLength));
    options.idempotencyKey = headers.idempotencyKey;
    if (headers.repeatable == "yes")
        options.repeatable = true;
    else if (headers.repeatable == "no")
        options.repeatable = false;
    else if (!headers.repeatable.empty())
        return invalidHeader("X-Repeatable", "yes or no");
    return options;
}

Result<ChatRequest> parseChatRequest(const CallerHeaders &headers, std::string_view body)
{
    auto options = parseRequestOptions(headers);
    if (!options)
        return tl::unexpected(options.error());
    ChatRequest request;
    request.options = std::move(*options);
    const auto parsed = parseJson(body, kChatJson);
    if (!parsed)
        return failure(ErrorKind::InvalidRequest, "the body " + parsed.error().message,
                       "send a chat completion request as JSON");
    const json &value = *parsed;
    if (!value.is_object()) {
        return failure(ErrorKind::InvalidRequest, "the body is not a JSON object",
                       "send a chat completion request as JSON");
    }
    if (!readOptionalString(value, "model", request.use.model) || request.use.model.empty())
        return invalidBodyField("model", "the name of a model");
    if (!readOptionalString(value, "adapter", request.use.adapter))
        return invalidBodyField("adapter", "the name of an adapter");
    if (!readOptionalString(value, "version", request.use.version))
        return invalidBodyField("version", "the name of a version");
    if (value.contains("stream") && !value["stream"].is_boolean())
        return invalidBodyField("stream", "true or false");
    request.stream = value.value("stream", false);
    if (!value.contains("messages") || !value["messages"].is_array() || value["messages"].empty())
        return invalidBodyField("messages", "a list with at least one message");
    for (const json &message : value["messages"]) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return invalidBodyField("messages", "a list of objects with a role");
        if (message["role"] == "assistant")
            request.returning = true;
    }
    if (headers.chat.size() > kMaxNameLength)
        return invalidHeader("X-Chat-Id", fmt::format("at most {} bytes", kMaxNameLength));
    const uint64_t scope
            = combineHashes(hashBytes(request.options.workspace), hashBytes(request.use.model));
    const uint64_t own = headers.chat.empty() ? hashConversationStart(value["messages"])
                                              : hashBytes(headers.chat, 1);
    request.chat = combineHashes(scope, own);
    request.fingerprint = fingerprintOf(request.options.workspace, "chat", body);
    return request;
}

Fingerprint fingerprintOf(std::string_view workspace, std::string_view target,
                          std::string_view body)
{
    return combineHashes(combineHashes(hashBytes(workspace), hashBytes(target)), hashBytes(body));
}

} // namespace bamboogap
