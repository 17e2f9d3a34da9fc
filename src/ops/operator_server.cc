#include "ops/operator_server.h"

#include "core/log.h"
#include "core/posix_thread.h"
#include "objects/bounded_server.h"
#include "objects/http_port.h"
#include "ops/operator_auth.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto operatorThreads = std::size_t { 16 };
    constexpr auto maxNoteBytes = std::size_t { 16 } * 1024 * 1024;
    constexpr auto readTimeout = std::chrono::milliseconds(5000);
    constexpr auto jsonType = "application/json";
    constexpr auto statusAccepted = 202;
    constexpr auto mostLogEntries = std::uint64_t { 1000 };

    auto operatorBounds() -> ServerBounds
    {
        auto bounds = ServerBounds();
        bounds.m_connections = operatorThreads;
        bounds.m_request.m_bodyBytes = maxNoteBytes;
        return bounds;
    }

    // Returns a time in UTC as ISO 8601.
    auto timeAsText(std::time_t now) -> std::string
    {
        auto parts = std::tm {};
        gmtime_r(&now, &parts);
        auto text = std::array<char, 32> {};
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
        return text.data();
    }

    auto writeError(httplib::Response& response, const Failure& failure) -> void
    {
        response.status = httpStatus(failure.m_type);
        const auto json = nlohmann::json { { "error",
            {
                { "type", nameOf(failureTypeNames, failure.m_type) },
                { "message", failure.m_message },
                { "verdict", nameOf(verdictNames, failure.m_verdict) },
            } } };
        response.set_content(json.dump(), jsonType);
    }

    auto writeReceipt(httplib::Response& response, const NoteReceipt& receipt) -> void
    {
        auto json = nlohmann::json { { "result", nameOf(noteResultNames, receipt.m_result) } };
        if (receipt.m_revision != 0)
            json["revision"] = receipt.m_revision;
        if (receipt.m_result == NoteResult::InForceUnrecorded) {
            response.status = statusAccepted;
            json["peers_told"] = receipt.m_peersTold;
        }
        response.set_content(json.dump(), jsonType);
    }

    auto writeFaults(httplib::Response& response, const std::vector<FieldFault>& faults) -> void
    {
        auto json = nlohmann::json { { "result", nameOf(noteResultNames, NoteResult::Refused) },
            { "error", { { "type", "bad_request" }, { "verdict", "not_run" } } } };
        for (const auto& fault : faults)
            json["error"]["faults"].push_back({ { "path", fault.m_path }, { "message", fault.m_message } });
        response.status = httpStatus(FailureType::BadRequest);
        response.set_content(json.dump(), jsonType);
    }

    // Returns an entry of the audit trail without what is derived from secrets.
    auto describeEntry(const LogEntry& entry) -> nlohmann::json
    {
        auto json = nlohmann::json::parse(formatReleaseNote(entry.m_note));
        json["revision"] = entry.m_revision;
        for (auto& change : json["changes"]) {
            change.erase("salt");
            change.erase("secret_digest");
        }
        return json;
    }

    auto describeRecord(const RequestRecord& record) -> nlohmann::json
    {
        auto json = nlohmann::json { { "request_id", record.m_id.value() },
            { "ended_at", timeAsText(std::chrono::system_clock::to_time_t(record.m_endedAt)) },
            { "organisation", record.m_organisation.value() }, { "target", record.m_target },
            { "upstream", record.m_upstream.value() }, { "completed", !record.m_failure } };
        if (record.m_failure) {
            json["type"] = nameOf(failureTypeNames, record.m_failure->m_type);
            json["verdict"] = nameOf(verdictNames, record.m_failure->m_verdict);
            json["message"] = record.m_failure->m_message;
        }
        return json;
    }

    // Reads a whole number from the query; the fallback when it is missing or none.
    auto queryNumber(const httplib::Request& request, const char* name, std::uint64_t fallback)
        -> std::uint64_t
    {
        const auto text = request.get_param_value(name);
        auto number = fallback;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

} // namespace

