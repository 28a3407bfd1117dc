// The routing configuration of a direct router: routes, services, workspaces with their
// access keys, and limits, as one immutable version.

#ifndef BAMBOOGAP_ROUTING_ROUTETABLE_H
#define BAMBOOGAP_ROUTING_ROUTETABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/error.h"

namespace bamboogap {

// Which requests of a route may be sent more than once.
enum class Repeatability {
    Idempotent, // all requests
    AtMostOnce, // none
    Stream, // none, unless the route is resumable
};

struct RouteTarget
{
    std::string service;
    uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool resumable = false; // a broken stream may be resumed at another endpoint
    bool anonymous = false; // needs no access key
    Duration timeout {};
    Duration latencyGoal {};
    Duration eventGapGoal {}; // longest acceptable pause between two events of a stream
    uint32_t maxAttempts = 1; // number of endpoints that may run one request
    uint32_t priority = 0; // 0 is the most urgent
    std::vector<RouteTarget> targets;
};

// Properties shared by all engines of a service.
struct EngineProfile
{
    uint32_t batchSlots = 1;
    uint64_t cacheTokens = 0; // KV cache capacity, in tokens
};

struct ServiceProfile
{
    std::string name;
    std::string healthPath;
    uint32_t maxConnections = 0; // per endpoint, for all callers together
    Duration warmup {}; // how long an endpoint is cold after its start
    double warmupPerSecond = 0; // requests per second that a cold endpoint sustains
    std::optional<EngineProfile> engine; // absent for plain services
};

struct Workspace
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority; // overrides the route's
};

// Limits on the requests and connections of callers.
struct CallerLimits
{
    size_t maxHeaderBytes = 16 << 10;
    size_t maxBodyBytes = 4 << 20;
    Duration idleTimeout = std::chrono::seconds(15); // for connections without an open request
};

class RouteTable
{
public:
    struct Content
    {
        uint64_t version = 0;
        std::vector<Route> routes;
        std::vector<ServiceProfile> services;
        // If absent, requests need no access key. If empty, no access key is valid.
        std::optional<std::vector<Workspace>> workspaces;
        CallerLimits limits;
    };

    // InvalidRequest if a route names an unknown service, two routes share host and prefix,
    // a service is defined twice, a route's weights add up to 0, a timeout is 0, a prefix
    // does not begin and end with a slash, or two workspaces share a key. The message names
    // the route, service or workspace.
    static Result<RouteTable> build(Content content);

    uint64_t version() const { return content_.version; }
    const std::vector<Route> &routes() const { return content_.routes; }
    const std::vector<ServiceProfile> &services() const { return content_.services; }
    const CallerLimits &limits() const { return content_.limits; }
    // Whether requests on routes that are not anonymous need an access key.
    bool requiresAccessKey() const { return content_.workspaces.has_value(); }

    // The route of the host with the longest prefix that matches the path; null if there is
    // none. path has no query.
    const Route *match(std::string_view host, std::string_view path) const;
    const ServiceProfile *service(std::string_view name) const;
    // Null if the key is unknown, or empty as that of a request without one.
    const Workspace *workspaceOfKey(std::string_view key) const;

private:
    Content content_;
    // Indexes into content_. The routes of a host are sorted by prefix length, longest
    // first.
    std::map<std::string, std::vector<size_t>, std::less<>> routesByHost_;
    std::map<std::string, size_t, std::less<>> servicesByName_;
    std::unordered_map<std::string, size_t> workspacesByKey_;
};

// Selects a target by weight; point is a number in [0, 1).
const RouteTarget &targetAt(const Route &route, double point);

} // namespace bamboogap

#endif
