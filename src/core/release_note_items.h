// The fields of configuration items in JSON, as release notes and snapshots write them.
#pragma once

#include "core/json_reader.h"
#include "marigoldladder/release_note.h"

namespace marigoldladder {

// Reads an item's fields; for a withdrawal only those that identify it. Faults go to the reader.
auto readItem(JsonReader&, ChangeAction, ItemKind) -> ConfigurationItem;

// Adds an item's fields to the JSON object and returns its kind. It writes no secret, only digests.
auto writeItem(nlohmann::json&, const ConfigurationItem&) -> ItemKind;

} // namespace marigoldladder
