// Conversions between the aggregates' plain messages and their wire form.
//
// Readers check what they read: a peer's message that cannot be read is
// PeerFailed and is dropped.

#ifndef BAMBOOGAP_NODE_CONVERT_H
#define BAMBOOGAP_NODE_CONVERT_H

#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "control/fingerprintchanges.h"
#include "control/raft.h"
#include "control/state.h"
#include "fleet/endpointratelimits.h"
#include "fleet/heartbeat.h"
#include "fleet/placementlog.h"
#include "node/wire.capnp.h"

namespace bamboogap {

inline std::string_view toView(capnp::Text::Reader text)
{
    return { text.cStr(), text.size() };
}

inline std::string_view toView(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

inline capnp::Data::Reader toData(std::string_view bytes)
{
    return { reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size() };
}

// Size of a message that is being built, or of a part of one.
template<typename Builder> size_t sizeInBytes(const Builder &message)
{
    return message.asReader().totalSize().wordCount * sizeof(capnp::word);
}

std::string toCbor(const nlohmann::json &value);
// PeerFailed if the bytes are no CBOR.
Result<nlohmann::json> fromCbor(std::string_view bytes);

void write(const RaftMessage &message, wire::RaftMessage::Builder builder);
RaftMessage read(wire::RaftMessage::Reader reader);

void write(const RouterInfo &router, wire::RouterInfo::Builder builder);
RouterInfo read(wire::RouterInfo::Reader reader);

void write(const Heartbeat &heartbeat, wire::Heartbeat::Builder builder);
Result<Heartbeat> read(wire::Heartbeat::Reader reader);

void write(const HeartbeatReply &reply, wire::HeartbeatReply::Builder builder);
Result<HeartbeatReply> read(wire::HeartbeatReply::Reader reader);

std::string encodeCommandAnswer(const CommandAnswer &answer);
Result<CommandAnswer> parseCommandAnswer(std::string_view bytes);

void write(std::span<const PromptPlacement> placements,
           capnp::List<wire::PromptPlacement>::Builder builder);
std::vector<PromptPlacement> read(capnp::List<wire::PromptPlacement>::Reader reader);

void write(const Error &error, wire::Problem::Builder builder);
Error read(wire::Problem::Reader reader);

void write(const FingerprintChange &change, wire::FingerprintChange::Builder builder);
FingerprintChange read(wire::FingerprintChange::Reader reader);

// Times are written as milliseconds before `now`.
void write(std::span<const LimitObservation> observations,
           capnp::List<wire::LimitObservation>::Builder list, Instant now);
std::vector<LimitObservation> read(capnp::List<wire::LimitObservation>::Reader list, Instant now);

} // namespace bamboogap

#endif
