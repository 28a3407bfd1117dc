// The operators' lists: customers with their plans, what each plan may use,
// the plain services, and what is taken out of service.
//
// The aggregate changes only through apply(), one Change at a time, each made
// against a revision. Of two changes against the same revision the first is
// accepted and the second gets Conflict. A change that is sent again with its
// id gets the answer of the first time. The revision never falls.

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

// One line of a plan: what may be used. An empty field or "*" allows any value.
struct Allowance
{
    std::string model;
    std::string adapter;
    std::string version;
    std::string endpoint;

    bool operator==(const Allowance &) const = default;
};

struct Plan
{
    std::vector<Allowance> allowances;
    std::vector<std::string> services; // plain services that the plan may call

    bool operator==(const Plan &) const = default;
};

struct Customer
{
    std::string plan;
    uint32_t share = 1; // weight when waiting work is chosen between customers

    bool operator==(const Customer &) const = default;
};

// A call of a plain service that may be repeated. Every other call may not.
struct RepeatableCall
{
    std::string method;
    std::string prefix; // of the path; matches whole segments

    bool operator==(const RepeatableCall &) const = default;
};

struct Service
{
    std::vector<RepeatableCall> repeatable;

    bool operator==(const Service &) const = default;
};

struct Lists
{
    Revision revision = 0;
    std::map<std::string, Customer> customers; // by workspace
    std::map<std::string, Plan> plans;
    std::map<std::string, Service> services;
    std::set<std::string> dataCentresOut;
    std::set<std::string> endpointsOut;

    // True if the workspace's plan allows the use on that endpoint.
    bool allows(std::string_view workspace, const Allowance &use) const;
    bool allowsService(std::string_view workspace, std::string_view service) const;
    bool isRepeatable(std::string_view service, std::string_view method,
                      std::string_view path) const;
    bool isOut(std::string_view dataCentre, std::string_view endpoint) const;

    bool operator==(const Lists &) const = default;
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
    std::string id; // chosen by the operator; a resend carries the same
    Revision base = 0;
    ChangeKind kind = ChangeKind::SetCustomer;
    std::string name; // workspace, plan, service, data centre or endpoint
    Customer customer;
    Plan plan;
    Service service;
};

struct ChangeAnswer
{
    bool accepted = false;
    Revision revision = 0; // the new one if accepted, else the one in force
    std::string problem; // empty if accepted
    ErrorKind kind = ErrorKind::Conflict;

    bool operator==(const ChangeAnswer &) const = default;
};

// The lists with the answers given so far, as a deterministic aggregate.
class OperatorLists
{
public:
    // How many answers are kept for resent changes.
    static constexpr size_t kAnswersKept = 10000;

    ChangeAnswer apply(const Change &change);

    const Lists &lists() const { return lists_; }

    nlohmann::json save() const;
    static Result<OperatorLists> load(const nlohmann::json &saved);

private:
    struct KeptAnswer
    {
        uint64_t fingerprint = 0; // of the change, so that an id cannot be reused
        ChangeAnswer answer;
    };

    std::string problemWith(const Change &change) const;
    void perform(const Change &change);

    Lists lists_;
    std::map<std::string, KeptAnswer> answers_;
    std::deque<std::string> answerOrder_;
};

// The name of a change kind in JSON and on the command line ("set-customer").
std::string_view changeKindName(ChangeKind kind);

nlohmann::json toJson(const Lists &lists);
Result<Lists> parseLists(const nlohmann::json &json);
nlohmann::json toJson(const Change &change);
// InvalidRequest with the field that is wrong.
Result<Change> parseChange(const nlohmann::json &json);

} // namespace bamboogap

#endif
