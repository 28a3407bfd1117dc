// Formats the JSON responses to operators as human-readable text.

#ifndef BAMBOOGAP_CTL_REPORT_H
#define BAMBOOGAP_CTL_REPORT_H

#include <string>

#include <nlohmann/json.hpp>

namespace bamboogap {

// Formats an object as indented "key: value" lines, with each non-empty array of objects
// as a table whose columns are the keys of its first row. Other values become one line.
std::string formatAsText(const nlohmann::json &value);

} // namespace bamboogap

#endif
