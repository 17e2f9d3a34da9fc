#include "hostile_clients/process_usage.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>

namespace marigoldladder::hostile {

namespace {

    constexpr auto restInterval = std::chrono::milliseconds(200);
    constexpr auto maxRestIntervals = 50; // A process may go on for longer than a test waits.
    constexpr auto restTicks = 1L; // Within an interval, of a hundredth of a second each: housekeeping.

    // Returns the processor time that the process has used, in hundredths of a second.
    auto processorTicks(pid_t pid) -> long
    {
        constexpr auto wordsBefore = 11; // Between the program's name and the two times.
        auto text = std::string();
        auto file = std::ifstream("/proc/" + std::to_string(pid) + "/stat");
        std::getline(file, text);
        auto words = std::istringstream(text.substr(std::min(text.rfind(')') + 1, text.size())));
        auto word = std::string();
        for (auto number = 0; number < wordsBefore; ++number)
            words >> word;
        auto user = 0L;
        auto system = 0L;
        words >> user >> system;
        return user + system;
    }

} // namespace

auto peakResidentBytes(pid_t pid) -> std::size_t
{
    constexpr auto bytesPerKilobyte = std::size_t { 1'024 };
    auto status = std::ifstream("/proc/" + std::to_string(pid) + "/status");
    for (auto line = std::string(); std::getline(status, line);) {
        auto words = std::istringstream(line);
        auto name = std::string();
        auto kilobytes = std::size_t { 0 };
        if (words >> name >> kilobytes && name == "VmHWM:")
            return kilobytes * bytesPerKilobyte;
    }
    return 0;
}

auto openDescriptors(pid_t pid) -> std::size_t
{
    auto error = std::error_code();
    const auto folder = std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

auto awaitRest(pid_t pid) -> void
{
    auto before = processorTicks(pid);
    for (auto interval = 0; interval < maxRestIntervals; ++interval) {
        std::this_thread::sleep_for(restInterval);
        const auto now = processorTicks(pid);
        if (now - before <= restTicks)
            return;
        before = now;
    }
}

} // namespace marigoldladder::hostile
