// zlib compression of large texts, for the replicated log and the network.

#ifndef BAMBOOGAP_BASE_COMPRESS_H
#define BAMBOOGAP_BASE_COMPRESS_H

#include <string>
#include <string_view>

#include "base/error.h"

namespace bamboogap {

// Returns the length of the text (8 bytes, native byte order) followed by its zlib stream.
std::string compress(std::string_view text);

// Reverses compress(). Returns StorageDamaged if `bytes` is not valid output of
// compress() or the text is longer than maxBytes.
Result<std::string> decompress(std::string_view bytes, size_t maxBytes = 64 << 20);

} // namespace bamboogap

#endif
