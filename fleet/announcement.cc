// Parses announcements and enforces a limit on every field.

#include "fleet/announcement.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "base/hash.h"
#include "base/jsontext.h"

namespace bamboogap {

namespace {

using nlohmann::json;

constexpr size_t kMaxTextLength = 200;
constexpr size_t kMaxOffers = 64;
constexpr uint32_t kMaxCapacity = 60000;

tl::unexpected<Error> invalidField(std::string_view field, std::string_view expected)
{
    return failure(ErrorKind::InvalidRequest,
                   fmt::format("announcement field '{}' is not {}", field, expected),
                   fmt::format("announce '{}' as {}", field, expected));
}

bool readText(const json &object, const char *field, std::string &target)
{
    if (!object.contains(field))
        return true;
    if (!object[field].is_string())
        return false;
    target = object[field].get<std::string>();
    return target.size() <= kMaxTextLength;
}

bool readNumber(const json &object, const char *field, uint64_t &target)
{
    if (!object.contains(field))
        return true;
    if (!object[field].is_number_unsigned())
        return false;
    target = object[field].get<uint64_t>();
    return true;
}

bool readFlag(const json &object, const char *field, bool &target)
{
    if (!object.contains(field))
        return true;
    if (!object[field].is_boolean())
        return false;
    target = object[field].get<bool>();
    return true;
}

bool isAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon + 1 == text.size())
        return false;
    const std::string_view port = text.substr(colon + 1);
    return port.size() <= 5 && port.find_first_not_of("0123456789") == std::string_view::npos;
}

Result<void> readOffers(const json &object, std::vector<Offer> &offers)
{
    const json list = object.value("models", json::array());
    if (!list.is_array() || list.size() > kMaxOffers)
        return invalidField("models", fmt::format("a list of at most {} objects", kMaxOffers));
    for (const json &item : list) {
        Offer offer;
        if (!item.is_object() || !readText(item, "model", offer.model)
            || !readText(item, "adapter", offer.adapter)
            || !readText(item, "version", offer.version) || offer.model.empty())
            return invalidField("models", "objects with model, adapter and version as strings");
        offers.push_back(std::move(offer));
    }
    return {};
}

Result<void> readRepeatable(const json &object, std::vector<RepeatableCall> &calls)
{
    const json list = object.value("repeatable", json::array());
    if (!list.is_array() || list.size() > kMaxOffers)
        return invalidField("repeatable", "a list of objects with method and path");
    for (const json &item : list) {
        RepeatableCall call;
        if (!item.is_object() || !readText(item, "method", call.method)
            || !readText(item, "path", call.prefix) || call.method.empty() || call.prefix.empty()
            || call.prefix.front() != '/')
            return invalidField("repeatable", "a list of objects with method and path");
        calls.push_back(std::move(call));
    }
    return {};
}

} // namespace

EndpointKey endpointKey(std::string_view endpointId)
{
    return hashBytes(endpointId);
}

std::string Announcement::poolName() const
{
    if (kind == EndpointKind::Service)
        return "service/" + service;
    std::set<std::string> models;
    for (const Offer &offer : offers)
        models.insert(offer.model);
    return fmt::format("model/{}", fmt::join(models, "+"));
}

bool Announcement::offersModel(std::string_view model) const
{
    return std::any_of(offers.begin(), offers.end(),
                       [model](const Offer &offer) { return offer.model == model; });
}

json toJson(const Announcement &announcement)
{
    json models = json::array();
    for (const Offer &offer : announcement.offers) {
        models.push_back({ { "model", offer.model },
                           { "adapter", offer.adapter },
                           { "version", offer.version } });
    }
    json repeatable = json::array();
    for (const RepeatableCall &call : announcement.repeatable)
        repeatable.push_back({ { "method", call.method }, { "path", call.prefix } });
    return { { "id", announcement.id },
             { "incarnation", announcement.incarnation },
             { "sequence", announcement.sequence },
             { "data_centre", announcement.dataCentre },
             { "address", announcement.address },
             { "kind", announcement.kind == EndpointKind::Engine ? "engine" : "service" },
             { "models", models },
             { "service", announcement.service },
             { "repeatable", repeatable },
             { "capacity", announcement.capacity },
             { "cold_capacity", announcement.coldCapacity },
             { "cold", announcement.cold },
             { "leaving", announcement.leaving },
             { "checks_fencing", announcement.checksFencing },
             { "echoes_request_id", announcement.echoesRequestId },
             { "resumes", announcement.resumes } };
}

