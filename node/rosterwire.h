// Endpoint records as they go from replicas to routers: packed and deflated, since the
// records of a service differ in a few bytes only.

#ifndef BAMBOOGAP_NODE_ROSTERWIRE_H
#define BAMBOOGAP_NODE_ROSTERWIRE_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "fleet/roster.h"
#include "node/wire.capnp.h"

namespace bamboogap {

void writeRecord(const EndpointRecord &record, wire::EndpointRecord::Builder builder);
EndpointRecord readRecord(wire::EndpointRecord::Reader reader);

// Empty for no records.
std::string packRecords(std::span<const EndpointRecord> records);

// PeerFailed if the bytes are nothing that packRecords() made.
Result<std::vector<EndpointRecord>> unpackRecords(std::string_view bytes);

} // namespace bamboogap

#endif
