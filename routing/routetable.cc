// Validation of route tables, and lookups in them.

#include "routing/routetable.h"

#include <algorithm>
#include <set>
#include <span>

#include <fmt/format.h>

namespace bamboogap {

namespace {

tl::unexpected<Error> invalid(std::string message, std::string remedy)
{
    return failure(ErrorKind::InvalidRequest, std::move(message), std::move(remedy));
}

uint64_t totalWeight(const Route &route)
{
    uint64_t total = 0;
    for (const RouteTarget &target : route.targets)
        total += target.weight;
    return total;
}

Result<void> checkRoute(const Route &route, const std::set<std::string> &services)
{
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        return invalid(fmt::format("route '{}': the prefix '{}' has to begin and end with a slash",
                                   route.name, route.prefix),
                       "add the slash");
    }
    if (route.timeout <= Duration::zero())
        return invalid(fmt::format("route '{}': the timeout is 0", route.name), "set a timeout");
    if (totalWeight(route) == 0) {
        return invalid(fmt::format("route '{}': the weights add up to 0", route.name),
                       "give at least one service a weight");
    }
    for (const RouteTarget &target : route.targets) {
        if (services.count(target.service) == 0) {
            return invalid(
                    fmt::format("route '{}': there is no service '{}'", route.name, target.service),
                    "define the service or correct its name");
        }
    }
    return {};
}

} // namespace

Result<RouteTable> RouteTable::build(Content content)
{
    RouteTable table;
    std::set<std::string> services;
    for (size_t i = 0; i < content.services.size(); ++i) {
        const std::string &name = content.services[i].name;
        if (!services.insert(name).second)
            return invalid(fmt::format("service '{}' is defined twice", name), "keep one");
        table.servicesByName_[name] = i;
    }
    std::set<std::pair<std::string, std::string>> hostPrefixes;
    for (size_t i = 0; i < content.routes.size(); ++i) {
        const Route &route = content.routes[i];
        if (auto checked = checkRoute(route, services); !checked)
            return tl::unexpected(checked.error());
        if (!hostPrefixes.emplace(route.host, route.prefix).second) {
            return invalid(fmt::format("route '{}': another route has host '{}' and prefix '{}'",
                                       route.name, route.host, route.prefix),
                           "give one of them another prefix");
        }
        table.routesByHost_[route.host].push_back(i);
    }
    for (auto &[host, indexes] : table.routesByHost_) {
        std::sort(indexes.begin(), indexes.end(), [&](size_t a, size_t b) {
            return content.routes[a].prefix.size() > content.routes[b].prefix.size();
        });
    }
    std::span<const Workspace> workspaces;
    if (content.workspaces)
        workspaces = *content.workspaces;
    for (size_t i = 0; i < workspaces.size(); ++i) {
        for (const std::string &key : workspaces[i].keys) {
            const auto [known, added] = table.workspacesByKey_.emplace(key, i);
            if (!added && known->second != i) {
                return invalid(fmt::format("workspaces '{}' and '{}' share a key",
                                           workspaces[known->second].name, workspaces[i].name),
                               "give each workspace keys of its own");
            }
        }
    }
    table.content_ = std::move(content);
    return table;
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto found = routesByHost_.find(host);
    if (found == routesByHost_.end())
        return nullptr;
    for (const size_t index : found->second) {
        const Route &route = content_.routes[index];
        if (path.substr(0, route.prefix.size()) == route.prefix)
            return &route;
    }
    return nullptr;
}

const ServiceProfile *RouteTable::service(std::string_view name) const
{
    const auto found = servicesByName_.find(name);
    return found == servicesByName_.end() ? nullptr : &content_.services[found->second];
}

const Workspace *RouteTable::workspaceOfKey(std::string_view key) const
{
    if (key.empty())
        return nullptr;
    const auto found = workspacesByKey_.find(std::string(key));
    return found == workspacesByKey_.end() ? nullptr : &(*content_.workspaces)[found->second];
}

const RouteTarget &targetAt(const Route &route, double point)
{
    double remaining = point * static_cast<double>(totalWeight(route));
    for (const RouteTarget &target : route.targets) {
        remaining -= target.weight;
        if (remaining < 0)
            return target;
    }
    return route.targets.back();
}

} // namespace bamboogap
