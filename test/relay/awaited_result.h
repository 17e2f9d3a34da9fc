// Runs a coroutine to its end in a test.
#pragma once

#include "relay/object_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

namespace marigoldladder::relay {

template <typename T> auto awaitInto(Awaitable<T> task, std::optional<T>& result) -> Awaitable<void>
{
    result = co_await std::move(task);
}

// Runs the context until the coroutine has ended, and returns its result.
template <typename T> auto resultOf(boost::asio::io_context& context, Awaitable<T> task) -> T
{
    auto result = std::optional<T>();
    boost::asio::co_spawn(context, awaitInto(std::move(task), result), boost::asio::detached);
    while (!result)
        context.run_one();
    return std::move(*result);
}

} // namespace marigoldladder::relay
