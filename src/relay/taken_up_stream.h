// A stream that its caller takes up after its answer broke: where it may go on.
#pragma once

#include "relay/stream_origins.h"
#include "relay/upstream_call.h"

#include <optional>
#include <vector>

namespace marigoldladder::relay {

// Whether the request takes up a stream that began with an earlier attempt of its caller.
auto isTakenUp(const CallState&) -> bool;

// Returns the key of the request's stream: of the attempt that brought its first event. The organisation has
// to be known. Nothing if the stream can't be taken up.
auto streamKeyOf(const CallState&) -> std::optional<StreamKey>;

// Returns the software at which the request's stream has to go on, by the entries there are now; nothing if
// it hasn't begun.
auto neededSoftware(const CallState&, const UpstreamTable&) -> std::optional<SoftwareId>;

// Returns which of the route's pools has upstreams of this software that take requests; nothing if none has.
auto poolOfSoftware(const UpstreamTable&, const Route&, SoftwareId) -> std::optional<PoolName>;

} // namespace marigoldladder::relay
