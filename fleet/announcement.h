// Announcements of endpoints, which arrive over HTTP as JSON.

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

// Compact identifier of an endpoint in messages between nodes: a hash of the endpoint's id.
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

// Identity, address and capabilities of an endpoint, as the endpoint announces them.
struct Announcement
{
    std::string id;
    uint64_t incarnation = 0; // increases with each start of the endpoint
    uint64_t sequence = 0; // increases with each change within an incarnation
    std::string dataCentre;
    std::string address; // host:port of its HTTP server
    EndpointKind kind = EndpointKind::Engine;
    std::vector<Offer> offers; // for EndpointKind::Engine
    std::string service; // for EndpointKind::Service
    std::vector<RepeatableCall> repeatable; // for EndpointKind::Service
    uint32_t capacity = 1; // concurrent requests after warm-up
    uint32_t coldCapacity = 1; // concurrent requests before and during warm-up
    bool cold = false;
    bool leaving = false;
    bool checksFencing = false; // rejects a request with an older fencing number
    bool echoesRequestId = false; // returns X-Request-Id in its responses
    bool resumes = false; // can resume a stream at an offset

    bool operator==(const Announcement &) const = default;

    // The pool whose mean load this endpoint is compared with: "service/NAME" for a plain service,
    // "model/A+B" for the engines that serve the same models.
    std::string poolName() const;
    // True if an engine serves the model with any adapter and version.
    bool offersModel(std::string_view model) const;
};

// Current load of an endpoint. Sent together with an announcement, but not part of it.
struct LoadReport
{
    uint32_t running = 0;
    uint32_t waiting = 0;
};

nlohmann::json toJson(const Announcement &announcement);

// Returns InvalidRequest, which names the invalid field. Unknown fields are ignored so that newer
// endpoints can announce to older routers.
Result<Announcement> parseAnnouncement(const nlohmann::json &json);
// A missing or invalid load is reported as zero.
LoadReport parseLoadReport(const nlohmann::json &json);

// Hash of all fields; announcements with equal digests are treated as equal.
uint64_t digestOf(const Announcement &announcement);

// Returns true if `candidate` supersedes `known`: it has a later incarnation, or the same
// incarnation and a later sequence.
bool supersedes(const Announcement &candidate, const Announcement &known);

} // namespace bamboogap

#endif
