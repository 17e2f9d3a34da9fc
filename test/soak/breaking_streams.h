// Streams of upstreams that break them off, and callers that check the order of what they get and take broken
// ones up again.
#pragma once

#include "platform/fake_upstream.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigoldladder::soak {

inline constexpr auto eventsOfOrderedStream = std::size_t { 12 };

// Runs a request for a stream on software of this version, and breaks many of the answers off: by a reset or
// a close, between two events or inside one, framed or not, some of them before the request's body was read.
// An answer that is broken off shows that it is, by its framing or by the reset.
auto breakingStream(const platform::UpstreamRequest&, const std::string& version, std::uint64_t run)
    -> platform::UpstreamReply;

// What a caller has of a stream, over all of its attempts.
struct OrderedStream {
    std::string m_firstId; // Of the attempt that brought the first event.
    std::size_t m_lastEvent = 0;
    std::string m_version; // Of the software that ran it; events of two versions don't fit together.
    bool m_isWhole = false;
};

// Takes the body of one attempt. Returns what is wrong with it, or nothing: a piece that is missing or came
// twice, one of another run, or an end before the last piece.
auto takeAttempt(OrderedStream&, const std::string& requestId, const std::string& body, bool isComplete)
    -> std::optional<std::string>;

// Sends a request for a stream to relays in turn until it is whole, `attempts` at most. Returns what is
// wrong.
auto followStream(const std::vector<Address>& relays, std::uint32_t seed, std::size_t attempts)
    -> std::optional<std::string>;

} // namespace marigoldladder::soak
