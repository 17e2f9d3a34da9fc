// Reads a relay's settings from their file, which the platform may write anew at any moment.
#pragma once

#include "relay/relay_settings.h"

#include <string>

namespace marigoldladder::relay {

// Reads the file as it stands.
auto readSettingsFile(const std::string& path) -> CheckedSettings<RelaySettings>;

// Reads the file; while it is missing, empty or holds only a part of its JSON, waits some seconds for its
// writer, with a line on standard error. Settings that are whole and can't be right are returned at once.
auto awaitSettingsFile(const std::string& path) -> CheckedSettings<RelaySettings>;

} // namespace marigoldladder::relay
