// In a large fleet, the gateways of a data centre send digests, the joint state of its nodes, to the other
// data centres, and forward the digests received from these to its nodes.
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

    // Starts sending digests periodically; a node that is not a gateway of a large fleet sends none.
    auto start(std::function<bool()> isReady) -> void;

    // Applies a digest, and forwards it to this data centre's nodes if its sender (`from`) is the gateway
    // that made it. `datagram` is the whole message.
    auto apply(const messages::Digest&, std::string_view datagram, const Address& from) -> void;

    // Forwards a datagram to the live nodes of this data centre.
    auto forwardToLocalPeers(std::string_view datagram) -> void;

private:
    auto sendPeriodically() -> Awaitable<void>;
    auto sendDigests() -> void;
    auto makeDigest() -> std::string;
    auto fillMembers(messages::DigestT&, MonotonicTime now) const -> void;
    auto fillLoads(messages::DigestT&) const -> void;
    auto fillFaults(messages::DigestT&, MonotonicTime now) const -> void;
    auto applyMember(const messages::MemberT&, const DataCentreName&, MonotonicTime now) -> void;
    auto applyLoads(const messages::DigestT&, MonotonicTime now) -> void;
    auto applyFaults(const messages::DigestT&, MonotonicTime now) -> void;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    PeerSocket& m_socket;
    Incarnation m_incarnation;
    std::function<bool()> m_isReady;
    std::uint64_t m_number = 0;
    std::map<VmName, std::pair<Incarnation, std::uint64_t>> m_latestDigests; // Of each gateway.
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
