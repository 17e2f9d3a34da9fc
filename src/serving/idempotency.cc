#include "serving/idempotency.h"

#include "core/secret_digest.h"

namespace marigoldladder {

auto claimIdempotencyKey(
    PlatformClient& platform, const OrganisationName& organisation, const IdempotencyKey& key) -> Result<void>
{
    const auto name = saltedDigest(organisation.value() + "/", key.value());
    const auto spec = nlohmann::json { { "organisation", organisation.value() } };
    const auto created = platform.create("idempotencyclaims", name, spec);
    if (created)
        return boost::outcome_v2::success();
    if (created.error().m_type == FailureType::Conflict)
        return mayHaveRun(FailureType::Conflict, "a request with this idempotency key was taken before");
    return notRun(FailureType::Unavailable, "the idempotency key can't be claimed now");
}

} // namespace marigoldladder
