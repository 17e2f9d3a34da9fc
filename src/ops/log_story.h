// The story of one request, from the log lines of all nodes that had to do with it.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace marigoldladder {

// One line about a request.
struct StoryLine {
    std::string m_time; // As the line gives it, so that lines of several nodes sort by it.
    std::string m_vm;
    std::string m_event;
    std::vector<std::pair<std::string, std::string>> m_fields; // The others, in the line's order.
};

// Reads log lines and returns those about the request, by time. A line may carry anything before its time,
// as log collectors put there. Lines that aren't ours are passed over.
auto readStory(std::istream&, const std::string& requestId) -> std::vector<StoryLine>;

// Returns the story as text, a line an event; says so when there is none.
auto formatStory(const std::string& requestId, const std::vector<StoryLine>&) -> std::string;

} // namespace marigoldladder
