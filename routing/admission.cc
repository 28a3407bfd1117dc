// Admission decisions and the wait queue for the endpoints that this router owns.

#include "routing/admission.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bamboogap {

namespace {

constexpr int kServiceTimeWeight = 16; // the newest service time has weight 1 / 16 in the mean
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

} // namespace

Admission::Admission(AdmissionSettings settings, LoadTable *loadTable, EndpointCheck checkEndpoint)
    : settings_(settings)
    , loadTable_(loadTable)
    , checkEndpoint_(std::move(checkEndpoint))
    , queue_(settings.queue)
    , averageServiceTime_(settings.initialServiceTime)
{
}

void Admission::setEndpoint(const Announcement &announcement, uint32_t lastSlowStartLimit)
{
    const auto found = endpoints_.find(announcement.id);
    if (found == endpoints_.end()) {
        const uint32_t start
                = lastSlowStartLimit > 0 ? lastSlowStartLimit : announcement.coldCapacity;
        SlowStart slowStart(settings_.slowStart, announcement.coldCapacity, announcement.capacity,
                            start);
        if (announcement.cold)
            slowStart.onCold();
        endpoints_.emplace(announcement.id, Endpoint { announcement, slowStart, {}, 0, {} });
        loadTable_->setSlowStartLimit(announcement.id, slowStart.limit());
        return;
    }
    Endpoint &endpoint = found->second;
    const bool restarted = announcement.incarnation > endpoint.announcement.incarnation;
    const bool warmed = endpoint.announcement.cold && !announcement.cold;
    endpoint.announcement = announcement;
    endpoint.slowStart.setCapacities(announcement.coldCapacity, announcement.capacity);
    if (announcement.cold || restarted)
        endpoint.slowStart.onCold();
    if (!announcement.cold && (warmed || restarted))
        endpoint.slowStart.onWarm();
    loadTable_->setSlowStartLimit(announcement.id, endpoint.slowStart.limit());
}

void Admission::removeEndpoint(std::string_view id)
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end() && found->second.running.empty())
        endpoints_.erase(found);
}

AdmissionResult Admission::admit(const AdmissionRequest &request, Instant now)
{
    const auto problem = rejectionReason(request.endpoint, request.suspect, now);
    if (!problem) {
        start(request, request.endpoint, now);
        return { AdmissionDecision::Run, {}, ErrorKind::NoCapacity, {} };
    }
    if (!request.mayWait)
        return reject(*problem, ErrorKind::NoCapacity, kMinRetryAfter);
    const Duration wait = expectedWait(queue_.countAhead(request.queueEntry, now) + 1);
    if (now + wait > request.queueEntry.startBy) {
        return reject(fmt::format("{}; the expected wait of {} ms is longer than the {} ms left",
                                  *problem, toMillis(wait),
                                  toMillis(request.queueEntry.startBy - now)),
                      ErrorKind::DeadlineTooShort, wait);
    }
    std::vector<RequestId> displaced;
    if (!queue_.add(request.queueEntry, now, displaced))
        return reject(*problem + "; the queue is full", ErrorKind::NoCapacity, wait);
    waitingRequests_[request.queueEntry.id] = request;
    // The next advance() rejects the displaced requests.
    for (const RequestId id : displaced)
        waitingRequests_[id].mayWait = false;
    return { AdmissionDecision::Wait, *problem, ErrorKind::NoCapacity, {} };
}

void Admission::onFirstToken(RequestId id, Duration latency)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    const auto endpoint = endpoints_.find(found->second.endpoint);
    if (endpoint == endpoints_.end())
        return;
    endpoint->second.slowStart.onFirstToken(latency);
    loadTable_->setSlowStartLimit(found->second.endpoint, endpoint->second.slowStart.limit());
}

std::vector<Fingerprint> Admission::finish(RequestId id, const FinishReport &report, Instant now)
{
    std::vector<Fingerprint> fingerprints;
    const auto found = running_.find(id);
    if (found == running_.end())
        return fingerprints;
    const Running running = found->second;
    running_.erase(found);
    loadTable_->addOwn(running.endpoint, -1);
    const auto entry = endpoints_.find(running.endpoint);
    if (entry == endpoints_.end())
        return fingerprints;
    Endpoint &endpoint = entry->second;
    const auto concurrency = static_cast<uint32_t>(endpoint.running.size());
    endpoint.running.erase(id);
    if (running.suspect)
        --endpoint.runningSuspects;
    if (report.completed) {
        endpoint.slowStart.onCompleted(concurrency);
        averageServiceTime_ += (now - running.since - averageServiceTime_) / kServiceTimeWeight;
    }
    if (report.connectFailed)
        endpoint.backoffUntil = now + settings_.connectBackoff;
    if (report.crashed) {
        endpoint.backoffUntil = now + settings_.connectBackoff;
        endpoint.slowStart.onFailed();
        fingerprints.push_back(running.fingerprint);
        for (const RequestId other : endpoint.running)
            fingerprints.push_back(running_.at(other).fingerprint);
    }
    loadTable_->setSlowStartLimit(running.endpoint, endpoint.slowStart.limit());
    return fingerprints;
}

