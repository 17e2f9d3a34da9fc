// Reads what callers send: their key, the model they ask for, and the limits of the answer.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/verdict.h"
#include "routing/serve_call.h"

#include <string>
#include <string_view>

namespace marigoldladder {

// A completion request as far as the entry needs to understand it.
struct CompletionRequest {
    AdapterRef m_adapter;
    bool m_stream = false;
    Priority m_priority = Priority::Interactive;
    double m_costTokens = 0; // Estimated prompt plus the most that may be generated.
    std::string m_engineBody; // The caller's JSON with defaults filled in, for the engine.
};

// Reads a completion or chat request in OpenAI's published shape; `BadRequest` says what is wrong.
auto parseCompletionRequest(const std::string& body) -> Result<CompletionRequest>;

// Returns the organisation whose key the `Authorization` header carries; `Unauthorised` for none, an
// unknown one or a wrong secret. Secrets are compared in constant time.
auto authenticate(const Configuration&, std::string_view authorization) -> Result<OrganisationName>;

} // namespace marigoldladder
