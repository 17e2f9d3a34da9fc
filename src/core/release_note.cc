// Checking release notes against the configuration, and putting them in force.
#include "marigoldladder/release_note.h"

#include <algorithm>
#include <cassert>
#include <memory>
#include <type_traits>
#include <unordered_map>
#include <unordered_set>
#include <utility>

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

    auto keyOf(const Organisation& organisation) -> std::string
    {
        return "organisation:" + organisation.m_name.value();
    }

    auto keyOf(const KeyGrant& key) -> std::string
    {
        return "key:" + key.m_id.value();
    }

    auto keyOf(const Adapter& adapter) -> std::string
    {
        return "adapter:" + formatAdapterRef(adapter.m_ref);
    }

    auto keyOf(const Route& route) -> std::string
    {
        return "route:" + route.m_name.value();
    }

    auto keyOf(const Drain& drain) -> std::string
    {
        return "drain:" + drainKey(drain.m_scope, drain.m_name);
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

    // Describes whose change made `revision`, as far as it is remembered.
    auto describeChange(const Configuration& configuration, Revision revision) -> std::string
    {
        auto text = "revision " + std::to_string(revision);
        if (const auto* origin = originOf(configuration, revision))
            text += " by " + origin->m_author + " of office " + origin->m_office + ", note "
                + origin->m_id.value();
        return text;
    }

    // Whether the change takes something out of use: these win over concurrent changes of the same item.
    template <typename Item> auto takesAway(ChangeAction action, const Item&) -> bool
    {
        return (action == ChangeAction::Withdraw) != std::is_same_v<Item, Drain>;
    }

    // The revision of an item's last change and whether that was its withdrawal; 0: never there.
    struct LastChange {
        Revision m_revision = 0;
        bool m_withdrawn = false;
    };

    template <typename Item>
    auto lastChangeOf(const Configuration& configuration, const Item& item) -> LastChange
    {
        const auto& table = tableOf(const_cast<Configuration&>(configuration), item);
        const auto found = table.find(identityOf(item));
        if (found != table.end())
            return { found->second.m_changedIn, false };
        const auto withdrawn = configuration.m_withdrawals.find(keyOf(item));
        if (withdrawn != configuration.m_withdrawals.end())
            return { withdrawn->second, true };
        return {};
    }

    template <typename Item>
    auto checkConcurrency(const Configuration& configuration, const Item& item, const Change& change,
        const std::string& path, std::vector<FieldFault>& faults) -> void
    {
        const auto last = lastChangeOf(configuration, item);
        if (change.m_action == ChangeAction::Withdraw && last.m_revision == 0)
            faults.push_back({ path, "withdraws an item that is not there" });
        if (takesAway(change.m_action, item))
            return;
        const auto stale = change.m_expectedRevision && *change.m_expectedRevision != last.m_revision;
        if (stale)
            faults.push_back({ path + "/expected_revision",
                "is " + std::to_string(*change.m_expectedRevision) + ", but the item was last changed in "
                    + describeChange(configuration, last.m_revision) });
        const auto revives = last.m_withdrawn && !std::is_same_v<Item, Drain>;
        if (revives && !change.m_expectedRevision)
            faults.push_back({ path,
                "brings back an item withdrawn in " + describeChange(configuration, last.m_revision)
                    + "; to do so, state expected_revision " + std::to_string(last.m_revision) });
    }

    // Keys of an organisation that goes go with it.
    auto withdrawKeysOf(Configuration& configuration, const OrganisationName& name, Revision revision) -> void
    {
        for (auto key = configuration.m_keys.begin(); key != configuration.m_keys.end();) {
            if (key->second.m_organisation != name) {
                ++key;
                continue;
            }
            configuration.m_withdrawals[keyOf(key->second)] = revision;
            key = configuration.m_keys.erase(key);
        }
    }

    template <typename Item>
    auto withdrawItem(Configuration& configuration, const Item& item, Revision revision) -> void
    {
        tableOf(configuration, item).erase(identityOf(item));
        configuration.m_withdrawals[keyOf(item)] = revision;
        if constexpr (std::is_same_v<Item, Organisation>)
            withdrawKeysOf(configuration, item.m_name, revision);
    }

    template <typename Item> auto putItem(Configuration& configuration, Item item, Revision revision) -> void
    {
        item.m_changedIn = revision;
        configuration.m_withdrawals.erase(keyOf(item));
        const auto identity = identityOf(item);
        tableOf(configuration, item).insert_or_assign(identity, std::move(item));
    }

    auto forgetOldestNote(Configuration& configuration) -> void
    {
        const auto oldest = configuration.m_revision - configuration.m_recentNotes.size() + 1;
        const auto applied = configuration.m_appliedNotes.find(configuration.m_recentNotes.front().m_id);
        if (applied != configuration.m_appliedNotes.end() && applied->second == oldest)
            configuration.m_appliedNotes.erase(applied);
        configuration.m_recentNotes.pop_front();
    }

    // Withdrawals are swept rarely, as a sweep looks at all of them.
    auto forgetOldWithdrawals(Configuration& configuration) -> void
    {
        constexpr auto sweepEvery = Revision { 1000 };
        const auto revision = configuration.m_revision;
        if (revision < rememberedNotes || revision % sweepEvery != 0)
            return;
        std::erase_if(configuration.m_withdrawals,
            [&](const auto& withdrawal) { return withdrawal.second + rememberedNotes < revision; });
    }

    // Remembers the note; false when it was applied before.
    auto rememberNote(Configuration& configuration, const ReleaseNote& note) -> bool
    {
        configuration.m_recentNotes.push_back({ note.m_id, note.m_author, note.m_office });
        const auto added = configuration.m_appliedNotes.emplace(note.m_id, configuration.m_revision).second;
        if (configuration.m_recentNotes.size() > rememberedNotes)
            forgetOldestNote(configuration);
        forgetOldWithdrawals(configuration);
        return added;
    }

    // Reports an item that a note names more than once, as the order of its changes says nothing.
    auto checkRepeatedItems(const ReleaseNote& note, std::vector<FieldFault>& faults) -> void
    {
        auto seen = std::unordered_map<std::string, std::size_t>();
        for (auto i = std::size_t { 0 }; i < note.m_changes.size(); ++i) {
            const auto [first, added] = seen.emplace(itemKey(note.m_changes[i].m_item), i);
            if (!added)
                faults.push_back({ "/changes/" + std::to_string(i),
                    "changes the same item as /changes/" + std::to_string(first->second) });
        }
    }

    auto restricts(const Change& change) -> bool
    {
        if (std::holds_alternative<Organisation>(change.m_item))
            return false;
        return std::visit([&](const auto& item) { return takesAway(change.m_action, item); }, change.m_item);
    }

    template <typename Item> auto restrictItem(Configuration& configuration, const Item& item) -> void
    {
        tableOf(configuration, item).erase(identityOf(item));
    }

    auto restrictItem(Configuration& configuration, const Drain& drain) -> void
    {
        configuration.m_drains.try_emplace(identityOf(drain), drain);
    }

    auto applyRestriction(Configuration& configuration, const ReleaseNote& note) -> void
    {
        for (const auto& change : note.m_changes)
            std::visit([&](const auto& item) { restrictItem(configuration, item); }, change.m_item);
    }

    auto applyPending(Configuration& configuration) -> void
    {
        for (const auto& [id, note] : configuration.m_pending)
            applyRestriction(configuration, *note);
    }

} // namespace

