// The rendezvous score of a node is -weight / ln(u), where u is uniform in (0, 1) and
// derived from hash(key, node). Each node has the maximum with probability weight / sum of
// weights, and removing a node moves only the keys of that node.

#include "base/hash.h"

#include <cmath>

// Inlined because placement hashes every endpoint of a pool for each chat.
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
    // 2^53: the number of equally spaced doubles in [0, 1).
    constexpr double kSteps = 9007199254740992.0;
    const double uniform = (static_cast<double>(combineHashes(key, node) >> 11) + 0.5) / kSteps;
    return -weight / std::log(uniform);
}

} // namespace bamboogap
