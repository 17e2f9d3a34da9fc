// Reads fields of JSON that others wrote, which may be missing or of another type.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldladder {

// Returns a field of an object, or a null pointer if it is missing or null.
auto member(const nlohmann::json&, std::string_view field) -> const nlohmann::json*;

// Return the field's value, or `other` if it is missing or of another type.
auto textOr(const nlohmann::json&, std::string_view field, std::string other) -> std::string;
auto numberOr(const nlohmann::json&, std::string_view field, double other) -> double;
// Returns nothing if the field is missing or not an unsigned integer.
auto countIn(const nlohmann::json&, std::string_view field) -> std::optional<std::uint64_t>;

auto countOr(const nlohmann::json&, std::string_view field, std::uint64_t other) -> std::uint64_t;
auto flagOr(const nlohmann::json&, std::string_view field, bool other) -> bool;

// Returns the field's value if it is an object, else an empty one.
auto objectIn(const nlohmann::json&, std::string_view field) -> const nlohmann::json&;

// Returns the elements of an array; none if the field is missing or not an array.
auto elements(const nlohmann::json&, std::string_view field) -> const std::vector<nlohmann::json>&;

// Returns the strings of an array; skips elements of other types.
auto texts(const nlohmann::json&, std::string_view field) -> std::vector<std::string>;

} // namespace marigoldladder
