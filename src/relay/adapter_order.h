// An order to an engine to load or unload an adapter or a model, and the engine's answer.
#pragma once

#include "relay/upstream.h"

#include <array>
#include <optional>
#include <string>

namespace marigoldladder::relay {

enum class AdapterOrderKind {
    Load, // Also replaces an older version of the adapter.
    Unload,
};

inline constexpr auto adapterOrderKindNames = std::array {
    EnumName<AdapterOrderKind> { AdapterOrderKind::Load, "load" },
    EnumName<AdapterOrderKind> { AdapterOrderKind::Unload, "unload" },
};

struct AdapterOrder {
    AdapterOrderKind m_kind = AdapterOrderKind::Load;
    UpstreamPointer m_upstream;
    std::string m_model;
    std::string m_adapter; // `model/adapter`; empty if the order is for the model itself.
    std::uint64_t m_version = 0; // 0 means the newest.
    bool m_replaces = false; // The engine has an older version, which keeps its slot until the load ends.
    // Number of orders the engine must have accepted before this one. An engine whose count differs does not
    // carry the order out, however late it arrives. Without a value, the order is unconditional.
    std::optional<std::uint64_t> m_acceptedBefore;
};

// The node that sends an order, with the fencing number of its lease.
struct OrderSender {
    VmName m_vm;
    std::uint64_t m_fence = 0;
};

enum class OrderAnswer {
    Accepted, // The engine is carrying the order out.
    AlreadyDone,
    Busy, // Another order is under way, or the engine's count of accepted orders differs.
    Refused, // The engine will not carry the order out.
    Unknown, // No answer arrived: the engine may carry the order out now or seconds later.
};

inline constexpr auto orderAnswerNames = std::array {
    EnumName<OrderAnswer> { OrderAnswer::Accepted, "accepted" },
    EnumName<OrderAnswer> { OrderAnswer::AlreadyDone, "already_done" },
    EnumName<OrderAnswer> { OrderAnswer::Busy, "busy" },
    EnumName<OrderAnswer> { OrderAnswer::Refused, "refused" },
    EnumName<OrderAnswer> { OrderAnswer::Unknown, "unknown" },
};

} // namespace marigoldladder::relay
