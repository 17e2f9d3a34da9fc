#include "marigoldladder/settings.h"

#include <charconv>

namespace marigoldladder {

namespace {

    constexpr auto maxPort = 65535;

} // namespace

auto formatAddress(const Address& address) -> std::string
{
    return address.m_host + ":" + std::to_string(address.m_port);
}

auto parseAddress(std::string_view text) -> std::optional<Address>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    auto port = -1;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port < 0 || port > maxPort)
        return std::nullopt;
    return Address { std::string(text.substr(0, colon)), port };
}

} // namespace marigoldladder
