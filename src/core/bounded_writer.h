// Writes lines to a file descriptor without ever waiting for its reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marigoldladder {

// Keeps what can't be written now, up to a bound; lines beyond it are dropped and counted. Not thread-safe.
class BoundedWriter {
public:
    // `descriptor` stays the caller's. `mostBytes` is kept at most.
    BoundedWriter(int descriptor, std::size_t mostBytes);

    // Takes a line with its end and writes as much as the reader has room for. Returns false if the line was
    // dropped, since too much waits already.
    auto write(std::string_view line) -> bool;

    // Writes what waits, as far as the reader has room for it.
    auto flush() -> void;

    // Returns how many lines were dropped since the last call.
    auto takeDropped() -> std::uint64_t;

    auto waitingBytes() const -> std::size_t { return m_waiting.size(); }

private:
    // Returns the bytes written; 0 when the reader has no room or the descriptor is broken.
    auto writeSome(std::string_view bytes) -> std::size_t;

    int m_descriptor;
    std::size_t m_mostBytes;
    std::string m_waiting; // Begins in the middle of a line when only a part of it was written.
    std::uint64_t m_dropped = 0;
};

} // namespace marigoldladder
