// JSON encoding of the operator lists and of changes. The parsers reject fields that are
// unknown, of another type or out of range.

#include "control/lists.h"

#include <array>
#include <utility>

#include <fmt/format.h>

#include "base/hash.h"

namespace bamboogap {

namespace {

using nlohmann::json;

constexpr size_t kMaxStringBytes = 200;
constexpr uint32_t kMaxShare = 1000;

constexpr std::array<std::pair<ChangeKind, std::string_view>, 10> kChangeKinds { {
        { ChangeKind::SetCustomer, "set-customer" },
        { ChangeKind::RemoveCustomer, "remove-customer" },
        { ChangeKind::SetPlan, "set-plan" },
        { ChangeKind::RemovePlan, "remove-plan" },
        { ChangeKind::SetService, "set-service" },
        { ChangeKind::RemoveService, "remove-service" },
        { ChangeKind::DataCentreOut, "data-centre-out" },
        { ChangeKind::DataCentreIn, "data-centre-in" },
        { ChangeKind::EndpointOut, "endpoint-out" },
        { ChangeKind::EndpointIn, "endpoint-in" },
} };

json toJson(const Allowance &allowance)
{
    return { { "model", allowance.model },
             { "adapter", allowance.adapter },
             { "version", allowance.version },
             { "endpoint", allowance.endpoint } };
}

json toJson(const Customer &customer)
{
    return { { "plan", customer.plan }, { "share", customer.share } };
}

json toJson(const Plan &plan)
{
    json allowances = json::array();
    for (const Allowance &allowance : plan.allowances)
        allowances.push_back(toJson(allowance));
    return { { "allowances", allowances }, { "services", plan.services } };
}

json toJson(const Service &service)
{
    json calls = json::array();
    for (const RepeatableCall &call : service.repeatable)
        calls.push_back({ { "method", call.method }, { "path", call.prefix } });
    return { { "repeatable", calls } };
}

tl::unexpected<Error> invalidField(std::string_view field, std::string_view expected)
{
    return failure(ErrorKind::InvalidRequest, fmt::format("field '{}' is not {}", field, expected),
                   fmt::format("send '{}' as {}", field, expected));
}

// Returns the string in the field, or an empty string if the field is absent.
Result<std::string> stringField(const json &object, const char *field)
{
    if (!object.contains(field))
        return std::string();
    if (!object[field].is_string()
        || object[field].get_ref<const std::string &>().size() > kMaxStringBytes)
        return invalidField(field, fmt::format("a string of at most {} bytes", kMaxStringBytes));
    return object[field].get<std::string>();
}

Result<void> rejectUnknownFields(const json &object, std::initializer_list<std::string_view> known)
{
    for (const auto &item : object.items()) {
        if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
            return failure(ErrorKind::InvalidRequest, fmt::format("unknown field '{}'", item.key()),
                           fmt::format("use only: {}", fmt::join(known, ", ")));
        }
    }
    return {};
}

Result<Customer> parseCustomer(const json &value)
{
    if (!value.is_object())
        return invalidField("customer", "an object with plan and share");
    if (auto known = rejectUnknownFields(value, { "plan", "share" }); !known)
        return tl::unexpected(known.error());
    Customer customer;
    auto plan = stringField(value, "plan");
    if (!plan)
        return tl::unexpected(plan.error());
    customer.plan = *plan;
    if (value.contains("share")) {
        if (!value["share"].is_number_unsigned() || value["share"] < 1
            || value["share"] > kMaxShare)
            return invalidField("share", fmt::format("a whole number from 1 to {}", kMaxShare));
        customer.share = value["share"].get<uint32_t>();
    }
    return customer;
}

Result<Allowance> parseAllowance(const json &value)
{
    if (!value.is_object())
        return invalidField("allowances", "a list of objects");
    if (auto known = rejectUnknownFields(value, { "model", "adapter", "version", "endpoint" });
        !known)
        return tl::unexpected(known.error());
    Allowance allowance;
    for (const auto &[field, target] :
         { std::pair { "model", &allowance.model }, std::pair { "adapter", &allowance.adapter },
           std::pair { "version", &allowance.version },
           std::pair { "endpoint", &allowance.endpoint } }) {
        auto text = stringField(value, field);
        if (!text)
            return tl::unexpected(text.error());
        *target = *text;
    }
    return allowance;
}

Result<Plan> parsePlan(const json &value)
{
    if (!value.is_object())
        return invalidField("plan", "an object with allowances and services");
    if (auto known = rejectUnknownFields(value, { "allowances", "services" }); !known)
        return tl::unexpected(known.error());
    Plan plan;
    const json allowances = value.value("allowances", json::array());
    if (!allowances.is_array())
        return invalidField("allowances", "a list of objects");
    for (const json &item : allowances) {
        auto allowance = parseAllowance(item);
        if (!allowance)
            return tl::unexpected(allowance.error());
        plan.allowances.push_back(*allowance);
    }
    const json services = value.value("services", json::array());
    if (!services.is_array())
        return invalidField("services", "a list of service names");
    for (const json &item : services) {
        if (!item.is_string())
            return invalidField("services", "a list of service names");
        plan.services.push_back(item.get<std::string>());
    }
    return plan;
}

Result<Service> parseService(const json &value)
{
    if (!value.is_object())
        return invalidField("service", "an object with repeatable");
    if (auto known = rejectUnknownFields(value, { "repeatable" }); !known)
        return tl::unexpected(known.error());
    Service service;
    const json calls = value.value("repeatable", json::array());
    if (!calls.is_array())
        return invalidField("repeatable", "a list of objects with method and path");
    for (const json &item : calls) {
        if (!item.is_object())
            return invalidField("repeatable", "a list of objects with method and path");
        if (auto known = rejectUnknownFields(item, { "method", "path" }); !known)
            return tl::unexpected(known.error());
        auto method = stringField(item, "method");
        auto path = stringField(item, "path");
        if (!method || !path)
            return tl::unexpected(method ? path.error() : method.error());
        if (method->empty() || path->empty() || path->front() != '/')
            return invalidField("repeatable",
                                "a list of objects with a method and a path from '/'");
        service.repeatable.push_back({ *method, *path });
    }
    return service;
}

} // namespace

