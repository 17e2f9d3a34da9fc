// The text that the stand-in engine generates: a function of model, prompt and position, so that callers
// can check every token they get.
#pragma once

#include <functional>
#include <string>

namespace marigoldladder::fakes {

// Returns the token at a position of the model's answer to the prompt.
inline auto expectedToken(const std::string& model, const std::string& prompt, int position) -> std::string
{
    constexpr auto shownDigits = std::size_t { 100'000 };
    const auto hash = std::hash<std::string>()(model + "|" + prompt);
    return "t" + std::to_string((hash + static_cast<std::size_t>(position)) % shownDigits) + " ";
}

} // namespace marigoldladder::fakes
