// Tells other data centres of this one's nodes, and this one's nodes of theirs, in a large fleet. Only the
// relays of a data centre do so.
#pragma once

#include "relay/peer_socket.h"
#include "relay/relay_board.h"
#include "relay/relay_settings.h"

#include <functional>
#include <random>
#include <string_view>

namespace marigoldladder::relay::messages {
struct Digest;
struct DigestT;
struct MemberT;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

class DigestExchange {
public:
    DigestExchange(Executor, const RelaySettings&, RelayBoard&, PeerSocket&, Incarnation);

    // Starts to tell.
    auto start(std::function<bool()> isReady) -> void;

    // Takes a digest, and passes it on to this data centre's nodes if it comes right from another one.
    // `datagram`: all its bytes.
    auto apply(const messages::Digest&, std::string_view datagram, const Address& from) -> void;

    // Passes a datagram on to this data centre's nodes.
    auto forwardToLocalPeers(std::string_view datagram) -> void;

private:
    auto sendPeriodically() -> Awaitable<void>;
    auto sendDigests() -> void;
    auto makeDigest() -> std::string;
    auto fillMembers(messages::DigestT&, MonotonicTime now) const -> void;
    auto fillLoads(messages::DigestT&) const -> void;
    auto fillTrouble(messages::DigestT&, MonotonicTime now) const -> void;
    auto applyMember(const messages::MemberT&, const DataCentreName&, MonotonicTime now) -> void;
    auto applyLoads(const messages::DigestT&, MonotonicTime now) -> void;
    auto applyTrouble(const messages::DigestT&, MonotonicTime now) -> void;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    PeerSocket& m_socket;
    Incarnation m_incarnation;
    std::function<bool()> m_isReady;
    std::uint64_t m_number = 0;
    std::map<VmName, std::pair<Incarnation, std::uint64_t>>
        m_latestDigests; // The latest digest of each relay.
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
