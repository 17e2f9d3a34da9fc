// A process started by a test, ended at the latest with the test.
#pragma once

#include <csignal>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace marigoldladder::harness {

// Whether a test waits for the line by which a program says that it is ready.
enum class ReadyLine {
    Awaited,
    NotAwaited,
};

// Starts one of the project's programs and waits for the JSON line by which it says that it is ready.
class ChildProcess {
public:
    ChildProcess() = default;

    // `program` is a path below the build folder. Throws when the program ends before it is ready.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
        ReadyLine readyLine = ReadyLine::Awaited);
    ChildProcess(ChildProcess&&) noexcept;
    auto operator=(ChildProcess&&) noexcept -> ChildProcess&;
    ChildProcess(const ChildProcess&) = delete;
    auto operator=(const ChildProcess&) -> ChildProcess& = delete;

    // Kills the process if it still runs.
    ~ChildProcess();

    // The ready line's JSON.
    auto ready() const -> const nlohmann::json& { return m_ready; }
    auto running() const -> bool { return m_pid > 0; }

    // Whether the process has ended by itself; from then on it counts as not running.
    auto hasEnded() -> bool;

    // How it ended, such as "exit code 2" or "signal 6"; empty while it runs.
    auto end() const -> std::string;

    auto pid() const -> pid_t { return m_pid; }

    // Whether the process ignores or handles a signal, so that the signal doesn't end it.
    auto withstands(int number) const -> bool;

    // Sends a signal; SIGSTOP and SIGCONT freeze and resume the process.
    auto signal(int number) const -> void;

    // Kills the process at once and waits for its end.
    auto kill() -> void;

    // Asks the process to end and waits for it; returns its exit code, or -1 after `milliseconds`.
    auto terminate(int milliseconds) -> int;

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::optional<int> m_endStatus; // As `waitpid` returned it.
    nlohmann::json m_ready;
};

// What a program that ran to its end printed, and its exit code.
struct CommandOutcome {
    int m_exitCode = -1;
    std::string m_output;
};

// Runs one of the project's programs to its end.
auto runCommand(const std::string& program, const std::vector<std::string>& arguments) -> CommandOutcome;

} // namespace marigoldladder::harness
