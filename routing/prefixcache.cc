// A part is identified by a hash of itself and all parts before it, so it is found only
// after the same preceding parts.

#include "routing/prefixcache.h"

#include "base/hash.h"

namespace bamboogap {

uint64_t affinityKey(std::span<const PrefixPart> prompt)
{
    if (prompt.empty())
        return 0;
    return prompt.size() == 1 ? prompt[0].id : prompt[prompt.size() - 2].id;
}

std::vector<ChainPart> chainOf(std::span<const PrefixPart> prompt)
{
    std::vector<ChainPart> parts;
    parts.reserve(prompt.size());
    uint64_t chain = 0;
    for (const PrefixPart &part : prompt) {
        chain = combineHashes(chain, part.id);
        parts.push_back({ chain, part.tokens });
    }
    return parts;
}

void PrefixCache::insert(std::span<const ChainPart> prompt)
{
    for (const ChainPart &part : prompt) {
        const auto found = byChain_.find(part.chain);
        if (found != byChain_.end()) {
            parts_.splice(parts_.begin(), parts_, found->second);
            continue;
        }
        parts_.push_front(part);
        byChain_[part.chain] = parts_.begin();
        tokens_ += part.tokens;
    }
    evict();
}

uint32_t PrefixCache::cachedTokens(std::span<const ChainPart> prompt) const
{
    uint32_t cached = 0;
    for (const ChainPart &part : prompt) {
        if (byChain_.count(part.chain) == 0)
            break;
        cached += part.tokens;
    }
    return cached;
}

void PrefixCache::clear()
{
    parts_.clear();
    byChain_.clear();
    tokens_ = 0;
}

void PrefixCache::evict()
{
    while (tokens_ > capacityTokens_ && !parts_.empty()) {
        tokens_ -= parts_.back().tokens;
        byChain_.erase(parts_.back().chain);
        parts_.pop_back();
    }
}

} // namespace bamboogap
