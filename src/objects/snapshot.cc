#include "objects/snapshot.h"

#include "core/release_note_items.h"

#include <map>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto maxRevision = 9.0e15;
    constexpr auto revisionRange = NumberRange { 0, maxRevision };

    template <typename Table> auto addItems(nlohmann::json& items, const Table& table) -> void
    {
        auto sorted = std::map<std::string, const typename Table::mapped_type*>();
        for (const auto& [identity, item] : table)
            sorted.emplace(itemKey(item), &item);
        for (const auto& [key, item] : sorted) {
            auto json = nlohmann::json::object();
            json["kind"] = nameOf(itemKindNames, writeItem(json, *item));
            json["changed_in"] = item->m_changedIn;
            items.push_back(std::move(json));
        }
    }

    auto keepItem(Configuration& configuration, Organisation item) -> void
    {
        auto name = item.m_name;
        configuration.m_organisations.emplace(std::move(name), std::move(item));
    }

    auto keepItem(Configuration& configuration, KeyGrant item) -> void
    {
        auto id = item.m_id;
        configuration.m_keys.emplace(std::move(id), std::move(item));
    }

    auto keepItem(Configuration& configuration, Adapter item) -> void
    {
        auto ref = item.m_ref;
        configuration.m_adapters.emplace(std::move(ref), std::move(item));
    }

    auto keepItem(Configuration& configuration, Route item) -> void
    {
        auto name = item.m_name;
        configuration.m_routes.emplace(std::move(name), std::move(item));
    }

    auto keepItem(Configuration& configuration, Drain item) -> void
    {
        auto key = drainKey(item.m_scope, item.m_name);
        configuration.m_drains.emplace(std::move(key), std::move(item));
    }

    auto readRevision(JsonReader& reader, std::string_view field) -> Revision
    {
        return static_cast<Revision>(reader.requiredNumber(field, revisionRange));
    }

    auto readItemInto(Configuration& configuration, JsonReader& reader) -> void
    {
        const auto kind = valueNamed(itemKindNames, reader.requiredText("kind"));
        if (!kind) {
            reader.fault("kind", "is not known");
            return;
        }
        auto item = readItem(reader, ChangeAction::Put, *kind);
        const auto changedIn = readRevision(reader, "changed_in");
        std::visit(
            [&](auto& value) {
                value.m_changedIn = changedIn;
                keepItem(configuration, std::move(value));
            },
            item);
    }

    auto readNoteInto(Configuration& configuration, JsonReader& reader) -> void
    {
        auto origin = NoteOrigin { NoteId(reader.requiredText("note_id")), reader.optionalText("author", ""),
            reader.optionalText("office", "") };
        configuration.m_appliedNotes.emplace(origin.m_id, readRevision(reader, "applied_in"));
        configuration.m_recentNotes.push_back(std::move(origin));
    }

    // Calls the function with a reader for each element of an array.
    template <typename Function>
    auto forEachElement(JsonReader& reader, std::string_view field, std::vector<FieldFault>& faults,
        Function function) -> void
    {
        const auto* array = reader.child(field);
        if (!array || !array->is_array()) {
            reader.fault(field, "must be an array");
            return;
        }
        for (auto i = std::size_t { 0 }; i < array->size(); ++i) {
            auto element = JsonReader((*array)[i], reader.pathOf(field) + "/" + std::to_string(i), faults);
            function(element);
        }
    }

    auto writeNotes(const Configuration& configuration) -> nlohmann::json
    {
        auto notes = nlohmann::json::array();
        auto revision = configuration.m_revision - configuration.m_recentNotes.size();
        for (const auto& origin : configuration.m_recentNotes) {
            ++revision;
            const auto applied = configuration.m_appliedNotes.find(origin.m_id);
            auto json = nlohmann::json { { "note_id", origin.m_id.value() } };
            json["applied_in"] = applied == configuration.m_appliedNotes.end() ? revision : applied->second;
            if (!origin.m_author.empty())
                json["author"] = origin.m_author;
            if (!origin.m_office.empty())
                json["office"] = origin.m_office;
            notes.push_back(std::move(json));
        }
        return notes;
    }

} // namespace

auto formatSnapshot(const Configuration& configuration) -> std::string
{
    auto items = nlohmann::json::array();
    addItems(items, configuration.m_organisations);
    addItems(items, configuration.m_keys);
    addItems(items, configuration.m_adapters);
    addItems(items, configuration.m_routes);
    addItems(items, configuration.m_drains);
    auto withdrawals = nlohmann::json::array();
    for (const auto& [key, revision] : std::map<std::string, Revision>(
             configuration.m_withdrawals.begin(), configuration.m_withdrawals.end()))
        withdrawals.push_back({ { "item", key }, { "revision", revision } });
    auto json = nlohmann::json { { "revision", configuration.m_revision } };
    json["items"] = std::move(items);
    json["withdrawals"] = std::move(withdrawals);
    json["notes"] = writeNotes(configuration);
    return json.dump(-1, ' ', true);
}

auto parseSnapshot(std::string_view json) -> CheckedSettings<Configuration>
{
    auto faults = std::vector<FieldFault>();
    const auto document = parseJsonObject(json, faults);
    if (!document)
        return SettingsFaults { std::move(faults) };
    auto reader = JsonReader(*document, "", faults);
    auto configuration = Configuration();
    configuration.m_revision = readRevision(reader, "revision");
    forEachElement(reader, "items", faults, [&](JsonReader& item) { readItemInto(configuration, item); });
    forEachElement(reader, "withdrawals", faults, [&](JsonReader& item) {
        configuration.m_withdrawals.emplace(item.requiredText("item"), readRevision(item, "revision"));
    });
    forEachElement(reader, "notes", faults, [&](JsonReader& note) { readNoteInto(configuration, note); });
    if (!faults.empty())
        return SettingsFaults { std::move(faults) };
    return configuration;
}

} // namespace marigoldladder
