// Snapshots: a whole configuration as JSON text, for nodes that start or are far behind.
#pragma once

#include "marigoldladder/release_note.h"

#include <string>
#include <string_view>

namespace marigoldladder {

// Writes the configuration as ASCII JSON. Equal configurations give equal texts. It holds no secret.
auto formatSnapshot(const Configuration&) -> std::string;

// Reads what `formatSnapshot` wrote; on any fault, returns all of them.
auto parseSnapshot(std::string_view json) -> CheckedSettings<Configuration>;

} // namespace marigoldladder
