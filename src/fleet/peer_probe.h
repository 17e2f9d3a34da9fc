// Finds out whether a peer answers, directly or through others.
//
// A node that one peer can't reach may still serve all the others, so nobody is suspected on the word of a
// single connection: the probe is repeated on a new connection, and then by other nodes.
#pragma once

#include "core/posix_thread.h"
#include "fleet/peer_links.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <random>

namespace marigoldladder {

// How long one step of a probe may take.
inline constexpr auto probeTimeout = std::chrono::milliseconds(400);

// Exchanges something over the link; whether the peer answered.
using ProbeExchange = std::function<bool(PeerLink&)>;

// Whether the member answers on its link, on a new link, or to one of a few other nodes. A member that is
// suspect already is tried on a new link only.
auto probeMember(Blackboard&, PeerLinks&, const VmName& self, const VmName& target, const ProbeExchange&,
    std::mt19937_64&) -> bool;

// Probes members for peers that can't reach them, one at a time on a thread of its own.
class ProbeService {
public:
    ProbeService(Blackboard&, PeerLinks&, VmName self);
    ProbeService(const ProbeService&) = delete;
    auto operator=(const ProbeService&) -> ProbeService& = delete;
    ~ProbeService();

    // Queues a probe and answers it later; answers at once that the member was not reached when busy.
    auto handle(const std::shared_ptr<PeerConnection>&, const wire::EnvelopeT&) -> void;

private:
    struct Order {
        std::shared_ptr<PeerConnection> m_asker;
        std::uint64_t m_correlation = 0;
        VmName m_target;
    };

    auto run() -> void;
    auto reaches(const VmName&) -> bool;

    Blackboard& m_blackboard;
    PeerLinks& m_links;
    VmName m_self;
    std::mt19937_64 m_random { std::random_device()() }; // Used by the thread only.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Order> m_orders;
    bool m_stopping = false;
    PosixThread m_thread; // Last: it uses all the others.
};

} // namespace marigoldladder
