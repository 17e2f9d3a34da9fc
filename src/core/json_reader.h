// Reads a JSON object field by field and gathers every fault, instead of stopping at the first.
#pragma once

#include "marigoldladder/settings.h"

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldladder {

// Bounds that a number must keep, both included.
struct NumberRange {
    double m_least = 0;
    double m_most = 0;
};

// Reads the fields of one JSON object. Faults go to the list it was made with, each with its path.
class JsonReader {
public:
    JsonReader(const nlohmann::json& object, std::string path, std::vector<FieldFault>& faults);

    auto requiredText(std::string_view field) -> std::string;
    auto optionalText(std::string_view field, std::string fallback) -> std::string;
    auto requiredNumber(std::string_view field, NumberRange) -> double;
    auto optionalNumber(std::string_view field, double fallback, NumberRange) -> double;
    auto optionalBool(std::string_view field, bool fallback) -> bool;
    auto requiredAddress(std::string_view field) -> Address;
    auto optionalAddress(std::string_view field, Address fallback) -> Address;

    // Returns the elements of an array of strings; empty when the field is missing.
    auto optionalTexts(std::string_view field) -> std::vector<std::string>;

    // Returns the field as JSON, or a null pointer when it is missing.
    auto child(std::string_view field) -> const nlohmann::json*;

    // Returns the path of a field of this object.
    auto pathOf(std::string_view field) const -> std::string;

    auto has(std::string_view field) const -> bool;
    auto fault(std::string_view field, std::string message) -> void;

    // Returns the paths of the fields that none of the calls above has asked for.
    auto unknownFields() const -> std::vector<std::string>;

    // Reports each of these as a fault.
    auto rejectUnknownFields() -> void;

private:
    auto find(std::string_view field) -> const nlohmann::json*;
    auto checkedNumber(std::string_view field, const nlohmann::json&, double fallback, NumberRange) -> double;

    const nlohmann::json& m_object;
    std::string m_path;
    std::vector<FieldFault>& m_faults;
    std::vector<std::string> m_known;
};

// Parses JSON text that must be an object; on a fault, adds it to the list and returns nothing.
auto parseJsonObject(std::string_view text, std::vector<FieldFault>&) -> std::optional<nlohmann::json>;

} // namespace marigoldladder
