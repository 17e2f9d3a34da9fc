// Checking release notes against the configuration, and putting them in force.
#include "marigoldladder/release_note.h"

#include <cassert>
#include <type_traits>
#include <unordered_set>

namespace marigoldladder {

namespace {

    auto tableOf(Configuration& configuration, const Organisation&) -> auto&
    {
        return configuration.m_organisations;
    }

    auto tableOf(Configuration& configuration, const KeyGrant&) -> auto&
    {
        return configuration.m_keys;
    }

    auto tableOf(Configuration& configuration, const Adapter&) -> auto&
    {
        return configuration.m_adapters;
    }

    auto tableOf(Configuration& configuration, const Route&) -> auto&
    {
        return configuration.m_routes;
    }

    auto tableOf(Configuration& configuration, const Drain&) -> auto&
    {
        return configuration.m_drains;
    }

    auto identityOf(const Organisation& organisation) -> const OrganisationName&
    {
        return organisation.m_name;
    }

    auto identityOf(const KeyGrant& key) -> const KeyId&
    {
        return key.m_id;
    }

    auto identityOf(const Adapter& adapter) -> const AdapterRef&
    {
        return adapter.m_ref;
    }

    auto identityOf(const Route& route) -> const RouteName&
    {
        return route.m_name;
    }

    auto identityOf(const Drain& drain) -> std::string
    {
        return drainKey(drain.m_scope, drain.m_name);
    }

    // Organisations that exist once the note is in force, for checking references to them.
    auto organisationsAfter(const Configuration& configuration, const ReleaseNote& note)
        -> std::unordered_set<OrganisationName>
    {
        auto names = std::unordered_set<OrganisationName>();
        for (const auto& [name, organisation] : configuration.m_organisations)
            names.insert(name);
        for (const auto& change : note.m_changes) {
            const auto* organisation = std::get_if<Organisation>(&change.m_item);
            if (!organisation)
                continue;
            if (change.m_action == ChangeAction::Put)
                names.insert(organisation->m_name);
            else
                names.erase(organisation->m_name);
        }
        return names;
    }

    auto checkReferences(const std::unordered_set<OrganisationName>& organisations, const Change& change,
        const std::string& path, std::vector<FieldFault>& faults) -> void
    {
        if (change.m_action == ChangeAction::Withdraw)
            return;
        const auto require = [&](const OrganisationName& name, const char* field) {
            if (!organisations.contains(name))
                faults.push_back({ path + field, "names the unknown organisation \"" + name.value() + "\"" });
        };
        if (const auto* key = std::get_if<KeyGrant>(&change.m_item))
            require(key->m_organisation, "/organisation");
        if (const auto* adapter = std::get_if<Adapter>(&change.m_item)) {
            for (const auto& name : adapter->m_organisations)
                require(name, "/organisations");
        }
    }

    template <typename Item>
    auto checkExpectedRevision(const Configuration& configuration, const Item& item, const Change& change,
        const std::string& path, std::vector<FieldFault>& faults) -> void
    {
        const auto& table = tableOf(const_cast<Configuration&>(configuration), item);
        const auto found = table.find(identityOf(item));
        if (change.m_action == ChangeAction::Withdraw && found == table.end())
            faults.push_back({ path, "withdraws an item that is not there" });
        if (!change.m_expectedRevision)
            return;
        const auto current = found == table.end() ? Revision { 0 } : found->second.m_changedIn;
        if (current != *change.m_expectedRevision)
            faults.push_back({ path + "/expected_revision",
                "is " + std::to_string(*change.m_expectedRevision)
                    + ", but the item was last changed in revision " + std::to_string(current) });
    }

    template <typename Item>
    auto applyItem(Configuration& configuration, ChangeAction action, Item item, Revision revision) -> void
    {
        auto& table = tableOf(configuration, item);
        if (action == ChangeAction::Withdraw) {
            table.erase(identityOf(item));
            return;
        }
        item.m_changedIn = revision;
        const auto identity = identityOf(item);
        table.insert_or_assign(identity, std::move(item));
    }

} // namespace

auto checkReleaseNote(const Configuration& configuration, const ReleaseNote& note) -> std::vector<FieldFault>
{
    auto faults = std::vector<FieldFault>();
    const auto organisations = organisationsAfter(configuration, note);
    for (auto i = std::size_t { 0 }; i < note.m_changes.size(); ++i) {
        const auto& change = note.m_changes[i];
        const auto path = "/changes/" + std::to_string(i);
        checkReferences(organisations, change, path, faults);
        std::visit(
            [&](const auto& item) { checkExpectedRevision(configuration, item, change, path, faults); },
            change.m_item);
    }
    return faults;
}

auto applyReleaseNote(Configuration& configuration, const ReleaseNote& note, Revision revision) -> void
{
    assert(revision == configuration.m_revision + 1);
    configuration.m_revision = revision;
    if (!configuration.m_appliedNotes.insert(note.m_id).second)
        return;
    for (const auto& change : note.m_changes) {
        std::visit([&](const auto& item) { applyItem(configuration, change.m_action, item, revision); },
            change.m_item);
    }
}

} // namespace marigoldladder
