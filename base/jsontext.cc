#include "base/jsontext.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboogap {

using nlohmann::json;

namespace {

// Upper bounds of what a text holds if it is JSON.
struct JsonSize
{
    size_t depth = 0;
    size_t values = 1;
};

JsonSize measure(std::string_view text)
{
    JsonSize size;
    size_t depth = 0;
    bool inString = false;
    for (size_t i = 0; i < text.size(); ++i) {
        const char byte = text[i];
        if (inString) {
            if (byte == '\\')
                ++i;
            else if (byte == '"')
                inString = false;
            continue;
        }
        switch (byte) {
        case '"':
            inString = true;
            break;
        case '[':
        case '{':
            size.depth = std::max(size.depth, ++depth);
            ++size.values;
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        case ',':
        case ':':
            ++size.values;
            break;
        }
    }
    return size;
}

tl::unexpected<Error> invalidDocument(std::string problem)
{
    return failure(ErrorKind::InvalidRequest, std::move(problem),
                   "correct the document and send it again");
}

} // namespace

std::string jsonText(const json &value, int indent)
{
    return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

bool isUtf8(std::string_view text)
{
    try {
        (void)json(text).dump(-1, ' ', false, json::error_handler_t::strict);
        return true;
    } catch (const json::type_error &) {
        return false;
    }
}

Result<json> parseJson(std::string_view text, const JsonLimits &limits)
{
    if (text.size() > limits.bytes)
        return invalidDocument(fmt::format("is longer than {} bytes", limits.bytes));
    const JsonSize size = measure(text);
    if (size.depth > limits.depth)
        return invalidDocument(fmt::format("is nested deeper than {} levels", limits.depth));
    if (size.values > limits.values)
        return invalidDocument(fmt::format("has more than {} values", limits.values));
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded())
        return invalidDocument("is not valid JSON");
    return value;
}

} // namespace bamboogap
