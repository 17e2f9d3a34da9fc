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

// One changed item. For a withdrawal only the item's identifying fields are filled in.
struct Change {
    ChangeAction m_action = ChangeAction::Put;
    std::variant<Organisation, KeyGrant, Adapter, Route, Drain> m_item;
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

// Writes a note as JSON that `parseReleaseNote` reads back. It holds no secret, only digests.
auto formatReleaseNote(const ReleaseNote&) -> std::string;

// Returns what stands against putting the note in force on top of `configuration`; empty: nothing.
auto checkReleaseNote(const Configuration&, const ReleaseNote&) -> std::vector<FieldFault>;

// Puts the note in force and raises the revision to `revision`, which must be one more than before.
// A note already applied raises the revision and changes nothing else.
auto applyReleaseNote(Configuration&, const ReleaseNote&, Revision) -> void;

} // namespace marigoldladder
