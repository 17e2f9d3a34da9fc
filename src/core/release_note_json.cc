// Reading and writing release notes as JSON.
#include "marigoldladder/release_note.h"

#include "core/json_reader.h"
#include "core/random_bytes.h"
#include "core/secret_digest.h"

#include <cstdint>
#include <limits>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto saltBytes = std::size_t { 8 };
    constexpr auto maxRevision = 9.0e15;
    constexpr auto tokensRange = NumberRange { 0, 1.0e9 };
    constexpr auto weightRange = NumberRange { 0.001, 1000 };
    constexpr auto revisionRange = NumberRange { 0, maxRevision };

    auto readOrganisation(JsonReader& reader, ChangeAction action) -> Organisation
    {
        auto organisation = Organisation();
        organisation.m_name = OrganisationName(reader.requiredText("name"));
        if (action == ChangeAction::Withdraw)
            return organisation;
        organisation.m_tokensPerSecond = reader.requiredNumber("tokens_per_second", tokensRange);
        organisation.m_burstTokens = reader.requiredNumber("burst_tokens", tokensRange);
        organisation.m_weight = reader.optionalNumber("weight", 1, weightRange);
        return organisation;
    }

    auto readKey(JsonReader& reader, ChangeAction action) -> KeyGrant
    {
        auto key = KeyGrant();
        key.m_id = KeyId(reader.requiredText("id"));
        if (key.m_id.value().find('.') != std::string::npos)
            reader.fault("id", "must hold no full stop");
        if (action == ChangeAction::Withdraw)
            return key;
        key.m_organisation = OrganisationName(reader.requiredText("organisation"));
        if (reader.has("secret")) {
            key.m_salt = randomHex(saltBytes);
            key.m_secretDigest = saltedDigest(key.m_salt, reader.requiredText("secret"));
            return key;
        }
        key.m_salt = reader.requiredText("salt");
        key.m_secretDigest = reader.requiredText("secret_digest");
        return key;
    }

    auto readAdapter(JsonReader& reader, ChangeAction action) -> Adapter
    {
        auto adapter = Adapter();
        adapter.m_ref.m_name = reader.requiredText("name");
        adapter.m_ref.m_version = reader.requiredText("version");
        if (adapter.m_ref.m_version.find('@') != std::string::npos)
            reader.fault("version", "must hold no @");
        if (action == ChangeAction::Withdraw)
            return adapter;
        adapter.m_pool = PoolName(reader.requiredText("pool"));
        adapter.m_path = reader.optionalText("path", formatAdapterRef(adapter.m_ref));
        for (auto& name : reader.optionalTexts("organisations"))
            adapter.m_organisations.emplace_back(std::move(name));
        return adapter;
    }

    auto readRoute(JsonReader& reader, ChangeAction action) -> Route
    {
        auto route = Route();
        route.m_name = RouteName(reader.requiredText("name"));
        if (action == ChangeAction::Withdraw)
            return route;
        route.m_pool = PoolName(reader.requiredText("pool"));
        route.m_openToAll = reader.optionalBool("open_to_all", false);
        route.m_idempotent = reader.optionalBool("idempotent", false);
        route.m_costTokens = reader.optionalNumber("cost_tokens", 1, tokensRange);
        return route;
    }

    auto readDrain(JsonReader& reader) -> Drain
    {
        auto drain = Drain();
        const auto scope = valueNamed(drainScopeNames, reader.requiredText("scope"));
        if (!scope)
            reader.fault("scope", "must be data_centre or vm");
        drain.m_scope = scope.value_or(DrainScope::Vm);
        drain.m_name = reader.requiredText("name");
        return drain;
    }

    auto readItem(JsonReader& reader, ChangeAction action, ItemKind kind) -> decltype(Change::m_item)
    {
        switch (kind) {
        case ItemKind::Organisation:
            return readOrganisation(reader, action);
        case ItemKind::Key:
            return readKey(reader, action);
        case ItemKind::Adapter:
            return readAdapter(reader, action);
        case ItemKind::Route:
            return readRoute(reader, action);
        case ItemKind::Drain:
            return readDrain(reader);
        }
        return Drain();
    }

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

    auto writeItem(nlohmann::json& json, const Organisation& organisation) -> ItemKind
    {
        json["name"] = organisation.m_name.value();
        json["tokens_per_second"] = organisation.m_tokensPerSecond;
        json["burst_tokens"] = organisation.m_burstTokens;
        json["weight"] = organisation.m_weight;
        return ItemKind::Organisation;
    }

    auto writeItem(nlohmann::json& json, const KeyGrant& key) -> ItemKind
    {
        json["id"] = key.m_id.value();
        json["organisation"] = key.m_organisation.value();
        json["salt"] = key.m_salt;
        json["secret_digest"] = key.m_secretDigest;
        return ItemKind::Key;
    }

    auto writeItem(nlohmann::json& json, const Adapter& adapter) -> ItemKind
    {
        json["name"] = adapter.m_ref.m_name;
        json["version"] = adapter.m_ref.m_version;
        json["pool"] = adapter.m_pool.value();
        json["path"] = adapter.m_path;
        for (const auto& organisation : adapter.m_organisations)
            json["organisations"].push_back(organisation.value());
        return ItemKind::Adapter;
    }

    auto writeItem(nlohmann::json& json, const Route& route) -> ItemKind
    {
        json["name"] = route.m_name.value();
        json["pool"] = route.m_pool.value();
        json["open_to_all"] = route.m_openToAll;
        json["idempotent"] = route.m_idempotent;
        json["cost_tokens"] = route.m_costTokens;
        return ItemKind::Route;
    }

    auto writeItem(nlohmann::json& json, const Drain& drain) -> ItemKind
    {
        json["scope"] = nameOf(drainScopeNames, drain.m_scope);
        json["name"] = drain.m_name;
        return ItemKind::Drain;
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
        const auto kind = std::visit([&](const auto& item) { return writeItem(json, item); }, change.m_item);
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
    return json.dump();
}

} // namespace marigoldladder
