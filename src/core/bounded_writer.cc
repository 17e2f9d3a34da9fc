#include "core/bounded_writer.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace marigoldladder {

BoundedWriter::BoundedWriter(int descriptor, std::size_t mostBytes)
    : m_descriptor(descriptor)
    , m_mostBytes(mostBytes)
{
}

auto BoundedWriter::write(std::string_view line) -> bool
{
    flush();
    if (m_waiting.size() + line.size() > m_mostBytes) {
        ++m_dropped;
        return false;
    }
    m_waiting += line;
    flush();
    return true;
}

auto BoundedWriter::flush() -> void
{
    auto written = std::size_t { 0 };
    while (written < m_waiting.size()) {
        const auto some = writeSome(std::string_view(m_waiting).substr(written));
        if (some == 0)
            break;
        written += some;
    }
    m_waiting.erase(0, written);
}

auto BoundedWriter::writeSome(std::string_view bytes) -> std::size_t
{
    auto request = pollfd { m_descriptor, POLLOUT, 0 };
    if (poll(&request, 1, 0) <= 0 || (request.revents & POLLOUT) == 0)
        return 0;
    // A pipe that polls as writable takes this much without waiting.
    const auto size = std::min<std::size_t>(bytes.size(), PIPE_BUF);
    const auto written = ::write(m_descriptor, bytes.data(), size);
    if (written < 0 && errno == EINTR)
        return writeSome(bytes);
    return written < 0 ? 0 : static_cast<std::size_t>(written);
}

auto BoundedWriter::takeDropped() -> std::uint64_t
{
    return std::exchange(m_dropped, 0);
}

} // namespace marigoldladder
