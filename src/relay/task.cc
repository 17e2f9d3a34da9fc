#include "relay/task.h"

#include "core/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto restartInterval = std::chrono::milliseconds(100); // Between two starts of a failing loop.

    // `then`: what the node does about it.
    auto record(const std::string& task, Metrics& metrics, const std::exception_ptr& exception,
        const std::string& then) -> void
    {
        metrics.add(Counter::InternalFailures);
        logWarning("task_failed", { { "task", task }, { "fault", describe(exception) }, { "then", then } });
    }

    auto repeatUntilDone(std::string name, Metrics& metrics, std::function<Awaitable<void>()> task)
        -> Awaitable<void>
    {
        for (;;) {
            const auto nextStartAt = Clock::now() + restartInterval;
            auto fault = std::exception_ptr();
            try {
                auto run = task();
                co_await std::move(run);
                co_return;
            } catch (...) {
                fault = std::current_exception();
            }
            record(name, metrics, fault, "begins again");
            const auto pause = std::chrono::ceil<std::chrono::milliseconds>(nextStartAt - Clock::now());
            if (pause.count() > 0)
                co_await sleepFor(pause);
        }
    }

    auto waitAndCall(std::chrono::milliseconds time, std::function<void()> function) -> Awaitable<void>
    {
        co_await sleepFor(time);
        function();
    }

} // namespace

auto describe(const std::exception_ptr& exception) -> std::string
{
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception& error) {
        return error.what();
    } catch (...) {
        return "unknown exception";
    }
}

auto recordFailure(const std::string& task, Metrics& metrics, const std::exception_ptr& exception) -> void
{
    record(task, metrics, exception, "given up");
}

auto runTask(const Executor& executor, std::string name, Metrics& metrics, Awaitable<void> task) -> void
{
    net::co_spawn(
        executor, std::move(task), [name = std::move(name), &metrics](const std::exception_ptr& exception) {
            if (exception)
                recordFailure(name, metrics, exception);
        });
}

auto runLoop(const Executor& executor, std::string name, Metrics& metrics,
    std::function<Awaitable<void>()> task) -> void
{
    // Nothing can leave it, as it catches what leaves the task.
    net::co_spawn(executor, repeatUntilDone(std::move(name), metrics, std::move(task)), net::detached);
}

auto runAfter(const Executor& executor, std::string name, Metrics& metrics, std::chrono::milliseconds time,
    std::function<void()> function) -> void
{
    runTask(executor, std::move(name), metrics, waitAndCall(time, std::move(function)));
}

} // namespace marigoldladder::relay
