// xxHash functions for checksums, fingerprints and rendezvous hashing.

#ifndef BAMBOOGAP_BASE_HASH_H
#define BAMBOOGAP_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace bamboogap {

// 64-bit XXH3 hash of the bytes; the same on every machine.
uint64_t hashBytes(std::string_view bytes, uint64_t seed = 0);

// Combines two hashes into one; the order of the arguments matters.
uint64_t combineHashes(uint64_t first, uint64_t second);

// Weighted rendezvous (highest random weight) score of a key for a node. A key belongs to
// the node with the highest score, so that each node gets a share of the keys proportional
// to its weight. The weight must be greater than 0.
double rendezvousScore(uint64_t key, uint64_t node, double weight);

} // namespace bamboogap

#endif
