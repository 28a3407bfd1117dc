// Rules of the operators' lists and their JSON form.

#include "control/lists.h"

#include <array>
#include <utility>

#include <fmt/format.h>

#include "base/hash.h"

namespace bamboogap {

namespace {

using nlohmann::json;

constexpr size_t kMaxNameLength = 200;
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

bool matches(std::string_view pattern, std::string_view value)
{
    return pattern.empty() || pattern == "*" || pattern == value;
}

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
        calls.push_back({ { "method", call.method }, { "path", call.pathPrefix } });
    return { { "repeatable", calls } };
}

tl::unexpected<Error> badField(std::string_view field, std::string_view expected)
{
    return failure(ErrorKind::InvalidRequest, fmt::format("field '{}' is not {}", field, expected),
                   fmt::format("send '{}' as {}", field, expected));
}

// A string field that may be absent.
Result<std::string> stringField(const json &object, const char *field)
{
    if (!object.contains(field))
        return std::string();
    if (!object[field].is_string()
        || object[field].get_ref<const std::string &>().size() > kMaxNameLength)
        return badField(field, fmt::format("a string of at most {} bytes", kMaxNameLength));
    return object[field].get<std::string>();
}

Result<void> rejectUnknown(const json &object, std::initializer_list<std::string_view> known)
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
        return badField("customer", "an object with plan and share");
    if (auto known = rejectUnknown(value, { "plan", "share" }); !known)
        return tl::unexpected(known.error());
    Customer customer;
    auto plan = stringField(value, "plan");
    if (!plan)
        return tl::unexpected(plan.error());
    customer.plan = *plan;
    if (value.contains("share")) {
        if (!value["share"].is_number_unsigned() || value["share"] < 1
            || value["share"] > kMaxShare)
            return badField("share", fmt::format("a whole number from 1 to {}", kMaxShare));
        customer.share = value["share"].get<uint32_t>();
    }
    return customer;
}

Result<Allowance> parseAllowance(const json &value)
{
    if (!value.is_object())
        return badField("allowances", "a list of objects");
    if (auto known = rejectUnknown(value, { "model", "adapter", "version", "endpoint" }); !known)
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
        return badField("plan", "an object with allowances and services");
    if (auto known = rejectUnknown(value, { "allowances", "services" }); !known)
        return tl::unexpected(known.error());
    Plan plan;
    const json allowances = value.value("allowances", json::array());
    if (!allowances.is_array())
        return badField("allowances", "a list of objects");
    for (const json &item : allowances) {
        auto allowance = parseAllowance(item);
        if (!allowance)
            return tl::unexpected(allowance.error());
        plan.allowances.push_back(*allowance);
    }
    const json services = value.value("services", json::array());
    if (!services.is_array())
        return badField("services", "a list of service names");
    for (const json &item : services) {
        if (!item.is_string())
            return badField("services", "a list of service names");
        plan.services.push_back(item.get<std::string>());
    }
    return plan;
}

Result<Service> parseService(const json &value)
{
    if (!value.is_object())
        return badField("service", "an object with repeatable");
    if (auto known = rejectUnknown(value, { "repeatable" }); !known)
        return tl::unexpected(known.error());
    Service service;
    const json calls = value.value("repeatable", json::array());
    if (!calls.is_array())
        return badField("repeatable", "a list of objects with method and path");
    for (const json &item : calls) {
        if (!item.is_object())
            return badField("repeatable", "a list of objects with method and path");
        if (auto known = rejectUnknown(item, { "method", "path" }); !known)
            return tl::unexpected(known.error());
        auto method = stringField(item, "method");
        auto path = stringField(item, "path");
        if (!method || !path)
            return tl::unexpected(method ? path.error() : method.error());
        if (method->empty() || path->empty() || path->front() != '/')
            return badField("repeatable", "a list of objects with a method and a path from '/'");
        service.repeatable.push_back({ *method, *path });
    }
    return service;
}

} // namespace

