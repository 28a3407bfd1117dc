// JSON as text that may come from other processes.

#ifndef BAMBOOGAP_BASE_JSONTEXT_H
#define BAMBOOGAP_BASE_JSONTEXT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"

namespace bamboogap {

// Serializes a value. Bytes that are not UTF-8 are replaced by U+FFFD: json::dump() throws at
// them by default. No line breaks if `indent` is negative.
std::string jsonText(const nlohmann::json &value, int indent = -1);

bool isUtf8(std::string_view text);

// Limits of a document that are checked before any of its values is built: a byte of text can
// become 60 bytes of values, and values are serialized recursively.
struct JsonLimits
{
    size_t bytes = SIZE_MAX;
    size_t depth = SIZE_MAX; // of arrays and objects within each other
    size_t values = SIZE_MAX; // keys included
};

// Of a document that describes one thing and is not serialized again.
inline constexpr JsonLimits kSmallJson { .bytes = 256 << 10 };

// Parses a document. Returns InvalidRequest if it exceeds a limit, which the message names, or is
// not valid JSON.
Result<nlohmann::json> parseJson(std::string_view text, const JsonLimits &limits);

} // namespace bamboogap

#endif
