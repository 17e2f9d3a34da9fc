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

struct EngineCalls {
    std::function<Awaitable<OrderAnswer>(AdapterOrder, OrderSender)> m_order;
};

} // namespace marigoldladder::relay
