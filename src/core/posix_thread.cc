#include "core/posix_thread.h"

#include <cstddef>
#include <memory>
#include <stdexcept>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto stackBytes = std::size_t { 512 } * 1024;
    constexpr auto maxNameLength = std::size_t { 15 }; // The kernel's bound.

    auto runBody(void* argument) -> void*
    {
        const auto body
            = std::unique_ptr<std::function<void()>>(static_cast<std::function<void()>*>(argument));
        (*body)();
        return nullptr;
    }

    auto startThread(const std::string& name, std::function<void()> body) -> pthread_t
    {
        auto attributes = pthread_attr_t {};
        pthread_attr_init(&attributes);
        pthread_attr_setstacksize(&attributes, stackBytes);
        auto argument = std::make_unique<std::function<void()>>(std::move(body));
        auto thread = pthread_t {};
        const auto error = pthread_create(&thread, &attributes, runBody, argument.get());
        pthread_attr_destroy(&attributes);
        if (error != 0)
            throw std::runtime_error("no thread could be started");
        argument.release(); // NOLINT(bugprone-unused-return-value): the thread owns it now.
        pthread_setname_np(thread, name.substr(0, maxNameLength).c_str());
        return thread;
    }

} // namespace

PosixThread::PosixThread(const std::string& name, std::function<void()> body)
    : m_thread(startThread(name, std::move(body)))
    , m_joinable(true)
{
}

PosixThread::PosixThread(PosixThread&& other) noexcept
    : m_thread(other.m_thread)
    , m_joinable(std::exchange(other.m_joinable, false))
{
}

auto PosixThread::operator=(PosixThread&& other) noexcept -> PosixThread&
{
    if (this != &other) {
        join();
        m_thread = other.m_thread;
        m_joinable = std::exchange(other.m_joinable, false);
    }
    return *this;
}

PosixThread::~PosixThread()
{
    join();
}

auto PosixThread::join() -> void
{
    if (std::exchange(m_joinable, false))
        pthread_join(m_thread, nullptr);
}

auto runDetached(const std::string& name, std::function<void()> body) -> void
{
    pthread_detach(startThread(name, std::move(body)));
}

} // namespace marigoldladder
