#include "serving/caller_request.h"

#include "core/secret_digest.h"

#include <nlohmann/json.hpp>

namespace marigoldladder {

namespace {

    constexpr auto bearerPrefix = std::string_view("Bearer ");
    constexpr auto charactersPerToken = 4.0;
    constexpr auto defaultMaxTokens = 64;
    constexpr auto mostMaxTokens = 32768;

    auto badRequest(const std::string& message) -> Failure
    {
        return notRun(FailureType::BadRequest, message);
    }

    auto unauthorised() -> Failure
    {
        return notRun(FailureType::Unauthorised, "the key is missing, unknown or withdrawn");
    }

    // Length of everything the engine has to read, in characters.
    auto promptLength(const nlohmann::json& body) -> std::size_t
    {
        if (body.contains("prompt") && body["prompt"].is_string())
            return body["prompt"].get_ref<const std::string&>().size();
        return body.contains("messages") ? body["messages"].dump().size() : 0;
    }

    auto readMaxTokens(nlohmann::json& body) -> Result<int>
    {
        if (!body.contains("max_tokens"))
            body["max_tokens"] = defaultMaxTokens;
        const auto& value = body["max_tokens"];
        if (!value.is_number_integer() || value < 1 || value > mostMaxTokens)
            return badRequest(
                "max_tokens must be a whole number within 1 and " + std::to_string(mostMaxTokens));
        return value.get<int>();
    }

    auto readPriority(nlohmann::json& body) -> Result<Priority>
    {
        if (!body.contains("priority"))
            body["priority"] = "interactive";
        const auto& value = body["priority"];
        const auto priority = value.is_string()
            ? valueNamed(priorityNames, value.get_ref<const std::string&>())
            : std::nullopt;
        if (!priority)
            return badRequest("priority must be interactive, overnight or batch");
        body["priority"] = static_cast<int>(*priority); // Engines serve the lowest number first.
        return *priority;
    }

} // namespace

auto parseCompletionRequest(const std::string& text) -> Result<CompletionRequest>
{
    auto body = nlohmann::json::parse(text, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return badRequest("the body is not a JSON object");
    if (!body.contains("model") || !body["model"].is_string())
        return badRequest("model is missing");
    const auto adapter = parseAdapterRef(body["model"].get_ref<const std::string&>());
    if (!adapter)
        return badRequest("model must be adapter@version");
    if (!body.contains("prompt") && !body.contains("messages"))
        return badRequest("prompt or messages is missing");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return badRequest("stream must be true or false");
    const auto maxTokens = readMaxTokens(body);
    if (!maxTokens)
        return maxTokens.error();
    const auto priority = readPriority(body);
    if (!priority)
        return priority.error();
    auto request = CompletionRequest();
    request.m_adapter = *adapter;
    request.m_stream = body.value("stream", false);
    request.m_priority = priority.value();
    request.m_costTokens = static_cast<double>(promptLength(body)) / charactersPerToken + maxTokens.value();
    request.m_engineBody = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return request;
}

auto authenticate(const Configuration& configuration, std::string_view authorization)
    -> Result<OrganisationName>
{
    if (!authorization.starts_with(bearerPrefix))
        return unauthorised();
    const auto key = authorization.substr(bearerPrefix.size());
    const auto stop = key.find('.');
    if (stop == std::string_view::npos)
        return unauthorised();
    const auto found = configuration.m_keys.find(KeyId(std::string(key.substr(0, stop))));
    if (found == configuration.m_keys.end())
        return unauthorised();
    const auto& grant = found->second;
    if (!equalInConstantTime(grant.m_secretDigest, saltedDigest(grant.m_salt, key.substr(stop + 1))))
        return unauthorised();
    return grant.m_organisation;
}

} // namespace marigoldladder
