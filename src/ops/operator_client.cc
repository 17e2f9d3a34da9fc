#include "marigoldladder/operator_client.h"

#include "core/blackboard.h"
#include "core/random_bytes.h"
#include "marigoldladder/verdict.h"
#include "objects/bounded_client.h"
#include "ops/json_lines.h"
#include "ops/operator_auth.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(2000);
    constexpr auto answerTimeout = std::chrono::milliseconds(20'000);
    constexpr auto maxAnswerBytes = std::size_t { 64 } << 20; // Larger than any report.
    constexpr auto coverageTimeout = std::chrono::milliseconds(10'000);
    constexpr auto coveragePoll = std::chrono::milliseconds(100);
    constexpr auto statusOk = 200;
    constexpr auto statusAccepted = 202;
    constexpr auto statusServerError = 500;
    constexpr auto drainIdBytes = std::size_t { 8 };

    auto parseAnswer(const std::string& body) -> nlohmann::json
    {
        auto json = nlohmann::json::parse(body, nullptr, false);
        return json.is_object() ? json : nlohmann::json::object();
    }

    // Adds each fault's line in the text that the operator wrote.
    auto locateFaults(std::string_view text, const std::vector<FieldFault>& faults)
        -> std::vector<LocatedFault>
    {
        const auto lines = fieldLines(text);
        auto located = std::vector<LocatedFault>();
        for (const auto& fault : faults)
            located.push_back({ lineOf(lines, fault.m_path), fault });
        return located;
    }

    auto readFaults(const nlohmann::json& error) -> std::vector<FieldFault>
    {
        auto faults = std::vector<FieldFault>();
        for (const auto& fault : error.value("faults", nlohmann::json::array()))
            faults.push_back({ fault.value("path", ""), fault.value("message", "") });
        return faults;
    }

    auto coverageFrom(const nlohmann::json& status, Revision revision) -> Coverage
    {
        auto coverage = Coverage();
        for (const auto& member : status.value("members", nlohmann::json::array())) {
            if (member.value("state", "") != nameOf(memberStateNames, MemberState::Alive))
                continue;
            ++coverage.m_liveNodes;
            if (member.value("revision", Revision { 0 }) >= revision)
                ++coverage.m_nodesInForce;
        }
        return coverage;
    }

    // Returns the result that an answer stands for by itself.
    auto resultOf(const httplib::Result& answer) -> CommandResult
    {
        if (!answer)
            return answer.error() == httplib::Error::Connection ? CommandResult::Refused
                                                                : CommandResult::OutcomeUnknown;
        if (answer->status == statusAccepted)
            return CommandResult::InForceUnrecorded;
        if (answer->status == statusOk)
            return CommandResult::Done;
        if (answer->status < statusServerError)
            return CommandResult::Refused;
        const auto verdict = parseAnswer(answer->body).value("/error/verdict"_json_pointer, "");
        return verdict == nameOf(verdictNames, Verdict::NotRun) ? CommandResult::Refused
                                                                : CommandResult::OutcomeUnknown;
    }

    // Whether another node would say the same: it need not be asked.
    auto isDefinite(const httplib::Result& answer) -> bool
    {
        return answer && answer->status < statusServerError;
    }

    // One call to be made to whichever node can be reached.
    struct OperatorCall {
        const char* m_method;
        std::string m_target;
        std::string m_body;
    };

    // Makes the call on one node: asks for a challenge and proves the credential without sending it.
    auto callNode(const Address& node, const std::string& credential, const OperatorCall& call)
        -> httplib::Result
    {
        const auto bounds = AnswerBounds { connectTimeout, answerTimeout, answerTimeout, maxAnswerBytes };
        auto client = BoundedClient(node, bounds);
        client.set_keep_alive(true);
        const auto name = credential.substr(0, credential.find('.'));
        const auto asked = client.Get("/v1/challenge", httplib::Params { { "name", name } }, {});
        if (!asked || asked->status != statusOk)
            return { nullptr, httplib::Error::Connection }; // The call itself has not been sent.
        const auto json = parseAnswer(asked->body);
        const auto challenge = OperatorChallenge { json.value("salt", ""), json.value("nonce", "") };
        const auto proof
            = answerChallenge(challenge, credential, { call.m_method, call.m_target, call.m_body });
        auto request = httplib::Request();
        request.method = call.m_method;
        request.path = call.m_target;
        request.body = call.m_body;
        request.headers.emplace("Authorization", proof);
        request.headers.emplace("Content-Type", "application/json");
        return client.send(request);
    }

} // namespace

// What came back of one call, from whichever node answered.
struct OperatorClient::Answer {
    CommandResult m_result = CommandResult::Refused;
    std::string m_body;
    std::string m_message;
};

OperatorClient::OperatorClient(std::vector<Address> nodes, std::string credential)
    : m_nodes(std::move(nodes))
    , m_credential(std::move(credential))
{
}

// Calls the nodes in turn until one gives a definite answer.
auto OperatorClient::call(const char* method, const std::string& target, const std::string& body) -> Answer
{
    auto outcome = Answer();
    outcome.m_message = "no node is named";
    auto unknown = false;
    for (const auto& node : m_nodes) {
        const auto answer = callNode(node, m_credential, { method, target, body });
        outcome.m_result = resultOf(answer);
        outcome.m_body = answer ? answer->body : "";
        outcome.m_message = answer ? parseAnswer(answer->body).value("/error/message"_json_pointer, "")
                                   : "no answer from " + formatAddress(node);
        if (isDefinite(answer))
            return outcome;
        unknown = unknown || outcome.m_result == CommandResult::OutcomeUnknown;
    }
    if (unknown)
        outcome.m_result = CommandResult::OutcomeUnknown;
    return outcome;
}

auto checkNoteText(std::string_view text) -> std::vector<LocatedFault>
{
    const auto note = parseReleaseNote(text);
    return note ? std::vector<LocatedFault>() : locateFaults(text, note.error().m_faults);
}

auto OperatorClient::apply(std::string_view text) -> ApplyReport
{
    const auto note = parseReleaseNote(text);
    auto report = ApplyReport();
    if (!note) {
        report.m_result = CommandResult::Refused;
        report.m_faults = locateFaults(text, note.error().m_faults);
        return report;
    }
    report = applyNote(note.value());
    auto faults = std::vector<FieldFault>();
    for (auto& fault : report.m_faults)
        faults.push_back(std::move(fault.m_fault));
    report.m_faults = locateFaults(text, faults);
    return report;
}

auto OperatorClient::applyNote(const ReleaseNote& note) -> ApplyReport
{
    const auto begun = std::chrono::steady_clock::now();
    const auto answer = call("POST", "/v1/notes", formatReleaseNote(note));
    const auto json = parseAnswer(answer.m_body);
    auto report = ApplyReport();
    report.m_result = answer.m_result;
    report.m_message = answer.m_message;
    report.m_revision = json.value("revision", Revision { 0 });
    report.m_recordedBefore = json.value("result", "") == "recorded_before";
    report.m_peersTold = json.value("peers_told", std::size_t { 0 });
    for (auto& fault : readFaults(json.value("error", nlohmann::json::object())))
        report.m_faults.push_back({ 0, std::move(fault) });
    if (report.m_result == CommandResult::Done)
        report.m_coverage = waitForCoverage(report.m_revision, begun);
    return report;
}

auto OperatorClient::waitForCoverage(Revision revision, std::chrono::steady_clock::time_point begun)
    -> Coverage
{
    auto coverage = Coverage();
    while (std::chrono::steady_clock::now() < begun + coverageTimeout) {
        const auto answer = call("GET", "/v1/status", "");
        if (answer.m_result == CommandResult::Done)
            coverage = coverageFrom(parseAnswer(answer.m_body), revision);
        coverage.m_after
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begun);
        if (coverage.m_liveNodes > 0 && coverage.m_nodesInForce == coverage.m_liveNodes)
            break;
        std::this_thread::sleep_for(coveragePoll);
    }
    return coverage;
}

