// Keeps the adapters of the upstreams this node owns loaded for the requests that want them.
#pragma once

#include "core/blackboard.h"
#include "routing/adapter_slots.h"
#include "routing/upstream_client.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>

namespace marigoldladder {

enum class PinState {
    Waiting, // The adapter is not loaded yet.
    Ready, // It is loaded, and stays loaded as long as the pin lives.
    Failed, // It can't be loaded; the pin's failure says why.
};

// One request's wish for an adapter on an upstream. Read it through the manager.
struct AdapterPin {
    UpstreamName m_upstream;
    AdapterRef m_adapter;
    std::string m_path;
    PinState m_state = PinState::Waiting;
    Failure m_failure;
};

// Letting go of the last copy releases the pin.
using PinHandle = std::shared_ptr<const AdapterPin>;

// Called, without any lock held, when pins of the upstream became ready or failed.
using ReadinessListener = std::function<void(const UpstreamName&)>;

// Thread-safe. Orders to engines run on threads of their own.
class AdapterManager {
public:
    AdapterManager(Blackboard&, ReadinessListener);
    AdapterManager(const AdapterManager&) = delete;
    auto operator=(const AdapterManager&) -> AdapterManager& = delete;

    // Waits for the end of all orders.
    ~AdapterManager();

    // Asks for the adapter and returns at once; from then on it is not evicted until the pin is released.
    auto want(const UpstreamName&, const AdapterRef&, const std::string& path) -> PinHandle;

    auto stateOf(const AdapterPin&) const -> PinState;
    auto failureOf(const AdapterPin&) const -> Failure;

    // Forgets an adapter that the engine turned out not to have; later wishes load it again.
    auto forget(const UpstreamName&, const AdapterRef&) -> void;

    // Forgets all of an engine that restarted empty.
    auto forgetAll(const UpstreamName&) -> void;

private:
    struct EngineState;

    auto release(const AdapterPin&) -> void;
    auto advance(EngineState&) -> void;
    auto advancePin(EngineState&, AdapterPin&) -> bool;
    auto startLoad(EngineState&, const AdapterPin&) -> void;
    auto startEviction(EngineState&, const AdapterRef&) -> void;
    auto runLoad(EngineState&, const AdapterRef&, const std::string& path) -> void;
    auto runEviction(EngineState&, const AdapterRef&) -> void;
    auto finishOrder(EngineState&) -> void;
    auto findUpstream(const UpstreamName&) const -> std::optional<Upstream>;
    auto fencingOf(const UpstreamName&) const -> FencingNumber;

    Blackboard& m_blackboard;
    ReadinessListener m_listener;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<UpstreamName, std::unique_ptr<EngineState>> m_engines;
    std::size_t m_runningOrders = 0;
};

} // namespace marigoldladder