auto originOf(const Configuration& configuration, Revision revision) -> const NoteOrigin*
{
    const auto age = configuration.m_revision - revision;
    const auto& notes = configuration.m_recentNotes;
    if (revision == 0 || revision > configuration.m_revision || age >= notes.size())
        return nullptr;
    return &notes[notes.size() - 1 - age];
}

auto itemKey(const ConfigurationItem& item) -> std::string
{
    return std::visit([](const auto& value) { return keyOf(value); }, item);
}

auto checkReleaseNote(const Configuration& configuration, const ReleaseNote& note) -> std::vector<FieldFault>
{
    auto faults = std::vector<FieldFault>();
    checkRepeatedItems(note, faults);
    const auto organisations = organisationsAfter(configuration, note);
    for (auto i = std::size_t { 0 }; i < note.m_changes.size(); ++i) {
        const auto& change = note.m_changes[i];
        const auto path = "/changes/" + std::to_string(i);
        checkReferences(organisations, change, path, faults);
        std::visit([&](const auto& item) { checkConcurrency(configuration, item, change, path, faults); },
            change.m_item);
    }
    return faults;
}

auto applyReleaseNote(Configuration& configuration, const ReleaseNote& note, Revision revision) -> void
{
    assert(revision == configuration.m_revision + 1);
    configuration.m_revision = revision;
    configuration.m_pending.erase(note.m_id);
    if (!rememberNote(configuration, note))
        return;
    for (const auto& change : note.m_changes) {
        std::visit(
            [&](const auto& item) {
                if (change.m_action == ChangeAction::Withdraw)
                    withdrawItem(configuration, item, revision);
                else
                    putItem(configuration, item, revision);
            },
            change.m_item);
    }
    applyPending(configuration);
}

auto isRestriction(const ReleaseNote& note) -> bool
{
    return std::all_of(note.m_changes.begin(), note.m_changes.end(), restricts);
}

auto addPendingRestriction(Configuration& configuration, const ReleaseNote& note) -> bool
{
    if (configuration.m_appliedNotes.contains(note.m_id))
        return false;
    const auto [position, added] = configuration.m_pending.try_emplace(note.m_id, nullptr);
    if (added) {
        position->second = std::make_shared<const ReleaseNote>(note);
        applyRestriction(configuration, note);
    }
    return added;
}

auto replaceConfiguration(Configuration& configuration, Configuration newer) -> bool
{
    if (configuration.m_complete && newer.m_revision <= configuration.m_revision)
        return false;
    newer.m_pending = std::move(configuration.m_pending);
    std::erase_if(
        newer.m_pending, [&](const auto& pending) { return newer.m_appliedNotes.contains(pending.first); });
    applyPending(newer);
    newer.m_complete = true;
    configuration = std::move(newer);
    return true;
}

} // namespace marigoldladder