bool Admission::cancelWaiting(RequestId id)
{
    waitingRequests_.erase(id);
    return queue_.remove(id);
}

QueueUpdate Admission::advance(Instant now)
{
    QueueUpdate update;
    const auto rejectWaiting = [&](RequestId id, std::string reason, ErrorKind kind) {
        waitingRequests_.erase(id);
        update.rejections.push_back({ id, reject(std::move(reason), kind, expectedWait(1)) });
    };
    for (auto item = waitingRequests_.begin(); item != waitingRequests_.end();) {
        const auto next = std::next(item);
        if (!item->second.mayWait)
            rejectWaiting(item->first, "displaced from the queue by a request that precedes it",
                          ErrorKind::NoCapacity);
        item = next;
    }
    for (const RequestId id : queue_.takeExpired(now))
        rejectWaiting(id, "no slot became free before the deadline", ErrorKind::DeadlineTooShort);
    while (queue_.size() > 0) {
        std::string chosen;
        const auto fits = [&](const QueueEntry &entry) {
            const AdmissionRequest &request = waitingRequests_.at(entry.id);
            if (!rejectionReason(request.endpoint, request.suspect, now)) {
                chosen = request.endpoint;
                return true;
            }
            if (!request.acceptsEndpoint)
                return false;
            for (const auto &[id, endpoint] : endpoints_) {
                if (request.acceptsEndpoint(id) && !rejectionReason(id, request.suspect, now)) {
                    chosen = id;
                    return true;
                }
            }
            return false;
        };
        const RequestId id = queue_.take(fits, now);
        if (id == 0)
            break;
        const auto request = waitingRequests_.find(id);
        start(request->second, chosen, now);
        update.starts.push_back({ id, chosen });
        waitingRequests_.erase(request);
    }
    return update;
}

uint32_t Admission::limitOf(std::string_view id) const
{
    const auto found = endpoints_.find(id);
    const EndpointLoad *load = loadTable_->find(id);
    if (found == endpoints_.end() || !load)
        return 0;
    return std::min({ found->second.announcement.capacity, found->second.slowStart.limit(),
                      loadTable_->multipleLimit(*load) });
}

uint32_t Admission::runningOn(std::string_view id) const
{
    const EndpointLoad *load = loadTable_->find(id);
    return load ? load->running() : 0;
}

std::vector<OwnLoad> Admission::loads(const std::set<std::string> &owned) const
{
    std::vector<OwnLoad> all;
    for (const auto &[id, endpoint] : endpoints_) {
        const bool isOwner = owned.count(id) > 0;
        if (endpoint.running.empty() && !isOwner)
            continue;
        all.push_back({ endpointKey(id), static_cast<uint16_t>(endpoint.running.size()),
                        static_cast<uint16_t>(isOwner ? endpoint.slowStart.limit() : 0) });
    }
    return all;
}

// Returns why a request cannot start on the endpoint now, or nothing if it can.
std::optional<std::string> Admission::rejectionReason(std::string_view id, bool suspect,
                                                      Instant now) const
{
    if (auto reason = checkEndpoint_(id))
        return reason;
    const auto found = endpoints_.find(id);
    const EndpointLoad *load = loadTable_->find(id);
    if (found == endpoints_.end() || !load)
        return "not registered";
    const Endpoint &endpoint = found->second;
    if (now < endpoint.backoffUntil)
        return "in back-off after a failed connection or a crash";
    if (suspect && endpoint.runningSuspects > 0)
        return "already runs a suspect request";
    const uint32_t running = load->running();
    if (running >= endpoint.announcement.capacity)
        return fmt::format("full: {} requests running", running);
    if (running >= endpoint.slowStart.limit())
        return fmt::format("cold: {} requests running, slow-start limit is {}", running,
                           endpoint.slowStart.limit());
    const uint32_t bound = loadTable_->multipleLimit(*load);
    if (running >= bound)
        return fmt::format("load multiple reached: {} requests running, limit is {}", running,
                           bound);
    return std::nullopt;
}

void Admission::start(const AdmissionRequest &request, std::string_view id, Instant now)
{
    Endpoint &endpoint = endpoints_.find(id)->second;
    endpoint.running.insert(request.queueEntry.id);
    endpoint.runningSuspects += request.suspect;
    running_[request.queueEntry.id]
            = { std::string(id), request.fingerprint, request.suspect, now };
    loadTable_->addOwn(id, +1);
}

// Expected time until `ahead` slots have become free, from the average service time and the
// number of requests that run here now.
Duration Admission::expectedWait(size_t ahead) const
{
    const size_t parallel = std::max<size_t>(1, running_.size());
    return averageServiceTime_ * static_cast<int64_t>(ahead) / static_cast<int64_t>(parallel);
}

AdmissionResult Admission::reject(std::string reason, ErrorKind kind, Duration retryAfter) const
{
    return { AdmissionDecision::Reject, std::move(reason), kind,
             std::clamp(retryAfter, kMinRetryAfter, kMaxRetryAfter) };
}

} // namespace bamboogap
