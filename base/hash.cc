// Hashing by xxHash, and the weighted rendezvous score.
//
// The score of a node is -weight / ln(u) with u uniform in (0, 1) drawn from
// hash(key, node). The maximum over the nodes falls on each with probability
// weight / sum of weights, and removing a node moves only that node's keys.

#include "base/hash.h"

#include <cmath>

// Inlined, since placement hashes every endpoint of a pool for each chat.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bamboogap {

uint64_t hashBytes(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t combineHashes(uint64_t first, uint64_t second)
{
    return XXH3_64bits_withSeed(&second, sizeof second, first);
}

double rendezvousScore(uint64_t key, uint64_t node, double weight)
{
    constexpr double kSteps = 9007199254740992.0; // 2^53, the doubles in [0, 1)
    const double uniform = (static_cast<double>(combineHashes(key, node) >> 11) + 0.5) / kSteps;
    return -weight / std::log(uniform);
}

} // namespace bamboogap
