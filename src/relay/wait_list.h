// The queue of requests that wait for a free slot at an upstream, most urgent first.
#pragma once

#include "relay/relay_board.h"
#include "relay/relay_settings.h"
#include "relay/room_permit.h"
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
    auto operator<=>(const WaitRank&) const = default; // NOLINT(modernize-use-nullptr): false positive.
};

// A slot at an upstream. Its request counts as in flight until the slot is destroyed.
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
    // The room that was granted for the request; null: none was needed.
    auto room() const -> RoomPermit* { return m_room.get(); }
    auto setRoom(std::unique_ptr<RoomPermit> room) -> void { m_room = std::move(room); }
    explicit operator bool() const { return m_upstream != nullptr; }

private:
    auto release() -> void;

    RelayBoard* m_board = nullptr;
    UpstreamPointer m_upstream;
    double m_tokens = 0;
    std::unique_ptr<RoomPermit> m_room;
};

struct SlotResult {
    UpstreamSlot m_slot; // Empty if none became free in time, or none can.
    ChoiceOutcome m_outcome = ChoiceOutcome::NoUpstream; // Of the last choice.
    ChoiceOutcome m_firstOutcome = ChoiceOutcome::NoUpstream; // Of the first choice: why the request had to
                                                              // wait, or `Chosen` if it did not.
    MonotonicTime m_retryAt {}; // When the outcome may change by time alone; zero: unknown.
};

// Assigns upstream slots to requests, and queues the requests that have to wait.
class WaitList {
public:
    WaitList(Executor, RelayBoard&, const RelaySettings&);

    // Waits until `until` for a slot, but not while all upstreams want no requests until then. To end the
    // wait early, set `cancelled` and call `wakeCancelled`.
    auto acquire(UpstreamNeeds, WaitRank, MonotonicTime until, const bool& cancelled)
        -> Awaitable<SlotResult>;

    // Returns a slot at an upstream that wasn't tried and is sound as far as is known, or an empty one if
    // none is free now.
    auto tryAcquireOther(UpstreamNeeds) -> UpstreamSlot;

    // Schedules a recheck of the waiting requests; to be called after any change that may free a slot. The
    // recheck runs after the current event, once for any number of calls.
    auto scheduleRecheck() -> void;

    // Ends the waits whose `cancelled` flag is set.
    auto wakeCancelled() -> void;

    auto size() const -> std::size_t { return m_waiting.size(); }

private:
    struct Waiter {
        UpstreamNeeds m_needs;
        WaitRank m_rank;
        MonotonicTime m_until {};
        const bool* m_cancelled = nullptr;
        net::steady_timer m_timer;
        SlotResult m_result;
        bool m_ended = false; // It got a slot, or waits in vain.
    };

    auto choose(const UpstreamNeeds&) -> UpstreamChoice;
    auto acquireSlot(const UpstreamChoice&, const UpstreamNeeds&) -> UpstreamSlot;
    auto recheck() -> void;
    static auto recordOutcome(Waiter&, const UpstreamChoice&) -> void;
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
