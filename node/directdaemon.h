// Wires the tasks of one node of a direct fleet: a router where it listens for
// callers, a control replica where it has a data folder.

#ifndef BAMBOOGAP_NODE_DIRECTDAEMON_H
#define BAMBOOGAP_NODE_DIRECTDAEMON_H

#include <memory>
#include <string>

#include "node/daemon.h"
#include "node/dialect.h"

namespace bamboogap {

// Opens the data folder and the ports. InvalidSettings, StorageFailed or
// StorageDamaged if that is not possible. settingsFile is read again on SIGHUP and
// when it has changed.
Result<std::unique_ptr<Daemon>> startDirectDaemon(Settings settings, std::string settingsFile,
                                                  Dialect dialect);

} // namespace bamboogap

#endif
