// What this process answers to the other nodes of the fleet.

#ifndef BAMBOOGAP_NODE_NODESERVER_H
#define BAMBOOGAP_NODE_NODESERVER_H

#include "node/controltask.h"
#include "node/membertask.h"
#include "node/ownertask.h"
#include "node/wire.capnp.h"

namespace bamboogap {

// control is null on a node without a data folder.
wire::Node::Client makeNodeServer(OwnerTask &owner, MemberTask &members, ControlTask *control);

} // namespace bamboogap

#endif
