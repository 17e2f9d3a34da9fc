// Keeps the adapters of the upstreams this node owns loaded for the requests that want them.
#pragma once

#include "core/blackboard.h"
#include "core/periodic_task.h"
#include "routing/adapter_slots.h"
#include "routing/engine_orders.h"
#include "routing/load_backoff.h"
#include "routing/load_budget.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <vector>

namespace marigoldladder {

enum class PinState {
    Waiting, // The adapter is not loaded yet.
    Ready, // It is loaded, and stays loaded as long as the pin lives.
    Failed, // It can't be had here now; the pin's failure says why.
};

// One request's wish for an adapter on an upstream. Read it through the manager.
struct AdapterPin {
    UpstreamName m_upstream;
    LoadedAdapter m_adapter;
    PinState m_state = PinState::Waiting;
    SlotGeneration m_generation = 0; // Of the slot it holds.
    Failure m_failure;
};

// Letting go of the last copy releases the pin.
using PinHandle = std::shared_ptr<const AdapterPin>;

// Called, without any lock held, when pins of the upstream became ready or failed.
using ReadinessListener = std::function<void(const UpstreamName&)>;

// What an engine has loaded and how many requests hold or await an adapter there.
struct EngineReport {
    UpstreamName m_upstream;
    FencingNumber m_fencing = 0;
    std::vector<AdapterRef> m_adapters;
    std::size_t m_pins = 0;
    std::size_t m_waiting = 0;
};

// Thread-safe. Orders to engines run on threads of their own.
class AdapterManager {
public:
    AdapterManager(Blackboard&, ReadinessListener, EngineOrders = {});
    AdapterManager(const AdapterManager&) = delete;
    auto operator=(const AdapterManager&) -> AdapterManager& = delete;

    // Waits for the end of all orders.
    ~AdapterManager();

    // Asks for the adapter and returns at once; from then on it is not evicted until the pin is released.
    // The pin fails with `NotRun` when this node does not serve the upstream.
    auto want(const UpstreamName&, const AdapterRef&, const std::string& path) -> PinHandle;

    auto stateOf(const AdapterPin&) const -> PinState;
    auto failureOf(const AdapterPin&) const -> Failure;

    // The engine turned out not to have the adapter; its list decides.
    auto forget(const UpstreamName&, const AdapterRef&) -> void;

    // The engine may have restarted empty; its list decides.
    auto forgetAll(const UpstreamName&) -> void;

    // From now on wishes for the upstream fail, until `open`; so do those that wait, if this node may load
    // nothing. Returns whether nothing is left that uses it:
    // no pin, no waiting wish, no order running or possibly still on its way.
    auto close(const UpstreamName&) -> bool;
    auto open(const UpstreamName&) -> void;

    auto report() const -> std::vector<EngineReport>;

private:
    struct EngineState;

    auto engineOf(const UpstreamName&) -> EngineState&;
    static auto failWaitingPins(EngineState&) -> void;
    auto release(const AdapterPin&) -> void;
    auto advance(EngineState&) -> void;
    auto advancePin(EngineState&, AdapterPin&) -> bool;
    auto tryStartLoad(EngineState&, AdapterPin&) -> bool;
    auto startEviction(EngineState&, const AdapterRef&) -> void;
    auto startList(EngineState&) -> bool;
    auto awaitPermit(const UpstreamName&) -> bool;
    auto runLoad(EngineState&, const LoadedAdapter&, FencingNumber) -> void;
    auto runEviction(EngineState&, const AdapterRef&, FencingNumber) -> void;
    auto runList(EngineState&, FencingNumber) -> void;
    auto finishOrder(EngineState&) -> void;
    auto advanceAll() -> void;
    auto followAssignment(EngineState&, const Assignment&) -> void;
    auto markWithdrawnAdapters(EngineState&) const -> void;
    auto assignmentOf(const UpstreamName&) const -> Assignment;
    auto mayEvict(const UpstreamName&) const -> bool;

    Blackboard& m_blackboard;
    ReadinessListener m_listener;
    EngineOrders m_orders;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<UpstreamName, std::unique_ptr<EngineState>> m_engines;
    LoadBudget m_budget;
    std::mt19937_64 m_random { std::random_device()() };
    std::size_t m_firstEngine = 0; // Which engine goes first when loads are scarce.
    std::size_t m_runningOrders = 0;
    std::atomic<bool> m_stopping { false };
    PeriodicTask m_tick; // Last: takes up what waits for time to pass.
};

} // namespace marigoldladder
