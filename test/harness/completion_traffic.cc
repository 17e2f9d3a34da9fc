#include "harness/completion_traffic.h"

#include <random>
#include <utility>

namespace marigoldladder::harness {

namespace {

    auto count(const httplib::Result& answer, const std::string& model, TrafficCounts& counts) -> void
    {
        if (answer && answer->status == 200) {
            const auto json = nlohmann::json::parse(answer->body, nullptr, false);
            ++(json.is_object() && json.value("model", "") == model ? counts.m_served : counts.m_wrong);
            return;
        }
        const auto refused = answer && answer->get_header_value("Marigoldladder-Verdict") == "not_run";
        ++(refused ? counts.m_refused : counts.m_lost);
    }

} // namespace

CompletionTraffic::CompletionTraffic(TrafficPlan plan)
    : m_plan(std::move(plan))
{
    for (const auto& node : m_plan.m_nodes)
        m_threads.emplace_back([this, node, seed = m_plan.m_seed + m_threads.size()] {
            runCaller(node, static_cast<unsigned>(seed));
        });
}

CompletionTraffic::~CompletionTraffic()
{
    stop();
}

auto CompletionTraffic::stop() -> void
{
    m_stopping = true;
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

auto CompletionTraffic::runCaller(const Address& node, unsigned seed) -> void
{
    auto random = std::mt19937(seed);
    auto client = makeCaller(node, basicKey);
    client.set_read_timeout(m_plan.m_answerTimeout);
    while (!m_stopping) {
        const auto model = "adapter-" + std::to_string(random() % m_plan.m_adapters) + "@1";
        const auto body = completionBody(model, m_plan.m_tokens, false);
        count(client.Post("/v1/completions", body, "application/json"), model, m_counts);
    }
}

} // namespace marigoldladder::harness
