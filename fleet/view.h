// The view: the routers of the fleet, from which the owner of each endpoint follows.
//
// The view is committed by the control group and numbered by its epoch. The owner of an endpoint
// depends only on the view, so all routers with the same epoch compute the same owner.

#ifndef BAMBOOGAP_FLEET_VIEW_H
#define BAMBOOGAP_FLEET_VIEW_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace bamboogap {

using Epoch = uint64_t;

struct RouterInfo
{
    std::string name;
    uint64_t incarnation = 0; // increases with each start of the process
    std::string dataCentre;
    std::string address; // host:port at which peers can reach it

    bool operator==(const RouterInfo &) const = default;
};

struct View
{
    Epoch epoch = 0;
    std::vector<RouterInfo> routers; // ordered by name

    // Null if no router has this name.
    const RouterInfo *find(std::string_view name) const;

    bool operator==(const View &) const = default;
};

// Returns the router that owns an endpoint: the one with the highest rendezvous score among the
// routers in the endpoint's data centre, or among all routers if it has none there. Null only for
// an empty view.
const RouterInfo *ownerOf(const View &view, std::string_view endpoint, std::string_view dataCentre);

nlohmann::json toJson(const View &view);
View viewFromJson(const nlohmann::json &json);

} // namespace bamboogap

#endif