std::string_view changeKindName(ChangeKind kind)
{
    for (const auto &[known, name] : kChangeKinds) {
        if (known == kind)
            return name;
    }
    return "unknown";
}

json toJson(const OperatorLists &lists)
{
    json value { { "revision", lists.revision },
                 { "customers", json::object() },
                 { "plans", json::object() },
                 { "services", json::object() },
                 { "data_centres_out", lists.dataCentresOut },
                 { "endpoints_out", lists.endpointsOut } };
    for (const auto &[workspace, customer] : lists.customers)
        value["customers"][workspace] = toJson(customer);
    for (const auto &[name, plan] : lists.plans)
        value["plans"][name] = toJson(plan);
    for (const auto &[name, service] : lists.services)
        value["services"][name] = toJson(service);
    return value;
}

Result<OperatorLists> parseOperatorLists(const json &value)
{
    OperatorLists lists;
    lists.revision = value.value("revision", Revision { 0 });
    const json customers = value.value("customers", json::object());
    for (const auto &item : customers.items()) {
        auto customer = parseCustomer(item.value());
        if (!customer)
            return tl::unexpected(customer.error());
        lists.customers[item.key()] = *customer;
    }
    const json plans = value.value("plans", json::object());
    for (const auto &item : plans.items()) {
        auto plan = parsePlan(item.value());
        if (!plan)
            return tl::unexpected(plan.error());
        lists.plans[item.key()] = *plan;
    }
    const json services = value.value("services", json::object());
    for (const auto &item : services.items()) {
        auto service = parseService(item.value());
        if (!service)
            return tl::unexpected(service.error());
        lists.services[item.key()] = *service;
    }
    lists.dataCentresOut = value.value("data_centres_out", std::set<std::string>());
    lists.endpointsOut = value.value("endpoints_out", std::set<std::string>());
    return lists;
}

json toJson(const Change &change)
{
    json value { { "id", change.id },
                 { "base", change.base },
                 { "kind", changeKindName(change.kind) },
                 { "name", change.name } };
    if (change.kind == ChangeKind::SetCustomer)
        value["customer"] = toJson(change.customer);
    if (change.kind == ChangeKind::SetPlan)
        value["plan"] = toJson(change.plan);
    if (change.kind == ChangeKind::SetService)
        value["service"] = toJson(change.service);
    return value;
}

Result<Change> parseChange(const json &value)
{
    if (!value.is_object())
        return invalidField("body", "a JSON object");
    if (auto known = rejectUnknownFields(
                value, { "id", "base", "kind", "name", "customer", "plan", "service" });
        !known)
        return tl::unexpected(known.error());
    Change change;
    auto id = stringField(value, "id");
    auto name = stringField(value, "name");
    auto kindText = stringField(value, "kind");
    if (!id || id->empty())
        return invalidField("id", "a string that identifies this change");
    if (!name || name->empty())
        return invalidField("name", "the name of the item to change");
    if (!value.contains("base") || !value["base"].is_number_unsigned())
        return invalidField("base", "the revision that the change is based on");
    if (!kindText)
        return invalidField("kind", "a kind of change");
    change.id = *id;
    change.name = *name;
    change.base = value["base"].get<Revision>();
    const auto kind = std::find_if(kChangeKinds.begin(), kChangeKinds.end(),
                                   [&](const auto &item) { return item.second == *kindText; });
    if (kind == kChangeKinds.end())
        return invalidField("kind", "a kind of change");
    change.kind = kind->first;
    if (change.kind == ChangeKind::SetCustomer) {
        auto customer = parseCustomer(value.value("customer", json()));
        if (!customer)
            return tl::unexpected(customer.error());
        change.customer = *customer;
    }
    if (change.kind == ChangeKind::SetPlan) {
        auto plan = parsePlan(value.value("plan", json()));
        if (!plan)
            return tl::unexpected(plan.error());
        change.plan = *plan;
    }
    if (change.kind == ChangeKind::SetService) {
        auto service = parseService(value.value("service", json()));
        if (!service)
            return tl::unexpected(service.error());
        change.service = *service;
    }
    return change;
}

} // namespace bamboogap
