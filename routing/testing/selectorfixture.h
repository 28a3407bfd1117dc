// Test fixture: a service of engines, and the endpoint selector of one router.

#ifndef BAMBOOGAP_ROUTING_TESTING_SELECTORFIXTURE_H
#define BAMBOOGAP_ROUTING_TESTING_SELECTORFIXTURE_H

#include <set>
#include <string>
#include <vector>

#include "routing/endpointselector.h"

namespace bamboogap::testing {

inline const Instant kStart { std::chrono::seconds(1000) };

inline RouteTable::Content content()
{
    RouteTable::Content made;
    made.version = 3;
    made.services = { { "engines", "/healthz", 100, std::chrono::seconds(3), 10,
                        EngineProfile { 8, 100000 } },
                      { "plain", "/healthz", 100, {}, 0, std::nullopt } };
    Route route;
    route.name = "r1";
    route.host = "a.example";
    route.prefix = "/x/";
    route.timeout = std::chrono::seconds(1);
    route.targets = { { "plain", 1 } };
    made.routes.push_back(route);
    route.name = "r2";
    route.prefix = "/x/y/";
    route.targets = { { "engines", 3 }, { "plain", 1 } };
    made.routes.push_back(route);
    made.workspaces = { { "w1", { "k1", "k2" }, 1 }, { "w2", { "k3" }, std::nullopt } };
    return made;
}

// A service of engines, their roster, and the endpoint selector of one router.
struct SelectorFixture
{
    ReplicaRoster replicaRoster { 1, std::chrono::seconds(5) };
    MergedRoster merged;
    RouteTable table = *RouteTable::build(content());
    EndpointSelector selector;
    std::set<std::string> dataCentresOut;
    uint64_t version = 0;

    explicit SelectorFixture(int engines, Instant now = kStart)
    {
        for (int i = 0; i < engines; ++i)
            announce(i, now);
        refresh(now);
    }
    void announce(int i, Instant now, uint32_t warmupMillis = 0, int64_t startMillis = 0,
                  const std::string &version = {})
    {
        EndpointRecord record;
        record.id = "e" + std::to_string(i);
        record.startMillis = startMillis;
        record.sequence = ++sequence;
        record.service = "engines";
        record.address = "10.0.0." + std::to_string(i + 1) + ":80";
        record.dataCentre = i % 2 == 0 ? "dc1" : "dc2";
        record.slots = 8;
        record.warmupLeftMillis = warmupMillis;
        record.models = { { "m", 1 } };
        record.softwareVersion = version;
        replicaRoster.heartbeat(record, now);
    }
    void refresh(Instant now)
    {
        const auto changes = replicaRoster.changesSince(1, version, now);
        version = changes.version;
        merged.apply("r", changes, now);
        selector.update(merged, dataCentresOut, &table, now);
    }
    PlacementRequest request(std::span<const ChainPart> prompt) const
    {
        PlacementRequest made;
        made.service = "engines";
        made.model = "m";
        made.prompt = prompt;
        for (const ChainPart &part : prompt)
            made.promptTokens += part.tokens;
        if (prompt.size() > 1)
            made.affinity = prompt[prompt.size() - 2].chain;
        made.dataCentre = "dc1";
        return made;
    }
    std::string idOf(EndpointKey key) const { return selector.find(key)->id; }

    uint64_t sequence = 0;
};

inline std::vector<ChainPart> prompt(uint64_t document, uint64_t own)
{
    const std::vector<PrefixPart> parts { { 1, 500 }, { document, 10000 }, { own, 300 } };
    return chainOf(parts);
}

} // namespace bamboogap::testing

#endif
