// Keeps this router's membership: sends the heartbeats and tells the other
// tasks what they changed.

#ifndef BAMBOOGAP_NODE_MEMBERTASK_H
#define BAMBOOGAP_NODE_MEMBERTASK_H

#include <functional>
#include <map>
#include <vector>

#include "fleet/member.h"
#include "node/controlclient.h"
#include "node/eventloop.h"

namespace bamboogap {

// The work of this router as it was reported with a heartbeat.
struct ReportedLoads
{
    std::vector<OwnLoad> loads;
    std::vector<PoolLoad> pools;
};

class MemberTask
{
public:
    using LoadsHook = std::function<ReportedLoads()>;
    using NewsHook = std::function<void(const MemberUpdate &, const ReportedLoads &)>;

    MemberTask(EventLoop &loop, ControlClient &control, RouterInfo self, Duration heartbeat);

    void start(LoadsHook loads, NewsHook news);

    // An endpoint announced itself here. News of it goes out at once.
    void hear(const Announcement &announcement);

    // The leader has news for this router, or samples the loads.
    void beatNow(uint64_t sample);

    // Leaves the fleet; fulfilled when the leader has acknowledged it or the
    // limit has passed.
    kj::Promise<void> leave(Duration limit);

    Member &member() { return member_; }
    bool holdsLease() { return member_.holdsLease(BootClock::now()); }

private:
    void beat();
    void beatSoon();
    kj::Promise<void> waitUntilLeft(Instant giveUpAt);

    EventLoop &loop_;
    ControlClient &control_;
    Member member_;
    Duration interval_;
    LoadsHook loads_;
    NewsHook news_;
    std::map<uint64_t, ReportedLoads> sent_; // by heartbeat sequence
    uint64_t sample_ = 0;
    Instant lastBeat_ {};
    bool beatQueued_ = false;
    bool hadLease_ = false;
};

} // namespace bamboogap

#endif