bool Lists::allows(std::string_view workspace, const Allowance &use) const
{
    const auto customer = customers.find(std::string(workspace));
    if (customer == customers.end())
        return false;
    const auto plan = plans.find(customer->second.plan);
    if (plan == plans.end())
        return false;
    for (const Allowance &allowance : plan->second.allowances) {
        if (matches(allowance.model, use.model) && matches(allowance.adapter, use.adapter)
            && matches(allowance.version, use.version)
            && (use.endpoint.empty() || matches(allowance.endpoint, use.endpoint)))
            return true;
    }
    return false;
}

bool Lists::allowsService(std::string_view workspace, std::string_view service) const
{
    const auto customer = customers.find(std::string(workspace));
    if (customer == customers.end())
        return false;
    const auto plan = plans.find(customer->second.plan);
    if (plan == plans.end())
        return false;
    const auto &allowed = plan->second.services;
    return std::find(allowed.begin(), allowed.end(), service) != allowed.end();
}

// A prefix matches whole path segments only: /status allows /status/7 and
// /status?x=1, but not /status-change.
bool Lists::isRepeatable(std::string_view service, std::string_view method,
                         std::string_view path) const
{
    const auto found = services.find(std::string(service));
    if (found == services.end() || path.find("..") != std::string_view::npos
        || path.find('%') != std::string_view::npos)
        return false;
    for (const RepeatableCall &call : found->second.repeatable) {
        if (call.method != method || path.substr(0, call.pathPrefix.size()) != call.pathPrefix)
            continue;
        const std::string_view rest = path.substr(call.pathPrefix.size());
        if (call.pathPrefix.back() == '/' || rest.empty() || rest[0] == '/' || rest[0] == '?')
            return true;
    }
    return false;
}

bool Lists::isOut(std::string_view dataCentre, std::string_view endpoint) const
{
    return dataCentresOut.count(std::string(dataCentre)) > 0
            || endpointsOut.count(std::string(endpoint)) > 0;
}

ChangeAnswer OperatorLists::apply(const Change &change)
{
    json identity = toJson(change);
    const uint64_t fingerprint = hashBytes(identity.dump());
    const auto known = answers_.find(change.id);
    if (known != answers_.end()) {
        if (known->second.fingerprint == fingerprint)
            return known->second.answer;
        return { false, lists_.revision,
                 fmt::format("change id '{}' was used for another change", change.id),
                 ErrorKind::KeyReused };
    }
    ChangeAnswer answer;
    if (change.base != lists_.revision) {
        answer.problem = fmt::format("the change was made against revision {}, in force is {}",
                                     change.base, lists_.revision);
    } else {
        answer.problem = problemWith(change);
        answer.kind = answer.problem.empty() ? ErrorKind::Conflict : ErrorKind::InvalidRequest;
    }
    answer.accepted = answer.problem.empty();
    if (answer.accepted) {
        perform(change);
        ++lists_.revision;
    }
    answer.revision = lists_.revision;
    answers_[change.id] = { fingerprint, answer };
    answerOrder_.push_back(change.id);
    if (answerOrder_.size() > kAnswersKept) {
        answers_.erase(answerOrder_.front());
        answerOrder_.pop_front();
    }
    return answer;
}

// Why the change cannot be made; empty if it can.
std::string OperatorLists::problemWith(const Change &change) const
{
    const auto missing = [&](bool present, std::string_view what) {
        return present ? std::string() : fmt::format("there is no {} '{}'", what, change.name);
    };
    switch (change.kind) {
    case ChangeKind::SetCustomer:
        if (lists_.plans.count(change.customer.plan) == 0)
            return fmt::format("there is no plan '{}'", change.customer.plan);
        return {};
    case ChangeKind::RemoveCustomer:
        return missing(lists_.customers.count(change.name) > 0, "customer");
    case ChangeKind::RemovePlan:
        for (const auto &[workspace, customer] : lists_.customers) {
            if (customer.plan == change.name)
                return fmt::format("customer '{}' has the plan '{}'", workspace, change.name);
        }
        return missing(lists_.plans.count(change.name) > 0, "plan");
    case ChangeKind::RemoveService:
        return missing(lists_.services.count(change.name) > 0, "service");
    case ChangeKind::DataCentreIn:
        return missing(lists_.dataCentresOut.count(change.name) > 0, "data centre out named");
    case ChangeKind::EndpointIn:
        return missing(lists_.endpointsOut.count(change.name) > 0, "endpoint out named");
    case ChangeKind::SetPlan:
    case ChangeKind::SetService:
    case ChangeKind::DataCentreOut:
    case ChangeKind::EndpointOut:
        return {};
    }
    return "unknown kind of change";
}

