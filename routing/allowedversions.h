// The software versions of endpoints that may run a request.

#ifndef BAMBOOGAP_ROUTING_ALLOWEDVERSIONS_H
#define BAMBOOGAP_ROUTING_ALLOWEDVERSIONS_H

#include <cstdint>
#include <string_view>

namespace bamboogap {

struct AllowedVersions
{
    enum class Rule : uint8_t { Any, Only, Except };

    Rule rule = Rule::Any;
    std::string_view version; // not owned; unused by Any

    bool allows(std::string_view softwareVersion) const
    {
        return rule == Rule::Any || (softwareVersion == version) == (rule == Rule::Only);
    }
    bool operator==(const AllowedVersions &) const = default;
};

} // namespace bamboogap

#endif
