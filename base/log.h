// Structured log lines on standard error, one event a line.
//
//   logEvent(LogLevel::Info, "placement", {{"request", id}, {"endpoint", name}});
//
// The form is key=value or JSON by setting.

#ifndef BAMBOOGAP_BASE_LOG_H
#define BAMBOOGAP_BASE_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace bamboogap {

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogForm { KeyValue, Json };

struct LogField
{
    std::string_view key;
    std::string value;
};

// Sets the form, the least level that is written and the name of this node.
void configureLog(LogForm form, LogLevel least, std::string node);

// Writes one line: time, level, node, event, then the fields in order.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace bamboogap

#endif
