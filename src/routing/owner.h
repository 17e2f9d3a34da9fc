// The owner role: queues calls for the upstreams this node owns and admits them as the upstreams bear.
#pragma once

#include "core/blackboard.h"
#include "core/periodic_task.h"
#include "routing/adapter_manager.h"
#include "routing/fair_queue.h"
#include "routing/poison_watch.h"
#include "routing/ramp.h"
#include "routing/resolve.h"
#include "routing/serve_call.h"
#include "routing/upstream_client.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace marigoldladder {

// Tells whether somebody still waits for a call's answer.
using WantedCheck = std::function<bool()>;

// Thread-safe. Each running call has a thread of its own, at most the concurrency cap for an upstream.
class Owner {
public:
    Owner(Blackboard&, PoisonWatch&, EngineOrders = {});
    Owner(const Owner&) = delete;
    auto operator=(const Owner&) -> Owner& = delete;

    // Waits for the end of all calls.
    ~Owner();

    // Queues the call and returns at once; its answer goes to the sink from other threads. A doubled call is
    // dropped, a dead one (see `resolve`) refused. A call that nobody wants any longer is given up.
    auto serve(ServeCall, AnswerSink, WantedCheck) -> void;

    // Gives up on a try of a request, queued or running; one that can't be repeated runs on if it started.
    auto cancel(const RequestId& attempt) -> void;

    // Tells whether a try may have run. One that is queued is withdrawn, and one never seen is refused from
    // then on, so that `NotRun` stays true.
    auto resolve(const RequestId& attempt) -> Verdict;

    // The adapters of the upstreams that this node serves.
    auto adapters() -> AdapterManager& { return m_adapters; }

    // Calls that wait or run here.
    auto callsInProgress() -> std::size_t;

private:
    struct PendingCall;
    struct UpstreamState;
    using PendingHandle = std::shared_ptr<PendingCall>;

    auto isOutOfService(const Upstream&) const -> bool;
    auto enterCall(const PendingHandle&) -> bool;
    auto enqueue(const PendingHandle&) -> void;
    auto refuseQueued(const PendingHandle&, Failure) -> void;
    auto takeFromQueue(const PendingHandle&) -> bool;

    auto startAllCalls() -> void;
    auto startCalls(UpstreamState&) -> void;
    auto mayStartCall(const UpstreamState&) const -> bool;
    auto readyToStart(const UpstreamState&, const QueuedCall&) const -> bool;
    auto nextCall(UpstreamState&) -> PendingHandle;
    auto startCall(UpstreamState&, const PendingHandle&) -> void;

    auto runPending(UpstreamState&, const PendingHandle&) -> void;
    auto runAdmitted(UpstreamState&, PendingCall&) -> AnswerEnd;
    auto runExchange(UpstreamState&, PendingCall&, const Upstream&) -> AnswerEnd;
    auto observe(UpstreamState&, PendingCall&, const AnswerEvent&) -> void;
    auto noteBoot(UpstreamState&, PendingCall&, const std::string& bootId) -> void;
    auto noteEnd(UpstreamState&, PendingCall&, const Upstream&, ExchangeEnd&) -> void;
    auto noteLoss(PendingCall&, const Upstream&, const std::string& bootId) -> bool;
    auto endSolitude(UpstreamState&, PendingCall&) -> void;
    auto finishCall(UpstreamState&, const PendingHandle&, AnswerEnd) -> void;
    auto sweep() -> void;

    Blackboard& m_blackboard;
    PoisonWatch& m_poison;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed; // A call ended.
    std::map<UpstreamName, std::unique_ptr<UpstreamState>> m_states;
    std::unordered_map<RequestId, PendingHandle> m_calls; // Queued or running, by their try.
    AttemptLog m_attempts;
    std::size_t m_running = 0; // Threads that serve or refuse calls.
    AdapterManager m_adapters;
    PeriodicTask m_sweep; // Last: gives up calls whose deadline passed or that nobody wants.
};

} // namespace marigoldladder
