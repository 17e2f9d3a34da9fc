// Checks an answer token by token against what the stand-in engine generates.
#pragma once

#include "load/load_record.h"

#include <chrono>
#include <string>
#include <string_view>

namespace marigoldladder::fakes {

// What was asked, as far as the answer depends on it.
struct Question {
    std::string m_model;
    std::string m_prompt;
    int m_maxTokens = 0;
};

// Fills in outcome, tokens and message of a completion that came in one piece.
auto checkWholeAnswer(const Question&, const std::string& body, LoadRecord&) -> void;

// Takes an event stream piece by piece.
class StreamCheck {
public:
    explicit StreamCheck(Question);

    auto take(std::string_view bytes) -> void;

    // Fills in outcome, times and tokens once the stream has ended.
    auto finish(LoadRecord&) const -> void;

private:
    auto takeEvent(const std::string& event) -> void;

    Question m_question;
    std::string m_pending;
    std::chrono::steady_clock::time_point m_begunAt;
    std::chrono::steady_clock::time_point m_lastTokenAt;
    double m_firstTokenMs = 0;
    std::vector<double> m_betweenTokensMs;
    int m_tokens = 0;
    bool m_done = false;
    std::string m_fault; // What was wrong, if anything was.
    std::string m_verdict; // Of the error that ended the stream, if one did.
    std::string m_message;
};

} // namespace marigoldladder::fakes
