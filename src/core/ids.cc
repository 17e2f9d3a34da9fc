#include "marigoldladder/ids.h"

#include "core/random_bytes.h"

#include <chrono>

namespace marigoldladder {

namespace {

    constexpr auto requestIdBytes = std::size_t { 16 };

} // namespace

auto formatAdapterRef(const AdapterRef& ref) -> std::string
{
    return ref.m_name + "@" + ref.m_version;
}

auto parseAdapterRef(std::string_view text) -> std::optional<AdapterRef>
{
    const auto at = text.rfind('@');
    if (at == std::string_view::npos || at == 0 || at + 1 == text.size())
        return std::nullopt;
    return AdapterRef { std::string(text.substr(0, at)), std::string(text.substr(at + 1)) };
}

auto makeRequestId() -> RequestId
{
    return RequestId(randomHex(requestIdBytes));
}

auto makeIncarnation() -> Incarnation
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace marigoldladder
