// Sees to it that a request with an idempotency key runs at most once.
#pragma once

#include "marigoldladder/ids.h"
#include "platform/platform_client.h"

namespace marigoldladder {

// Claims the key for one run by creating an object on the platform. Succeeds at most once for each key
// of an organisation; without a claim nothing may be dispatched.
auto claimIdempotencyKey(PlatformClient&, const OrganisationName&, const IdempotencyKey&) -> Result<void>;

} // namespace marigoldladder
