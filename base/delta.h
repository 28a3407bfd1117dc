// Binary deltas between two versions of a text: ranges copied from the older version and
// inserted bytes.
//
// Intended for documents of some hundred kilobytes that change in a few places; both
// functions make one pass over the texts.

#ifndef BAMBOOGAP_BASE_DELTA_H
#define BAMBOOGAP_BASE_DELTA_H

#include <string>
#include <string_view>

#include "base/error.h"

namespace bamboogap {

// Returns a compressed delta that turns `base` into `target`.
std::string makeDelta(std::string_view base, std::string_view target);

// Returns the target that the delta was made for. Returns StorageDamaged if `delta` is not
// valid output of makeDelta() for this base, or if the target is longer than maxBytes.
Result<std::string> applyDelta(std::string_view base, std::string_view delta,
                               size_t maxBytes = 64 << 20);

} // namespace bamboogap

#endif
