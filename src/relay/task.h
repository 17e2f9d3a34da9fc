// Runs tasks on the event loop, none of which ends without a line: an exception that leaves one is logged
// with the task's name and counted.
#pragma once

#include "core/metrics.h"
#include "relay/tcp.h"

#include <exception>
#include <functional>
#include <string>

namespace marigoldladder::relay {

// Returns the text of an exception.
auto describe(const std::exception_ptr&) -> std::string;

// Logs and counts an exception that left a task.
auto recordFailure(const std::string& task, Metrics&, const std::exception_ptr&) -> void;

// Runs a task that ends by itself.
auto runTask(const Executor&, std::string name, Metrics&, Awaitable<void>) -> void;

// Runs a task until it returns: whenever an exception ended it, it begins again, after a pause if it has only
// just begun. What it keeps outside itself must be sound at each point where it may throw.
auto runLoop(const Executor&, std::string name, Metrics&, std::function<Awaitable<void>()>) -> void;

// Calls a function on the event loop after the time given.
auto runAfter(const Executor&, std::string name, Metrics&, std::chrono::milliseconds, std::function<void()>)
    -> void;

// Sets a flag for as long as it lives, also when an exception ends what it stands for.
class RaisedFlag {
public:
    explicit RaisedFlag(bool& flag)
        : m_flag(flag)
    {
        m_flag = true;
    }
    ~RaisedFlag() { m_flag = false; }
    RaisedFlag(const RaisedFlag&) = delete;
    auto operator=(const RaisedFlag&) -> RaisedFlag& = delete;

private:
    bool& m_flag;
};

} // namespace marigoldladder::relay
