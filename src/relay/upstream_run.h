// Which run of an upstream answers on a connection.
//
// The store's entry of an upstream tells of one run. That run may have ended, and the next one listen under
// its name, until the entry is renewed: a heartbeat later, or far later while the store is away. On one
// connection only one process answers, so what it states of its run there holds for as long as the connection
// lives.
#pragma once

#include "relay/dialect.h"
#include "relay/run_software.h"
#include "relay/upstream_connection_pool.h"

#include <cstdint>

namespace marigoldladder::relay {

// What became of the question which run answers on a connection.
enum class RunQuestion {
    Answered, // Also if the upstream states none.
    NotAnswered, // In time; the connection is closed.
    ConnectionEnded, // Or can't be used any more; another connection may do.
};

// Asks the upstream on an idle connection which run of it answers there, unless that is known. Waits no
// longer than until the time given.
auto askRun(UpstreamConnection&, Upstream&, const Dialect&, MonotonicTime until, Metrics&)
    -> Awaitable<RunQuestion>;

// Returns the software that answers on the connection, as far as that is known: that of the upstream's entry,
// or what stands for another run.
auto softwareOn(const UpstreamConnection&, const Upstream&, MonotonicTime now) -> SoftwareId;

// Whether the process on the connection is another run than the one that the upstream's entry tells of.
auto isOtherRun(const UpstreamConnection&, const Upstream&) -> bool;

} // namespace marigoldladder::relay
