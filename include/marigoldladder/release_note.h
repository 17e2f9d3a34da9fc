// Release notes: what operators write to change the configuration.
//
// A note is a JSON object with `note_id` and `changes`. Each change names an action (`put` or
// `withdraw`) with the kind of item it is about, and the item's fields. A note is taken whole or refused
// whole.
#pragma once

#include "marigoldladder/configuration.h"
#include "marigoldladder/settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marigoldladder {

enum class ItemKind {
    Organisation,
    Key,
    Adapter,
    Route,
    Drain,
};

inline constexpr auto itemKindNames = std::array {
    EnumName<ItemKind> { ItemKind::Organisation, "organisation" },
    EnumName<ItemKind> { ItemKind::Key, "key" },
    EnumName<ItemKind> { ItemKind::Adapter, "adapter" },
    EnumName<ItemKind> { ItemKind::Route, "route" },
    EnumName<ItemKind> { ItemKind::Drain, "drain" },
};

enum class ChangeAction {
    Put,
    Withdraw,
};

inline constexpr auto changeActionNames = std::array {
    EnumName<ChangeAction> { ChangeAction::Put, "put" },
    EnumName<ChangeAction> { ChangeAction::Withdraw, "withdraw" },
};

// An item of any kind.
using ConfigurationItem = std::variant<Organisation, KeyGrant, Adapter, Route, Drain>;

// One changed item. For a withdrawal only the item's identifying fields are filled in.
struct Change {
    ChangeAction m_action = ChangeAction::Put;
    ConfigurationItem m_item;
    std::optional<Revision> m_expectedRevision; // Refuse unless the item was last changed in this one.
};

struct ReleaseNote {
    NoteId m_id;
    std::string m_author;
    std::string m_office;
    std::string m_acceptedAt; // UTC, ISO 8601; set by the node that records the note.
    std::vector<Change> m_changes;
};

// Reads a note; on any fault, returns all of them. A key's plain `secret` is replaced by salt and digest.
auto parseReleaseNote(std::string_view json) -> CheckedSettings<ReleaseNote>;

// Writes a note as ASCII JSON that `parseReleaseNote` reads back. It holds no secret, only digests.
auto formatReleaseNote(const ReleaseNote&) -> std::string;

// Returns what stands against putting the note in force on top of `configuration`; empty: nothing.
//
// Changes of different items merge. An item that was withdrawn comes back only by a change that states
// the withdrawal's revision as expected. An expected revision that is not the item's last one is refused,
// unless the change itself takes the item away: a withdrawal never loses to a concurrent change.
auto checkReleaseNote(const Configuration&, const ReleaseNote&) -> std::vector<FieldFault>;

// Puts the note in force and raises the revision to `revision`, which must be one more than before.
// A note already applied raises the revision and changes nothing else. Pending restrictions stay in force.
auto applyReleaseNote(Configuration&, const ReleaseNote&, Revision) -> void;

// Whether the note only takes away: keys, adapters and routes withdrawn, data centres and VMs taken out.
// Such notes commute with each other, so that they may be in force before their place in the log is known.
auto isRestriction(const ReleaseNote&) -> bool;

// Puts a restriction in force ahead of its record in the log and keeps it pending until it is recorded;
// the revision stays. Returns whether it is new: a note applied or pending already changes nothing.
auto addPendingRestriction(Configuration&, const ReleaseNote&) -> bool;

// Replaces the configuration by a newer one, with the restrictions pending here in force on top of it.
// Returns whether it did: an older one is not taken.
auto replaceConfiguration(Configuration&, Configuration newer) -> bool;

// Returns the name of an item among all items of every kind, for example `key:aare-1`.
auto itemKey(const ConfigurationItem&) -> std::string;

} // namespace marigoldladder
