// Requests that wait for an upstream with room, the most urgent first.
#pragma once

#include "relay/relay_board.h"
#include "relay/relay_settings.h"
#include "relay/tcp.h"
#include "relay/upstream_choice.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <random>

namespace marigoldladder::relay {

// The order in which waiting requests are served.
struct WaitRank {
    int m_priority = 0; // 0 is the most urgent.
    MonotonicTime m_arrivedAt {};
    auto operator<=>(const WaitRank&) const = default; // NOLINT(modernize-use-nullptr): a false alarm.
};

// A place on an upstream, counted as in flight until it is given back.
class UpstreamSlot {
public:
    UpstreamSlot() = default;
    UpstreamSlot(RelayBoard&, UpstreamPointer, double tokens);
    UpstreamSlot(UpstreamSlot&&) noexcept;
    auto operator=(UpstreamSlot&&) noexcept -> UpstreamSlot&;
    UpstreamSlot(const UpstreamSlot&) = delete;
    auto operator=(const UpstreamSlot&) -> UpstreamSlot& = delete;
    ~UpstreamSlot();

    auto upstream() const -> const UpstreamPointer& { return m_upstream; }
    explicit operator bool() const { return m_upstream != nullptr; }

private:
    auto release() -> void;

    RelayBoard* m_board = nullptr;
    UpstreamPointer m_upstream;
    double m_tokens = 0;
};

struct SlotResult {
    UpstreamSlot m_slot; // Empty when none was found in time.
    ChoiceOutcome m_outcome = ChoiceOutcome::NoUpstream; // Why the last choice found none.
    ChoiceOutcome m_firstOutcome = ChoiceOutcome::NoUpstream; // Why it had to wait; `Chosen`: it had not.
};

// Finds places on upstreams for requests, and keeps those that have to wait.
class WaitList {
public:
    WaitList(Executor, RelayBoard&, const RelaySettings&);

    // Waits until `until` for an upstream. `cancelled` ends the wait early when it has become true; call
    // `wake` then.
    auto acquire(UpstreamNeeds, WaitRank, MonotonicTime until, const bool& cancelled)
        -> Awaitable<SlotResult>;

    // Looks whether waiting requests can be served now; call it when anything has changed. The look itself
    // happens after the current event, once for any number of calls.
    auto scheduleRecheck() -> void;

    // Lets a request whose wait was cancelled look up.
    auto wakeCancelled() -> void;

    auto size() const -> std::size_t { return m_waiting.size(); }

private:
    struct Waiter {
        UpstreamNeeds m_needs;
        WaitRank m_rank;
        const bool* m_cancelled = nullptr;
        net::steady_timer m_timer;
        SlotResult m_result;
    };

    auto choose(const UpstreamNeeds&) -> UpstreamChoice;
    auto acquireSlot(const UpstreamChoice&, const UpstreamNeeds&) -> UpstreamSlot;
    auto recheck() -> void;
    auto enqueue(Waiter&) -> void;
    auto armTimer(MonotonicTime) -> void;

    Executor m_executor;
    RelayBoard& m_board;
    const RelaySettings& m_settings;
    std::list<Waiter*> m_waiting; // By rank.
    net::steady_timer m_recheckTimer;
    MonotonicTime m_nextRecheckAt {};
    bool m_recheckPending = false;
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
