// Compression of large texts by zlib, for the log and the network.

#ifndef BAMBOOGAP_BASE_COMPRESS_H
#define BAMBOOGAP_BASE_COMPRESS_H

#include <string>
#include <string_view>

#include "base/error.h"

namespace bamboogap {

// The text with its length, deflated.
std::string compress(std::string_view text);

// StorageDamaged if the bytes are nothing that compress() made, or stand for more
// than mostBytes.
Result<std::string> decompress(std::string_view bytes, size_t mostBytes = 64 << 20);

} // namespace bamboogap

#endif
