#include "core/compression.h"

#include <zlib.h>

namespace marigoldladder {

auto compress(std::string_view text) -> std::string
{
    constexpr auto level = Z_BEST_SPEED; // Lists of alike objects compress well at any level.
    auto length = ::compressBound(text.size());
    auto bytes = std::string(length, '\0');
    const auto result = ::compress2(reinterpret_cast<Bytef*>(bytes.data()), &length,
        reinterpret_cast<const Bytef*>(text.data()), text.size(), level);
    bytes.resize(result == Z_OK ? length : 0);
    return bytes;
}

auto decompress(std::string_view bytes, std::size_t length) -> std::optional<std::string>
{
    auto text = std::string(length, '\0');
    auto written = static_cast<uLongf>(length);
    const auto result = ::uncompress(reinterpret_cast<Bytef*>(text.data()), &written,
        reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
    if (result != Z_OK || written != length)
        return std::nullopt;
    return text;
}

} // namespace marigoldladder