Result<Announcement> parseAnnouncement(const json &value)
{
    if (!value.is_object())
        return invalidField("body", "a JSON object");
    Announcement announcement;
    if (!readText(value, "id", announcement.id) || announcement.id.empty())
        return invalidField("id", "a string that names the endpoint");
    if (!readNumber(value, "incarnation", announcement.incarnation)
        || announcement.incarnation == 0)
        return invalidField("incarnation", "a whole number above 0 that grows with each start");
    if (!readNumber(value, "sequence", announcement.sequence))
        return invalidField("sequence", "a whole number that grows with each change");
    if (!readText(value, "data_centre", announcement.dataCentre) || announcement.dataCentre.empty())
        return invalidField("data_centre", "the name of its data centre");
    if (!readText(value, "address", announcement.address) || !isAddress(announcement.address))
        return invalidField("address", "host:port");
    std::string kind = "engine";
    if (!readText(value, "kind", kind) || (kind != "engine" && kind != "service"))
        return invalidField("kind", "\"engine\" or \"service\"");
    announcement.kind = kind == "engine" ? EndpointKind::Engine : EndpointKind::Service;
    if (auto offers = readOffers(value, announcement.offers); !offers)
        return tl::unexpected(offers.error());
    if (auto calls = readRepeatable(value, announcement.repeatable); !calls)
        return tl::unexpected(calls.error());
    if (!readText(value, "service", announcement.service))
        return invalidField("service", "the name of the service");
    if (announcement.kind == EndpointKind::Engine && announcement.offers.empty())
        return invalidField("models", "at least one model for an engine");
    if (announcement.kind == EndpointKind::Service && announcement.service.empty())
        return invalidField("service", "the name of the service");
    uint64_t capacity = 1;
    uint64_t coldCapacity = 1;
    if (!readNumber(value, "capacity", capacity) || capacity < 1 || capacity > kMaxCapacity)
        return invalidField("capacity", fmt::format("a whole number from 1 to {}", kMaxCapacity));
    if (!readNumber(value, "cold_capacity", coldCapacity) || coldCapacity < 1
        || coldCapacity > capacity)
        return invalidField("cold_capacity", "a whole number from 1 to capacity");
    announcement.capacity = static_cast<uint32_t>(capacity);
    announcement.coldCapacity = static_cast<uint32_t>(coldCapacity);
    for (const auto &[field, flag] :
         { std::pair { "cold", &announcement.cold }, std::pair { "leaving", &announcement.leaving },
           std::pair { "checks_fencing", &announcement.checksFencing },
           std::pair { "echoes_request_id", &announcement.echoesRequestId },
           std::pair { "resumes", &announcement.resumes } }) {
        if (!readFlag(value, field, *flag))
            return invalidField(field, "true or false");
    }
    return announcement;
}

LoadReport parseLoadReport(const json &value)
{
    LoadReport report;
    uint64_t running = 0;
    uint64_t waiting = 0;
    const json load = value.is_object() ? value.value("load", json::object()) : json::object();
    if (load.is_object() && readNumber(load, "running", running)
        && readNumber(load, "waiting", waiting)) {
        report.running = static_cast<uint32_t>(std::min<uint64_t>(running, kMaxCapacity));
        report.waiting = static_cast<uint32_t>(std::min<uint64_t>(waiting, kMaxCapacity));
    }
    return report;
}

uint64_t digestOf(const Announcement &announcement)
{
    return hashBytes(jsonText(toJson(announcement)));
}

bool supersedes(const Announcement &candidate, const Announcement &known)
{
    if (candidate.incarnation != known.incarnation)
        return candidate.incarnation > known.incarnation;
    return candidate.sequence > known.sequence;
}

} // namespace bamboogap
