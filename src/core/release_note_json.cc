// Reading and writing release notes as JSON.
#include "marigoldladder/release_note.h"

#include "core/release_note_items.h"

#include <cstdint>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto maxRevision = 9.0e15;
    constexpr auto revisionRange = NumberRange { 0, maxRevision };

    auto readChange(JsonReader& reader) -> std::optional<Change>
    {
        const auto action = reader.has("withdraw") ? ChangeAction::Withdraw : ChangeAction::Put;
        const auto actionField = nameOf(changeActionNames, action);
        const auto kind = valueNamed(itemKindNames, reader.requiredText(actionField));
        if (!kind) {
            reader.fault(actionField, "must be organisation, key, adapter, route or drain");
            return std::nullopt;
        }
        auto change = Change { action, readItem(reader, action, *kind), std::nullopt };
        if (reader.has("expected_revision"))
            change.m_expectedRevision
                = static_cast<Revision>(reader.requiredNumber("expected_revision", revisionRange));
        reader.rejectUnknownFields();
        return change;
    }

    auto readChanges(JsonReader& reader, std::vector<FieldFault>& faults) -> std::vector<Change>
    {
        auto changes = std::vector<Change>();
        const auto* array = reader.child("changes");
        if (!array || !array->is_array() || array->empty()) {
            reader.fault("changes", "must be an array with one change or more");
            return changes;
        }
        for (auto i = std::size_t { 0 }; i < array->size(); ++i) {
            auto item = JsonReader((*array)[i], reader.pathOf("changes") + "/" + std::to_string(i), faults);
            if (auto change = readChange(item))
                changes.push_back(std::move(*change));
        }
        return changes;
    }

    // Keeps only the fields that identify the item, which is all a withdrawal may state.
    auto keepIdentity(nlohmann::json& json, ItemKind kind) -> void
    {
        auto identity = nlohmann::json::object();
        for (const auto* field : { "name", "id", "version", "scope" }) {
            const auto belongs = kind != ItemKind::Key || std::string_view(field) == "id";
            if (belongs && json.contains(field))
                identity[field] = json[field];
        }
        json = std::move(identity);
    }

    auto writeChange(const Change& change) -> nlohmann::json
    {
        auto json = nlohmann::json::object();
        const auto kind = writeItem(json, change.m_item);
        if (change.m_action == ChangeAction::Withdraw)
            keepIdentity(json, kind);
        json[std::string(nameOf(changeActionNames, change.m_action))] = nameOf(itemKindNames, kind);
        if (change.m_expectedRevision)
            json["expected_revision"] = *change.m_expectedRevision;
        return json;
    }

} // namespace

auto parseReleaseNote(std::string_view json) -> CheckedSettings<ReleaseNote>
{
    auto faults = std::vector<FieldFault>();
    const auto document = parseJsonObject(json, faults);
    if (!document)
        return SettingsFaults { std::move(faults) };
    auto reader = JsonReader(*document, "", faults);
    auto note = ReleaseNote();
    note.m_id = NoteId(reader.requiredText("note_id"));
    note.m_author = reader.optionalText("author", "");
    note.m_office = reader.optionalText("office", "");
    note.m_acceptedAt = reader.optionalText("accepted_at", "");
    note.m_changes = readChanges(reader, faults);
    reader.rejectUnknownFields();
    if (!faults.empty())
        return SettingsFaults { std::move(faults) };
    return note;
}

auto formatReleaseNote(const ReleaseNote& note) -> std::string
{
    auto json = nlohmann::json { { "note_id", note.m_id.value() }, { "changes", nlohmann::json::array() } };
    if (!note.m_author.empty())
        json["author"] = note.m_author;
    if (!note.m_office.empty())
        json["office"] = note.m_office;
    if (!note.m_acceptedAt.empty())
        json["accepted_at"] = note.m_acceptedAt;
    for (const auto& change : note.m_changes)
        json["changes"].push_back(writeChange(change));
    return json.dump(-1, ' ', true);
}

} // namespace marigoldladder
