#include "base/compress.h"

#include <cstring>

#include <zlib.h>

namespace bamboogap {

namespace {

// The fastest level, because small machines compress too; a route document shrinks by a
// factor of six or more at any level.
constexpr int kCompressionLevel = 1;

tl::unexpected<Error> corruptInput()
{
    return failure(ErrorKind::StorageDamaged,
                   "compressed data is corrupt or exceeds the size limit",
                   "if it was read from disk, move the data folder away and join again");
}

} // namespace

std::string compress(std::string_view text)
{
    const uint64_t length = text.size();
    uLongf size = compressBound(text.size());
    std::string bytes(sizeof length + size, '\0');
    std::memcpy(bytes.data(), &length, sizeof length);
    // Cannot fail: the buffer has compressBound() bytes and the level is valid.
    compress2(reinterpret_cast<Bytef *>(bytes.data() + sizeof length), &size,
              reinterpret_cast<const Bytef *>(text.data()), text.size(), kCompressionLevel);
    bytes.resize(sizeof length + size);
    return bytes;
}

Result<std::string> decompress(std::string_view bytes, size_t maxBytes)
{
    uint64_t length = 0;
    if (bytes.size() < sizeof length)
        return corruptInput();
    std::memcpy(&length, bytes.data(), sizeof length);
    if (length > maxBytes)
        return corruptInput();
    std::string text(length, '\0');
    uLongf size = length;
    const int status = uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                                  reinterpret_cast<const Bytef *>(bytes.data() + sizeof length),
                                  bytes.size() - sizeof length);
    if (status != Z_OK || size != length)
        return corruptInput();
    return text;
}

} // namespace bamboogap
