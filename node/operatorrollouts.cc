#include "node/operatorrollouts.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/jsontext.h"
#include "node/refusal.h"

namespace bamboogap {

namespace {

using nlohmann::json;

constexpr size_t kMostNameBytes = 200;
constexpr double kMostSeconds = 86400;
constexpr double kMillis = 1000;

tl::unexpected<Error> invalid(std::string_view field, std::string_view problem)
{
    return failure(ErrorKind::InvalidRequest, fmt::format("{} {}", field, problem),
                   "correct the field and send it again");
}

bool isName(const json &value, const char *field)
{
    const auto found = value.find(field);
    return found != value.end() && found->is_string()
            && !found->get_ref<const std::string &>().empty()
            && found->get_ref<const std::string &>().size() <= kMostNameBytes;
}

json toJson(const Rollout &rollout)
{
    return { { "service", rollout.service },
             { "version", rollout.version },
             { "state", rolloutStateName(rollout.state) },
             { "share_permille", rollout.sharePermille },
             { "reason", rollout.reason },
             { "number", rollout.number },
             { "ordered_at_ms", rollout.orderedAtMillis },
             { "duration_ms", rollout.durationMillis } };
}

HttpReply jsonReply(const json &body)
{
    HttpReply reply;
    reply.body = jsonText(body);
    return reply;
}

HttpReply refused(const Error &error)
{
    return refusal(error, RunState::NotRun, "");
}

HttpReply readReply(const std::vector<Rollout> &rollouts, std::string_view service)
{
    if (service.empty()) {
        json list = json::array();
        for (const Rollout &rollout : rollouts)
            list.push_back(toJson(rollout));
        return jsonReply({ { "rollouts", std::move(list) } });
    }
    const auto found = std::find_if(rollouts.begin(), rollouts.end(), [&](const Rollout &rollout) {
        return rollout.service == service;
    });
    if (found != rollouts.end())
        return jsonReply(toJson(*found));
    return refused({ ErrorKind::NotFound, fmt::format("service '{}' never had a rollout", service),
                     "list them with: bamboogapctl rollouts list" });
}

} // namespace

Result<StartRolloutOrder> parseOperatorRollout(std::string_view body)
{
    const auto parsed = parseJson(body, kSmallJson);
    if (!parsed)
        return invalid("body", parsed.error().message);
    const json &value = *parsed;
    if (!value.is_object())
        return invalid("body", "must be a JSON object");
    for (const char *field : { "service", "version" }) {
        if (!isName(value, field))
            return invalid(field, fmt::format("must be a text of 1 to {} bytes", kMostNameBytes));
    }
    const auto duration = value.find("duration_s");
    const double seconds
            = duration != value.end() && duration->is_number() ? duration->get<double>() : 0;
    if (!(seconds > 0) || seconds > kMostSeconds)
        return invalid("duration_s", "must be a number above 0 and at most 86400");
    return StartRolloutOrder { value["service"].get<std::string>(),
                               value["version"].get<std::string>(),
                               std::max<uint64_t>(1, std::llround(seconds * kMillis)) };
}

kj::Promise<HttpReply> answerRolloutCall(RolloutOrders &rollouts, const HttpRequest &request,
                                         RolloutOrders::Abandoned abandoned)
{
    if (request.method == "GET") {
        return rollouts.newest().then([service = std::string(request.query("service"))](
                                              Result<std::vector<Rollout>> read) {
            return read ? readReply(*read, service) : refused(read.error());
        });
    }
    if (request.method != "POST") {
        return refused({ ErrorKind::NotFound,
                         fmt::format("no such call: {} {}", request.method, request.pathOnly()),
                         "use GET or POST" });
    }
    auto order = parseOperatorRollout(request.body);
    if (!order)
        return refused(order.error());
    return rollouts.start(std::move(*order), std::move(abandoned)).then([](Result<void> started) {
        return started ? jsonReply({ { "accepted", true } }) : refused(started.error());
    });
}

} // namespace bamboogap
