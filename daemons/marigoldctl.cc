// The operators' client.
#include "marigoldladder/operator_client.h"
#include "ops/log_story.h"
#include "ops/report_text.h"

#include <charconv>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>

namespace {

using namespace marigoldladder;

constexpr auto usage = R"(marigoldctl - hands release notes to the fleet and shows its state.

Usage:
  marigoldctl note check FILE [--json]
  marigoldctl note apply FILE --node ADDRESSES... --credential-file PATH [--json]
  marigoldctl note log --node ADDRESSES... --credential-file PATH [--after REVISION] [--json]
  marigoldctl dc (out | in) NAME --node ADDRESSES... --credential-file PATH [--json]
  marigoldctl vm (out | in) NAME --node ADDRESSES... --credential-file PATH [--json]
  marigoldctl explain ID --node ADDRESSES... --credential-file PATH [--json]
  marigoldctl explain ID --logs FILE
  marigoldctl status --node ADDRESSES... --credential-file PATH [--json]
  marigoldctl (-h | --help)

Options:
  --node ADDRESSES        Operator addresses such as 127.0.0.1:7002, separated by commas; may be given
                          several times. They are tried in turn; explain asks them all.
  --credential-file PATH  A file with NAME.CREDENTIAL.
  --logs FILE             Read relay nodes' log lines from this file; - reads standard input.
  --after REVISION        Show the notes after this revision [default: 0].
  --json                  Print one JSON object.
  -h --help               Print this text.

Exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown, 4 in force but not yet recorded.
)";

// The command line as docopt reads it.
using Arguments = std::map<std::string, docopt::value>;

// A command line that can't be carried out; its text says why.
struct UsageError {
    std::string m_message;
};

auto readFile(const std::string& path) -> std::string
{
    auto file = std::ifstream(path);
    if (!file)
        throw UsageError { path + " can't be read" };
    return { std::istreambuf_iterator<char>(file), {} };
}

auto readNodes(const Arguments& arguments) -> std::vector<Address>
{
    auto nodes = std::vector<Address>();
    for (const auto& group : arguments.at("--node").asStringList()) {
        auto rest = std::istringstream(group);
        for (auto text = std::string(); std::getline(rest, text, ',');) {
            const auto address = parseAddress(text);
            if (!address)
                throw UsageError { "--node must name an IP number and a port, not " + text };
            nodes.push_back(*address);
        }
    }
    return nodes;
}

auto makeClient(const Arguments& arguments) -> OperatorClient
{
    auto credential = readFile(arguments.at("--credential-file").asString());
    while (!credential.empty() && credential.back() == '\n')
        credential.pop_back();
    return { readNodes(arguments), credential };
}

auto readRevision(const Arguments& arguments) -> Revision
{
    const auto text = arguments.at("--after").asString();
    auto revision = Revision { 0 };
    const auto read = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size())
        throw UsageError { "--after must be a whole number" };
    return revision;
}

auto styleOf(const Arguments& arguments) -> OutputStyle
{
    return arguments.at("--json").asBool() ? OutputStyle::Json : OutputStyle::Text;
}

auto checkNote(const Arguments& arguments) -> CommandResult
{
    const auto file = arguments.at("FILE").asString();
    auto report = ApplyReport();
    report.m_faults = checkNoteText(readFile(file));
    report.m_result = report.m_faults.empty() ? CommandResult::Done : CommandResult::Refused;
    const auto silent = report.m_faults.empty() && styleOf(arguments) == OutputStyle::Text;
    std::cout << (silent ? "no fault\n" : formatReport(file, report, styleOf(arguments)));
    return report.m_result;
}

auto printReport(const Arguments& arguments, const std::string& file, const ApplyReport& report)
    -> CommandResult
{
    std::cout << formatReport(file, report, styleOf(arguments));
    return report.m_result;
}

auto setDrain(const Arguments& arguments, DrainScope scope) -> CommandResult
{
    const auto name = arguments.at("NAME").asString();
    return printReport(
        arguments, name, makeClient(arguments).setDrain(scope, name, arguments.at("out").asBool()));
}

auto explainFromLogs(const Arguments& arguments) -> CommandResult
{
    const auto id = arguments.at("ID").asString();
    const auto path = arguments.at("--logs").asString();
    auto file = std::ifstream();
    if (path != "-") {
        file.open(path);
        if (!file)
            throw UsageError { path + " can't be read" };
    }
    const auto story = readStory(path == "-" ? std::cin : file, id);
    std::cout << formatStory(id, story);
    return story.empty() ? CommandResult::Refused : CommandResult::Done;
}

auto run(const Arguments& arguments) -> CommandResult
{
    if (arguments.at("check").asBool())
        return checkNote(arguments);
    if (arguments.at("apply").asBool()) {
        const auto file = arguments.at("FILE").asString();
        return printReport(arguments, file, makeClient(arguments).apply(readFile(file)));
    }
    if (arguments.at("log").asBool()) {
        const auto report = makeClient(arguments).log(readRevision(arguments));
        std::cout << formatLog(report, styleOf(arguments));
        return report.m_result;
    }
    if (arguments.at("dc").asBool())
        return setDrain(arguments, DrainScope::DataCentre);
    if (arguments.at("vm").asBool())
        return setDrain(arguments, DrainScope::Vm);
    if (arguments.at("explain").asBool() && arguments.at("--logs"))
        return explainFromLogs(arguments);
    if (arguments.at("explain").asBool()) {
        const auto report = makeClient(arguments).explain(RequestId(arguments.at("ID").asString()));
        std::cout << formatExplanation(report, styleOf(arguments));
        return report.m_result;
    }
    const auto report = makeClient(arguments).status();
    std::cout << formatStatus(report, styleOf(arguments));
    return report.m_result;
}

// Reads the command line; a wrong one ends the program with the exit code for usage.
auto readArguments(int argc, char** argv) -> std::optional<Arguments>
{
    try {
        return docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, false);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        std::exit(static_cast<int>(CommandResult::Done));
    } catch (const std::exception&) {
        std::cerr << usage;
        return std::nullopt;
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto arguments = readArguments(argc, argv);
    if (!arguments)
        return static_cast<int>(CommandResult::Usage);
    try {
        return static_cast<int>(run(*arguments));
    } catch (const UsageError& error) {
        std::cerr << error.m_message << "\n";
        return static_cast<int>(CommandResult::Usage);
    }
}
