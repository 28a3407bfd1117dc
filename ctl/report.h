// The operators' answers as text for people.

#ifndef BAMBOOGAP_CTL_REPORT_H
#define BAMBOOGAP_CTL_REPORT_H

#include <string>

#include <nlohmann/json.hpp>

namespace bamboogap {

// Objects as "key: value" lines, lists of objects as tables.
std::string describe(const nlohmann::json &value);

} // namespace bamboogap

#endif
