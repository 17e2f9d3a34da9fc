// How a relay process starts on a real machine: ports, signals and settings that aren't as expected.
#include "soak/relay_site.h"

#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace marigoldladder::soak {
namespace {

    using std::chrono::milliseconds;

    constexpr auto startTime = milliseconds(10'000);
    constexpr auto settingsExitCode = 2;

    auto readFile(const std::string& path) -> std::string
    {
        auto file = std::ifstream(path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    // Returns the arguments with which the deploy file runs the program.
    auto deployedArguments() -> std::vector<std::string>
    {
        const auto text = readFile(std::string(MARIGOLDLADDER_SOURCE) + "/deploy/system.toml");
        const auto begin = text.find("run = \"") + std::string_view("run = \"").size();
        auto words = std::istringstream(text.substr(begin, text.find('"', begin) - begin));
        auto program = std::string();
        words >> program;
        return { std::istream_iterator<std::string>(words), {} };
    }

    class RelayStartTest : public testing::Test {
    protected:
        auto SetUp() -> void override
        {
            ASSERT_TRUE(m_site.allReady(startTime));
            relay().m_relay.kill();
        }

        auto relay() -> RelayProcess& { return m_site.relays().front(); }

        auto changeSettings(const nlohmann::json& changes) -> void
        {
            auto settings = nlohmann::json::parse(readFile(relay().m_settingsFile));
            settings.update(changes);
            std::ofstream(relay().m_settingsFile) << settings.dump();
        }

        static auto startOn(const std::string& settingsFile) -> harness::ChildProcess
        {
            return { "marigoldladder-relay", { "--settings", settingsFile }, harness::ReadyLine::NotAwaited };
        }

        SoakRecord m_record;
        RelaySite m_site { 1, 1, m_record };
    };

    // Issue 39: a node that found one of its ports held ended at once, as often as it was started.
    TEST_F(RelayStartTest, WaitsForAPortThatIsStillHeld)
    {
        auto holder = std::make_unique<HeldPort>(relay().m_callerAddress);
        m_site.restart(relay());
        std::this_thread::sleep_for(milliseconds(2'000));
        EXPECT_FALSE(relay().m_relay.hasEnded());
        holder.reset();
        EXPECT_TRUE(m_site.allReady(startTime));
    }

    TEST_F(RelayStartTest, ServesWithoutItsMetricsPort)
    {
        const auto settings = nlohmann::json::parse(readFile(relay().m_settingsFile));
        const auto holder = HeldPort(*parseAddress(settings.at("metrics_address").get<std::string>()));
        m_site.restart(relay());
        EXPECT_TRUE(m_site.allReady(startTime));
    }

    // Issue 39: SIGHUP, by which the platform says that the settings changed, ended a process that had not
    // come to handle it. The settings are read from a pipe, so that the signal comes before they are read.
    TEST_F(RelayStartTest, IsNotEndedByASignalBeforeItHasReadItsSettings)
    {
        const auto pipe = relay().m_settingsFile + ".pipe";
        ASSERT_EQ(::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR), 0);
        relay().m_relay = startOn(pipe);
        auto writer = -1;
        while (writer < 0 && !relay().m_relay.hasEnded())
            writer = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC); // Fails while nobody reads.
        ::unlink(pipe.c_str());
        for (const auto number : { SIGHUP, SIGINT, SIGUSR1, SIGPIPE, SIGALRM })
            relay().m_relay.signal(number);
        std::this_thread::sleep_for(milliseconds(50));
        ASSERT_FALSE(relay().m_relay.hasEnded());
        const auto settings = readFile(relay().m_settingsFile);
        EXPECT_EQ(::write(writer, settings.data(), settings.size()), static_cast<ssize_t>(settings.size()));
        ::close(writer);
        EXPECT_TRUE(m_site.allReady(startTime));
        EXPECT_FALSE(relay().m_relay.hasEnded());
    }

    // Issue 43: SIGHUP ended a process whose libraries were still being loaded, for some milliseconds.
    TEST(RelayProgramTest, NeedsOnlyTheCLibraryBeforeItIgnoresSignals)
    {
        ::setenv("LD_TRACE_LOADED_OBJECTS", "1", 1); // The loader lists the libraries and runs nothing.
        const auto listing = harness::runCommand("marigoldladder-relay", {}).m_output;
        ::unsetenv("LD_TRACE_LOADED_OBJECTS");
        auto needed = std::vector<std::string>();
        auto lines = std::istringstream(listing);
        for (auto line = std::string(); std::getline(lines, line);) {
            if (line.find(" => ") != std::string::npos)
                needed.push_back(line.substr(1, line.find(' ') - 1));
        }
        EXPECT_EQ(needed, std::vector<std::string> { "libc.so.6" }) << listing;
    }

    // Issue 47: a program that was copied without its library ended with 3 at every start.
    TEST_F(RelayStartTest, RunsAsACopyOfTheProgramAlone)
    {
        const auto folder = std::filesystem::path("alone-" + std::to_string(::getpid()));
        const auto build = std::filesystem::path(MARIGOLDLADDER_BUILD);
        std::filesystem::create_directory(build / folder);
        std::filesystem::copy_file(build / "marigoldladder-relay", build / folder / "marigoldladder-relay");
        relay().m_relay = harness::ChildProcess((folder / "marigoldladder-relay").string(),
            { "--settings", relay().m_settingsFile }, harness::ReadyLine::NotAwaited);
        EXPECT_TRUE(m_site.allReady(startTime));
        EXPECT_FALSE(relay().m_relay.hasEnded()) << relay().m_relay.end();
        std::filesystem::remove_all(build / folder);
    }

    // Issue 47: a node looked for its settings at one fixed path, though the platform says where they are.
    TEST_F(RelayStartTest, StartsWithTheSettingsThatThePlatformNames)
    {
        ::setenv("MARIGOLDLADDER_SETTINGS", relay().m_settingsFile.c_str(), 1);
        relay().m_relay = harness::ChildProcess(
            "marigoldladder-relay", deployedArguments(), harness::ReadyLine::NotAwaited);
        ::unsetenv("MARIGOLDLADDER_SETTINGS");
        EXPECT_TRUE(m_site.allReady(startTime)) << relay().m_relay.end();
    }

    TEST_F(RelayStartTest, IsNotEndedBySignalsWhileItServes)
    {
        m_site.restart(relay());
        ASSERT_TRUE(m_site.allReady(startTime));
        for (const auto number : { SIGHUP, SIGINT, SIGUSR1, SIGUSR2, SIGPIPE, SIGALRM, SIGHUP })
            relay().m_relay.signal(number);
        std::this_thread::sleep_for(milliseconds(500));
        EXPECT_FALSE(relay().m_relay.hasEnded());
        EXPECT_TRUE(m_site.allReady(startTime));
    }

    // A deployment that lacks a bound has null there, and the platform's settings may get new fields.
    TEST_F(RelayStartTest, StartsWithoutABoundAndWithAFieldThatItDoesNotKnow)
    {
        changeSettings({ { "bounds", { { "adapter_version_ms", nullptr } } }, { "new_field", 1 } });
        m_site.restart(relay());
        EXPECT_TRUE(m_site.allReady(startTime));
    }

    // Issue 43: a node that started while the platform wrote its settings anew found a part of them and
    // ended.
    TEST_F(RelayStartTest, WaitsForSettingsThatAreStillBeingWritten)
    {
        const auto settings = readFile(relay().m_settingsFile);
        std::ofstream(relay().m_settingsFile, std::ios::trunc).close();
        relay().m_relay = startOn(relay().m_settingsFile);
        for (const auto part : { std::size_t { 0 }, settings.size() / 2, settings.size() - 1 }) {
            std::ofstream(relay().m_settingsFile) << settings.substr(0, part);
            std::this_thread::sleep_for(milliseconds(300));
            EXPECT_FALSE(relay().m_relay.hasEnded()) << part << " bytes";
        }
        std::ofstream(relay().m_settingsFile) << settings;
        EXPECT_TRUE(m_site.allReady(startTime));
    }

    TEST_F(RelayStartTest, EndsWithSettingsThatStayIncomplete)
    {
        std::ofstream(relay().m_settingsFile) << "{\"vm\": ";
        const auto outcome
            = harness::runCommand("marigoldladder-relay", { "--settings", relay().m_settingsFile });
        EXPECT_EQ(outcome.m_exitCode, settingsExitCode);
    }

    TEST_F(RelayStartTest, EndsWithAValueThatCannotBeRight)
    {
        changeSettings({ { "max_descriptors", -1 } });
        const auto outcome = harness::runCommand(
            "marigoldladder-relay", { "--settings", relay().m_settingsFile, "--check-settings" });
        EXPECT_EQ(outcome.m_exitCode, settingsExitCode);
    }

} // namespace
} // namespace marigoldladder::soak
