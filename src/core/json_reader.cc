#include "core/json_reader.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

JsonReader::JsonReader(const nlohmann::json& object, std::string path, std::vector<FieldFault>& faults)
    : m_object(object)
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!m_object.is_object())
        m_faults.push_back({ m_path.empty() ? "/" : m_path, "must be an object" });
}

auto JsonReader::pathOf(std::string_view field) const -> std::string
{
    return m_path + "/" + std::string(field);
}

auto JsonReader::has(std::string_view field) const -> bool
{
    return m_object.is_object() && m_object.contains(field);
}

auto JsonReader::fault(std::string_view field, std::string message) -> void
{
    m_faults.push_back({ pathOf(field), std::move(message) });
}

auto JsonReader::find(std::string_view field) -> const nlohmann::json*
{
    m_known.emplace_back(field);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(field);
    return found == m_object.end() ? nullptr : &*found;
}

auto JsonReader::child(std::string_view field) -> const nlohmann::json*
{
    return find(field);
}

auto JsonReader::requiredText(std::string_view field) -> std::string
{
    const auto* value = find(field);
    if (!value) {
        fault(field, "is missing");
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        fault(field, "must be a string that is not empty");
        return {};
    }
    return value->get<std::string>();
}

auto JsonReader::optionalText(std::string_view field, std::string fallback) -> std::string
{
    return has(field) ? requiredText(field) : (find(field), std::move(fallback));
}

auto JsonReader::checkedNumber(
    std::string_view field, const nlohmann::json& value, double fallback, NumberRange range) -> double
{
    if (!value.is_number()) {
        fault(field, std::string("must be a number, not of type ") + value.type_name());
        return fallback;
    }
    const auto number = value.get<double>();
    if (number < range.m_least || number > range.m_most) {
        const auto least = nlohmann::json(range.m_least).dump();
        const auto most = nlohmann::json(range.m_most).dump();
        fault(field, "must be within " + least + " and " + most + ", not " + value.dump());
        return fallback;
    }
    return number;
}

auto JsonReader::requiredNumber(std::string_view field, NumberRange range) -> double
{
    const auto* value = find(field);
    if (!value) {
        fault(field, "is missing");
        return 0;
    }
    return checkedNumber(field, *value, 0, range);
}

auto JsonReader::optionalNumber(std::string_view field, double fallback, NumberRange range) -> double
{
    const auto* value = find(field);
    return value ? checkedNumber(field, *value, fallback, range) : fallback;
}

auto JsonReader::optionalBool(std::string_view field, bool fallback) -> bool
{
    const auto* value = find(field);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        fault(field, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

auto JsonReader::requiredAddress(std::string_view field) -> Address
{
    const auto before = m_faults.size();
    const auto text = requiredText(field);
    if (m_faults.size() != before)
        return {};
    const auto address = parseAddress(text);
    if (!address)
        fault(field, "must be an IP number and a port, such as 127.0.0.1:8080");
    return address.value_or(Address {});
}

auto JsonReader::optionalAddress(std::string_view field, Address fallback) -> Address
{
    return has(field) ? requiredAddress(field) : (find(field), std::move(fallback));
}

auto JsonReader::optionalTexts(std::string_view field) -> std::vector<std::string>
{
    const auto* value = find(field);
    auto texts = std::vector<std::string>();
    if (!value)
        return texts;
    if (!value->is_array()) {
        fault(field, "must be an array of strings");
        return texts;
    }
    for (const auto& element : *value) {
        if (element.is_string())
            texts.push_back(element.get<std::string>());
        else
            fault(field, "must hold strings only");
    }
    return texts;
}

auto JsonReader::unknownFields() const -> std::vector<std::string>
{
    auto unknown = std::vector<std::string>();
    if (!m_object.is_object())
        return unknown;
    for (const auto& [field, value] : m_object.items()) {
        if (std::find(m_known.begin(), m_known.end(), field) == m_known.end())
            unknown.push_back(pathOf(field));
    }
    return unknown;
}

auto JsonReader::rejectUnknownFields() -> void
{
    for (const auto& path : unknownFields())
        m_faults.push_back({ path, "is not known here" });
}

namespace {

    // Notes fields that stand twice in one object; the names of its members are the parser's.
    class DuplicateFinder : public nlohmann::json_sax<nlohmann::json> {
    public:
        auto duplicates() const -> const std::vector<std::string>& { return m_duplicates; }

        auto null() -> bool override { return true; }
        auto boolean(bool /*value*/) -> bool override { return true; }
        auto number_integer(std::int64_t /*value*/) -> bool override { return true; }
        auto number_unsigned(std::uint64_t /*value*/) -> bool override { return true; }
        auto number_float(double /*value*/, const std::string& /*text*/) -> bool override { return true; }
        auto string(std::string& /*value*/) -> bool override { return true; }
        auto binary(nlohmann::json::binary_t& /*value*/) -> bool override { return true; }
        auto start_array(std::size_t /*size*/) -> bool override { return true; }
        auto end_array() -> bool override { return true; }
        auto start_object(std::size_t /*size*/) -> bool override
        {
            m_openObjects.emplace_back();
            return true;
        }
        auto end_object() -> bool override
        {
            m_openObjects.pop_back();
            return true;
        }
        auto key(std::string& name) -> bool override
        {
            auto& fields = m_openObjects.back();
            if (std::find(fields.begin(), fields.end(), name) != fields.end())
                m_duplicates.push_back(name);
            fields.push_back(name);
            return true;
        }
        auto parse_error(std::size_t /*position*/, const std::string& /*token*/,
            const nlohmann::detail::exception& /*error*/) -> bool override
        {
            return false;
        }

    private:
        std::vector<std::vector<std::string>> m_openObjects;
        std::vector<std::string> m_duplicates;
    };

} // namespace

auto parseJsonObject(std::string_view text, std::vector<FieldFault>& faults) -> std::optional<nlohmann::json>
{
    auto document = nlohmann::json();
    try {
        document = nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception& error) {
        faults.push_back({ "/", std::string("is not JSON: ") + error.what() });
        return std::nullopt;
    }
    auto finder = DuplicateFinder();
    nlohmann::json::sax_parse(text, &finder);
    for (const auto& key : finder.duplicates())
        faults.push_back({ "/", "has the field \"" + key + "\" twice in one object" });
    if (!document.is_object()) {
        faults.push_back({ "/", "must be an object" });
        return std::nullopt;
    }
    return document;
}

} // namespace marigoldladder
