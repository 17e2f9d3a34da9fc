// What release notes put in force: adapters, organisations, keys, routes and what is out of service.
#pragma once

#include "marigoldladder/enum_names.h"
#include "marigoldladder/ids.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigoldladder {

struct Organisation {
    OrganisationName m_name;
    double m_tokensPerSecond = 0;
    double m_burstTokens = 0;
    double m_weight = 1; // Share of a contended upstream relative to other organisations.
    Revision m_changedIn = 0;
};

// A caller's key `id.secret`; only a salted digest of the secret is kept.
struct KeyGrant {
    KeyId m_id;
    OrganisationName m_organisation;
    std::string m_salt;
    std::string m_secretDigest; // SHA-256 over salt and secret, in hexadecimal.
    Revision m_changedIn = 0;
};

struct Adapter {
    AdapterRef m_ref;
    PoolName m_pool;
    std::string m_path; // Where the weight store keeps it.
    std::vector<OrganisationName> m_organisations; // Who may use it; empty: every organisation.
    Revision m_changedIn = 0;
};

// A path below /services/ that leads to a pool of plain services.
struct Route {
    RouteName m_name;
    PoolName m_pool;
    bool m_openToAll = false;
    bool m_idempotent = false; // Whether a call may be repeated.
    double m_costTokens = 1; // Charged to the calling organisation for each call.
    Revision m_changedIn = 0;
};

enum class DrainScope {
    DataCentre,
    Vm,
};

inline constexpr auto drainScopeNames = std::array {
    EnumName<DrainScope> { DrainScope::DataCentre, "data_centre" },
    EnumName<DrainScope> { DrainScope::Vm, "vm" },
};

// A data centre or a VM that operators took out of service.
struct Drain {
    DrainScope m_scope = DrainScope::Vm;
    std::string m_name;
    Revision m_changedIn = 0;
};

// Returns the key under which a drain is kept: scope and name.
auto drainKey(DrainScope, const std::string& name) -> std::string;

// Where a release note came from, so that a refusal can show whose change stands against it.
struct NoteOrigin {
    NoteId m_id;
    std::string m_author;
    std::string m_office;
};

// The newest notes whose ids and withdrawals are remembered. A note that comes back later is taken as new.
inline constexpr auto rememberedNotes = std::size_t { 20'000 };

struct ReleaseNote;

// Everything in force after `m_revision` release notes.
struct Configuration {
    Revision m_revision = 0;
    bool m_complete = false; // Came whole from the log or from a peer; until then nothing is served.
    std::unordered_map<OrganisationName, Organisation> m_organisations;
    std::unordered_map<KeyId, KeyGrant> m_keys;
    std::unordered_map<AdapterRef, Adapter> m_adapters;
    std::unordered_map<RouteName, Route> m_routes;
    std::unordered_map<std::string, Drain> m_drains; // By `drainKey`.
    std::unordered_map<std::string, Revision> m_withdrawals; // Items withdrawn of late, by `itemKey`.
    std::unordered_map<NoteId, Revision> m_appliedNotes; // Notes never to be applied a second time.
    std::deque<NoteOrigin> m_recentNotes; // One for each of the newest revisions, the last one's at the back.
    std::map<NoteId, std::shared_ptr<const ReleaseNote>> m_pending; // Restrictions not yet in the log.
};

// Returns the origin of the note that made `revision`, or a null pointer when it is no longer remembered.
auto originOf(const Configuration&, Revision) -> const NoteOrigin*;

// Whether operators took this VM, or the data centre it stands in, out of service.
auto isOut(const Configuration&, const VmName&, const DataCentreName&) -> bool;

} // namespace marigoldladder
