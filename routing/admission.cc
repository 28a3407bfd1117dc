// Admission and the wait queue of the endpoints that this router owns.

#include "routing/admission.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bamboogap {

namespace {

constexpr int kServiceWeight = 16; // one part in sixteen of the newest service time
constexpr Duration kLeastRetryAfter = std::chrono::seconds(1);
constexpr Duration kMostRetryAfter = std::chrono::seconds(30);

} // namespace

Admission::Admission(AdmissionSettings settings, LoadBoard *board, UsableHook mayUse)
    : settings_(settings)
    , board_(board)
    , mayUse_(std::move(mayUse))
    , queue_(settings.queue)
    , usualService_(settings.assumedService)
{
}

void Admission::setEndpoint(const Announcement &announcement, uint32_t lastRampLimit)
{
    const auto found = endpoints_.find(announcement.id);
    if (found == endpoints_.end()) {
        const uint32_t start = lastRampLimit > 0 ? lastRampLimit : announcement.coldCapacity;
        Ramp ramp(settings_.ramp, announcement.coldCapacity, announcement.capacity, start);
        if (announcement.cold)
            ramp.onCold();
        endpoints_.emplace(announcement.id, Endpoint { announcement, ramp, {}, 0, {} });
        board_->setRampLimit(announcement.id, ramp.limit());
        return;
    }
    Endpoint &endpoint = found->second;
    const bool restarted = announcement.incarnation > endpoint.announcement.incarnation;
    const bool warmed = endpoint.announcement.cold && !announcement.cold;
    endpoint.announcement = announcement;
    endpoint.ramp.setCapacities(announcement.coldCapacity, announcement.capacity);
    if (announcement.cold || restarted)
        endpoint.ramp.onCold();
    if (!announcement.cold && (warmed || restarted))
        endpoint.ramp.onWarm();
    board_->setRampLimit(announcement.id, endpoint.ramp.limit());
}

void Admission::removeEndpoint(std::string_view id)
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end() && found->second.running.empty())
        endpoints_.erase(found);
}

Admitted Admission::ask(const Ask &ask, Instant now)
{
    const auto problem = obstacle(ask.endpoint, ask.suspect, now);
    if (!problem) {
        start(ask, ask.endpoint, now);
        return { AdmitDecision::Run, {}, ErrorKind::NoCapacity, {} };
    }
    if (!ask.mayWait)
        return refuse(*problem, ErrorKind::NoCapacity, kLeastRetryAfter);
    const Duration wait = expectedWait(queue_.aheadOf(ask.request, now) + 1);
    if (now + wait > ask.request.startBy) {
        return refuse(fmt::format("{}; the expected wait of {} ms is longer than the {} ms left",
                                  *problem, toMillis(wait), toMillis(ask.request.startBy - now)),
                      ErrorKind::DeadlineTooShort, wait);
    }
    std::vector<RequestId> displaced;
    if (!queue_.add(ask.request, now, displaced))
        return refuse(*problem + "; the queue is full", ErrorKind::NoCapacity, wait);
    asks_[ask.request.id] = ask;
    // Displaced work is given its final answer by the next advance().
    for (const RequestId id : displaced)
        asks_[id].mayWait = false;
    return { AdmitDecision::Wait, *problem, ErrorKind::NoCapacity, {} };
}

void Admission::firstToken(RequestId id, Duration latency)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    const auto endpoint = endpoints_.find(found->second.endpoint);
    if (endpoint == endpoints_.end())
        return;
    endpoint->second.ramp.onFirstToken(latency);
    board_->setRampLimit(found->second.endpoint, endpoint->second.ramp.limit());
}

std::vector<Fingerprint> Admission::finish(RequestId id, const FinishReport &report, Instant now)
{
    std::vector<Fingerprint> struck;
    const auto found = running_.find(id);
    if (found == running_.end())
        return struck;
    const Running running = found->second;
    running_.erase(found);
    board_->addOwn(running.endpoint, -1);
    const auto place = endpoints_.find(running.endpoint);
    if (place == endpoints_.end())
        return struck;
    Endpoint &endpoint = place->second;
    const auto beside = static_cast<uint32_t>(endpoint.running.size());
    endpoint.running.erase(id);
    if (running.suspect)
        --endpoint.suspects;
    if (report.completed) {
        endpoint.ramp.onCompleted(beside);
        usualService_ += (now - running.since - usualService_) / kServiceWeight;
    }
    if (report.connectFailed)
        endpoint.backoffUntil = now + settings_.connectBackoff;
    if (report.crashed) {
        endpoint.backoffUntil = now + settings_.connectBackoff;
        endpoint.ramp.onFailed();
        struck.push_back(running.fingerprint);
        for (const RequestId other : endpoint.running)
            struck.push_back(running_.at(other).fingerprint);
    }
    board_->setRampLimit(running.endpoint, endpoint.ramp.limit());
    return struck;
}

