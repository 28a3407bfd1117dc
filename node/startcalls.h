// Tells routers that a replica has started.
//
// After a loss of power each router looks for the replicas among its seeds; a replica that
// is no seed, or is up before them, calls the routers it knew. A machine without power does
// not answer at all, so an attempt is given up soon and made again, with a longer limit each
// time, until the router has reported or the calls have gone on for long enough.

#ifndef BAMBOOGAP_NODE_STARTCALLS_H
#define BAMBOOGAP_NODE_STARTCALLS_H

#include <map>
#include <string>
#include <vector>

#include "node/eventloop.h"
#include "node/peers.h"

namespace bamboogap {

class StartCalls
{
public:
    StartCalls(EventLoop &loop, Peers &peers, std::string ownAddress);

    void start(const std::vector<std::string> &routers);
    // The router has found this replica by itself.
    void found(const std::string &router);

private:
    struct Attempts
    {
        Duration limit {}; // of the next one
        bool inFlight = false;
    };

    void next();
    void call(const std::string &router, Attempts &attempts);
    void ended(const std::string &router, bool told);

    EventLoop &loop_;
    Peers &peers_;
    std::string ownAddress_;
    std::map<std::string, Attempts> left_;
    size_t inFlight_ = 0;
    Instant until_ {};
};

} // namespace bamboogap

#endif
