// The owner's task: admits requests to the endpoints that this router owns and
// runs them there.
//
// Whether a request may be sent is checked twice: when it is admitted, and once
// more right before its first byte, since it may have waited in between.

#ifndef BAMBOOGAP_NODE_OWNERTASK_H
#define BAMBOOGAP_NODE_OWNERTASK_H

#include <map>
#include <memory>
#include <set>
#include <string>

#include "node/endpointcall.h"
#include "node/forward.h"
#include "node/membertask.h"
#include "node/metrics.h"
#include "routing/admission.h"
#include "routing/affinity.h"
#include "routing/eventstream.h"
#include "routing/loadtable.h"

namespace bamboogap {

class OwnerTask
{
public:
    OwnerTask(EventLoop &loop, const Settings &settings, MemberTask &members,
              ControlClient &control, Metrics &metrics);

    void start();

    // Follows a heartbeat's reply: endpoints, loads and ownership.
    void onNews(const MemberUpdate &news, const ReportedLoads &reported);
    ReportedLoads loads();

    // Runs a request on an owned endpoint, or tells why not. Dropping the
    // promise cancels the request.
    kj::Promise<ForwardOutcome> forward(ForwardCall call, wire::AnswerSink::Client sink);

    // Where a chat ran whose first choice is owned here.
    void chatMoved(ChatKey chat, std::string_view home, std::string_view endpoint);

    // Pools whose endpoints offer a model, or the pool of a service.
    std::vector<std::string> poolsOfModel(const std::string &model) const;
    std::vector<std::string> poolsOfService(const std::string &service) const;

    const LoadTable &board() const { return board_; }
    const Admission &admission() const { return admission_; }
    size_t rememberedChats() const { return affinity_.size(); }
    size_t runningCount() const { return runs_.size(); }

private:
    struct Run;
    using RunId = uint64_t;

    void followEndpoints();
    void followLoads(const ReportedLoads &reported);
    std::optional<std::string> obstacleTo(std::string_view endpoint);
    ForwardOutcome refusal(const Run &run, const AdmissionResult &refused) const;
    std::vector<std::string> placesOf(const ForwardCall &call);
    kj::Promise<ForwardOutcome> admit(std::shared_ptr<Run> run);
    kj::Promise<ForwardOutcome> execute(std::shared_ptr<Run> run);
    kj::Promise<EndpointOutcome> callOnce(std::shared_ptr<Run> run, bool resume);
    kj::Promise<void> onPart(Run &run, std::string_view data);
    kj::Promise<ForwardOutcome> conclude(std::shared_ptr<Run> run, EndpointOutcome outcome);
    kj::Promise<void> handOver(std::shared_ptr<Run> run);
    std::vector<Fingerprint> finish(Run &run, const FinishReport &report);
    kj::Promise<void> reportCrash(std::vector<Fingerprint> struck, std::string endpoint);
    void reviewCrash(const std::string &endpoint, uint64_t incarnation);
    void advance();
    void scheduleExpiry();

    EventLoop &loop_;
    const Settings &settings_;
    MemberTask &members_;
    ControlClient &control_;
    Metrics &metrics_;
    LoadTable board_;
    Admission admission_;
    AffinityTable affinity_;
    std::map<EndpointKey, std::string> endpointNames_;
    std::map<std::string, std::set<std::string>> modelPools_;
    std::map<uint64_t, std::string> poolNames_; // by hash
    std::map<RunId, std::shared_ptr<Run>> runs_;
    RunId lastRun_ = 0;
    Instant expiryAt_ = Instant::max();
};

} // namespace bamboogap

#endif
