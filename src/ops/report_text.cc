#include "ops/report_text.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace marigoldladder {

namespace {

    auto reportJson(const ApplyReport& report) -> nlohmann::json
    {
        auto json = nlohmann::json { { "result", nameOf(commandResultNames, report.m_result) } };
        if (report.m_revision != 0) {
            json["revision"] = report.m_revision;
            json["recorded_before"] = report.m_recordedBefore;
            json["nodes_in_force"] = report.m_coverage.m_nodesInForce;
            json["live_nodes"] = report.m_coverage.m_liveNodes;
            json["after_ms"] = report.m_coverage.m_after.count();
        }
        if (report.m_result == CommandResult::InForceUnrecorded)
            json["peers_told"] = report.m_peersTold;
        if (!report.m_message.empty())
            json["message"] = report.m_message;
        for (const auto& fault : report.m_faults)
            json["faults"].push_back({ { "line", fault.m_line }, { "path", fault.m_fault.m_path },
                { "message", fault.m_fault.m_message } });
        return json;
    }

    auto describeDone(const ApplyReport& report) -> std::string
    {
        const auto& coverage = report.m_coverage;
        auto text = std::ostringstream();
        text << (report.m_recordedBefore ? "recorded before as revision " : "recorded as revision ")
             << report.m_revision << "; in force on " << coverage.m_nodesInForce << " of "
             << coverage.m_liveNodes << " live nodes after " << coverage.m_after.count() << " ms\n";
        return text.str();
    }

    auto describeChange(const nlohmann::json& change) -> std::string
    {
        const auto withdrawn = change.contains("withdraw");
        const auto action = withdrawn ? "withdraw" : "put";
        auto text = std::string("    ") + action + " " + change.value(action, "");
        for (const auto* field : { "scope", "id", "name", "version" }) {
            if (change.contains(field))
                text += " " + change.value(field, "");
        }
        return text + "\n";
    }

    // Returns the answer's JSON, or a null value when it is none.
    auto parseReport(const ReadReport& report) -> nlohmann::json
    {
        return nlohmann::json::parse(report.m_json, nullptr, false);
    }

    // Returns an array of the answer; empty when there is none of that name.
    auto elementsOf(const nlohmann::json& json, const char* field) -> nlohmann::json
    {
        return json.is_object() ? json.value(field, nlohmann::json::array()) : nlohmann::json::array();
    }

    // Returns the text for a report that holds nothing to show, or nothing when it can be shown.
    auto describeFailure(const ReadReport& report, OutputStyle style) -> std::optional<std::string>
    {
        if (report.m_result == CommandResult::Done)
            return style == OutputStyle::Json ? std::optional(report.m_json + "\n") : std::nullopt;
        auto json = nlohmann::json { { "result", nameOf(commandResultNames, report.m_result) },
            { "message", report.m_message } };
        return style == OutputStyle::Json ? json.dump() + "\n" : report.m_message + "\n";
    }

} // namespace

auto formatFaults(const std::string& file, const std::vector<LocatedFault>& faults) -> std::string
{
    auto text = std::ostringstream();
    for (const auto& fault : faults) {
        text << file;
        if (fault.m_line != 0)
            text << ":" << fault.m_line;
        text << ": " << fault.m_fault.m_path << " " << fault.m_fault.m_message << "\n";
    }
    return text.str();
}

auto formatReport(const std::string& file, const ApplyReport& report, OutputStyle style) -> std::string
{
    if (style == OutputStyle::Json)
        return reportJson(report).dump() + "\n";
    switch (report.m_result) {
    case CommandResult::Done:
        return describeDone(report);
    case CommandResult::InForceUnrecorded:
        return "in force, not yet recorded; " + std::to_string(report.m_peersTold)
            + " other nodes confirmed it, and it spreads to all\n";
    case CommandResult::OutcomeUnknown:
        return "outcome unknown: " + report.m_message + "; the same note may be handed over again\n";
    default:
        break;
    }
    const auto reason = report.m_message.empty() ? std::string() : ": " + report.m_message;
    return "refused, nothing changed" + reason + "\n" + formatFaults(file, report.m_faults);
}

auto formatLog(const ReadReport& report, OutputStyle style) -> std::string
{
    if (auto failure = describeFailure(report, style))
        return *failure;
    const auto log = parseReport(report);
    auto text = std::ostringstream();
    for (const auto& note : elementsOf(log, "notes")) {
        text << note.value("revision", Revision { 0 }) << "  " << note.value("accepted_at", "") << "  "
             << note.value("office", "") << "  " << note.value("author", "") << "  "
             << note.value("note_id", "") << "\n";
        for (const auto& change : elementsOf(note, "changes"))
            text << describeChange(change);
    }
    return text.str();
}

auto formatStatus(const ReadReport& report, OutputStyle style) -> std::string
{
    if (auto failure = describeFailure(report, style))
        return *failure;
    const auto status = parseReport(report);
    auto text = std::ostringstream();
    text << "node " << status.value("vm", "") << ", revision " << status.value("revision", Revision { 0 })
         << ", platform " << (status.value("platform_reachable", false) ? "reachable" : "not reachable")
         << "\n";
    for (const auto& member : elementsOf(status, "members"))
        text << "  " << member.value("vm", "") << "  " << member.value("data_centre", "") << "  "
             << member.value("state", "") << "  revision " << member.value("revision", Revision { 0 })
             << "\n";
    for (const auto& drain : elementsOf(status, "drains"))
        text << "out of service: " << drain.value("scope", "") << " " << drain.value("name", "") << "\n";
    for (const auto& note : elementsOf(status, "unrecorded"))
        text << "in force, not yet recorded: " << note.get<std::string>() << "\n";
    return text.str();
}

auto formatExplanation(const ReadReport& report, OutputStyle style) -> std::string
{
    if (style == OutputStyle::Json)
        return report.m_json + "\n";
    auto text = std::ostringstream();
    const auto answers = parseReport(report);
    for (const auto& node : elementsOf(answers, "nodes")) {
        for (const auto& record : elementsOf(node, "records"))
            text << node.value("vm", "") << "  " << record.value("ended_at", "") << "  "
                 << record.value("organisation", "") << "  " << record.value("target", "") << "  "
                 << record.value("upstream", "") << "  "
                 << (record.value("completed", false) ? "answered whole" : record.value("verdict", ""))
                 << "  " << record.value("message", "") << "\n";
    }
    if (text.str().empty())
        text << "no node that answered remembers this request\n";
    return text.str() + report.m_message;
}

} // namespace marigoldladder
