#include "core/bounded_json.h"

#include <algorithm>
#include <charconv>

namespace marigoldladder {

namespace {

    constexpr auto whitespace = std::string_view(" \t\r\n");
    constexpr auto scalarEnds = std::string_view(" \t\r\n,]}");

    auto skipWhitespace(std::string_view text, std::size_t at) -> std::size_t
    {
        return std::min(text.find_first_not_of(whitespace, at), text.size());
    }

    // Returns the index after the string that starts at `at`; npos if it doesn't end.
    auto endOfString(std::string_view text, std::size_t at) -> std::size_t
    {
        for (auto index = at + 1; index < text.size(); ++index) {
            if (text[index] == '\\')
                ++index;
            else if (text[index] == '"')
                return index + 1;
        }
        return std::string_view::npos;
    }

    // Returns the index after the array or object that starts at `at`; npos if it doesn't end.
    auto endOfNested(std::string_view text, std::size_t at) -> std::size_t
    {
        auto depth = std::size_t { 0 };
        for (auto index = at; index < text.size();) {
            const auto character = text[index];
            if (character == '"') {
                index = endOfString(text, index);
                continue;
            }
            ++index;
            if (character == '[' || character == '{')
                ++depth;
            else if ((character == ']' || character == '}') && --depth == 0)
                return index;
        }
        return std::string_view::npos;
    }

    // Returns the index after the value that starts at `at`; npos if there is none or it doesn't end.
    auto endOfValue(std::string_view text, std::size_t at) -> std::size_t
    {
        if (at >= text.size())
            return std::string_view::npos;
        if (text[at] == '"')
            return endOfString(text, at);
        if (text[at] == '[' || text[at] == '{')
            return endOfNested(text, at);
        const auto end = std::min(text.find_first_of(scalarEnds, at), text.size());
        return end == at ? std::string_view::npos : end;
    }

    // Calls `readPart`, which returns the index after the part at an index, for each part between brackets.
    // Returns whether the text has that form.
    template <typename ReadPart>
    auto forEachPart(std::string_view text, char open, char close, ReadPart readPart) -> bool
    {
        auto at = skipWhitespace(text, 0);
        if (at >= text.size() || text[at] != open)
            return false;
        at = skipWhitespace(text, at + 1);
        if (at < text.size() && text[at] == close)
            return skipWhitespace(text, at + 1) == text.size();
        for (;;) {
            at = readPart(at);
            if (at == std::string_view::npos)
                return false;
            at = skipWhitespace(text, at);
            if (at >= text.size())
                return false;
            if (text[at] == close)
                return skipWhitespace(text, at + 1) == text.size();
            if (text[at] != ',')
                return false;
            at = skipWhitespace(text, at + 1);
        }
    }

    // Whether the text is within the bounds, if it is JSON.
    auto isWithin(std::string_view text, const JsonBounds& bounds) -> bool
    {
        if (text.size() > bounds.m_bytes)
            return false;
        auto depth = std::size_t { 0 };
        auto values = std::size_t { 1 };
        for (auto index = std::size_t { 0 }; index < text.size();) {
            const auto character = text[index];
            if (character == '"') {
                index = endOfString(text, index);
                continue;
            }
            ++index;
            if (character == '[' || character == '{') {
                ++depth;
                ++values;
            } else if ((character == ']' || character == '}') && depth > 0) {
                --depth;
            } else if (character == ',') {
                ++values;
            }
            if (depth > bounds.m_depth || values > bounds.m_values)
                return false;
        }
        return true;
    }

    // Returns the text that an escape stands for; nothing if that is no character.
    auto readEscape(std::string_view escape) -> std::optional<std::string>
    {
        const auto json = nlohmann::json::parse('"' + std::string(escape) + '"', nullptr, false);
        return json.is_string() ? std::optional(json.get<std::string>()) : std::nullopt;
    }

