#include "core/json_fields.h"

#include <utility>

namespace marigoldladder {

auto member(const nlohmann::json& object, std::string_view field) -> const nlohmann::json*
{
    if (!object.is_object())
        return nullptr;
    const auto found = object.find(field);
    if (found == object.end() || found->is_null())
        return nullptr;
    return &*found;
}

auto textOr(const nlohmann::json& object, std::string_view field, std::string other) -> std::string
{
    const auto* value = member(object, field);
    return value && value->is_string() ? value->get<std::string>() : std::move(other);
}

auto numberOr(const nlohmann::json& object, std::string_view field, double other) -> double
{
    const auto* value = member(object, field);
    return value && value->is_number() ? value->get<double>() : other;
}

auto countIn(const nlohmann::json& object, std::string_view field) -> std::optional<std::uint64_t>
{
    const auto* value = member(object, field);
    if (!value || !value->is_number_unsigned())
        return std::nullopt;
    return value->get<std::uint64_t>();
}

auto countOr(const nlohmann::json& object, std::string_view field, std::uint64_t other) -> std::uint64_t
{
    return countIn(object, field).value_or(other);
}

auto flagOr(const nlohmann::json& object, std::string_view field, bool other) -> bool
{
    const auto* value = member(object, field);
    return value && value->is_boolean() ? value->get<bool>() : other;
}

auto objectIn(const nlohmann::json& object, std::string_view field) -> const nlohmann::json&
{
    static const auto empty = nlohmann::json(nlohmann::json::object());
    const auto* value = member(object, field);
    return value && value->is_object() ? *value : empty;
}

auto elements(const nlohmann::json& object, std::string_view field) -> const std::vector<nlohmann::json>&
{
    static const auto none = std::vector<nlohmann::json>();
    const auto* value = member(object, field);
    return value && value->is_array() ? value->get_ref<const nlohmann::json::array_t&>() : none;
}

auto texts(const nlohmann::json& object, std::string_view field) -> std::vector<std::string>
{
    auto strings = std::vector<std::string>();
    for (const auto& value : elements(object, field)) {
        if (value.is_string())
            strings.push_back(value.get<std::string>());
    }
    return strings;
}

} // namespace marigoldladder
