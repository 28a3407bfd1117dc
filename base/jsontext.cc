#include "base/jsontext.h"

#include <nlohmann/json.hpp>

namespace bamboogap {

using nlohmann::json;

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

} // namespace bamboogap
