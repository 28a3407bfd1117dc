#include "routing/servingversions.h"

#include <algorithm>

namespace bamboogap {

void ServingVersions::record(std::string_view service, std::string_view version, Instant knownSince,
                             Instant now)
{
    if (version.empty())
        return;
    auto found = services_.find(service);
    if (found == services_.end())
        found = services_.emplace(std::string(service), Service {}).first;
    Service &known = found->second;
    known.updatedAt = now;
    auto entry = known.versions.find(version);
    if (entry == known.versions.end())
        entry = known.versions.emplace(std::string(version), Version { knownSince, now }).first;
    entry->second.firstKnown = std::min(entry->second.firstKnown, knownSince);
    entry->second.lastUsable = now;
}

AllowedVersions ServingVersions::allowed(std::string_view service) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.versions.size() < 2)
        return {};
    const Service &known = found->second;
    const auto first = std::min_element(
            known.versions.begin(), known.versions.end(),
            [](const auto &a, const auto &b) { return a.second.firstKnown < b.second.firstKnown; });
    if (first->second.lastUsable < known.updatedAt)
        return {};
    const size_t together
            = std::count_if(known.versions.begin(), known.versions.end(), [&](const auto &item) {
                  return item.second.firstKnown - first->second.firstKnown < kTogether;
              });
    if (together > 1)
        return {};
    return { AllowedVersions::Rule::Only, first->first };
}

void ServingVersions::expire(Instant now)
{
    for (auto &[name, service] : services_) {
        std::erase_if(service.versions, [now](const auto &item) {
            return now - item.second.lastUsable > kRetention;
        });
    }
    std::erase_if(services_, [](const auto &item) { return item.second.versions.empty(); });
}

} // namespace bamboogap
