// Writes log lines with fmt; values are quoted only where they need it.

#include "base/log.h"

#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboogap {
namespace detail {

struct LogConfiguration
{
    LogForm form = LogForm::KeyValue;
    LogLevel least = LogLevel::Info;
    std::string node = "-";
};

static LogConfiguration &logConfiguration()
{
    static LogConfiguration configuration;
    return configuration;
}

static std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

static std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto millis
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
            % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis);
}

static bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n\t\\") != std::string_view::npos;
}

static std::string quoted(const std::string &value)
{
    if (!needsQuotes(value))
        return value;
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace detail

void configureLog(LogForm form, LogLevel least, std::string node)
{
    detail::logConfiguration() = { form, least, std::move(node) };
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const detail::LogConfiguration &configuration = detail::logConfiguration();
    if (level < configuration.least)
        return;
    if (configuration.form == LogForm::Json) {
        nlohmann::ordered_json line { { "time", detail::timestamp() },
                                      { "level", detail::levelName(level) },
                                      { "node", configuration.node },
                                      { "event", event } };
        for (const LogField &field : fields)
            line[std::string(field.key)] = field.value;
        fmt::print(stderr, "{}\n",
                   line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        return;
    }
    std::string line = fmt::format("{} level={} node={} event={}", detail::timestamp(),
                                   detail::levelName(level), configuration.node, event);
    for (const LogField &field : fields)
        line += fmt::format(" {}={}", field.key, detail::quoted(field.value));
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace bamboogap
