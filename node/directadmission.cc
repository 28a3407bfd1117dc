// Admission control of plain services under shortage: which requests are sent, wait or are
// rejected before their first attempt. See docs/design/shortage.md; the decisions are made in
// routing/serviceadmission.h.

#include <fmt/format.h>

#include "base/log.h"
#include "node/directrequest.h"

namespace bamboogap {

namespace {

// Between two log lines about load figures that cannot be read.
constexpr Duration kLogInterval = std::chrono::seconds(10);

std::string kindLabels(const std::string &service, uint32_t priority)
{
    return fmt::format("service=\"{}\",priority=\"{}\"", service, std::min(priority, 9U));
}

} // namespace

bool DirectRouter::isAdmissionControlled(const std::string &service, bool isEngine) const
{
    return settings_.shortage && !isEngine && !service.empty();
}

ServiceAdmission &DirectRouter::admissionOf(const std::string &service)
{
    return admissions_.try_emplace(service).first->second;
}

// Tells the services' admission control which endpoints take requests, and the sums of the fleet.
void DirectRouter::updateAdmission(Instant now)
{
    const bool newSums = sync_->demandsAt() > demandsAppliedAt_;
    for (auto &[service, admission] : admissions_) {
        std::vector<ServiceAdmission::EndpointSlots> endpoints;
        for (const auto &[key, status] : board_.statuses()) {
            if (status.usable && !status.dataCentreOut && status.service == service
                && !status.health.isEjected(now) && !status.backoff.isActive(now))
                endpoints.push_back({ key, status.slots });
        }
        admission.setRouters(sync_->fleet().routers);
        admission.setEndpoints(endpoints);
        if (newSums) {
            const auto found = sync_->demands().find(service);
            admission.setFleet(found == sync_->demands().end() ? ServiceDemand {} : found->second,
                               now);
        }
        metrics_.set("bamboogap_shortage_waiting", fmt::format("service=\"{}\"", service),
                     double(admission.waitingCount()));
        metrics_.set("bamboogap_shortage_capacity_per_second",
                     fmt::format("service=\"{}\"", service), admission.admittedPerSecond());
        metrics_.set("bamboogap_shortage_share",
                     fmt::format("service=\"{}\",priority=\"0\"", service), admission.share(0));
    }
    demandsAppliedAt_ = sync_->demandsAt();
}

ServiceDemands DirectRouter::takeDemands()
{
    ServiceDemands demands;
    const Instant now = BootClock::now();
    for (auto &[service, admission] : admissions_)
        demands[service] = admission.takeReport(now);
    return demands;
}

// Whether the request may be sent now, to active.preferred if that endpoint takes it. Otherwise it
// waits or was rejected.
bool DirectRouter::admit(Active &active)
{
    if (active.admitted || !isAdmissionControlled(active.service, active.isEngine))
        return true;
    const Instant now = BootClock::now();
    const bool isNew = admissions_.count(active.service) == 0;
    ServiceAdmission &admission = admissionOf(active.service);
    if (isNew)
        updateAdmission(now);
    if (!active.countedArrival) {
        active.countedArrival = true;
        admission.onArrival(active.priority, now);
    }
    // Without an endpoint it is for place() to say why.
    if (!admission.hasEndpoints())
        return true;
    ServiceRequest request;
    request.id = active.id;
    request.priority = active.priority;
    request.arrivedAt = active.arrivedAt;
    request.deadline = active.deadline;
    request.latencyGoal = active.route->latencyGoal;
    request.bytes = active.request.body.size();
    request.single = active.route->maxAttempts <= 1;
    const ServiceDecision decision = admission.decide(request, now, chance());
    switch (decision.kind) {
    case ServiceDecision::Kind::Admit:
        active.admitted = true;
        active.preferred = decision.endpoint;
        if (now - active.arrivedAt > std::chrono::milliseconds(1))
            metrics_.observe("bamboogap_shortage_wait_seconds", {}, now - active.arrivedAt);
        return true;
    case ServiceDecision::Kind::Wait:
        waitFor(active, decision.until, "the service's endpoints are full");
        return false;
    case ServiceDecision::Kind::Reject:
        break;
    }
    waiting_.erase(active.id);
    metrics_.count("bamboogap_shortage_rejections_total",
                   kindLabels(active.service, active.priority));
    replyOwn(active, 503, "no_capacity", "the service's endpoints are full",
             stopping_ ? returnTime(active, Refusal::NoCapacity) : decision.returnAfter);
    return false;
}

// What a response says of its endpoint's load.
void DirectRouter::noteLoad(const Active &active, Instant now)
{
    if (!isAdmissionControlled(active.service, active.isEngine))
        return;
    const AnswerHead &head = active.head;
    if (!head.unreadableLoad.empty()) {
        metrics_.count("bamboogap_load_figures_ignored_total");
        if (now - loadLoggedAt_ >= kLogInterval) {
            loadLoggedAt_ = now;
            logEvent(LogLevel::Warning, "load_figures_ignored",
                     { { "endpoint", active.endpointId },
                       { "request", active.caller.id },
                       { "figures", head.unreadableLoad } });
        }
    }
    ServiceAdmission &admission = admissionOf(active.service);
    // The endpoint's own record says how many slots it has; figures for another number are wrong.
    std::optional<ReportedLoad> load = head.load;
    if (const auto *status = board_.find(active.endpoint); load && status)
        load->slots = status->slots;
    admission.onResponse(active.endpoint, load, active.success, now - active.sentAt, now);
    if (head.notRun && !head.misdirected) {
        admission.onRejected(active.endpoint, now);
        metrics_.count("bamboogap_shortage_endpoint_rejections_total",
                       fmt::format("service=\"{}\"", active.service));
    }
    if (admission.waitingCount() > 0)
        placeWaitingSoon();
}

// Deferred: a connection may be reading now.
void DirectRouter::placeWaitingSoon()
{
    if (placesSoon_)
        return;
    placesSoon_ = true;
    loop_.detach(kj::evalLater([this]() {
                     placesSoon_ = false;
                     placeWaiting();
                 }),
                 "place waiting requests");
}

void DirectRouter::removeFromAdmission(const Active &active)
{
    if (const auto found = admissions_.find(active.service); found != admissions_.end())
        found->second.remove(active.id);
}

} // namespace bamboogap
