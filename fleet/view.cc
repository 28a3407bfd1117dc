// Ownership by rendezvous hashing: a router that joins or leaves moves only the endpoints that it
// gains or loses.

#include "fleet/view.h"

#include <algorithm>

#include "base/hash.h"

namespace bamboogap {

const RouterInfo *View::find(std::string_view name) const
{
    const auto found
            = std::find_if(routers.begin(), routers.end(),
                           [name](const RouterInfo &router) { return router.name == name; });
    return found == routers.end() ? nullptr : &*found;
}

const RouterInfo *ownerOf(const View &view, std::string_view endpoint, std::string_view dataCentre)
{
    const uint64_t key = hashBytes(endpoint);
    const RouterInfo *best = nullptr;
    bool bestIsNear = false;
    uint64_t bestHash = 0;
    for (const RouterInfo &router : view.routers) {
        const bool isNear = router.dataCentre == dataCentre;
        // With equal weights, ordering by the hash is the same as ordering by the score.
        const uint64_t hash = combineHashes(key, hashBytes(router.name));
        const bool better = isNear != bestIsNear ? isNear : hash > bestHash;
        if (!best || better) {
            best = &router;
            bestIsNear = isNear;
            bestHash = hash;
        }
    }
    return best;
}

nlohmann::json toJson(const View &view)
{
    auto routers = nlohmann::json::array();
    for (const RouterInfo &router : view.routers) {
        routers.push_back({ { "name", router.name },
                            { "incarnation", router.incarnation },
                            { "data_centre", router.dataCentre },
                            { "address", router.address } });
    }
    return { { "epoch", view.epoch }, { "routers", routers } };
}

View viewFromJson(const nlohmann::json &json)
{
    View view;
    view.epoch = json.at("epoch").get<Epoch>();
    for (const auto &item : json.at("routers")) {
        view.routers.push_back({ item.at("name").get<std::string>(),
                                 item.at("incarnation").get<uint64_t>(),
                                 item.at("data_centre").get<std::string>(),
                                 item.at("address").get<std::string>() });
    }
    return view;
}

} // namespace bamboogap
