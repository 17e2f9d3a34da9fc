// The state that a node's controllers share. Each section has one writer, named beside it; everybody
// may read. Sections are locked one at a time and never nested.
#pragma once

#include "core/metrics.h"
#include "core/request_journal.h"
#include "marigoldladder/configuration.h"
#include "marigoldladder/settings.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <utility>
#include <vector>

namespace marigoldladder {

using MonotonicTime = std::chrono::steady_clock::time_point;

// A value behind a reader-writer lock. The functions given must be short and do no input or output.
template <typename T> class Section {
public:
    template <typename Function> auto read(Function&& function) const
    {
        const auto lock = std::shared_lock(m_mutex);
        return std::forward<Function>(function)(std::as_const(m_value));
    }

    template <typename Function> auto write(Function&& function)
    {
        const auto lock = std::unique_lock(m_mutex);
        return std::forward<Function>(function)(m_value);
    }

    // Returns a copy of the whole value.
    auto copy() const -> T
    {
        const auto lock = std::shared_lock(m_mutex);
        return m_value;
    }

private:
    mutable std::shared_mutex m_mutex;
    T m_value;
};

enum class MemberState {
    Alive,
    Draining,
    Suspect, // Did not answer probes. It may be frozen or cut off, run on, and come back: still a holder.
    Gone, // Never comes back: the platform's list says that the VM is gone, or its process said goodbye.
    Joining, // Has not yet learnt what it needs to serve.
};

inline constexpr auto memberStateNames = std::array {
    EnumName<MemberState> { MemberState::Alive, "alive" },
    EnumName<MemberState> { MemberState::Draining, "draining" },
    EnumName<MemberState> { MemberState::Suspect, "suspect" },
    EnumName<MemberState> { MemberState::Gone, "gone" },
    EnumName<MemberState> { MemberState::Joining, "joining" },
};

// One node of the fleet as this node knows it.
struct Member {
    VmName m_vm;
    DataCentreName m_dataCentre;
    Incarnation m_incarnation = 0;
    Address m_callerAddress;
    Address m_peerAddress;
    MemberState m_state = MemberState::Alive;
    Revision m_revision = 0; // The configuration in force there.
    std::uint32_t m_requestsInFlight = 0;
    std::uint64_t m_heartbeat = 0; // Raised by the member itself; a higher one is newer.
    std::uint32_t m_refutation = 0; // Raised by the member when it changes its state or is suspected.
    MonotonicTime m_heardAt {}; // When it was last heard, or heard of by a peer; zero: never.
    MonotonicTime m_changedAt {}; // When its state last changed here.
};

struct Membership {
    std::map<VmName, Member> m_members; // This node included.
};

enum class UpstreamKind {
    Engine,
    Service,
};

inline constexpr auto upstreamKindNames = std::array {
    EnumName<UpstreamKind> { UpstreamKind::Engine, "engine" },
    EnumName<UpstreamKind> { UpstreamKind::Service, "service" },
};

// A back end as the platform lists it.
struct Upstream {
    UpstreamName m_name;
    PoolName m_pool;
    DataCentreName m_dataCentre;
    Address m_address;
    UpstreamKind m_kind = UpstreamKind::Engine;
    bool m_leaving = false;
    bool m_checksFencing = false; // Whether it refuses orders with an old fencing number.
    std::uint64_t m_version = 0; // The platform's version of the entry.
};

struct UpstreamTable {
    std::map<UpstreamName, Upstream> m_upstreams;
    std::map<UpstreamName, std::uint64_t> m_removed; // Those that left the list, with the version then.
    std::uint64_t m_version = 0; // The highest version above.
    bool m_known = false; // Read from the platform, or from a peer that had.
};

// Who orders loads at an upstream and admits work to it.
struct Assignment {
    VmName m_owner;
    Incarnation m_incarnation = 0;
    FencingNumber m_fencing = 0;
    bool m_servedHere = false; // Whether this node admits work to it, as its owner or in the owner's stead.
    bool m_mayEvict = false; // False while an earlier owner may still give orders.
    MonotonicTime m_ordersUntil {}; // Until when this node's lease lets it order evictions.
};

struct AssignmentTable {
    std::map<UpstreamName, Assignment> m_assignments;
};

// Which VM holds which part of the organisations' rates and bursts, as this node last read it.
struct ShareTable {
    std::vector<VmName> m_slots; // The holder of each slot (limits/share_slots.h); empty: not known yet.
};

// The newest release notes as JSON texts, for peers that are behind.
struct NoteHistory {
    Revision m_first = 1; // The revision of the first text.
    std::deque<std::string> m_texts;
    std::size_t m_bytes = 0;
};

// How many adapters this node may load.
struct LoadShare {
    double m_loadsPerSecond = 0;
    std::size_t m_inFlight = 0;
};

// How this node itself is doing.
struct NodeHealth {
    bool m_configured = false; // A configuration is in force; until then nothing is served.
    bool m_draining = false;
    bool m_platformReachable = false;
    std::uint32_t m_requestsInFlight = 0;
};

struct Blackboard {
    Section<Configuration> m_configuration; // Written by the configuration controller (fleet).
    Section<NoteHistory> m_noteHistory; // Written by the configuration controller (fleet).
    Section<Membership> m_membership; // Written by the membership controller (fleet).
    Section<UpstreamTable> m_upstreams; // Written by the discovery controller (fleet).
    Section<AssignmentTable> m_assignments; // Written by the ownership controller (routing).
    Section<ShareTable> m_shares; // Written by the share controller (limits).
    Section<LoadShare> m_loadShare; // Written by the load budget's controller (routing).
    Section<NodeHealth> m_health; // Written by the node's start and drain (node).
    Section<RequestJournal> m_requests; // Written by the caller server (serving).
    Metrics m_metrics; // Added to by all.
};

} // namespace marigoldladder
