// Streams of upstreams that break them off, and callers that check the order of what they get and take broken
// ones up again.
#pragma once

#include "platform/fake_upstream.h"

#include <cstddef>
#include <cstdint>
#include <functional>
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

// What became of streams that callers followed.
struct StreamTally {
    std::size_t m_whole = 0;
    std::size_t m_begun = 0; // New streams that brought an event.
    std::size_t m_notBegun = 0; // Attempts at new ones that a relay refused.
    std::size_t m_goneOn = 0; // Attempts to take up a stream that a relay didn't refuse.
    std::size_t m_notGoneOn = 0;
    std::vector<std::string> m_wrong;
};

auto operator+=(StreamTally&, const StreamTally&) -> StreamTally&;

// Returns the share of attempts to take up a stream that went on, against that of attempts at new ones that
// began.
auto shareGoneOn(const StreamTally&) -> double;

// Sends a request for a stream to relays in turn until it is whole, `attempts` at most.
auto followStream(const std::function<std::vector<Address>()>& relays, std::uint32_t seed,
    std::size_t attempts) -> StreamTally;

// Follows streams with several callers at once.
auto followStreams(const std::function<std::vector<Address>()>& relays, std::uint32_t seed,
    std::size_t streams, std::size_t attempts) -> StreamTally;

} // namespace marigoldladder::soak
