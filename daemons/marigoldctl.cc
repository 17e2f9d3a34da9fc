// The operators' client.
#include "marigoldladder/release_note.h"

#include <docopt/docopt.h>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace {

using namespace marigoldladder;

constexpr auto usage = R"(marigoldctl - hands release notes to the fleet and shows its state.

Usage:
  marigoldctl note check FILE
  marigoldctl note apply FILE --node ADDRESS --credential-file PATH
  marigoldctl status --node ADDRESS --credential-file PATH
  marigoldctl (-h | --help)

Options:
  --node ADDRESS          The operator address of any node, such as 127.0.0.1:7002.
  --credential-file PATH  A file with NAME.CREDENTIAL.
  -h --help               Print this text.

Exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown, 4 in force but not yet recorded.
)";

// The command line as docopt reads it.
using Arguments = std::map<std::string, docopt::value>;

constexpr auto exitRefused = 1;
constexpr auto exitUsage = 2;
constexpr auto exitUnknown = 3;
constexpr auto statusServerError = 500;

auto readFile(const std::string& path) -> std::optional<std::string>
{
    auto file = std::ifstream(path);
    if (!file) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

// Reads and checks a note by itself; prints every fault.
auto readNote(const std::string& path) -> std::optional<ReleaseNote>
{
    const auto text = readFile(path);
    if (!text)
        return std::nullopt;
    auto note = parseReleaseNote(*text);
    if (note)
        return std::move(note.value());
    for (const auto& fault : note.error().m_faults)
        std::cerr << path << ": " << fault.m_path << " " << fault.m_message << "\n";
    return std::nullopt;
}

// A client for the node's operator port that proves who the operator is.
auto makeClient(const Arguments& arguments) -> std::optional<httplib::Client>
{
    const auto address = parseAddress(arguments.at("--node").asString());
    auto credential = readFile(arguments.at("--credential-file").asString());
    if (!address || !credential) {
        std::cerr << "--node must be an IP number and a port\n";
        return std::nullopt;
    }
    while (!credential->empty() && credential->back() == '\n')
        credential->pop_back();
    auto client = httplib::Client(address->m_host, address->m_port);
    client.set_bearer_token_auth(*credential);
    return client;
}

auto report(const httplib::Result& answer) -> int
{
    if (!answer) {
        std::cerr << "no answer from the node\n";
        return answer.error() == httplib::Error::Connection ? exitRefused : exitUnknown;
    }
    std::cout << answer->body << "\n";
    if (answer->status < 400)
        return 0;
    return answer->status >= statusServerError ? exitUnknown : exitRefused;
}

auto applyNote(const Arguments& arguments) -> int
{
    const auto note = readNote(arguments.at("FILE").asString());
    if (!note)
        return exitRefused;
    auto client = makeClient(arguments);
    if (!client)
        return exitUsage;
    return report(client->Post("/v1/notes", formatReleaseNote(*note), "application/json"));
}

auto showStatus(const Arguments& arguments) -> int
{
    auto client = makeClient(arguments);
    return client ? report(client->Get("/v1/status")) : exitUsage;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    if (arguments.at("status").asBool())
        return showStatus(arguments);
    if (arguments.at("apply").asBool())
        return applyNote(arguments);
    return readNote(arguments.at("FILE").asString()) ? 0 : exitRefused;
}
