// Calls to engines for reports and orders; each deployment provides its transport.
#pragma once

#include "relay/adapter_order.h"
#include "relay/dialect.h"
#include "relay/object_store.h"

#include <functional>

namespace marigoldladder::relay {

// The state of an engine as it reports it, up to a few hundred milliseconds old.
struct EngineReport {
    std::vector<std::string> m_models;
    std::vector<std::string> m_cachedModels; // In its own memory or on its own disk, loaded or not.
    std::vector<ListedAdapter> m_adapters;
    std::vector<ListedAdapter> m_pending; // Loading from the weight store; they occupy slots too.
    std::uint64_t m_startedAt = 0; // Unix milliseconds; 0 if not reported.
    std::optional<std::uint64_t> m_acceptedOrders; // Since its start; empty if it doesn't count them.
};

// The answer to a call for a report.
struct EngineReportAnswer {
    // Empty if the engine can't be reached or reports nothing, or another engine answers at its address.
    std::optional<EngineReport> m_report;
    UpstreamNotices m_notices;
};

// The answer to a call with an order.
struct EngineOrderAnswer {
    OrderAnswer m_answer = OrderAnswer::Unknown;
    UpstreamNotices m_notices;
};

struct EngineCalls {
    std::function<Awaitable<EngineReportAnswer>(UpstreamPointer)> m_report;
    // `maySend` is asked directly before the order is sent, after a connect; if it returns false, the order
    // isn't sent and counts as refused.
    std::function<Awaitable<EngineOrderAnswer>(AdapterOrder, OrderSender, std::function<bool()> maySend)>
        m_order;
};

} // namespace marigoldladder::relay
