// Orders to one model engine: load and evict adapters, raise its fencing number, list what it has.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/verdict.h"
#include "routing/adapter_slots.h"

#include <functional>
#include <string>
#include <vector>

namespace marigoldladder {

// Asked right before the last byte of an order leaves; `false` calls the order off. It guards against a
// process that was paused between its decision and the order.
using OrderGuard = std::function<bool()>;

// Orders the engine to load an adapter. The failure's verdict is `NotRun` when the engine refused or
// certainly did not hear of it, and `MayHaveRun` when the outcome is unknown.
auto orderLoad(const Upstream&, const AdapterRef&, const std::string& path, FencingNumber, const OrderGuard&)
    -> Result<void>;

// Orders the engine to evict an adapter; one that is not loaded counts as evicted.
auto orderEvict(const Upstream&, const AdapterRef&, FencingNumber, const OrderGuard&) -> Result<void>;

// Makes an engine that checks fencing numbers refuse lower ones from now on, by an order without effect.
// The failure's type is `Conflict` when it knows a higher one.
auto raiseFencing(const Upstream&, FencingNumber) -> Result<void>;

// Returns the adapters that the engine has loaded.
auto listAdapters(const Upstream&) -> Result<std::vector<LoadedAdapter>>;

// The orders above, so that tests can put others in their place.
struct EngineOrders {
    std::function<Result<void>(
        const Upstream&, const AdapterRef&, const std::string& path, FencingNumber, const OrderGuard&)>
        m_load = orderLoad;
    std::function<Result<void>(const Upstream&, const AdapterRef&, FencingNumber, const OrderGuard&)> m_evict
        = orderEvict;
    std::function<Result<void>(const Upstream&, FencingNumber)> m_raiseFencing = raiseFencing;
    std::function<Result<std::vector<LoadedAdapter>>(const Upstream&)> m_list = listAdapters;
};

} // namespace marigoldladder
