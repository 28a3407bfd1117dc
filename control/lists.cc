// Queries and changes of the operator lists. Their JSON encoding is in listsjson.cc.

#include "control/lists.h"

#include <array>
#include <utility>

#include <fmt/format.h>

#include "base/hash.h"

namespace bamboogap {

namespace {

using nlohmann::json;

bool matches(std::string_view pattern, std::string_view value)
{
    return pattern.empty() || pattern == "*" || pattern == value;
}

} // namespace

bool OperatorLists::allows(std::string_view workspace, const Allowance &use) const
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

bool OperatorLists::allowsService(std::string_view workspace, std::string_view service) const
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

// A prefix matches whole path segments only: /status matches /status/7 and /status?x=1, but
// not /status-change. Paths with ".." or percent-encoding never match, since a service may
// resolve them to another path.
bool OperatorLists::isRepeatable(std::string_view service, std::string_view method,
                                 std::string_view path) const
{
    const auto found = services.find(std::string(service));
    if (found == services.end() || path.find("..") != std::string_view::npos
        || path.find('%') != std::string_view::npos)
        return false;
    for (const RepeatableCall &call : found->second.repeatable) {
        if (call.method != method || path.substr(0, call.prefix.size()) != call.prefix)
            continue;
        const std::string_view rest = path.substr(call.prefix.size());
        if (call.prefix.back() == '/' || rest.empty() || rest[0] == '/' || rest[0] == '?')
            return true;
    }
    return false;
}

bool OperatorLists::isOutOfService(std::string_view dataCentre, std::string_view endpoint) const
{
    return dataCentresOut.count(std::string(dataCentre)) > 0
            || endpointsOut.count(std::string(endpoint)) > 0;
}

ChangeAnswer OperatorListsStore::apply(const Change &change)
{
    json identity = toJson(change);
    const uint64_t fingerprint = hashBytes(identity.dump());
    const auto known = answers_.find(change.id);
    if (known != answers_.end()) {
        if (known->second.fingerprint == fingerprint)
            return known->second.answer;
        return { false, lists_.revision,
                 fmt::format("change id '{}' was already used for a different change", change.id),
                 ErrorKind::KeyReused };
    }
    ChangeAnswer answer;
    if (change.base != lists_.revision) {
        answer.problem
                = fmt::format("the change is based on revision {}, but the current revision is {}",
                              change.base, lists_.revision);
    } else {
        answer.problem = findProblem(change);
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
    if (answerOrder_.size() > kMaxStoredAnswers) {
        answers_.erase(answerOrder_.front());
        answerOrder_.pop_front();
    }
    return answer;
}

// Returns why the change is invalid, or an empty text if it is valid.
std::string OperatorListsStore::findProblem(const Change &change) const
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
                return fmt::format("customer '{}' still uses plan '{}'", workspace, change.name);
        }
        return missing(lists_.plans.count(change.name) > 0, "plan");
    case ChangeKind::RemoveService:
        return missing(lists_.services.count(change.name) > 0, "service");
    case ChangeKind::DataCentreIn:
        return missing(lists_.dataCentresOut.count(change.name) > 0, "out-of-service data centre");
    case ChangeKind::EndpointIn:
        return missing(lists_.endpointsOut.count(change.name) > 0, "out-of-service endpoint");
    case ChangeKind::SetPlan:
    case ChangeKind::SetService:
    case ChangeKind::DataCentreOut:
    case ChangeKind::EndpointOut:
        return {};
    }
    return "unknown kind of change";
}

void OperatorListsStore::perform(const Change &change)
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

json OperatorListsStore::save() const
{
    json answers = json::array();
    for (const std::string &id : answerOrder_) {
        const StoredAnswer &kept = answers_.at(id);
        answers.push_back({ id, kept.fingerprint, kept.answer.accepted, kept.answer.revision,
                            kept.answer.problem, errorKindName(kept.answer.kind) });
    }
    return { { "lists", toJson(lists_) }, { "answers", answers } };
}

Result<OperatorListsStore> OperatorListsStore::load(const json &saved)
{
    OperatorListsStore loaded;
    auto lists = parseOperatorLists(saved.value("lists", json::object()));
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

} // namespace bamboogap
