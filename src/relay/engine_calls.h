// Orders to engines, as a deployment transmits them.
#pragma once

#include "relay/adapter_plan.h"
#include "relay/object_store.h"

#include <functional>

namespace marigoldladder::relay {

// Who gives an order.
struct OrderSender {
    VmName m_vm;
    std::uint64_t m_fence = 0;
};

enum class OrderAnswer {
    Accepted, // It is being carried out.
    AlreadyDone,
    Busy, // Another order is under way.
    Refused, // It will not be carried out.
    Unknown, // No answer: it may be carried out now or seconds later.
};

inline constexpr auto orderAnswerNames = std::array {
    EnumName<OrderAnswer> { OrderAnswer::Accepted, "accepted" },
    EnumName<OrderAnswer> { OrderAnswer::AlreadyDone, "already_done" },
    EnumName<OrderAnswer> { OrderAnswer::Busy, "busy" },
    EnumName<OrderAnswer> { OrderAnswer::Refused, "refused" },
    EnumName<OrderAnswer> { OrderAnswer::Unknown, "unknown" },
};

// What an engine says when it is asked; a few hundred milliseconds old.
struct EngineReport {
    std::vector<std::string> m_models;
    std::vector<ListedAdapter> m_adapters;
    std::vector<ListedAdapter> m_pending; // On their way from the weight store; they take places too.
    std::uint64_t m_startedAt = 0; // Unix milliseconds; 0: not said.
};

struct EngineCalls {
    // Nothing when the engine can't be reached, or is another one than was asked.
    std::function<Awaitable<std::optional<EngineReport>>(UpstreamPointer)> m_report;
    std::function<Awaitable<OrderAnswer>(AdapterOrder, OrderSender)> m_order;
};

} // namespace marigoldladder::relay
