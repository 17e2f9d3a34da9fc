// The software that could have begun a stream that a caller may still take up, as the store keeps it.
//
// A node sees which software serves, and remembers what has left while it ran. A node that has just started
// can't tell what left before; if all nodes have, nobody can but the store. So one node writes there what is
// in use, at few moments: at the first start of the system, and when software begins to serve or has been
// gone for a stream's lifetime.
#pragma once

#include "relay/upstream.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace marigoldladder::relay {

// Software by the pool that it serves in.
using SoftwareByPool = std::map<PoolName, std::set<SoftwareId>>;

struct SoftwareHistory {
    SoftwareByPool m_software;
    bool m_isComplete = false; // No other software could have begun a stream that may be taken up.
    std::uint64_t m_era
        = 0; // Of the store, when it was written. One of an earlier era may lack what came later.

    auto operator==(const SoftwareHistory&) const -> bool = default;
};

auto toJson(const SoftwareHistory&) -> nlohmann::json;

// Returns the history; nothing if the content can't be read.
auto toHistory(const nlohmann::json&) -> std::optional<SoftwareHistory>;

// Adds what one has to the other.
auto addSoftware(SoftwareByPool&, const SoftwareByPool& added) -> void;

// What the node that writes the history knows.
struct HistoryView {
    std::optional<SoftwareHistory> m_stored; // Empty: the store has none.
    SoftwareByPool m_seen; // In use now, or gone for less than a stream's lifetime.
    bool m_knowsAll = false; // By its own watch, or by a history that it has read.
    Milliseconds m_watchedFor { 0 }; // For how long it has watched the upstreams without a gap.
    Milliseconds m_readAgo { 0 }; // Since it read the stored history for the first time.
    std::uint64_t m_era = 0; // Of the store.
};

// Returns what the history has to say. What another node wrote there stays until this node would have seen it
// serve for a stream's lifetime.
auto nextHistory(const HistoryView&) -> SoftwareHistory;

} // namespace marigoldladder::relay
