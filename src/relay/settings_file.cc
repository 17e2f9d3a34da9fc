#include "relay/settings_file.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace marigoldladder::relay {

namespace {

    constexpr auto writeTime = Milliseconds(5'000); // A writer that takes longer has given up.
    constexpr auto retryInterval = Milliseconds(20);

    auto readText(const std::string& path) -> std::optional<std::string>
    {
        auto file = std::ifstream(path);
        if (!file)
            return std::nullopt;
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    auto parse(const std::string& path, const std::optional<std::string>& text)
        -> CheckedSettings<RelaySettings>
    {
        if (!text)
            return SettingsFaults { { { "/", "the settings file " + path + " can't be opened" } } };
        return parseRelaySettings(*text);
    }

    auto isWhole(const std::optional<std::string>& text) -> bool
    {
        return text && nlohmann::json::accept(*text);
    }

} // namespace

auto readSettingsFile(const std::string& path) -> CheckedSettings<RelaySettings>
{
    return parse(path, readText(path));
}

auto awaitSettingsFile(const std::string& path) -> CheckedSettings<RelaySettings>
{
    auto text = readText(path);
    if (!isWhole(text))
        std::cerr << path << ": isn't whole; waits " << writeTime.count() << " ms for its writer"
                  << std::endl;
    const auto until = std::chrono::steady_clock::now() + writeTime;
    while (!isWhole(text) && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(retryInterval);
        text = readText(path);
    }
    return parse(path, text);
}

} // namespace marigoldladder::relay
