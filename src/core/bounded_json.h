// Reads JSON text that other programs wrote, within bounds and part by part, so that a part that can't be
// read costs no other part.
//
// Values are copied, compared, written and destroyed by recursion and take many times the memory of their
// text, so a text of less than a megabyte can exhaust the stack or the memory if it isn't bounded.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldladder {

// What a text may hold at most.
struct JsonBounds {
    std::size_t m_depth = 64; // Arrays and objects within each other.
    std::size_t m_values = std::size_t { 1 } << 18; // Elements and members, at any depth.
    std::size_t m_bytes = std::size_t { 16 } << 20; // Of the text.
};

// A string that may have bytes that aren't UTF-8, or escapes that stand for no character.
struct JsonText {
    std::string m_bytes; // Half of a surrogate pair is encoded like a character.
    bool m_isUnicode = false; // All of it is text.
};

// One member of an object, as text.
struct JsonMember {
    std::string_view m_name; // Without its quotes; escapes aren't decoded.
    std::string_view m_value;
};

// Reads a value. Returns nothing if the text is no JSON, has bytes that aren't UTF-8 or numbers that no
// double holds, or is beyond the bounds.
auto readBoundedJson(std::string_view text, const JsonBounds& = {}) -> std::optional<nlohmann::json>;

// Reads a string that other programs may compare byte by byte. Returns nothing if the text isn't a string.
auto readJsonText(std::string_view text) -> std::optional<JsonText>;

// Returns the elements of an array, as text, without reading them; nothing if the text isn't an array.
auto splitJsonArray(std::string_view text) -> std::optional<std::vector<std::string_view>>;

// Returns the members of an object, likewise; nothing if the text isn't an object.
auto splitJsonObject(std::string_view text) -> std::optional<std::vector<JsonMember>>;

// Returns the text of the last member of that name; empty if there is none.
auto findJsonMember(const std::vector<JsonMember>&, std::string_view name) -> std::string_view;

} // namespace marigoldladder
