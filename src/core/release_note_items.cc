#include "core/release_note_items.h"

#include "core/random_bytes.h"
#include "core/secret_digest.h"

#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto saltBytes = std::size_t { 8 };
    constexpr auto tokensRange = NumberRange { 0, 1.0e9 };
    constexpr auto weightRange = NumberRange { 0.001, 1000 };

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

    auto writeFields(nlohmann::json& json, const Organisation& organisation) -> ItemKind
    {
        json["name"] = organisation.m_name.value();
        json["tokens_per_second"] = organisation.m_tokensPerSecond;
        json["burst_tokens"] = organisation.m_burstTokens;
        json["weight"] = organisation.m_weight;
        return ItemKind::Organisation;
    }

    auto writeFields(nlohmann::json& json, const KeyGrant& key) -> ItemKind
    {
        json["id"] = key.m_id.value();
        json["organisation"] = key.m_organisation.value();
        json["salt"] = key.m_salt;
        json["secret_digest"] = key.m_secretDigest;
        return ItemKind::Key;
    }

    auto writeFields(nlohmann::json& json, const Adapter& adapter) -> ItemKind
    {
        json["name"] = adapter.m_ref.m_name;
        json["version"] = adapter.m_ref.m_version;
        json["pool"] = adapter.m_pool.value();
        json["path"] = adapter.m_path;
        for (const auto& organisation : adapter.m_organisations)
            json["organisations"].push_back(organisation.value());
        return ItemKind::Adapter;
    }

    auto writeFields(nlohmann::json& json, const Route& route) -> ItemKind
    {
        json["name"] = route.m_name.value();
        json["pool"] = route.m_pool.value();
        json["open_to_all"] = route.m_openToAll;
        json["idempotent"] = route.m_idempotent;
        json["cost_tokens"] = route.m_costTokens;
        return ItemKind::Route;
    }

    auto writeFields(nlohmann::json& json, const Drain& drain) -> ItemKind
    {
        json["scope"] = nameOf(drainScopeNames, drain.m_scope);
        json["name"] = drain.m_name;
        return ItemKind::Drain;
    }

} // namespace

auto readItem(JsonReader& reader, ChangeAction action, ItemKind kind) -> ConfigurationItem
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

auto writeItem(nlohmann::json& json, const ConfigurationItem& item) -> ItemKind
{
    return std::visit([&](const auto& value) { return writeFields(json, value); }, item);
}

} // namespace marigoldladder
