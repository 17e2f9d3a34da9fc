#include "relay/event_text.h"

#include <algorithm>

namespace marigoldladder::relay {

auto wholeEventsLength(std::string_view text) -> std::size_t
{
    constexpr auto plainEnd = std::string_view("\n\n");
    constexpr auto carriageEnd = std::string_view("\n\r\n");
    const auto plain = text.rfind(plainEnd);
    const auto carriage = text.rfind(carriageEnd);
    const auto plainLength = plain == std::string_view::npos ? 0 : plain + plainEnd.size();
    const auto carriageLength = carriage == std::string_view::npos ? 0 : carriage + carriageEnd.size();
    return std::max(plainLength, carriageLength);
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
