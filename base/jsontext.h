// JSON as text that may come from other processes.

#ifndef BAMBOOGAP_BASE_JSONTEXT_H
#define BAMBOOGAP_BASE_JSONTEXT_H

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace bamboogap {

// Serializes a value. Bytes that are not UTF-8 are replaced by U+FFFD: json::dump() throws at
// them by default. No line breaks if `indent` is negative.
std::string jsonText(const nlohmann::json &value, int indent = -1);

bool isUtf8(std::string_view text);

} // namespace bamboogap

#endif
