// An order to an engine to load or drop an adapter or a model, and what the engine answers.
#pragma once

#include "relay/upstream.h"

#include <array>
#include <optional>
#include <string>

namespace marigoldladder::relay {

enum class AdapterOrderKind {
    Load, // Also replaces an older version.
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
    std::string m_adapter; // `model/adapter`; empty: the model itself.
    std::uint64_t m_version = 0; // 0: the newest.
    bool m_replaces = false; // The engine has an older version, which keeps its place meanwhile.
    // How many orders the engine has to have accepted before this one, else it doesn't carry it out, however
    // late the order arrives. Nothing: it is carried out whenever it arrives.
    std::optional<std::uint64_t> m_acceptedBefore;
};

// Who gives an order.
struct OrderSender {
    VmName m_vm;
    std::uint64_t m_fence = 0;
};

enum class OrderAnswer {
    Accepted, // It is being carried out.
    AlreadyDone,
    Busy, // Another order is under way, or the engine has accepted another number of orders.
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

} // namespace marigoldladder::relay
