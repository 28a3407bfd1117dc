#include "ctl/report.h"

#include <algorithm>
#include <map>
#include <vector>

#include <fmt/format.h>

#include "base/jsontext.h"

namespace bamboogap {

namespace {

using nlohmann::json;

std::string formatValue(const json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    return jsonText(value);
}

bool isTable(const json &value)
{
    return value.is_array() && !value.empty()
            && std::all_of(value.begin(), value.end(),
                           [](const json &row) { return row.is_object(); });
}

std::string formatTable(const json &rows, const std::string &indent)
{
    std::vector<std::string> columns;
    std::map<std::string, size_t> widths;
    for (const auto &item : rows.front().items()) {
        columns.push_back(item.key());
        widths[item.key()] = item.key().size();
    }
    for (const json &row : rows) {
        for (const std::string &column : columns)
            widths[column]
                    = std::max(widths[column], formatValue(row.value(column, json(""))).size());
    }
    std::string text = indent;
    for (const std::string &column : columns)
        text += fmt::format("{:<{}}  ", column, widths[column]);
    text += '\n';
    for (const json &row : rows) {
        text += indent;
        for (const std::string &column : columns)
            text += fmt::format("{:<{}}  ", formatValue(row.value(column, json(""))),
                                widths[column]);
        text += '\n';
    }
    return text;
}

std::string formatFields(const json &value, const std::string &indent)
{
    std::string text;
    for (const auto &item : value.items()) {
        const json &field = item.value();
        if (isTable(field))
            text += fmt::format("{}{}:\n{}", indent, item.key(), formatTable(field, indent + "  "));
        else if (field.is_object() && !field.empty())
            text += fmt::format("{}{}:\n{}", indent, item.key(),
                                formatFields(field, indent + "  "));
        else
            text += fmt::format("{}{}: {}\n", indent, item.key(), formatValue(field));
    }
    return text;
}

} // namespace

std::string formatAsText(const json &value)
{
    if (value.is_object())
        return formatFields(value, "");
    return formatValue(value) + "\n";
}

} // namespace bamboogap
