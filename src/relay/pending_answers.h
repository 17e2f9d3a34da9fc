// Matches the answers of other nodes to the requests that this node sent by datagram. Either may be lost.
#pragma once

#include "relay/tcp.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace marigoldladder::relay {

template <typename Answer> class PendingAnswers {
public:
    // `lastNumber`: the numbers of the requests start after it.
    explicit PendingAnswers(std::uint64_t lastNumber)
        : m_lastNumber(lastNumber)
    {
    }

    // Returns the number of a new request; its answer has the same number.
    auto nextNumber() -> std::uint64_t { return ++m_lastNumber; }

    // Waits for the answer to the request with this number; called at once after the request was sent.
    // Returns nothing if no answer arrives within the timeout.
    auto waitFor(std::uint64_t number, std::chrono::milliseconds timeout) -> Awaitable<std::optional<Answer>>
    {
        const auto executor = co_await net::this_coro::executor;
        auto pending = Pending { net::steady_timer(executor, timeout), {} };
        m_pending[number] = &pending;
        auto error = ErrorCode();
        co_await pending.m_timer.async_wait(errorTo(error));
        m_pending.erase(number);
        co_return pending.m_answer;
    }

    // Hands over an answer received. It has no effect if nothing waits for an answer with this number.
    auto receive(std::uint64_t number, const Answer& answer) -> void
    {
        const auto found = m_pending.find(number);
        if (found == m_pending.end())
            return;
        found->second->m_answer = answer;
        found->second->m_timer.cancel();
    }

private:
    struct Pending {
        net::steady_timer m_timer; // Cancelled when the answer arrives.
        std::optional<Answer> m_answer;
    };

    std::uint64_t m_lastNumber;
    std::map<std::uint64_t, Pending*> m_pending; // By number; each lives in its call of waitFor.
};

} // namespace marigoldladder::relay
