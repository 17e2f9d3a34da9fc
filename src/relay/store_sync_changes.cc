// The part of the store's sync that merges listings and changes into the cache and applies them to the
// blackboard.
#include "core/log.h"
#include "relay/store_sync.h"
#include "relay/task.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    // Within this time the store removes the entry of an upstream that doesn't renew it: three heartbeats.
    constexpr auto entryExpiryTime = Milliseconds(5'000);

    // Between two listings of a kind that end before their end.
    constexpr auto incompleteListingInterval = Milliseconds(10'000);

    // Upstreams whose entries expired while the store was unreachable write them again within this time of
    // its recovery.
    constexpr auto recoveryTime = Milliseconds(2'300);

} // namespace

auto StoreSync::mergeStoreListing(ObjectKind kind, const ObjectListing& listing) -> void
{
    auto& cache = m_board.m_objects[kind];
    const auto before = cache.m_revision;
    m_incompleteListings.note(kindName(m_schema, kind), listing);
    if (listing.m_complete)
        m_nextListingAt.erase(kind);
    else
        m_nextListingAt[kind] = Clock::now() + incompleteListingInterval;
    applyChanges(kind, before, mergeListing(cache, listing, m_rules[kind]));
}

auto StoreSync::mergeUpdate(ObjectKind kind, const CacheChanges& update) -> void
{
    auto& cache = m_board.m_objects[kind];
    const auto before = cache.m_revision;
    applyChanges(kind, before, mergeChanges(cache, update, m_rules[kind]));
}

// `before` is the cache's revision before these changes were merged into it.
auto StoreSync::applyChanges(ObjectKind kind, StoreRevision before, const std::vector<ObjectChange>& changes)
    -> void
{
    const auto era = m_board.m_objects[kind].m_revision.m_era;
    auto origin = ChangeOrigin::Store;
    if (before == StoreRevision())
        origin = ChangeOrigin::Start;
    else if (era > before.m_era)
        origin = ChangeOrigin::OlderCopy;
    if (!m_board.m_storeEra || era > *m_board.m_storeEra)
        recordEra(kind, before);
    for (const auto& change : changes) {
        if (change.m_object.m_name.empty())
            recordUnreadable(kind, change.m_object);
        else if (change.m_removed)
            applyRemoval(kind, change.m_object.m_name, origin);
        else
            applyObject(kind, change.m_object, origin);
    }
    if (kind == ObjectKind::Upstreams)
        m_board.m_upstreams.m_known = true;
    if (!changes.empty())
        m_board.m_capacityChanged();
}

auto StoreSync::recordEra(ObjectKind kind, StoreRevision before) -> void
{
    const auto& revision = m_board.m_objects[kind].m_revision;
    const auto wasKnown = m_board.m_storeEra.has_value();
    m_board.m_storeEra = revision.m_era;
    logChange(wasKnown ? "store_restored" : "store_era",
        { { "era", std::to_string(revision.m_era) }, { "kind", kindName(m_schema, kind) },
            { "revision", std::to_string(revision.m_revision) },
            { "known_revision", std::to_string(before.m_revision) } });
    if (!wasKnown)
        return;
    m_board.m_storeRecoveredAt = Clock::now();
    m_board.m_storeRestored();
}

// The cache reports an unreadable object once, however often it is read again.
auto StoreSync::recordUnreadable(ObjectKind kind, const StoredObject& object) -> void
{
    m_board.m_metrics.add(Counter::ObjectsUnreadable);
    logWarning("object_unreadable",
        { { "kind", kindName(m_schema, kind) }, { "object", object.m_name },
            { "revision", std::to_string(object.m_revision.m_revision) } });
}

auto StoreSync::applyObject(ObjectKind kind, const StoredObject& object, ChangeOrigin origin) -> void
{
    switch (kind) {
    case ObjectKind::Configuration:
        applyConfigurationObject(object);
        break;
    case ObjectKind::Upstreams:
        applyUpstream(object, origin);
        break;
    case ObjectKind::Evacuations:
        m_board.m_upstreams.m_evacuated[DataCentreName(object.m_name)] = true;
        logChange("data_centre_out", { { "data_centre", object.m_name } });
        break;
    case ObjectKind::AdapterVersions:
        if (const auto adapter = m_schema.m_readVersion(object.m_content))
            announceAdapterVersion(*adapter, origin);
        else
            recordUnreadable(kind, object);
        break;
    }
}

auto StoreSync::applyConfigurationObject(const StoredObject& object) -> void
{
    const auto& name = m_schema.m_configurationName;
    auto configuration = name.empty() || object.m_name == name
        ? m_schema.m_readConfiguration(object.m_content)
        : std::nullopt;
    if (configuration)
        applyConfiguration(m_board, std::move(*configuration));
    else
        recordUnreadable(ObjectKind::Configuration, object);
}

// A version that was there when this node started may have been announced long before.
auto StoreSync::announceAdapterVersion(const ListedAdapter& adapter, ChangeOrigin origin) -> void
{
    const auto now = Clock::now();
    const auto required
        = origin == ChangeOrigin::Start ? now : requiredFrom(now, m_settings.m_bounds.m_versionTime);
    if (!announceVersion(m_board.m_upstreams.m_versions, adapter, required, now))
        return;
    logChange("adapter_version_announced",
        { { "adapter", adapter.m_key }, { "version", std::to_string(adapter.m_version) } });
    m_board.m_versionAnnounced(adapter.m_key, required);
}

auto StoreSync::applyUpstream(const StoredObject& object, ChangeOrigin origin) -> void
{
    const auto record = m_schema.m_readUpstream(object.m_name, object.m_content);
    if (!record) {
        recordUnreadable(ObjectKind::Upstreams, object);
        removeUpstream(m_board.m_upstreams, UpstreamName(object.m_name), Clock::now());
    } else if (origin == ChangeOrigin::OlderCopy) {
        applyCopiedUpstream(*record);
    } else {
        applyUpstreamRecord(m_board.m_upstreams, *record, Clock::now());
    }
}

// An older copy says little of a run that is known. If the run's entry had been removed since, the run has
// left, unless the entry stays: the store removes that of a run that is gone.
auto StoreSync::applyCopiedUpstream(const UpstreamRecord& record) -> void
{
    switch (knowledgeOf(m_board.m_upstreams, record)) {
    case RunKnowledge::Listed:
        applyCopiedRecord(*m_board.m_upstreams.m_upstreams.at(record.m_name), record, Clock::now());
        applyEntryAfter(recoveryTime, record.m_name);
        return;
    case RunKnowledge::Unknown:
        applyUpstreamRecord(m_board.m_upstreams, record, Clock::now());
        return;
    case RunKnowledge::Removed:
        break;
    }
    applyEntryAfter(entryExpiryTime, record.m_name);
}

// Applies the entry that the upstream has then: the upstream has written it again, or it outlasted its
// expiry.
auto StoreSync::applyEntryAfter(Milliseconds time, const UpstreamName& name) -> void
{
    runAfter(m_executor, "store_recovery", m_board.m_metrics, time, [this, name] {
        const auto& objects = m_board.m_objects[ObjectKind::Upstreams].m_objects;
        const auto found = objects.find(name.value());
        if (found != objects.end())
            applyUpstream(found->second, ChangeOrigin::Store);
    });
}

auto StoreSync::applyRemoval(ObjectKind kind, const std::string& name, ChangeOrigin origin) -> void
{
    if (kind == ObjectKind::Upstreams)
        removeUpstreamAfterRecovery(name);
    else if (kind == ObjectKind::Evacuations && origin == ChangeOrigin::OlderCopy)
        endEvacuationAfterRecovery(name);
    else if (kind == ObjectKind::Evacuations)
        endEvacuation(name);
}

// Returns the time until what the store lacks since its recovery could have been written again; zero if that
// is over.
auto StoreSync::recoveryTimeLeft() const -> Milliseconds
{
    const auto left = m_board.m_storeRecoveredAt + recoveryTime - Clock::now();
    return std::max(std::chrono::ceil<Milliseconds>(left), Milliseconds(0));
}

// The operator may have written the evacuation after the copy was made, and writes it again.
auto StoreSync::endEvacuationAfterRecovery(const std::string& name) -> void
{
    const auto time = recoveryTimeLeft();
    if (time.count() == 0) {
        endEvacuation(name);
        return;
    }
    runAfter(m_executor, "store_recovery", m_board.m_metrics, time, [this, name] {
        if (!contains(ObjectKind::Evacuations, name))
            endEvacuationAfterRecovery(name);
    });
}

auto StoreSync::endEvacuation(const std::string& name) -> void
{
    m_board.m_upstreams.m_evacuated.erase(DataCentreName(name));
    logChange("data_centre_back", { { "data_centre", name } });
}

auto StoreSync::contains(ObjectKind kind, const std::string& name) -> bool
{
    return m_board.m_objects[kind].m_objects.contains(name);
}

auto StoreSync::removeUpstreamAfterRecovery(const std::string& name) -> void
{
    const auto time = recoveryTimeLeft();
    if (time.count() == 0) {
        removeUpstream(m_board.m_upstreams, UpstreamName(name), Clock::now());
        return;
    }
    runAfter(m_executor, "store_recovery", m_board.m_metrics, time, [this, name] {
        if (!contains(ObjectKind::Upstreams, name))
            removeUpstreamAfterRecovery(name);
    });
}

} // namespace marigoldladder::relay
