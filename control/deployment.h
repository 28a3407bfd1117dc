// What operators set as a whole: the route document and the data centres that
// are out of service.
//
// The document is the text that the operator sent, compressed, so that it can be read
// back unchanged and a large one does not hold up the log; routers parse it into a
// RouteTable. The highest version
// wins: installing an older or the same version again changes nothing, which
// makes resends and crossed changes harmless.

#ifndef BAMBOOGAP_CONTROL_DEPLOYMENT_H
#define BAMBOOGAP_CONTROL_DEPLOYMENT_H

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace bamboogap {

class Deployment
{
public:
    // False if the version held is the same or higher.
    bool install(uint64_t version, std::string_view document);
    // False if the data centre already was in that state.
    bool setOut(std::string_view dataCentre, bool out);

    // Grows with every change and never falls.
    uint64_t revision() const { return revision_; }
    // 0 while no document was installed.
    uint64_t version() const { return version_; }
    // Compressed; see base/compress.h.
    const std::string &document() const { return document_; }
    const std::set<std::string> &dataCentresOut() const { return dataCentresOut_; }

    nlohmann::json save() const;
    // StorageDamaged if a field is missing or has another type.
    static Result<Deployment> load(const nlohmann::json &saved);

private:
    uint64_t revision_ = 0;
    uint64_t version_ = 0;
    std::string document_;
    std::set<std::string> dataCentresOut_;
};

} // namespace bamboogap

#endif
