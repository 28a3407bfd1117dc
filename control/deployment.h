// Configuration of direct routers: the route document and the data centres that are out of
// service.
//
// The document is stored as the operator sent it, so that it can be read back unchanged, and
// compressed, so that a large document does not delay the log. Routers parse it into a
// RouteTable. The highest version wins: installing the same or an older version has no effect,
// so resent and reordered commands do no harm.

#ifndef BAMBOOGAP_CONTROL_DEPLOYMENT_H
#define BAMBOOGAP_CONTROL_DEPLOYMENT_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace bamboogap {

// Deterministic: equal calls in equal order give equal states on every replica.
class Deployment
{
public:
    // Installs a compressed document. Returns false, and changes nothing, if the installed
    // version is the same or higher.
    bool install(uint64_t version, std::string_view document);
    // Takes a data centre out of service or puts it back. `base` is the number of orders for the
    // data centre that had been accepted when this one was received: false, and no effect, if
    // another one was accepted since. Without it the order is accepted at any time.
    bool setOutOfService(std::string_view dataCentre, bool outOfService,
                         std::optional<uint64_t> base = std::nullopt);
    // Number of orders that were accepted for the data centre, also those without an effect.
    uint64_t outageOrders(std::string_view dataCentre) const;

    // Increases with every change of the document or of the data centres.
    uint64_t revision() const { return revision_; }
    // Version of the installed document; 0 if there is none.
    uint64_t version() const { return version_; }
    // Compressed; see base/compress.h.
    const std::string &document() const { return document_; }
    const std::set<std::string> &dataCentresOut() const { return dataCentresOut_; }

    nlohmann::json save() const;
    // Returns StorageDamaged if a field is missing or has another type.
    static Result<Deployment> load(const nlohmann::json &saved);

private:
    uint64_t revision_ = 0;
    uint64_t version_ = 0;
    std::string document_;
    std::set<std::string> dataCentresOut_;
    std::map<std::string, uint64_t, std::less<>> outageOrders_; // by data centre
};

} // namespace bamboogap

#endif
