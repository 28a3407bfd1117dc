// A delta consists of a Header and compressed steps. A step is: the number of inserted bytes,
// these bytes, the length of a range copied from the base, and its offset unless the length is
// 0. Numbers are varints: base 128, least significant group first.
//
// Blocks of the base at multiples of kBlockBytes are indexed by their hash. The target is
// searched for such blocks at every offset; a match is extended in both directions.

#include "base/delta.h"

#include <algorithm>
#include <cstring>
#include <optional>
#include <unordered_map>

#include "base/compress.h"
#include "base/hash.h"

namespace bamboogap {

namespace {

constexpr size_t kBlockBytes = 32;

struct Header
{
    uint64_t baseHash = 0;
    uint64_t targetHash = 0;
    uint64_t targetBytes = 0;
};

void appendVarint(std::string &out, uint64_t value)
{
    for (; value >= 0x80; value >>= 7)
        out += static_cast<char>(0x80 | (value & 0x7f));
    out += static_cast<char>(value);
}

std::optional<uint64_t> consumeVarint(std::string_view &in)
{
    constexpr unsigned kMaxShift = 63;
    uint64_t value = 0;
    for (unsigned shift = 0; shift <= kMaxShift && !in.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(in.front());
        in.remove_prefix(1);
        value |= uint64_t { byte & 0x7fU } << shift;
        if (byte < 0x80)
            return value;
    }
    return std::nullopt;
}

std::unordered_map<uint64_t, size_t> indexBlocks(std::string_view base)
{
    std::unordered_map<uint64_t, size_t> blocks;
    blocks.reserve(base.size() / kBlockBytes);
    for (size_t offset = 0; offset + kBlockBytes <= base.size(); offset += kBlockBytes)
        blocks.emplace(hashBytes(base.substr(offset, kBlockBytes)), offset);
    return blocks;
}

size_t commonPrefix(std::string_view left, std::string_view right)
{
    const size_t maxLength = std::min(left.size(), right.size());
    size_t length = 0;
    while (length < maxLength && left[length] == right[length])
        ++length;
    return length;
}

size_t commonSuffix(std::string_view left, std::string_view right)
{
    const size_t maxLength = std::min(left.size(), right.size());
    size_t length = 0;
    while (length < maxLength && left[left.size() - 1 - length] == right[right.size() - 1 - length])
        ++length;
    return length;
}

tl::unexpected<Error> invalidDelta()
{
    return failure(ErrorKind::StorageDamaged,
                   "the delta is corrupt or was made from another base text",
                   "fetch the full text");
}

} // namespace

std::string makeDelta(std::string_view base, std::string_view target)
{
    const auto blocks = indexBlocks(base);
    std::string steps;
    size_t written = 0; // bytes of the target that the steps so far produce
    const auto addStep = [&](size_t copyAt, size_t copyFrom, size_t length) {
        appendVarint(steps, copyAt - written);
        steps += target.substr(written, copyAt - written);
        appendVarint(steps, length);
        if (length > 0)
            appendVarint(steps, copyFrom);
        written = copyAt + length;
    };
    // Most changes leave the start of the document as it was; one range covers it.
    size_t position = commonPrefix(base, target);
    if (position >= kBlockBytes)
        addStep(0, 0, position);
    else
        position = 0;
    while (position + kBlockBytes <= target.size()) {
        const auto found = blocks.find(hashBytes(target.substr(position, kBlockBytes)));
        if (found == blocks.end()
            || base.substr(found->second, kBlockBytes) != target.substr(position, kBlockBytes)) {
            ++position;
            continue;
        }
        const size_t from = found->second;
        const size_t back
                = commonSuffix(base.substr(0, from), target.substr(written, position - written));
        const size_t forward = commonPrefix(base.substr(from), target.substr(position));
        addStep(position - back, from - back, back + forward);
        position = written;
    }
    if (written < target.size())
        addStep(target.size(), 0, 0);
    const Header header { hashBytes(base), hashBytes(target), target.size() };
    std::string delta(sizeof header, '\0');
    std::memcpy(delta.data(), &header, sizeof header);
    return delta + compress(steps);
}

Result<std::string> applyDelta(std::string_view base, std::string_view delta, size_t maxBytes)
{
    Header header;
    if (delta.size() < sizeof header)
        return invalidDelta();
    std::memcpy(&header, delta.data(), sizeof header);
    if (header.targetBytes > maxBytes || header.baseHash != hashBytes(base))
        return invalidDelta();
    // The steps take a few bytes each in addition to the inserted ones.
    const auto steps = decompress(delta.substr(sizeof header), 2 * maxBytes);
    if (!steps)
        return invalidDelta();
    std::string target;
    target.reserve(header.targetBytes);
    for (std::string_view rest = *steps; !rest.empty();) {
        const auto added = consumeVarint(rest);
        if (!added || *added > rest.size() || target.size() + *added > header.targetBytes)
            return invalidDelta();
        target += rest.substr(0, *added);
        rest.remove_prefix(*added);
        const auto length = consumeVarint(rest);
        if (!length || target.size() + *length > header.targetBytes)
            return invalidDelta();
        if (*length == 0)
            continue;
        const auto from = consumeVarint(rest);
        if (!from || *from > base.size() || *length > base.size() - *from)
            return invalidDelta();
        target += base.substr(*from, *length);
    }
    if (target.size() != header.targetBytes || hashBytes(target) != header.targetHash)
        return invalidDelta();
    return target;
}

} // namespace bamboogap
