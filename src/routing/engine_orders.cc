#include "routing/engine_orders.h"

#include "core/json_fields.h"
#include "objects/bounded_client.h"

#include <nlohmann/json.hpp>

namespace marigoldladder {

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(500);
    constexpr auto orderTimeout = std::chrono::milliseconds(10'000);
    constexpr auto listTimeout = std::chrono::milliseconds(2'000);
    constexpr auto statusOk = 200;
    constexpr auto statusNotFound = 404;
    constexpr auto statusFenced = 412;
    constexpr auto statusServerError = 500;
    constexpr auto jsonType = "application/json";
    constexpr auto evictPath = "/v1/unload_lora_adapter";

    // Adapters carry a version, so no adapter is ever called this.
    constexpr auto noAdapter = "none";

    constexpr auto maxAnswerBytes = std::size_t { 1 } << 20; // Larger than a list of what an engine holds.

    auto boundsWithin(std::chrono::milliseconds timeout) -> AnswerBounds
    {
        return { connectTimeout, timeout, timeout, maxAnswerBytes };
    }

    auto failureOf(httplib::Error error) -> Failure
    {
        if (error == httplib::Error::Connection)
            return notRun(FailureType::Unavailable, "the engine can't be reached");
        if (error == httplib::Error::Canceled)
            return notRun(FailureType::Unavailable, "the right to give orders has lapsed");
        return mayHaveRun(FailureType::UpstreamFailed, "the answer to an order was lost");
    }

    auto failureOf(const httplib::Response& answer) -> Failure
    {
        if (answer.status == statusFenced)
            return notRun(FailureType::Conflict, "the engine knows a later owner");
        if (answer.status == statusNotFound)
            return notRun(FailureType::NotFound, "the engine does not know it");
        if (answer.status >= statusServerError)
            return mayHaveRun(FailureType::UpstreamFailed, "the engine failed: " + answer.body);
        return notRun(FailureType::UpstreamFailed, "the engine refuses the order: " + answer.body);
    }

    // Sends the order's body only when the guard agrees; without its body an order has no effect.
    auto order(const Upstream& upstream, const char* path, const nlohmann::json& json, FencingNumber fencing,
        const OrderGuard& guard) -> Result<void>
    {
        auto client = BoundedClient(upstream.m_address, boundsWithin(orderTimeout));
        const auto headers = httplib::Headers { { "X-Fencing-Number", std::to_string(fencing) } };
        const auto body = json.dump();
        const auto provide = [&](std::size_t offset, std::size_t size, httplib::DataSink& sink) {
            return guard() && sink.write(body.data() + offset, size);
        };
        const auto answer = client.Post(path, headers, body.size(), provide, jsonType);
        if (!answer)
            return failureOf(answer.error());
        if (answer->status != statusOk)
            return failureOf(*answer);
        return boost::outcome_v2::success();
    }

} // namespace

auto orderLoad(const Upstream& upstream, const AdapterRef& ref, const std::string& path,
    FencingNumber fencing, const OrderGuard& guard) -> Result<void>
{
    const auto body = nlohmann::json { { "lora_name", formatAdapterRef(ref) }, { "lora_path", path } };
    return order(upstream, "/v1/load_lora_adapter", body, fencing, guard);
}

auto orderEvict(const Upstream& upstream, const AdapterRef& ref, FencingNumber fencing,
    const OrderGuard& guard) -> Result<void>
{
    const auto body = nlohmann::json { { "lora_name", formatAdapterRef(ref) } };
    auto evicted = order(upstream, evictPath, body, fencing, guard);
    if (!evicted && evicted.error().m_type == FailureType::NotFound)
        return boost::outcome_v2::success();
    return evicted;
}

auto raiseFencing(const Upstream& upstream, FencingNumber fencing) -> Result<void>
{
    const auto body = nlohmann::json { { "lora_name", noAdapter } };
    auto raised = order(upstream, evictPath, body, fencing, [] { return true; });
    if (!raised && raised.error().m_type == FailureType::NotFound)
        return boost::outcome_v2::success();
    return raised;
}

auto listAdapters(const Upstream& upstream) -> Result<std::vector<LoadedAdapter>>
{
    const auto answer = BoundedClient(upstream.m_address, boundsWithin(listTimeout)).Get("/v1/models");
    if (!answer)
        return failureOf(answer.error());
    if (answer->status != statusOk)
        return failureOf(*answer);
    const auto json = nlohmann::json::parse(answer->body, nullptr, false);
    if (!json.is_object() || !json.contains("data") || !json["data"].is_array())
        return notRun(FailureType::UpstreamFailed, "the engine's list of models can't be read");
    auto adapters = std::vector<LoadedAdapter>();
    for (const auto& model : json["data"]) {
        if (auto ref = parseAdapterRef(textOr(model, "id", "")))
            adapters.push_back({ std::move(*ref), textOr(model, "root", "") });
    }
    return adapters;
}

} // namespace marigoldladder