struct OperatorServer::Implementation {
    Implementation(
        const NodeSettings& settings, Blackboard& blackboard, ReleaseLog& log, NoteSpreader& spreader)
        : m_settings(settings)
        , m_blackboard(blackboard)
        , m_log(log)
        , m_authenticator(settings)
        , m_acceptance(blackboard, log, spreader)
    {
    }

    // Answers a call of an operator who has proved who they are.
    using Handler
        = auto(Implementation::*)(const OperatorGrant&, const httplib::Request&, httplib::Response&) -> void;

    auto listen() -> void;
    auto answerChallengeRequest(const httplib::Request&, httplib::Response&) const -> void;
    auto guarded(Handler) -> httplib::Server::Handler;
    auto applyNote(const OperatorGrant&, const httplib::Request&, httplib::Response&) -> void;
    auto answerLog(const OperatorGrant&, const httplib::Request&, httplib::Response&) -> void;
    auto answerRequest(const OperatorGrant&, const httplib::Request&, httplib::Response&) -> void;
    auto answerStatus(const OperatorGrant&, const httplib::Request&, httplib::Response&) -> void;
    auto describeConfiguration() const -> nlohmann::json;

    const NodeSettings& m_settings;
    Blackboard& m_blackboard;
    ReleaseLog& m_log;
    OperatorAuthenticator m_authenticator;
    NoteAcceptance m_acceptance;
    BoundedServer m_server { operatorBounds() };
    int m_port = 0;
    PosixThread m_thread;
};

// Wraps a handler so that it runs only for operators with a right credential.
auto OperatorServer::Implementation::guarded(Handler handler) -> httplib::Server::Handler
{
    return [this, handler](const httplib::Request& request, httplib::Response& response) {
        const auto call = ProvenCall { request.method, request.target, request.body };
        const auto* grant = m_authenticator.authenticate(request.get_header_value("Authorization"), call);
        if (grant) {
            (this->*handler)(*grant, request, response);
            return;
        }
        m_blackboard.m_metrics.add(Counter::AuthenticationRefusals);
        writeError(
            response, notRun(FailureType::Unauthorised, "the operator's credential is missing or wrong"));
    };
}

auto OperatorServer::Implementation::listen() -> void
{
    m_server.set_tcp_nodelay(true);
    m_server.set_read_timeout(readTimeout);
    m_server.Get("/v1/challenge",
        [this](const auto& request, auto& response) { answerChallengeRequest(request, response); });
    m_server.Post("/v1/notes", guarded(&Implementation::applyNote));
    m_server.Get("/v1/notes", guarded(&Implementation::answerLog));
    m_server.Get("/v1/requests/([0-9a-zA-Z-]+)", guarded(&Implementation::answerRequest));
    m_server.Get("/v1/status", guarded(&Implementation::answerStatus));
    const auto& address = m_settings.m_operatorAddress;
    const auto port = openHttpPort(m_server, address);
    if (!port)
        throw std::runtime_error("can't listen on " + formatAddress(address));
    m_port = *port;
    m_thread = PosixThread("operator-accept", [this] { m_server.listen_after_bind(); });
}

auto OperatorServer::Implementation::answerChallengeRequest(
    const httplib::Request& request, httplib::Response& response) const -> void
{
    const auto challenge = m_authenticator.challenge(request.get_param_value("name"));
    const auto json = nlohmann::json { { "salt", challenge.m_salt }, { "nonce", challenge.m_nonce } };
    response.set_content(json.dump(), jsonType);
}

