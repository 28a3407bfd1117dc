// POST /v1/endpoints/announce: an announcement, a load report or a leaving
// notice (an announcement with "leaving": true).

#include "node/endpointfront.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/jsontext.h"
#include "base/log.h"
#include "node/refusal.h"

namespace bamboogap {

namespace {

constexpr std::string_view kAnnouncePath = "/v1/endpoints/announce";
// An endpoint is heard this many times within the silence limit.
constexpr int kAnnouncementsPerSilence = 4;

} // namespace

EndpointFront::EndpointFront(const Settings &settings, MemberTask &members, Metrics &metrics)
    : settings_(settings)
    , members_(members)
    , metrics_(metrics)
{
}

void EndpointFront::handle(ExchangeId exchange, const HttpRequest &request)
{
    if (request.pathOnly() == kAnnouncePath && request.method == "POST") {
        announce(exchange, request);
        return;
    }
    const Error error { ErrorKind::NotFound,
                        fmt::format("there is no {} at {}", request.method, request.pathOnly()),
                        fmt::format("POST an announcement to {}", kAnnouncePath) };
    server_->reply(exchange, refusal(error, RunState::NotRun, ""));
}

void EndpointFront::announce(ExchangeId exchange, const HttpRequest &request)
{
    const auto body = parseJson(request.body, kSmallJson);
    const auto announcement = body.and_then(parseAnnouncement);
    if (!announcement) {
        metrics_.count("bamboogap_announcements_refused_total");
        server_->reply(exchange, refusal(announcement.error(), RunState::NotRun, ""));
        return;
    }
    // A router that is cut off could not pass it on.
    if (!members_.holdsLease()) {
        const Error error { ErrorKind::NoLease, "this router is not part of the fleet now",
                            "announce to another router" };
        server_->reply(exchange, refusal(error, RunState::NotRun, ""));
        return;
    }
    metrics_.count("bamboogap_announcements_total");
    const LoadReport load = parseLoadReport(*body);
    metrics_.set("bamboogap_reported_running", fmt::format("endpoint=\"{}\"", announcement->id),
                 load.running);
    members_.hear(*announcement);
    const Duration interval
            = settings_.coordinator.endpoints.heartbeatTimeout / kAnnouncementsPerSilence;
    HttpReply reply;
    reply.body = nlohmann::json {
        { "accepted", true }, { "announce_again_within_ms", toMillis(interval) }
    }.dump();
    server_->reply(exchange, reply);
}

} // namespace bamboogap
