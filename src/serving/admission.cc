#include "serving/admission.h"

#include "serving/caller_request.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace marigoldladder {

namespace {

    auto fingerprintOf(const std::string& path, const std::string& body) -> std::uint64_t
    {
        return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(path.data(), path.size()));
    }

    auto weightOf(const Configuration& configuration, const OrganisationName& name) -> double
    {
        const auto found = configuration.m_organisations.find(name);
        return found == configuration.m_organisations.end() ? 1 : found->second.m_weight;
    }

    auto findAdapter(const Configuration& configuration, const AdapterRef& ref,
        const OrganisationName& organisation) -> Result<const Adapter*>
    {
        const auto found = configuration.m_adapters.find(ref);
        if (found == configuration.m_adapters.end())
            return notRun(FailureType::NotFound, "there is no such adapter and version");
        const auto& allowed = found->second.m_organisations;
        if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), organisation) == allowed.end())
            return notRun(FailureType::Forbidden, "the adapter is not for this organisation");
        return &found->second;
    }

    // A node without a configuration knows no key and no route, so what it found missing says nothing.
    auto refusalOf(const Blackboard& blackboard, const Failure& found) -> Failure
    {
        const auto complete
            = blackboard.m_configuration.read([](const Configuration& value) { return value.m_complete; });
        return complete ? found
                        : notRun(FailureType::Unavailable, "this node has no configuration yet; ask another");
    }

} // namespace

auto serviceFingerprint(const std::string& method, const std::string& path, const std::string& body)
    -> std::uint64_t
{
    return fingerprintOf(method + " " + path, body);
}

Admission::Admission(Blackboard& blackboard, Allowance& allowance)
    : m_blackboard(blackboard)
    , m_allowance(allowance)
{
}

auto Admission::admitCompletion(const CallerRequest& request) -> Result<AdmittedCall>
{
    auto parsed = parseCompletionRequest(request.m_body);
    auto admitted = AdmittedCall();
    auto& call = admitted.m_call;
    const auto checked
        = m_blackboard.m_configuration.read([&](const Configuration& configuration) -> Result<void> {
              const auto organisation = authenticate(configuration, request.m_authorization);
              if (!organisation)
                  return organisation.error();
              if (!parsed)
                  return parsed.error();
              const auto adapter = findAdapter(configuration, parsed.value().m_adapter, organisation.value());
              if (!adapter)
                  return adapter.error();
              call.m_organisation = organisation.value();
              call.m_weight = weightOf(configuration, call.m_organisation);
              call.m_adapterPath = adapter.value()->m_path;
              admitted.m_pool = adapter.value()->m_pool;
              return boost::outcome_v2::success();
          });
    if (!checked)
        return refusalOf(m_blackboard, checked.error());
    call.m_requestId = makeRequestId();
    call.m_adapter = parsed.value().m_adapter;
    call.m_method = request.m_method;
    call.m_path = request.m_path;
    call.m_contentType = "application/json";
    call.m_body = std::move(parsed.value().m_engineBody);
    call.m_idempotent = true;
    call.m_stream = parsed.value().m_stream;
    call.m_priority = parsed.value().m_priority;
    call.m_costTokens = parsed.value().m_costTokens;
    call.m_fingerprint = fingerprintOf(call.m_path, call.m_body);
    return charge(std::move(admitted));
}

auto Admission::admitService(
    const CallerRequest& request, const RouteName& routeName, const std::string& path) -> Result<AdmittedCall>
{
    auto admitted = AdmittedCall();
    admitted.m_route = routeName;
    auto& call = admitted.m_call;
    const auto checked
        = m_blackboard.m_configuration.read([&](const Configuration& configuration) -> Result<void> {
              const auto found = configuration.m_routes.find(routeName);
              if (found == configuration.m_routes.end())
                  return notRun(FailureType::NotFound, "there is no such route");
              const auto& route = found->second;
              if (!route.m_openToAll) {
                  const auto organisation = authenticate(configuration, request.m_authorization);
                  if (!organisation)
                      return organisation.error();
                  call.m_organisation = organisation.value();
                  call.m_costTokens = route.m_costTokens;
              }
              call.m_idempotent = route.m_idempotent;
              admitted.m_pool = route.m_pool;
              return boost::outcome_v2::success();
          });
    if (!checked)
        return refusalOf(m_blackboard, checked.error());
    call.m_requestId = makeRequestId();
    call.m_method = request.m_method;
    call.m_path = path;
    call.m_contentType = request.m_contentType;
    call.m_body = request.m_body;
    call.m_idempotencyKey = IdempotencyKey(request.m_idempotencyKey);
    call.m_fingerprint = serviceFingerprint(call.m_method, call.m_path, call.m_body);
    if (!call.m_idempotent && call.m_idempotencyKey.empty())
        return notRun(FailureType::BadRequest, "this route needs the header Idempotency-Key");
    return call.m_idempotent ? charge(std::move(admitted)) : Result<AdmittedCall>(std::move(admitted));
}

auto Admission::charge(AdmittedCall admitted) -> Result<AdmittedCall>
{
    const auto& call = admitted.m_call;
    if (call.m_organisation.empty())
        return admitted;
    auto reservation = m_allowance.admit(call.m_organisation, call.m_costTokens);
    if (!reservation)
        return reservation.error();
    admitted.m_reservation = std::move(reservation.value());
    return admitted;
}

auto Admission::settle(const Reservation& reservation, double usedTokens) -> void
{
    m_allowance.settle(reservation, usedTokens);
}

} // namespace marigoldladder
