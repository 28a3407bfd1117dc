// A router's estimate of the contents of an endpoint's prefix cache.
//
// The estimate follows from the prompts that were sent to the endpoint: it keeps the parts
// of a prompt that it has prefilled until others evict them. Beyond the endpoint's capacity
// the least recently used parts are dropped, as engines do.

#ifndef BAMBOOGAP_ROUTING_PREFIXCACHE_H
#define BAMBOOGAP_ROUTING_PREFIXCACHE_H

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "fleet/placementlog.h"

namespace bamboogap {

// One part of a prompt, in order. Two prompts share cached parts as far as they begin with
// equal parts.
struct PrefixPart
{
    uint64_t id = 0;
    uint32_t tokens = 0;

    bool operator==(const PrefixPart &) const = default;
};

// The id of the prompt's last shared part. The last part belongs to the request itself, so
// this is the last but one; of a prompt with one part it is that part.
uint64_t affinityKey(std::span<const PrefixPart> prompt);

// The parts, each with a hash of itself and all parts before it.
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

    // Records that the endpoint prefills the prompt.
    void insert(std::span<const ChainPart> prompt);

    // Number of tokens at the start of the prompt that are estimated to be cached.
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
