// Calls that must not run twice: finds the one process that may run each, and asks it.
//
// A key bound to a node is run by that incarnation of the node alone. A plain key is claimed on the platform
// and from then on belongs to the claiming incarnation. Every other node passes the call on to the holder.
// `NotRun` holds for the key, not only for the call at hand: no call under it has been dispatched.
#pragma once

#include "fleet/peer_links.h"
#include "limits/allowance.h"
#include "serving/keyed_claims.h"
#include "serving/keyed_ledger.h"
#include "serving/request_runner.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace marigoldladder {

// A call of a plain service under an idempotency key. Its charge is made by the node that runs it.
struct KeyedRequest {
    ServeCall m_call;
    RouteName m_route;
};

// Runs a call on the pool and waits for its whole answer.
using KeyedDispatch
    = std::function<Result<KeptAnswer>(const ServeCall&, const PoolName&, MonotonicTime deadline)>;

// Makes the dispatch that goes through the runner.
auto makeKeyedDispatch(RequestRunner&) -> KeyedDispatch;

// Thread-safe.
class KeyedService {
public:
    KeyedService(
        Blackboard&, PeerLinks&, Allowance&, KeyedClaims&, ClaimHolder self, WallClock, KeyedDispatch);
    KeyedService(const KeyedService&) = delete;
    auto operator=(const KeyedService&) -> KeyedService& = delete;

    // Waits for the calls of peers that are still running.
    ~KeyedService();

    // Runs the call, replays its answer, or refuses it.
    auto serve(const KeyedRequest&, MonotonicTime deadline) -> Result<KeptAnswer>;

    // Serves a call that a peer passed on, on a thread of its own; the answer goes back over the connection.
    auto handleKeyedCall(const std::shared_ptr<PeerConnection>&, const wire::EnvelopeT&) -> void;

private:
    auto serveForPeer(const KeyedRequest&, MonotonicTime deadline) -> Result<KeptAnswer>;
    auto serveBound(const BoundKey&, const KeyedRequest&, MonotonicTime deadline) -> Result<KeptAnswer>;
    auto servePlain(const KeyedRequest&, MonotonicTime deadline) -> Result<KeptAnswer>;
    auto claimAndRun(const ScopedKey&, const KeyedRequest&, bool triedBefore, MonotonicTime deadline)
        -> Result<KeptAnswer>;
    auto run(const ScopedKey&, const KeyedRequest&, MonotonicTime deadline) -> Result<KeptAnswer>;
    auto chargeAndDispatch(const KeyedRequest&, MonotonicTime deadline) -> Result<KeptAnswer>;
    auto endTurn(const KeyTurn&) -> Result<KeptAnswer>;
    auto passOn(const ClaimHolder&, const KeyedRequest&, MonotonicTime deadline) -> Result<KeptAnswer>;
    auto askHolder(PeerLink&, const KeyedRequest&, MonotonicTime deadline) -> Result<KeptAnswer>;
    auto currentEpoch() -> KeyEpoch;
    auto enterPeerCall() -> bool;
    auto leavePeerCall() -> void;

    Blackboard& m_blackboard;
    PeerLinks& m_links;
    Allowance& m_allowance;
    KeyedClaims& m_claims;
    ClaimHolder m_self;
    WallClock m_clock;
    KeyedDispatch m_dispatch;
    KeyedLedger m_ledger;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    KeyEpoch m_latestEpoch = 0; // Never goes back, whatever the clock of the day does.
    std::size_t m_peerCalls = 0;
};

} // namespace marigoldladder
