// Tables that give each value of an `enum class` its name in settings, messages and metrics.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace marigoldladder {

// One row of a table of names.
template <typename Enum> struct EnumName {
    Enum m_value;
    std::string_view m_name;
};

// Returns the name of `value`, or "unknown" when the table lacks it.
template <typename Enum, std::size_t size>
constexpr auto nameOf(const std::array<EnumName<Enum>, size>& table, Enum value) -> std::string_view
{
    for (const auto& row : table) {
        if (row.m_value == value)
            return row.m_name;
    }
    return "unknown";
}

// Returns the value called `name`, or nothing when the table has no such name.
template <typename Enum, std::size_t size>
constexpr auto valueNamed(const std::array<EnumName<Enum>, size>& table, std::string_view name)
    -> std::optional<Enum>
{
    for (const auto& row : table) {
        if (row.m_name == name)
            return row.m_value;
    }
    return std::nullopt;
}

} // namespace marigoldladder
