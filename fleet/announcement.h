// What an endpoint says of itself, as it arrives over HTTP in JSON.

#ifndef BAMBOOGAP_FLEET_ANNOUNCEMENT_H
#define BAMBOOGAP_FLEET_ANNOUNCEMENT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "control/lists.h"

namespace bamboogap {

// Short address of an endpoint between our processes: a hash of its id.
using EndpointKey = uint64_t;

EndpointKey endpointKey(std::string_view endpointId);

enum class EndpointKind { Engine, Service };

// One model, adapter and version that an engine has loaded.
struct Offer
{
    std::string model;
    std::string adapter;
    std::string version;

    bool operator==(const Offer &) const = default;
};

struct Announcement
{
    std::string id;
    uint64_t incarnation = 0; // grows with each start of the endpoint
    uint64_t sequence = 0; // grows with each change within an incarnation
    std::string dataCentre;
    std::string address; // host:port of its HTTP server
    EndpointKind kind = EndpointKind::Engine;
    std::vector<Offer> offers; // of an engine
    std::string service; // of a plain service
    std::vector<RepeatableCall> repeatable; // of a plain service
    uint32_t capacity = 1; // requests it can run at once when warm
    uint32_t coldCapacity = 1; // requests it can bear when cold
    bool cold = false;
    bool leaving = false;
    bool checksFencing = false; // refuses an order with an older fencing number
    bool echoesRequestId = false; // repeats X-Request-Id in its answers
    bool resumes = false; // can resume a stream at an offset

    bool operator==(const Announcement &) const = default;

    // Names the pool whose mean load this endpoint is held against: the plain
    // service, or the engines with the same models.
    std::string poolName() const;
    bool offersModel(std::string_view model) const;
};

// A load report travels with an announcement and is not part of it.
struct LoadReport
{
    uint32_t running = 0;
    uint32_t waiting = 0;
};

nlohmann::json toJson(const Announcement &announcement);

// InvalidRequest with the field that is wrong. Unknown fields are ignored, so
// that newer endpoints can announce to older routers.
Result<Announcement> parseAnnouncement(const nlohmann::json &json);
LoadReport parseLoadReport(const nlohmann::json &json);

// Hash of all fields; two announcements with one digest are the same.
uint64_t digestOf(const Announcement &announcement);

// True if `candidate` supersedes `known`: a later incarnation, or the same one
// with a later sequence.
bool supersedes(const Announcement &candidate, const Announcement &known);

} // namespace bamboogap

#endif
