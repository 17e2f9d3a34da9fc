// The owner role: queues calls for the upstreams this node owns and admits them as the upstreams bear.
#pragma once

#include "core/blackboard.h"
#include "core/periodic_task.h"
#include "routing/adapter_manager.h"
#include "routing/serve_call.h"
#include "routing/upstream_client.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace marigoldladder {

// Thread-safe. Each running call has a thread of its own, at most the concurrency cap for an upstream.
class Owner {
public:
    explicit Owner(Blackboard&);
    Owner(const Owner&) = delete;
    auto operator=(const Owner&) -> Owner& = delete;

    // Waits for the end of all calls.
    ~Owner();

    // Queues the call and returns at once; its answer goes to the sink from other threads.
    auto serve(ServeCall, AnswerSink) -> void;

    // Gives up on a call, queued or running.
    auto cancel(const RequestId&) -> void;

    // The adapters of the upstreams that this node serves.
    auto adapters() -> AdapterManager& { return m_adapters; }

    // Calls that wait or run here.
    auto callsInProgress() -> std::size_t;

private:
    struct PendingCall;
    struct UpstreamState;

    auto findUpstream(const UpstreamName&) const -> std::optional<Upstream>;
    auto enqueue(const std::shared_ptr<PendingCall>&) -> bool;
    auto startCalls(UpstreamState&) -> void;
    auto startAllCalls() -> void;
    auto readyToStart(const PendingCall&) -> bool;
    auto runPending(UpstreamState&, const std::shared_ptr<PendingCall>&) -> void;
    auto doubtAdapter(const PendingCall&, const AnswerEnd&) -> void;
    auto runAdmitted(const PendingCall&) -> AnswerEnd;

    Blackboard& m_blackboard;
    std::mutex m_mutex;
    std::condition_variable m_changed; // A call ended.
    std::map<UpstreamName, std::unique_ptr<UpstreamState>> m_states;
    std::unordered_map<RequestId, std::shared_ptr<PendingCall>> m_calls;
    std::size_t m_running = 0;
    AdapterManager m_adapters;
    PeriodicTask m_sweep; // Last: ends calls whose deadline passed while they were queued.
};

} // namespace marigoldladder
