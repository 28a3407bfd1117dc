// What a router believes each endpoint's prefix cache to hold.
//
// Beliefs come from the requests that this router sent: an endpoint that read a
// prompt keeps its parts until others push them out. The oldest beliefs are
// dropped beyond the endpoint's capacity, as engines evict the least recently used
// parts first.

#ifndef BAMBOOGAP_ROUTING_PREFIXCACHE_H
#define BAMBOOGAP_ROUTING_PREFIXCACHE_H

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "fleet/placementlog.h"

namespace bamboogap {

// One part of a prompt, in order; equal parts after equal parts share cache.
struct PrefixPart
{
    uint64_t id = 0;
    uint32_t tokens = 0;

    bool operator==(const PrefixPart &) const = default;
};

// The key of the prompt's most specific shared part: the last part belongs to the
// request itself, so it is the last but one. With a single part it is that part.
uint64_t affinityKey(std::span<const PrefixPart> prompt);

// The parts with the hashes that stand for them and all before.
std::vector<ChainPart> chainOf(std::span<const PrefixPart> prompt);

class PrefixCache
{
public:
    PrefixCache() = default;
    explicit PrefixCache(uint64_t capacityTokens)
        : capacityTokens_(capacityTokens)
    {
    }

    void setCapacity(uint64_t tokens) { capacityTokens_ = tokens; }

    // The endpoint has begun to read the prompt.
    void insert(std::span<const ChainPart> prompt);

    // Tokens at the start of the prompt that are believed to be cached.
    uint32_t cachedTokens(std::span<const ChainPart> prompt) const;

    void clear();
    uint64_t tokens() const { return tokens_; }

private:
    void evict();

    uint64_t capacityTokens_ = 0;
    uint64_t tokens_ = 0;
    std::list<ChainPart> parts_; // most recently used first
    std::unordered_map<uint64_t, std::list<ChainPart>::iterator> byChain_;
};

} // namespace bamboogap

#endif
