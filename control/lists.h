// The operator lists: customers and their plans, what each plan may use, the services that
// are not models, and the data centres and endpoints that are out of service.
//
// The lists change only through apply(), one Change at a time. Each change names the revision
// that it is based on: of two changes based on the same revision, the first is accepted and
// the second is rejected with Conflict. A change that is resent under the same id gets its
// first answer again. The revision never decreases.

#ifndef BAMBOOGAP_CONTROL_LISTS_H
#define BAMBOOGAP_CONTROL_LISTS_H

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace bamboogap {

using Revision = uint64_t;

// What one entry of a plan permits. An empty field or "*" permits any value.
struct Allowance
{
    std::string model;
    std::string adapter;
    std::string version;
    std::string endpoint;

    bool operator==(const Allowance &) const = default;
};

// What the customers that have the plan may use.
struct Plan
{
    std::vector<Allowance> allowances;
    std::vector<std::string> services; // names of services (not models) that the plan may call

    bool operator==(const Plan &) const = default;
};

struct Customer
{
    std::string plan;
    uint32_t share = 1; // weight of the customer when queued requests are scheduled

    bool operator==(const Customer &) const = default;
};

// A kind of call to a service that may be repeated. All other calls must not be repeated.
struct RepeatableCall
{
    std::string method;
    std::string prefix; // of the path; matches whole path segments

    bool operator==(const RepeatableCall &) const = default;
};

struct Service
{
    std::vector<RepeatableCall> repeatable;

    bool operator==(const Service &) const = default;
};

// The values of the lists at one revision. Unless stated otherwise, maps are by name.
struct OperatorLists
{
    Revision revision = 0; // number of accepted changes
    std::map<std::string, Customer> customers; // by workspace
    std::map<std::string, Plan> plans;
    std::map<std::string, Service> services;
    std::set<std::string> dataCentresOut;
    std::set<std::string> endpointsOut;

    // True if the plan of the workspace permits `use`. An empty endpoint in `use` asks
    // whether any endpoint is permitted.
    bool allows(std::string_view workspace, const Allowance &use) const;
    // True if the plan of the workspace permits calls to the service.
    bool allowsService(std::string_view workspace, std::string_view service) const;
    // True if the service may be called again with this method and path after a failure.
    bool isRepeatable(std::string_view service, std::string_view method,
                      std::string_view path) const;
    // True if the endpoint or its data centre is out of service.
    bool isOutOfService(std::string_view dataCentre, std::string_view endpoint) const;

    bool operator==(const OperatorLists &) const = default;
};

enum class ChangeKind {
    SetCustomer,
    RemoveCustomer,
    SetPlan,
    RemovePlan,
    SetService,
    RemoveService,
    DataCentreOut,
    DataCentreIn,
    EndpointOut,
    EndpointIn,
};

struct Change
{
    std::string id; // chosen by the operator; the same when the change is resent
    Revision base = 0; // the revision that the change is based on
    ChangeKind kind = ChangeKind::SetCustomer;
    std::string name; // workspace, plan, service, data centre or endpoint
    Customer customer; // with SetCustomer
    Plan plan; // with SetPlan
    Service service; // with SetService
};

struct ChangeAnswer
{
    bool accepted = false;
    Revision revision = 0; // the current one, after the change if it was accepted
    std::string problem; // why the change was rejected; empty if accepted
    ErrorKind kind = ErrorKind::Conflict; // of the rejection; no meaning if accepted

    bool operator==(const ChangeAnswer &) const = default;
};

// The lists with the answers to recent changes. Deterministic: equal changes in equal order
// give equal lists and answers.
class OperatorListsStore
{
public:
    // Number of most recent answers that are stored for resent changes.
    static constexpr size_t kMaxStoredAnswers = 10000;

    // Applies the change if it is based on the current revision and valid. The answer is stored
    // under the id of the change. Rejects with KeyReused an id that was used for another change.
    ChangeAnswer apply(const Change &change);

    const OperatorLists &lists() const { return lists_; }

    nlohmann::json save() const;
    // Restores what save() returned; fails like parseOperatorLists(), and throws the same
    // exception if a stored answer is malformed.
    static Result<OperatorListsStore> load(const nlohmann::json &saved);

private:
    struct StoredAnswer
    {
        uint64_t fingerprint = 0; // hash of the change, to detect an id reused for another one
        ChangeAnswer answer;
    };

    std::string findProblem(const Change &change) const;
    void perform(const Change &change);

    OperatorLists lists_;
    std::map<std::string, StoredAnswer> answers_;
    std::deque<std::string> answerOrder_; // ids of the changes, oldest first
};

// The name of a change kind in JSON and on the command line, such as "set-customer".
std::string_view changeKindName(ChangeKind kind);

nlohmann::json toJson(const OperatorLists &lists);
// Returns InvalidRequest if the entry of a customer, plan or service is malformed; throws a
// nlohmann::json::exception if another field has the wrong type.
Result<OperatorLists> parseOperatorLists(const nlohmann::json &json);
nlohmann::json toJson(const Change &change);
// Returns InvalidRequest naming the invalid field.
Result<Change> parseChange(const nlohmann::json &json);

} // namespace bamboogap

#endif
