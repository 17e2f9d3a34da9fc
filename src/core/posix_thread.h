// A joining POSIX thread with a small stack, since a node keeps one for each connection and stream.
#pragma once

#include <functional>
#include <pthread.h>
#include <string>

namespace marigoldladder {

// Runs `body` at once on a thread of its own. The destructor waits for its end.
class PosixThread {
public:
    PosixThread() = default;
    PosixThread(const std::string& name, std::function<void()> body);
    PosixThread(PosixThread&&) noexcept;
    auto operator=(PosixThread&&) noexcept -> PosixThread&;
    PosixThread(const PosixThread&) = delete;
    auto operator=(const PosixThread&) -> PosixThread& = delete;
    ~PosixThread();

    // Waits for the thread's end; does nothing when there is none.
    auto join() -> void;
    auto running() const -> bool { return m_joinable; }

private:
    pthread_t m_thread {};
    bool m_joinable = false;
};

// Runs `body` on a thread nobody waits for.
auto runDetached(const std::string& name, std::function<void()> body) -> void;

} // namespace marigoldladder
