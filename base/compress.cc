#include "base/compress.h"

#include <cstring>

#include <zlib.h>

namespace bamboogap {

namespace {

// Fast, since small machines compress; a route document shrinks by a factor of six
// or more at any level.
constexpr int kLevel = 1;

tl::unexpected<Error> damaged()
{
    return failure(ErrorKind::StorageDamaged, "a compressed text cannot be read",
                   "if it came from disk, move the data folder away and join again");
}

} // namespace

std::string compress(std::string_view text)
{
    const uint64_t length = text.size();
    uLongf size = compressBound(text.size());
    std::string bytes(sizeof length + size, '\0');
    std::memcpy(bytes.data(), &length, sizeof length);
    // Cannot fail: the room is compressBound() and the level is valid.
    compress2(reinterpret_cast<Bytef *>(bytes.data() + sizeof length), &size,
              reinterpret_cast<const Bytef *>(text.data()), text.size(), kLevel);
    bytes.resize(sizeof length + size);
    return bytes;
}

Result<std::string> decompress(std::string_view bytes, size_t mostBytes)
{
    uint64_t length = 0;
    if (bytes.size() < sizeof length)
        return damaged();
    std::memcpy(&length, bytes.data(), sizeof length);
    if (length > mostBytes)
        return damaged();
    std::string text(length, '\0');
    uLongf size = length;
    const int status = uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                                  reinterpret_cast<const Bytef *>(bytes.data() + sizeof length),
                                  bytes.size() - sizeof length);
    if (status != Z_OK || size != length)
        return damaged();
    return text;
}

} // namespace bamboogap
