#include "control/deployment.h"

namespace bamboogap {

bool Deployment::install(uint64_t version, std::string_view document)
{
    if (version <= version_)
        return false;
    version_ = version;
    document_ = document;
    ++revision_;
    return true;
}

bool Deployment::setOutOfService(std::string_view dataCentre, bool outOfService,
                                 std::optional<uint64_t> base)
{
    if (base && *base != outageOrders(dataCentre))
        return false;
    ++outageOrders_[std::string(dataCentre)];
    const bool changed = outOfService ? dataCentresOut_.emplace(dataCentre).second
                                      : dataCentresOut_.erase(std::string(dataCentre)) > 0;
    revision_ += changed;
    return true;
}

uint64_t Deployment::outageOrders(std::string_view dataCentre) const
{
    const auto found = outageOrders_.find(dataCentre);
    return found == outageOrders_.end() ? 0 : found->second;
}

nlohmann::json Deployment::save() const
{
    return { { "revision", revision_ },
             { "version", version_ },
             { "document",
               nlohmann::json::binary(std::vector<uint8_t>(document_.begin(), document_.end())) },
             { "out", dataCentresOut_ },
             { "out_orders", outageOrders_ } };
}

Result<Deployment> Deployment::load(const nlohmann::json &saved)
{
    using OutageOrders = decltype(outageOrders_);
    Deployment deployment;
    try {
        deployment.revision_ = saved.at("revision").get<uint64_t>();
        deployment.version_ = saved.at("version").get<uint64_t>();
        const auto &document = saved.at("document").get_binary();
        deployment.document_.assign(document.begin(), document.end());
        deployment.dataCentresOut_ = saved.at("out").get<std::set<std::string>>();
        if (saved.contains("out_orders")) // version 0.1 did not write it
            deployment.outageOrders_ = saved.at("out_orders").get<OutageOrders>();
    } catch (const nlohmann::json::exception &problem) {
        return failure(ErrorKind::StorageDamaged,
                       std::string("the saved deployment state cannot be read: ") + problem.what(),
                       "move the data folder away and let this replica join again");
    }
    return deployment;
}

} // namespace bamboogap
