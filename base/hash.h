// Hashing by xxHash: checksums, rendezvous weights and fingerprints.

#ifndef BAMBOOGAP_BASE_HASH_H
#define BAMBOOGAP_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace bamboogap {

// XXH3 64-bit hash of the bytes; the same on every machine.
uint64_t hashBytes(std::string_view bytes, uint64_t seed = 0);

// Mixes two hashes into one; not commutative.
uint64_t combineHashes(uint64_t first, uint64_t second);

// Weighted rendezvous score of a key for a node: the node with the highest
// score wins, and a node wins a share of the keys proportional to its weight.
// The weight must be greater than 0.
double rendezvousScore(uint64_t key, uint64_t node, double weight);

} // namespace bamboogap

#endif