    // Returns the bytes of half of a surrogate pair, encoded like a character; of any other escape itself.
    auto encodeHalf(std::string_view escape) -> std::string
    {
        constexpr auto hexadecimal = 16;
        constexpr auto digitsAt = std::size_t { 2 };
        constexpr auto digitCount = std::size_t { 4 };
        auto unit = 0U;
        const auto digits = escape.substr(std::min(digitsAt, escape.size()));
        const auto [end, error]
            = std::from_chars(digits.data(), digits.data() + digits.size(), unit, hexadecimal);
        if (digits.size() != digitCount || error != std::errc() || end != digits.data() + digitCount)
            return std::string(escape);
        return { static_cast<char>(0xe0U | (unit >> 12U)), static_cast<char>(0x80U | ((unit >> 6U) & 0x3fU)),
            static_cast<char>(0x80U | (unit & 0x3fU)) };
    }

    // Appends what the escape at the beginning of the text stands for; returns its length.
    auto appendEscape(std::string_view text, std::string& bytes) -> std::size_t
    {
        constexpr auto shortLength = std::size_t { 2 };
        constexpr auto unitLength = std::size_t { 6 };
        const auto isUnit = text.substr(0, shortLength) == "\\u";
        for (const auto length : { 2 * unitLength, unitLength, shortLength }) {
            const auto escape = text.substr(0, length);
            if (isUnit == (length == shortLength) || escape.size() < length)
                continue;
            // Two units are read together only if both are escapes.
            if (length > unitLength && escape.substr(unitLength, shortLength) != "\\u")
                continue;
            if (const auto character = readEscape(escape)) {
                bytes += *character;
                return length;
            }
        }
        const auto length = std::min(isUnit ? unitLength : shortLength, text.size());
        bytes += isUnit ? encodeHalf(text.substr(0, length)) : std::string(text.substr(0, length));
        return length;
    }

} // namespace

auto readJsonText(std::string_view text) -> std::optional<JsonText>
{
    if (text.empty() || text.front() != '"' || endOfString(text, 0) != text.size())
        return std::nullopt;
    const auto whole = readBoundedJson(text);
    if (whole)
        return JsonText { whole->get<std::string>(), true };
    const auto quoted = text.substr(1, text.size() - 2);
    auto bytes = std::string();
    for (auto at = std::size_t { 0 }; at < quoted.size();) {
        if (quoted[at] == '\\')
            at += appendEscape(quoted.substr(at), bytes);
        else
            bytes += quoted[at++];
    }
    return JsonText { std::move(bytes), false };
}

auto readBoundedJson(std::string_view text, const JsonBounds& bounds) -> std::optional<nlohmann::json>
{
    if (!isWithin(text, bounds))
        return std::nullopt;
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return std::nullopt;
    return json;
}

auto splitJsonArray(std::string_view text) -> std::optional<std::vector<std::string_view>>
{
    auto elements = std::vector<std::string_view>();
    const auto isArray = forEachPart(text, '[', ']', [&](std::size_t at) {
        const auto end = endOfValue(text, at);
        if (end != std::string_view::npos)
            elements.push_back(text.substr(at, end - at));
        return end;
    });
    return isArray ? std::optional(std::move(elements)) : std::nullopt;
}

auto splitJsonObject(std::string_view text) -> std::optional<std::vector<JsonMember>>
{
    auto members = std::vector<JsonMember>();
    const auto isObject = forEachPart(text, '{', '}', [&](std::size_t at) {
        const auto hasName = at < text.size() && text[at] == '"';
        const auto nameEnd = hasName ? endOfString(text, at) : std::string_view::npos;
        if (nameEnd == std::string_view::npos)
            return nameEnd;
        const auto colon = skipWhitespace(text, nameEnd);
        if (colon >= text.size() || text[colon] != ':')
            return std::string_view::npos;
        const auto begin = skipWhitespace(text, colon + 1);
        const auto end = endOfValue(text, begin);
        if (end != std::string_view::npos)
            members.push_back({ text.substr(at + 1, nameEnd - at - 2), text.substr(begin, end - begin) });
        return end;
    });
    return isObject ? std::optional(std::move(members)) : std::nullopt;
}

auto findJsonMember(const std::vector<JsonMember>& members, std::string_view name) -> std::string_view
{
    const auto found = std::find_if(
        members.rbegin(), members.rend(), [&](const auto& member) { return member.m_name == name; });
    return found == members.rend() ? std::string_view() : found->m_value;
}

} // namespace marigoldladder
