// The request path of a direct router: from a caller to an endpoint and back.
//
// The router matches the route, places the request by its board, sends it to the
// endpoint over a kept connection and relays the answer. What may be repeated
// follows from the route alone. A request that has not reached an endpoint, or that
// an endpoint says it did not run, may go to another one; one that may have run goes on only if the
// route allows it.

#ifndef BAMBOOGAP_NODE_DIRECTROUTER_H
#define BAMBOOGAP_NODE_DIRECTROUTER_H

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "node/dialect.h"
#include "node/endpointpool.h"
#include "node/httpserver.h"
#include "node/metrics.h"
#include "node/synctask.h"
#include "routing/answertimes.h"
#include "routing/endpointselector.h"
#include "routing/eventstream.h"
#include "routing/retrywindow.h"
#include "routing/rolloutgate.h"
#include "routing/serviceadmission.h"
#include "routing/servingversions.h"

namespace bamboogap {

struct DirectRouterSettings
{
    std::string dataCentre;
    EndpointSelectorSettings board;
    RetryWindowSettings retries;
    PoolLimits pool;
    // Of all answers together that are held until they are whole.
    size_t maxHeldBytes = 32 << 20;
    bool shortage = false; // admission control of plain services
};

class DirectRouter
{
public:
    DirectRouter(EventLoop &loop, const Dialect &dialect, DirectRouterSettings settings,
                 Metrics &metrics);
    ~DirectRouter();
    DirectRouter(const DirectRouter &) = delete;
    DirectRouter &operator=(const DirectRouter &) = delete;

    void setSync(SyncTask *sync) { sync_ = sync; }
    // The server asks this router about requests whose bodies it has not read.
    void setServer(HttpServer *server);
    void start();

    void handle(ExchangeId exchange, HttpRequest request);
    // The link to the replicas has news.
    void onNews();
    // Answers tell callers to close their connections from now on. Requests that come
    // after lastCall are refused: they might not end before the process does.
    void announceStop(Instant lastCall);
    // Ends what is still under way, because the process ends.
    void breakAll();

    std::vector<EndpointUse> uses() const { return board_.ownUses(); }
    // Demand for plain services since the last call.
    ServiceDemands takeDemands();
    std::vector<PromptPlacement> takePlacements() { return board_.takePlacements(); }
    void learn(std::span<const PromptPlacement> placements) { board_.addPlacements(placements); }
    const EndpointSelector &board() const { return board_; }
    const AnswerTimes &answerTimes() const { return answerTimes_; }
    // The longest runs of streams under way, one for each of their subjects.
    std::vector<StreamRun> streamRuns() const;
    // Counts and running requests of the rollouts in progress.
    std::vector<RolloutReport> rolloutReports() const;
    // A random number in [0, 1).
    double draw() { return chance(); }
    size_t openCount() const { return active_.size(); }

private:
    struct Active;

    // Why a request was not sent, or ended without an answer.
    enum class Refusal { NotReady, BadRequest, NoRoute, BadKey, Quarantined, NoCapacity };

    bool accept(Active &active);
    void place(Active &active);
    void send(Active &active, const Placement &placement);
    bool onHead(ExchangeId id, int status, std::span<const HttpHeader> headers);
    void heedEndpoint(const Active &active);
    void noteLimit(const Active &active, Instant now);
    void noteAnswer(const Active &active);
    uint32_t importanceOf(const HttpRequest &head) const;
    HttpReply refuseBody(const HttpRequest &head);
    void noteCrash(const Active &active);
    void noteMoved(const Active &active);
    bool mayHandOn(const Active &active) const;
    std::optional<Fingerprint> quarantinedSubject(const Active &active) const;
    bool isQuarantined(const Active &active) const;
    void onData(ExchangeId id, std::string_view data);
    void hold(Active &active, std::string_view data);
    void dropBody(Active &active);
    void breakOff(ExchangeId id, CallId call, std::string_view reason);
    void pauseForCaller(Active &active, kj::Promise<void> taken);
    void onEnd(ExchangeId id, CallEnd end, std::string_view reason);
    void onTimer(ExchangeId id);
    void onCallerGone(ExchangeId id);

    void noteEvents(Active &active);
    void relay(Active &active, std::string_view complete);
    void finishWhole(Active &active);
    void tryAgain(Active &active, Outcome outcome, std::string_view reason);
    bool takeRetry(const Active &active, Instant now);
    void settle(Active &active, Outcome outcome, std::string_view reason);
    void answerEndpoint(Active &active);
    void refuse(Active &active, Refusal refusal, std::string_view reason);
    void fail(Active &active, int status, std::string_view reason);
    void replyOwn(Active &active, int status, std::string_view type, std::string_view reason,
                  std::optional<Duration> retryAfter);
    void logEnd(const Active &active, int status, std::string_view reason);
    void erase(ExchangeId id);
    void armTimer(Active &active, Instant at);
    Instant attemptLimit(const Active &active) const;
    bool mayRunAgain(const Active &active) const;
    Duration untilEndpointTakesRequests(const Active &active) const;
    Duration returnTime(const Active &active, Refusal refusal);
    PlacementRequest placementRequest(const Active &active) const;
    RolloutGate::Request rolloutRequest(const Active &active) const;
    RolloutGate::Decision allowedVersions(const Active &active, Instant now) const;
    void updateServingVersions(Instant now);
    tl::expected<Placement, PlacementProblem> choose(const Active &active, Instant now);
    void noteOutcomeInRollout(const Active &active, Outcome outcome, Instant now);
    void noteSentInRollout(Active &active, bool isFirst, Instant now);
    size_t waitingBefore(const Active &active) const;
    void placeWaiting();
    void retryWaiting(Active &active);
    void waitFor(Active &active, Instant limit, std::string_view reason);
    bool isAdmissionControlled(const std::string &service, bool isEngine) const;
    ServiceAdmission &admissionOf(const std::string &service);
    void updateAdmission(Instant now);
    bool admit(Active &active);
    void noteLoad(const Active &active, Instant now);
    void placeWaitingSoon();
    void removeFromAdmission(const Active &active);
    bool isStarting(Instant now) const;
    double chance();

    EventLoop &loop_;
    const Dialect &dialect_;
    DirectRouterSettings settings_;
    Metrics &metrics_;
    SyncTask *sync_ = nullptr;
    HttpServer *server_ = nullptr;
    EndpointSelector board_;
    ServingVersions servingVersions_;
    EndpointPool pool_;
    std::map<std::string, RetryWindow, std::less<>> retries_; // by service
    AnswerTimes answerTimes_;
    // Incarnations of endpoints that were reported to have crashed, and when.
    std::map<std::pair<std::string, int64_t>, Instant> crashed_;
    std::map<ExchangeId, std::unique_ptr<Active>> active_;
    std::set<ExchangeId> waiting_; // for a place, or for routes
    std::map<std::string, ServiceAdmission, std::less<>> admissions_; // by plain service
    Instant demandsAppliedAt_ {};
    Instant loadLoggedAt_ {};
    bool placesSoon_ = false;
    Instant startedAt_ {};
    size_t heldBytes_ = 0; // in the bodies of active_
    std::mt19937_64 random_;
    bool stopping_ = false;
    Instant lastCall_ = Instant::max();
};

} // namespace bamboogap

#endif
