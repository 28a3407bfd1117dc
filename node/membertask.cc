// Heartbeats of a router.

#include "node/membertask.h"

#include <fmt/format.h>

#include "base/log.h"

namespace bamboogap {

namespace {

// Extra heartbeats are this far apart, so that news cannot become a flood.
constexpr Duration kSoon = std::chrono::milliseconds(20);
constexpr size_t kMaxSentKept = 64;
constexpr Duration kLeavePoll = std::chrono::milliseconds(50);

} // namespace

MemberTask::MemberTask(EventLoop &loop, ControlClient &control, RouterInfo self, Duration heartbeat)
    : loop_(loop)
    , control_(control)
    , member_(std::move(self))
    , interval_(heartbeat)
{
}

void MemberTask::start(LoadsHook loads, NewsHook news)
{
    loads_ = std::move(loads);
    news_ = std::move(news);
    beatSoon();
    // Mostly the leader's samples set the pace; this is for when they do not come.
    loop_.every(interval_ / 2, "member", [this] {
        if (BootClock::now() - lastBeat_ >= interval_)
            beat();
    });
}

void MemberTask::hear(const Announcement &announcement)
{
    const auto known = member_.endpoints().find(announcement.id);
    const bool isNews
            = known == member_.endpoints().end() || !(known->second.announcement == announcement);
    member_.recordAnnouncement(announcement, BootClock::now());
    if (isNews)
        beatSoon();
}

void MemberTask::beatNow(uint64_t sample)
{
    sample_ = sample;
    beat();
}

kj::Promise<void> MemberTask::leave(Duration limit)
{
    member_.leave();
    beatSoon();
    return waitUntilLeft(BootClock::now() + limit);
}

kj::Promise<void> MemberTask::waitUntilLeft(Instant giveUpAt)
{
    const Instant now = BootClock::now();
    const RouterInfo *self = member_.view().find(member_.self().name);
    const bool left = !self || !(*self == member_.self());
    if (left || now >= giveUpAt)
        return kj::READY_NOW;
    return loop_.sleep(kLeavePoll).then([this, giveUpAt]() { return waitUntilLeft(giveUpAt); });
}

void MemberTask::beat()
{
    Heartbeat heartbeat = member_.makeHeartbeat(BootClock::now());
    lastBeat_ = BootClock::now();
    const ReportedLoads reported = loads_();
    heartbeat.sample = sample_;
    heartbeat.loads = reported.loads;
    heartbeat.pools = reported.pools;
    sent_[heartbeat.sequence] = reported;
    while (sent_.size() > kMaxSentKept)
        sent_.erase(sent_.begin());
    const std::string asked = control_.target();
    loop_.detach(control_.heartbeat(heartbeat).then([this, asked](Result<HeartbeatReply> reply) {
        const Instant now = BootClock::now();
        if (!reply) {
            if (control_.target() != asked)
                beatSoon();
            return;
        }
        const uint64_t sequence = reply->sequence;
        const MemberUpdate news = member_.receive(std::move(*reply), now);
        news_(news, sent_[sequence]);
        if (news.view || news.lists) {
            logEvent(LogLevel::Info, "fleet_news",
                     { { "epoch", fmt::to_string(member_.view().epoch) },
                       { "active", fmt::to_string(member_.activeEpoch()) },
                       { "revision", fmt::to_string(member_.lists().revision) } });
        }
        if (news.ownership) {
            logEvent(LogLevel::Info, "ownership",
                     { { "epoch", fmt::to_string(member_.view().epoch) },
                       { "owned", fmt::to_string(member_.owned().size()) } });
        }
        if (news.heartbeatNow)
            beatSoon();
    }),
                 "heartbeat");
    const bool hasLease = holdsLease();
    if (hadLease_ != hasLease) {
        logEvent(hasLease ? LogLevel::Info : LogLevel::Warning,
                 hasLease ? "lease_gained" : "lease_lost", { { "leader", control_.target() } });
    }
    hadLease_ = hasLease;
}

void MemberTask::beatSoon()
{
    if (beatQueued_)
        return;
    beatQueued_ = true;
    loop_.detach(loop_.sleep(kSoon).then([this]() {
        beatQueued_ = false;
        beat();
    }),
                 "heartbeat");
}

} // namespace bamboogap