bool Admission::cancelWaiting(RequestId id)
{
    asks_.erase(id);
    return queue_.remove(id);
}

QueueNews Admission::advance(Instant now)
{
    QueueNews news;
    const auto giveUp = [&](RequestId id, std::string reason, ErrorKind kind) {
        asks_.erase(id);
        news.givenUp.push_back({ id, refuse(std::move(reason), kind, expectedWait(1)) });
    };
    for (auto item = asks_.begin(); item != asks_.end();) {
        const auto next = std::next(item);
        if (!item->second.mayWait)
            giveUp(item->first, "work that goes first took its place in the queue",
                   ErrorKind::NoCapacity);
        item = next;
    }
    for (const RequestId id : queue_.takeExpired(now))
        giveUp(id, "no place became free before its deadline", ErrorKind::DeadlineTooShort);
    while (queue_.size() > 0) {
        std::string place;
        const auto fits = [&](const Waiting &waiting) {
            const Ask &ask = asks_.at(waiting.id);
            if (!obstacle(ask.endpoint, ask.suspect, now)) {
                place = ask.endpoint;
                return true;
            }
            if (!ask.suits)
                return false;
            for (const auto &[id, endpoint] : endpoints_) {
                if (ask.suits(id) && !obstacle(id, ask.suspect, now)) {
                    place = id;
                    return true;
                }
            }
            return false;
        };
        const RequestId id = queue_.take(fits, now);
        if (id == 0)
            break;
        const auto ask = asks_.find(id);
        start(ask->second, place, now);
        news.starts.push_back({ id, place });
        asks_.erase(ask);
    }
    return news;
}

uint32_t Admission::limitOf(std::string_view id) const
{
    const auto found = endpoints_.find(id);
    const BoardEndpoint *onBoard = board_->find(id);
    if (found == endpoints_.end() || !onBoard)
        return 0;
    return std::min({ found->second.announcement.capacity, found->second.ramp.limit(),
                      board_->multipleLimit(*onBoard) });
}

uint32_t Admission::runningOn(std::string_view id) const
{
    const BoardEndpoint *onBoard = board_->find(id);
    return onBoard ? onBoard->running() : 0;
}

std::vector<OwnLoad> Admission::loads(const std::set<std::string> &owned) const
{
    std::vector<OwnLoad> all;
    for (const auto &[id, endpoint] : endpoints_) {
        const bool isOwner = owned.count(id) > 0;
        if (endpoint.running.empty() && !isOwner)
            continue;
        all.push_back({ endpointKey(id), static_cast<uint16_t>(endpoint.running.size()),
                        static_cast<uint16_t>(isOwner ? endpoint.ramp.limit() : 0) });
    }
    return all;
}

// Why a request cannot start on the endpoint now; nothing if it can.
std::optional<std::string> Admission::obstacle(std::string_view id, bool suspect, Instant now) const
{
    if (auto reason = mayUse_(id))
        return reason;
    const auto found = endpoints_.find(id);
    const BoardEndpoint *onBoard = board_->find(id);
    if (found == endpoints_.end() || !onBoard)
        return "not registered";
    const Endpoint &endpoint = found->second;
    if (now < endpoint.backoffUntil)
        return "could not be reached a moment ago";
    if (suspect && endpoint.suspects > 0)
        return "runs another request under suspicion";
    const uint32_t running = onBoard->running();
    if (running >= endpoint.announcement.capacity)
        return fmt::format("full with {}", running);
    if (running >= endpoint.ramp.limit())
        return fmt::format("cold: {} of {} that it bears", running, endpoint.ramp.limit());
    const uint32_t bound = board_->multipleLimit(*onBoard);
    if (running >= bound)
        return fmt::format("at the load multiple: {} of {}", running, bound);
    return std::nullopt;
}

void Admission::start(const Ask &ask, std::string_view id, Instant now)
{
    Endpoint &endpoint = endpoints_.find(id)->second;
    endpoint.running.insert(ask.request.id);
    endpoint.suspects += ask.suspect;
    running_[ask.request.id] = { std::string(id), ask.fingerprint, ask.suspect, now };
    board_->addOwn(id, +1);
}

// The wait until `ahead` places have become free, by the usual service time
// and the number of requests that run here now.
Duration Admission::expectedWait(size_t ahead) const
{
    const size_t parallel = std::max<size_t>(1, running_.size());
    return usualService_ * static_cast<int64_t>(ahead) / static_cast<int64_t>(parallel);
}

Admitted Admission::refuse(std::string reason, ErrorKind kind, Duration retryAfter) const
{
    return { AdmitDecision::Refuse, std::move(reason), kind,
             std::clamp(retryAfter, kLeastRetryAfter, kMostRetryAfter) };
}

} // namespace bamboogap
