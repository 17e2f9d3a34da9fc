// Plans orders and sends them to engines while this node holds the order lease.
#pragma once

#include "relay/adapter_plan.h"
#include "relay/engine_calls.h"
#include "relay/order_lease.h"
#include "relay/peer_exchange.h"

#include <set>

namespace marigoldladder::relay {

class OrderController {
public:
    OrderController(
        Executor, const RelaySettings&, RelayBoard&, const ObjectStore&, const EngineCalls&, PeerExchange&);

    // Starts the lease loop and the plan loop. `isReady`: whether this node may hold the lease.
    auto start(std::function<bool()> isReady) -> void;

    // Schedules a plan ahead of the regular interval; to be called when demand or engines have changed.
    auto planSoon() -> void;

private:
    auto runLeaseLoop() -> Awaitable<void>;
    auto leaseContext() const -> LeaseContext;
    auto performLeaseStep(LeaseStep, std::uint64_t newFence) -> Awaitable<void>;
    auto readLease() -> Awaitable<void>;
    auto applyFoundLease(const LeaseRecord&) -> void;
    auto writeLease(bool create, std::uint64_t fence, std::uint64_t renewals) -> Awaitable<void>;
    auto markLeaseHeld(const LeaseRecord&, BootClockTime sentAt) -> void;
    auto loseLease(const char* reason) -> void;
    auto mayOrderNow() const -> bool;
    auto runPlanLoop() -> Awaitable<void>;
    auto plan() -> void;
    auto planAndSendOrders() -> void;
    auto requestReports(MonotonicTime now) -> void;
    auto fetchReport(UpstreamPointer) -> Awaitable<void>;
    auto logPlan(const AdapterPlan&, MonotonicTime now) -> void;
    auto modelLoadTimeout(const AdapterOrder&) const -> Milliseconds;
    auto expectedEnd(const AdapterOrder&, MonotonicTime now) const -> MonotonicTime;
    auto sendQueued(UpstreamPointer) -> Awaitable<void>;
    auto send(AdapterOrder) -> Awaitable<void>;
    auto logOrder(const AdapterOrder&, const OrderSender&, OrderAnswer) -> void;
    auto publishCompletedOrder(EngineOrders&, const AdapterOrder&, OrderAnswer, MonotonicTime now) -> void;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    const ObjectStore& m_store;
    const EngineCalls& m_engines;
    PeerExchange& m_peers;
    std::function<bool()> m_isReady;
    BootClockTime m_startedAt {}; // When the lease loop was first started.
    LeaseState m_lease;
    MonotonicTime m_notStrandedAt {}; // When the lease loop last found that this node isn't stranded.
    EngineOrderTracker m_orderTracker;
    std::set<UpstreamPointer> m_reporting; // Engines that are being asked for a report.
    bool m_planPending = false;
    Milliseconds m_planPause { 0 }; // Minimum pause before the next plan.
    BootClockTime m_lastPlannedAt {}; // This clock includes the time of a machine's suspension.
    MonotonicTime m_planLoggedAt {};
};

} // namespace marigoldladder::relay