void OperatorLists::perform(const Change &change)
{
    switch (change.kind) {
    case ChangeKind::SetCustomer:
        lists_.customers[change.name] = change.customer;
        break;
    case ChangeKind::RemoveCustomer:
        lists_.customers.erase(change.name);
        break;
    case ChangeKind::SetPlan:
        lists_.plans[change.name] = change.plan;
        break;
    case ChangeKind::RemovePlan:
        lists_.plans.erase(change.name);
        break;
    case ChangeKind::SetService:
        lists_.services[change.name] = change.service;
        break;
    case ChangeKind::RemoveService:
        lists_.services.erase(change.name);
        break;
    case ChangeKind::DataCentreOut:
        lists_.dataCentresOut.insert(change.name);
        break;
    case ChangeKind::DataCentreIn:
        lists_.dataCentresOut.erase(change.name);
        break;
    case ChangeKind::EndpointOut:
        lists_.endpointsOut.insert(change.name);
        break;
    case ChangeKind::EndpointIn:
        lists_.endpointsOut.erase(change.name);
        break;
    }
}

json OperatorLists::save() const
{
    json answers = json::array();
    for (const std::string &id : answerOrder_) {
        const KeptAnswer &kept = answers_.at(id);
        answers.push_back({ id, kept.fingerprint, kept.answer.accepted, kept.answer.revision,
                            kept.answer.problem, errorKindName(kept.answer.kind) });
    }
    return { { "lists", toJson(lists_) }, { "answers", answers } };
}

Result<OperatorLists> OperatorLists::load(const json &saved)
{
    OperatorLists loaded;
    auto lists = parseLists(saved.value("lists", json::object()));
    if (!lists)
        return tl::unexpected(lists.error());
    loaded.lists_ = *lists;
    for (const json &item : saved.value("answers", json::array())) {
        const auto id = item.at(0).get<std::string>();
        loaded.answers_[id] = { item.at(1).get<uint64_t>(),
                                { item.at(2).get<bool>(), item.at(3).get<Revision>(),
                                  item.at(4).get<std::string>(),
                                  parseErrorKind(item.at(5).get<std::string>()) } };
        loaded.answerOrder_.push_back(id);
    }
    return loaded;
}

std::string_view changeKindName(ChangeKind kind)
{
    for (const auto &[known, name] : kChangeKinds) {
        if (known == kind)
            return name;
    }
    return "unknown";
}

json toJson(const Lists &lists)
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

Result<Lists> parseLists(const json &value)
{
    Lists lists;
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
        return badField("body", "a JSON object");
    if (auto known
        = rejectUnknown(value, { "id", "base", "kind", "name", "customer", "plan", "service" });
        !known)
        return tl::unexpected(known.error());
    Change change;
    auto id = stringField(value, "id");
    auto name = stringField(value, "name");
    auto kindText = stringField(value, "kind");
    if (!id || id->empty())
        return badField("id", "a string that names this change");
    if (!name || name->empty())
        return badField("name", "the name of what is changed");
    if (!value.contains("base") || !value["base"].is_number_unsigned())
        return badField("base", "the revision that the change was made against");
    if (!kindText)
        return badField("kind", "a kind of change");
    change.id = *id;
    change.name = *name;
    change.base = value["base"].get<Revision>();
    const auto kind = std::find_if(kChangeKinds.begin(), kChangeKinds.end(),
                                   [&](const auto &item) { return item.second == *kindText; });
    if (kind == kChangeKinds.end())
        return badField("kind", "a kind of change");
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
