#include "serving/idempotency.h"

#include "core/secret_digest.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace marigoldladder {

namespace {

    // Incarnations come from the clock of the day, so that shorter numbers are part of a VM's name.
    constexpr auto leastIncarnationDigits = std::size_t { 12 };
    constexpr auto scopedKeyDigits = std::size_t { 32 };

    auto parseNumber(std::string_view text) -> std::optional<std::uint64_t>
    {
        auto number = std::uint64_t { 0 };
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, number);
        return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number)
                                                                              : std::nullopt;
    }

    auto parseEpoch(std::string_view rest) -> std::optional<KeyEpoch>
    {
        const auto stop = rest.find('.');
        if (stop == std::string_view::npos || !rest.starts_with('e'))
            return std::nullopt;
        return parseNumber(rest.substr(1, stop - 1));
    }

} // namespace

auto keyEpochAt(std::chrono::system_clock::time_point time) -> KeyEpoch
{
    return static_cast<KeyEpoch>(time.time_since_epoch() / keyEpochLength);
}

auto makeKeyPrefix(const VmName& vm, Incarnation incarnation, KeyEpoch epoch) -> std::string
{
    return vm.value() + "." + std::to_string(incarnation) + ".e" + std::to_string(epoch) + ".";
}

auto parseBoundKey(const IdempotencyKey& key) -> std::optional<BoundKey>
{
    const auto text = std::string_view(key.value());
    auto start = text.find('.');
    while (start != std::string_view::npos) {
        const auto stop = text.find('.', start + 1);
        if (stop == std::string_view::npos)
            return std::nullopt;
        const auto part = text.substr(start + 1, stop - start - 1);
        const auto number = part.size() >= leastIncarnationDigits ? parseNumber(part) : std::nullopt;
        if (number && start > 0)
            return BoundKey { VmName(std::string(text.substr(0, start))), *number,
                parseEpoch(text.substr(stop + 1)) };
        start = stop;
    }
    return std::nullopt;
}

auto scopeKey(const OrganisationName& organisation, const RouteName& route, const IdempotencyKey& key)
    -> ScopedKey
{
    const auto scope = std::to_string(organisation.value().size()) + ":" + organisation.value()
        + std::to_string(route.value().size()) + ":" + route.value();
    return ScopedKey(saltedDigest(scope, key.value()).substr(0, scopedKeyDigits));
}

} // namespace marigoldladder
