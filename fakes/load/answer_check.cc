#include "load/answer_check.h"

#include "expected_text.h"

#include <algorithm>
#include <utility>

namespace marigoldladder::fakes {

namespace {

    constexpr auto eventPrefix = std::string_view("data: ");
    constexpr auto eventEnd = std::string_view("\n\n");
    constexpr auto charactersPerToken = 4.0;

    auto promptTokens(const Question& question) -> double
    {
        return static_cast<double>(question.m_prompt.size()) / charactersPerToken;
    }

    auto expectedText(const Question& question) -> std::string
    {
        auto text = std::string();
        for (auto position = 0; position < question.m_maxTokens; ++position)
            text += expectedToken(question.m_model, question.m_prompt, position);
        return text;
    }

    auto textOf(const nlohmann::json& json) -> std::string
    {
        const auto choices = json.value("choices", nlohmann::json::array());
        return choices.empty() ? std::string() : choices[0].value("text", "");
    }

    auto millisecondsBetween(
        std::chrono::steady_clock::time_point from, std::chrono::steady_clock::time_point to) -> double
    {
        return std::chrono::duration<double, std::milli>(to - from).count();
    }

} // namespace

auto checkWholeAnswer(const Question& question, const std::string& body, LoadRecord& record) -> void
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    record.m_tokens = promptTokens(question) + question.m_maxTokens;
    if (json.is_object() && json.value("model", "") == question.m_model
        && textOf(json) == expectedText(question)) {
        record.m_outcome = Outcome::Served;
        return;
    }
    record.m_outcome = Outcome::Wrong;
    record.m_message = "expected " + question.m_model + ": " + expectedText(question) + " but got " + body;
}

StreamCheck::StreamCheck(Question question)
    : m_question(std::move(question))
    , m_begunAt(std::chrono::steady_clock::now())
{
}

auto StreamCheck::take(std::string_view bytes) -> void
{
    m_pending.append(bytes);
    for (auto end = m_pending.find(eventEnd); end != std::string::npos; end = m_pending.find(eventEnd)) {
        takeEvent(m_pending.substr(0, end));
        m_pending.erase(0, end + eventEnd.size());
    }
}

auto StreamCheck::takeEvent(const std::string& event) -> void
{
    const auto payload = std::string_view(event).substr(std::min(event.size(), eventPrefix.size()));
    if (payload == "[DONE]") {
        m_done = true;
        return;
    }
    const auto json = nlohmann::json::parse(payload, nullptr, false);
    if (json.is_object() && json.contains("error")) {
        m_verdict = json["error"].value("verdict", "");
        m_message = json["error"].value("message", "");
        return;
    }
    const auto expected = expectedToken(m_question.m_model, m_question.m_prompt, m_tokens);
    if (!json.is_object() || json.value("model", "") != m_question.m_model || textOf(json) != expected)
        m_fault = "expected token " + std::to_string(m_tokens) + " \"" + expected + "\" but got " + event;
    const auto now = std::chrono::steady_clock::now();
    if (m_tokens == 0)
        m_firstTokenMs = millisecondsBetween(m_begunAt, now);
    else
        m_betweenTokensMs.push_back(millisecondsBetween(m_lastTokenAt, now));
    m_lastTokenAt = now;
    ++m_tokens;
}

auto StreamCheck::finish(LoadRecord& record) const -> void
{
    record.m_firstTokenMs = m_firstTokenMs;
    record.m_betweenTokensMs = m_betweenTokensMs;
    record.m_tokens = promptTokens(m_question) + m_tokens;
    record.m_verdict = m_verdict;
    record.m_message = m_message;
    if (!m_fault.empty()) {
        record.m_outcome = Outcome::Wrong;
        record.m_message = m_fault;
    } else if (!m_verdict.empty()) {
        record.m_outcome = Outcome::Refused;
    } else if (!m_done) {
        record.m_outcome = Outcome::Cut;
    } else if (m_tokens != m_question.m_maxTokens) {
        record.m_outcome = Outcome::Wrong;
        record.m_message = "expected " + std::to_string(m_question.m_maxTokens) + " tokens, got "
            + std::to_string(m_tokens);
    } else {
        record.m_outcome = Outcome::Served;
    }
}

} // namespace marigoldladder::fakes
