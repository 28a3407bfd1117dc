// Wires the tasks of one node together and carries it from start to stop.

#ifndef BAMBOOGAP_NODE_DAEMON_H
#define BAMBOOGAP_NODE_DAEMON_H

#include <memory>

#include "node/settings.h"

namespace bamboogap {

class Daemon
{
public:
    // Opens the data folder and the ports. InvalidSettings, StorageFailed or
    // StorageDamaged if that is not possible.
    static Result<std::unique_ptr<Daemon>> start(Settings settings);

    // Runs until a planned stop (SIGTERM or SIGINT) has ended.
    virtual void run() = 0;

    virtual ~Daemon() noexcept(false) { }
};

} // namespace bamboogap

#endif
