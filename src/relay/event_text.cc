#include "relay/event_text.h"

#include <algorithm>

namespace marigoldladder::relay {

auto wholeEventsLength(std::string_view text, std::size_t searched) -> std::size_t
{
    // An event ends with an empty line, with or without a carriage return.
    constexpr auto longestEnd = std::size_t { 3 };
    // The end may have begun within what was searched.
    const auto begin = searched - std::min(searched, longestEnd - 1);
    const auto unsearched = text.substr(begin);
    auto length = std::size_t { 0 };
    for (const auto end : { std::string_view("\n\n"), std::string_view("\n\r\n") }) {
        const auto found = unsearched.rfind(end);
        if (found != std::string_view::npos)
            length = std::max(length, begin + found + end.size());
    }
    return length;
}

auto lastEventId(std::string_view events) -> std::string
{
    constexpr auto field = std::string_view("id:");
    for (auto at = events.rfind(field); at != std::string_view::npos; at = events.rfind(field, at - 1)) {
        if (at == 0 || events[at - 1] == '\n') {
            auto value = events.substr(at + field.size());
            value = value.substr(0, value.find_first_of("\r\n"));
            if (value.starts_with(' '))
                value.remove_prefix(1);
            return std::string(value);
        }
        if (at == 0)
            break;
    }
    return {};
}

} // namespace marigoldladder::relay
