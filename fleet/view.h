// The view: which routers are in the fleet, and the owner of each endpoint.
//
// The view is committed by the control group and numbered by its epoch. The
// owner of an endpoint follows from the view alone, so every router that knows
// the same epoch computes the same owner.

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
    uint64_t incarnation = 0; // grows with each start of the process
    std::string dataCentre;
    std::string address; // where peers reach it, host:port

    bool operator==(const RouterInfo &) const = default;
};

struct View
{
    Epoch epoch = 0;
    std::vector<RouterInfo> routers; // ordered by name

    const RouterInfo *find(std::string_view name) const;

    bool operator==(const View &) const = default;
};

// The router that owns an endpoint: the highest rendezvous score among the
// routers in the endpoint's data centre, or among all if there is none there.
// Null only for an empty view.
const RouterInfo *ownerOf(const View &view, std::string_view endpoint, std::string_view dataCentre);

nlohmann::json toJson(const View &view);
View viewFromJson(const nlohmann::json &json);

} // namespace bamboogap

#endif
