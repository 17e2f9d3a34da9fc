#include "harness/completion_traffic.h"

#include <random>
#include <utility>

namespace marigoldladder::harness {

auto describeAnswer(const httplib::Result& answer) -> std::string
{
    if (!answer)
        return "no answer: " + httplib::to_string(answer.error());
    auto text = std::to_string(answer->status);
    for (const auto& [name, value] : answer->headers)
        text.append(" ").append(name).append("=").append(value);
    return text + " " + answer->body;
}

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
        take(client.Post("/v1/completions", body, "application/json"), model);
    }
}

auto CompletionTraffic::take(const httplib::Result& answer, const std::string& model) -> void
{
    if (answer && answer->status == 200) {
        const auto json = nlohmann::json::parse(answer->body, nullptr, false);
        if (json.is_object() && json.value("model", "") == model) {
            ++m_counts.m_served;
            return;
        }
        ++m_counts.m_wrong;
    } else if (answer && answer->get_header_value("Marigoldladder-Verdict") == "not_run") {
        ++m_counts.m_refused;
        return;
    } else {
        ++m_counts.m_lost;
    }
    const auto lock = std::lock_guard(m_mutex);
    m_badAnswers += describeAnswer(answer) + "\n";
}

auto CompletionTraffic::badAnswers() const -> std::string
{
    const auto lock = std::lock_guard(m_mutex);
    return m_badAnswers;
}

} // namespace marigoldladder::harness
