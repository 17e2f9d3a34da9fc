// Orders to engines, as a deployment transmits them.
#pragma once

#include "relay/adapter_order.h"
#include "relay/object_store.h"

#include <functional>

namespace marigoldladder::relay {

// What an engine says when it is asked; a few hundred milliseconds old.
struct EngineReport {
    std::vector<std::string> m_models;
    std::vector<ListedAdapter> m_adapters;
    std::vector<ListedAdapter> m_pending; // On their way from the weight store; they take places too.
    std::uint64_t m_startedAt = 0; // Unix milliseconds; 0: not said.
    std::optional<std::uint64_t> m_acceptedOrders; // Since its start; nothing: it doesn't count them.
};

struct EngineCalls {
    // Nothing when the engine can't be reached, or is another one than was asked.
    std::function<Awaitable<std::optional<EngineReport>>(UpstreamPointer)> m_report;
    std::function<Awaitable<OrderAnswer>(AdapterOrder, OrderSender)> m_order;
};

} // namespace marigoldladder::relay