auto OperatorClient::setDrain(DrainScope scope, const std::string& name, bool out) -> ApplyReport
{
    auto change = Change { out ? ChangeAction::Put : ChangeAction::Withdraw, Drain { scope, name, 0 }, {} };
    if (!out) {
        const auto status = call("GET", "/v1/status", "");
        if (status.m_result != CommandResult::Done)
            return { status.m_result, 0, false, 0, {}, {}, status.m_message };
        for (const auto& drain : parseAnswer(status.m_body).value("drains", nlohmann::json::array())) {
            if (drain.value("scope", "") == nameOf(drainScopeNames, scope) && drain.value("name", "") == name)
                change.m_expectedRevision = drain.value("changed_in", Revision { 0 });
        }
        if (!change.m_expectedRevision)
            return { CommandResult::Refused, 0, false, 0, {}, {}, name + " is not out of service" };
    }
    auto note = ReleaseNote();
    note.m_id = NoteId((out ? "out-" : "in-") + name + "-" + randomHex(drainIdBytes));
    note.m_changes.push_back(std::move(change));
    return applyNote(note);
}

auto OperatorClient::log(Revision after) -> ReadReport
{
    auto answer = call("GET", "/v1/notes?after=" + std::to_string(after), "");
    return { answer.m_result, std::move(answer.m_body), std::move(answer.m_message) };
}

auto OperatorClient::explain(const RequestId& id) -> ReadReport
{
    auto json = nlohmann::json { { "nodes", nlohmann::json::array() } };
    auto report = ReadReport { CommandResult::Done, "", "" };
    for (const auto& node : m_nodes) {
        auto answer = OperatorClient({ node }, m_credential).call("GET", "/v1/requests/" + id.value(), "");
        if (answer.m_result == CommandResult::Done) {
            json["nodes"].push_back(parseAnswer(answer.m_body));
            continue;
        }
        report.m_result = answer.m_result;
        report.m_message += formatAddress(node) + ": " + answer.m_message + "\n";
    }
    report.m_json = json.dump();
    return report;
}

auto OperatorClient::status() -> ReadReport
{
    auto answer = call("GET", "/v1/status", "");
    return { answer.m_result, std::move(answer.m_body), std::move(answer.m_message) };
}

} // namespace marigoldladder
