// The weight store's rate of adapter loads, shared by all nodes as organisations' allowances are.
#pragma once

#include "limits/allowance.h"
#include "marigoldladder/settings.h"

namespace marigoldladder {

// The account of the weight store: a token is one load.
auto weightStoreAccount(const WeightStoreLimits&) -> Organisation;

// Takes one load's token. Returns zero when the load may begin now, else how long to wait before asking
// again. It may ask peers, so it must not be called with a lock held.
auto takeLoadPermit(Allowance&) -> std::chrono::milliseconds;

} // namespace marigoldladder