auto OperatorServer::Implementation::applyNote(
    const OperatorGrant& grant, const httplib::Request& request, httplib::Response& response) -> void
{
    auto parsed = parseReleaseNote(request.body);
    if (!parsed) {
        writeFaults(response, parsed.error().m_faults);
        return;
    }
    auto& note = parsed.value();
    note.m_author = grant.m_name;
    note.m_office = grant.m_office;
    note.m_acceptedAt = timeAsText(std::time(nullptr));
    const auto receipt = m_acceptance.accept(note);
    logChange("note_handled",
        { { "note_id", note.m_id.value() }, { "author", note.m_author }, { "office", note.m_office },
            { "result", std::string(nameOf(noteResultNames, receipt.m_result)) } });
    if (receipt.m_result == NoteResult::Refused)
        writeFaults(response, receipt.m_faults);
    else if (receipt.m_result == NoteResult::Failed)
        writeError(response, receipt.m_failure);
    else
        writeReceipt(response, receipt);
}

auto OperatorServer::Implementation::answerLog(
    const OperatorGrant&, const httplib::Request& request, httplib::Response& response) -> void
{
    const auto after = queryNumber(request, "after", 0);
    const auto most = std::min(queryNumber(request, "limit", mostLogEntries), mostLogEntries);
    const auto entries = m_log.history(after, most);
    if (!entries) {
        writeError(response, entries.error());
        return;
    }
    auto json = nlohmann::json { { "notes", nlohmann::json::array() } };
    for (const auto& entry : entries.value())
        json["notes"].push_back(describeEntry(entry));
    response.set_content(json.dump(), jsonType);
}

auto OperatorServer::Implementation::answerRequest(
    const OperatorGrant&, const httplib::Request& request, httplib::Response& response) -> void
{
    const auto id = RequestId(request.matches[1].str());
    const auto records = m_blackboard.m_requests.read(
        [&](const RequestJournal& journal) { return findRecords(journal, id); });
    auto json = nlohmann::json { { "vm", m_settings.m_vm.value() }, { "records", nlohmann::json::array() } };
    for (const auto& record : records)
        json["records"].push_back(describeRecord(record));
    response.set_content(json.dump(), jsonType);
}

auto OperatorServer::Implementation::describeConfiguration() const -> nlohmann::json
{
    return m_blackboard.m_configuration.read([](const Configuration& value) {
        auto json = nlohmann::json { { "revision", value.m_revision }, { "configured", value.m_complete },
            { "unrecorded", nlohmann::json::array() }, { "drains", nlohmann::json::array() } };
        for (const auto& [id, note] : value.m_pending)
            json["unrecorded"].push_back(id.value());
        for (const auto& [key, drain] : value.m_drains)
            json["drains"].push_back({ { "scope", nameOf(drainScopeNames, drain.m_scope) },
                { "name", drain.m_name }, { "changed_in", drain.m_changedIn } });
        return json;
    });
}

auto OperatorServer::Implementation::answerStatus(
    const OperatorGrant&, const httplib::Request&, httplib::Response& response) -> void
{
    auto json = describeConfiguration();
    const auto health = m_blackboard.m_health.copy();
    json["vm"] = m_settings.m_vm.value();
    json["platform_reachable"] = health.m_platformReachable;
    json["draining"] = health.m_draining;
    json["requests_in_flight"] = health.m_requestsInFlight;
    json["members"] = nlohmann::json::array();
    for (const auto& [vm, member] : m_blackboard.m_membership.copy().m_members) {
        const auto own = vm == m_settings.m_vm;
        json["members"].push_back({
            { "vm", vm.value() },
            { "data_centre", member.m_dataCentre.value() },
            { "state", nameOf(memberStateNames, member.m_state) },
            { "revision", own ? json["revision"].get<Revision>() : member.m_revision },
        });
    }
    response.set_content(json.dump(), jsonType);
}

OperatorServer::OperatorServer(
    const NodeSettings& settings, Blackboard& blackboard, ReleaseLog& log, NoteSpreader& spreader)
    : m_implementation(std::make_unique<Implementation>(settings, blackboard, log, spreader))
{
    m_implementation->listen();
}

OperatorServer::~OperatorServer()
{
    stop();
}

auto OperatorServer::port() const -> int
{
    return m_implementation->m_port;
}

auto OperatorServer::stop() -> void
{
    m_implementation->m_server.stop();
    m_implementation->m_thread.join();
}

} // namespace marigoldladder
