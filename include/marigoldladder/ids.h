// Names of things, each of its own type, so that the compiler keeps an organisation apart from a route.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace marigoldladder {

// A string that can only be compared with, or assigned from, a string of the same kind.
template <typename Tag> class StrongString {
public:
    StrongString() = default;
    explicit StrongString(std::string value)
        : m_value(std::move(value))
    {
    }

    auto value() const -> const std::string& { return m_value; }
    auto empty() const -> bool { return m_value.empty(); }
    auto operator<=>(const StrongString&) const = default; // NOLINT(modernize-use-nullptr): a false alarm.

private:
    std::string m_value;
};

using VmName = StrongString<struct VmNameTag>;
using DataCentreName = StrongString<struct DataCentreNameTag>;
using OrganisationName = StrongString<struct OrganisationNameTag>;
using UpstreamName = StrongString<struct UpstreamNameTag>;
using PoolName = StrongString<struct PoolNameTag>; // A set of upstreams that serve the same thing.
using RouteName = StrongString<struct RouteNameTag>;
using KeyId = StrongString<struct KeyIdTag>; // The public part of a caller's key.
using NoteId = StrongString<struct NoteIdTag>;
using RequestId = StrongString<struct RequestIdTag>;
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

// Counts the starts of one node: drawn anew, and higher, each time its process starts.
using Incarnation = std::uint64_t;

// The number of release notes that a configuration contains.
using Revision = std::uint64_t;

// Grows each time an upstream passes to another owner.
using FencingNumber = std::uint64_t;

// An adapter at one version; callers and engines write it `name@version`.
struct AdapterRef {
    std::string m_name;
    std::string m_version;

    auto operator<=>(const AdapterRef&) const = default;
};

// Returns `name@version`.
auto formatAdapterRef(const AdapterRef&) -> std::string;

// Reads `name@version`; nothing when either part is missing.
auto parseAdapterRef(std::string_view) -> std::optional<AdapterRef>;

// Returns a fresh request id: 128 random bits as 32 hexadecimal digits.
auto makeRequestId() -> RequestId;

// Returns an incarnation from the clock of the day, so that a restarted node draws a higher one.
auto makeIncarnation() -> Incarnation;

} // namespace marigoldladder

template <typename Tag> struct std::hash<marigoldladder::StrongString<Tag>> {
    auto operator()(const marigoldladder::StrongString<Tag>& name) const noexcept -> std::size_t
    {
        return std::hash<std::string>()(name.value());
    }
};

template <> struct std::hash<marigoldladder::AdapterRef> {
    auto operator()(const marigoldladder::AdapterRef& ref) const noexcept -> std::size_t
    {
        constexpr auto multiplier = std::size_t { 31 };
        return std::hash<std::string>()(ref.m_name) * multiplier + std::hash<std::string>()(ref.m_version);
    }
};
