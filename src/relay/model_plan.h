// Plans which engines load which base model.
//
// It is designed for engines that come back empty several at a time, after a crash, a release or the loss of
// a data centre. An engine that has the model in its own memory or on its own disk loads it at once, however
// many do so. Loads from the weight store slow each other down, so only a few of those run concurrently, and
// the next one starts as soon as an engine lists its model.
#pragma once

#include "relay/plan_view.h"

#include <vector>

namespace marigoldladder::relay {

// Returns the orders for engines that list no model: each loads the model with the highest request rate that
// fits. Marks these engines in the view as loading.
auto planModelLoads(PlanView&, const RoutingConfiguration&) -> std::vector<AdapterOrder>;

} // namespace marigoldladder::relay
