#include "routing/reportedload.h"

#include <array>
#include <charconv>

#include <fmt/format.h>

namespace bamboogap {

namespace {

constexpr size_t kFigures = 4;

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}

bool parseFigure(std::string_view text, uint32_t &figure)
{
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, figure);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

} // namespace

Result<ReportedLoad> parseReportedLoad(std::string_view text)
{
    constexpr size_t kShownBytes = 80;
    const auto malformed = [text] {
        return failure(ErrorKind::InvalidRequest,
                       fmt::format("the load figures could not be read: '{}'",
                                   text.substr(0, kShownBytes)),
                       "report running and waiting requests, slots and optionally percent");
    };
    std::array<uint32_t, kFigures> figures { 0, 0, 0, 100 };
    size_t count = 0;
    std::string_view rest = text;
    for (bool more = true; more; ++count) {
        const size_t comma = rest.find(',');
        more = comma != std::string_view::npos;
        if (count == kFigures || !parseFigure(trimmed(rest.substr(0, comma)), figures[count]))
            return malformed();
        if (more)
            rest.remove_prefix(comma + 1);
    }
    const ReportedLoad load { figures[0], figures[1], figures[2], figures[3] };
    if (count + 1 < kFigures || load.slots == 0 || load.slots > ReportedLoad::kMaxRequests
        || load.running > load.slots || load.waiting > ReportedLoad::kMaxRequests
        || load.percent == 0 || load.percent > ReportedLoad::kMaxPercent)
        return malformed();
    return load;
}

} // namespace bamboogap
