#include "ops/log_story.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace marigoldladder {

namespace {

    // Returns the last word with a date's and a time's parts before the JSON text.
    auto timeBefore(const std::string& prefix) -> std::string
    {
        auto time = std::string();
        auto at = std::size_t { 0 };
        while (at < prefix.size()) {
            const auto end = std::min(prefix.find(' ', at), prefix.size());
            const auto word = prefix.substr(at, end - at);
            if (word.find('T') != std::string::npos && word.find(':') != std::string::npos)
                time = word;
            at = end + 1;
        }
        return time;
    }

    auto readLine(const std::string& line, const std::string& requestId) -> std::optional<StoryLine>
    {
        const auto begin = line.find('{');
        if (begin == std::string::npos || line.find(requestId, begin) == std::string::npos)
            return std::nullopt;
        const auto json = nlohmann::ordered_json::parse(line.substr(begin), nullptr, false);
        if (!json.is_object() || !json.contains("event") || json.value("request", "") != requestId)
            return std::nullopt;
        auto entry = StoryLine { timeBefore(line.substr(0, begin)), json.value("vm", ""),
            json.value("event", ""), {} };
        for (const auto& [name, value] : json.items()) {
            if (name != "event" && name != "vm" && name != "request")
                entry.m_fields.emplace_back(
                    name, value.is_string() ? value.get<std::string>() : value.dump());
        }
        return entry;
    }

} // namespace

auto readStory(std::istream& input, const std::string& requestId) -> std::vector<StoryLine>
{
    auto story = std::vector<StoryLine>();
    auto line = std::string();
    while (std::getline(input, line)) {
        if (auto entry = readLine(line, requestId))
            story.push_back(std::move(*entry));
    }
    std::stable_sort(story.begin(), story.end(),
        [](const StoryLine& left, const StoryLine& right) { return left.m_time < right.m_time; });
    return story;
}

auto formatStory(const std::string& requestId, const std::vector<StoryLine>& story) -> std::string
{
    if (story.empty())
        return "no line about request " + requestId + "\n";
    auto text = std::string();
    for (const auto& line : story) {
        text.append(line.m_time)
            .append("  ")
            .append(line.m_vm)
            .append("  ")
            .append(line.m_event)
            .append("\n");
        for (const auto& [name, value] : line.m_fields)
            text.append("    ").append(name).append(": ").append(value).append("\n");
    }
    return text;
}

} // namespace marigoldladder
