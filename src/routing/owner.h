// The owner role: admits work to the upstreams this node owns, loads adapters and evicts them.
#pragma once

#include "core/blackboard.h"
#include "routing/adapter_slots.h"
#include "routing/serve_call.h"
#include "routing/upstream_client.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

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

private:
    struct PendingCall;
    struct UpstreamState;

    auto findUpstream(const UpstreamName&) const -> std::optional<Upstream>;
    auto fencingOf(const UpstreamName&) const -> FencingNumber;
    auto startCalls(UpstreamState&) -> void;
    auto runPending(UpstreamState&, const std::shared_ptr<PendingCall>&) -> void;
    auto prepareAdapter(UpstreamState&, const PendingCall&) -> std::optional<Failure>;
    auto load(std::unique_lock<std::mutex>&, UpstreamState&, const PendingCall&) -> std::optional<Failure>;
    auto evict(std::unique_lock<std::mutex>&, UpstreamState&, const Upstream&, const AdapterRef&) -> void;
    auto unpin(UpstreamState&, const AdapterRef&) -> void;

    Blackboard& m_blackboard;
    std::mutex m_mutex;
    std::condition_variable m_changed; // A slot, a call or an adapter changed its state.
    std::map<UpstreamName, std::unique_ptr<UpstreamState>> m_states;
    std::unordered_map<RequestId, std::shared_ptr<PendingCall>> m_calls;
    std::size_t m_running = 0;
};

} // namespace marigoldladder
