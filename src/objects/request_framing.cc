#include "objects/request_framing.h"

#include <algorithm>
#include <charconv>
#include <strings.h>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto maxChunkLineBytes = std::size_t { 4 } << 10; // With its extensions.
    constexpr auto lineEnd = std::string_view("\r\n");
    constexpr auto decimal = 10;
    constexpr auto hexadecimal = 16;

    auto equals(std::string_view left, std::string_view right) -> bool
    {
        return left.size() == right.size() && ::strncasecmp(left.data(), right.data(), left.size()) == 0;
    }

    auto trimmed(std::string_view text) -> std::string_view
    {
        constexpr auto blanks = " \t\r\n";
        const auto begin = text.find_first_not_of(blanks);
        if (begin == std::string_view::npos)
            return {};
        return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
    }

    auto parseLength(std::string_view text, int base) -> std::optional<std::uint64_t>
    {
        auto length = std::uint64_t { 0 };
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length, base);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return length;
    }

    auto enter(RequestFraming& framing, FramingPart part, std::uint64_t left = 0) -> void
    {
        framing.m_part = part;
        framing.m_left = left;
        framing.m_partBytes = 0;
    }

    // Returns false if the length of the body isn't certain.
    auto takeField(RequestFraming& framing, std::string_view line) -> bool
    {
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            return true;
        const auto name = line.substr(0, colon);
        const auto value = trimmed(line.substr(colon + 1));
        if (equals(name, "Content-Length")) {
            const auto isFirst = !framing.m_length;
            framing.m_length = parseLength(value, decimal);
            return isFirst && framing.m_length && !framing.m_isChunked;
        }
        if (equals(name, "Transfer-Encoding")) {
            const auto isFirst = !framing.m_isChunked;
            framing.m_isChunked = true;
            return isFirst && !framing.m_length && equals(value, "chunked");
        }
        if (equals(name, "Content-Encoding"))
            framing.m_isEncoded = !equals(value, "identity");
        return true;
    }

    auto endHead(RequestFraming& framing) -> void
    {
        if (framing.m_isChunked)
            enter(framing, FramingPart::ChunkLine);
        else if (framing.m_length.value_or(0) > 0)
            enter(framing, FramingPart::Body, *framing.m_length);
        else
            framing = RequestFraming();
    }

    auto takeChunkLine(RequestFraming& framing, std::string_view line) -> bool
    {
        const auto size = parseLength(trimmed(line.substr(0, line.find(';'))), hexadecimal);
        if (!size)
            return false;
        const auto total = framing.m_bodyBytes + *size;
        if (total < framing.m_bodyBytes)
            return false;
        framing.m_bodyBytes = total;
        if (*size == 0)
            enter(framing, FramingPart::Trailers);
        else
            enter(framing, FramingPart::ChunkData, *size + lineEnd.size());
        return true;
    }

    // Takes a whole line of the head, of the trailers or before a chunk.
    auto takeLine(RequestFraming& framing, std::string_view line) -> bool
    {
        if (framing.m_part == FramingPart::ChunkLine)
            return takeChunkLine(framing, line);
        if (line == lineEnd) {
            if (framing.m_part == FramingPart::Trailers)
                framing = RequestFraming();
            else if (framing.m_hasBegun)
                endHead(framing);
            return true;
        }
        const auto isField = framing.m_part == FramingPart::Head && framing.m_hasBegun;
        framing.m_hasBegun = true;
        return !isField || takeField(framing, line);
    }

    auto maxPartBytes(const RequestFraming& framing, const RequestBounds& bounds) -> std::size_t
    {
        return framing.m_part == FramingPart::ChunkLine ? maxChunkLineBytes : bounds.m_headBytes;
    }

    // Takes bytes up to the end of a line. Returns how many; nothing if they exceed a bound.
    auto takeLineBytes(RequestFraming& framing, const RequestBounds& bounds, std::string_view bytes)
        -> std::optional<std::size_t>
    {
        const auto end = bytes.find('\n');
        const auto isWhole = end != std::string_view::npos;
        const auto length = isWhole ? end + 1 : bytes.size();
        framing.m_partBytes += length;
        if (framing.m_partBytes > maxPartBytes(framing, bounds))
            return std::nullopt;
        framing.m_line.append(bytes.substr(0, length));
        if (!isWhole)
            return length;
        const auto line = std::exchange(framing.m_line, {});
        // The library passes over lines that end otherwise.
        return line.ends_with(lineEnd) && takeLine(framing, line) ? std::optional(length) : std::nullopt;
    }

    auto takeBodyBytes(RequestFraming& framing, const RequestBounds& bounds, std::string_view bytes)
        -> std::optional<std::size_t>
    {
        const auto length = static_cast<std::size_t>(std::min<std::uint64_t>(framing.m_left, bytes.size()));
        framing.m_left -= length;
        const auto isStated = framing.m_part == FramingPart::Body;
        framing.m_bodyBytes += isStated ? length : 0;
        const auto total = isStated ? *framing.m_length : framing.m_bodyBytes;
        if (framing.m_isEncoded || total > bounds.m_bodyBytes)
            return std::nullopt;
        if (framing.m_left == 0 && isStated)
            framing = RequestFraming();
        else if (framing.m_left == 0)
            enter(framing, FramingPart::ChunkLine);
        return length;
    }

} // namespace

auto takeBytes(RequestFraming& framing, const RequestBounds& bounds, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto isBody = framing.m_part == FramingPart::Body || framing.m_part == FramingPart::ChunkData;
        const auto length
            = isBody ? takeBodyBytes(framing, bounds, bytes) : takeLineBytes(framing, bounds, bytes);
        if (!length)
            return false;
        bytes.remove_prefix(*length);
    }
    return true;
}

auto isBetweenRequests(const RequestFraming& framing) -> bool
{
    return framing.m_part == FramingPart::Head && !framing.m_hasBegun && framing.m_line.empty();
}

} // namespace marigoldladder
