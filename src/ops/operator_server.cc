#include "ops/operator_server.h"

#include "core/log.h"
#include "core/posix_thread.h"
#include "core/secret_digest.h"

#include <algorithm>
#include <ctime>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto operatorThreads = std::size_t { 16 };
    constexpr auto maxNoteBytes = std::size_t { 16 } * 1024 * 1024;
    constexpr auto readTimeout = std::chrono::milliseconds(5000);
    constexpr auto bearerPrefix = std::string_view("Bearer ");
    constexpr auto jsonType = "application/json";

    auto nowAsText() -> std::string
    {
        const auto now = std::time(nullptr);
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

    auto writeFaults(httplib::Response& response, const std::vector<FieldFault>& faults) -> void
    {
        auto json = nlohmann::json { { "error", { { "type", "bad_request" }, { "verdict", "not_run" } } } };
        for (const auto& fault : faults)
            json["error"]["faults"].push_back({ { "path", fault.m_path }, { "message", fault.m_message } });
        response.status = httpStatus(FailureType::BadRequest);
        response.set_content(json.dump(), jsonType);
    }

} // namespace

struct OperatorServer::Implementation {
    Implementation(const NodeSettings& settings, Blackboard& blackboard, ReleaseLog& log)
        : m_settings(settings)
        , m_blackboard(blackboard)
        , m_log(log)
    {
    }

    auto listen() -> void;
    auto authenticated(const httplib::Request&) const -> const OperatorGrant*;
    auto applyNote(const httplib::Request&, httplib::Response&) -> void;
    auto answerStatus(const httplib::Request&, httplib::Response&) -> void;

    const NodeSettings& m_settings;
    Blackboard& m_blackboard;
    ReleaseLog& m_log;
    httplib::Server m_server;
    int m_port = 0;
    PosixThread m_thread;
};

auto OperatorServer::Implementation::listen() -> void
{
    m_server.new_task_queue = [] { return new httplib::ThreadPool(operatorThreads); };
    m_server.set_tcp_nodelay(true);
    m_server.set_payload_max_length(maxNoteBytes);
    m_server.set_read_timeout(readTimeout);
    m_server.Post("/v1/notes", [this](const auto& request, auto& response) { applyNote(request, response); });
    m_server.Get(
        "/v1/status", [this](const auto& request, auto& response) { answerStatus(request, response); });
    const auto& address = m_settings.m_operatorAddress;
    if (address.m_port == 0)
        m_port = m_server.bind_to_any_port(address.m_host);
    else
        m_port = m_server.bind_to_port(address.m_host, address.m_port) ? address.m_port : -1;
    if (m_port <= 0)
        throw std::runtime_error("can't listen on " + formatAddress(address));
    m_thread = PosixThread("operator-accept", [this] { m_server.listen_after_bind(); });
}

auto OperatorServer::Implementation::authenticated(const httplib::Request& request) const
    -> const OperatorGrant*
{
    const auto header = request.get_header_value("Authorization");
    if (!header.starts_with(bearerPrefix))
        return nullptr;
    const auto credential = std::string_view(header).substr(bearerPrefix.size());
    const auto stop = credential.find('.');
    if (stop == std::string_view::npos)
        return nullptr;
    for (const auto& grant : m_settings.m_operators) {
        const auto digest = saltedDigest(grant.m_salt, credential.substr(stop + 1));
        if (grant.m_name == credential.substr(0, stop)
            && equalInConstantTime(digest, grant.m_credentialDigest))
            return &grant;
    }
    return nullptr;
}

auto OperatorServer::Implementation::applyNote(const httplib::Request& request, httplib::Response& response)
    -> void
{
    const auto* grant = authenticated(request);
    if (!grant) {
        writeError(
            response, notRun(FailureType::Unauthorised, "the operator's credential is missing or wrong"));
        return;
    }
    auto parsed = parseReleaseNote(request.body);
    if (!parsed) {
        writeFaults(response, parsed.error().m_faults);
        return;
    }
    auto& note = parsed.value();
    note.m_author = grant->m_name;
    note.m_office = grant->m_office;
    note.m_acceptedAt = nowAsText();
    const auto revision = recordReleaseNote(m_blackboard, m_log, note);
    if (!revision) {
        writeError(response, revision.error());
        return;
    }
    logChange("note_recorded",
        { { "note_id", note.m_id.value() }, { "author", note.m_author }, { "office", note.m_office },
            { "revision", std::to_string(revision.value()) } });
    response.set_content(nlohmann::json { { "revision", revision.value() } }.dump(), jsonType);
}

auto OperatorServer::Implementation::answerStatus(
    const httplib::Request& request, httplib::Response& response) -> void
{
    if (!authenticated(request)) {
        writeError(
            response, notRun(FailureType::Unauthorised, "the operator's credential is missing or wrong"));
        return;
    }
    auto json = nlohmann::json { { "vm", m_settings.m_vm.value() }, { "members", nlohmann::json::array() } };
    json["revision"] = m_blackboard.m_configuration.read([](const auto& value) { return value.m_revision; });
    for (const auto& [vm, member] : m_blackboard.m_membership.copy().m_members)
        json["members"].push_back({
            { "vm", vm.value() },
            { "data_centre", member.m_dataCentre.value() },
            { "state", nameOf(memberStateNames, member.m_state) },
            { "revision", member.m_revision },
        });
    response.set_content(json.dump(), jsonType);
}

OperatorServer::OperatorServer(const NodeSettings& settings, Blackboard& blackboard, ReleaseLog& log)
    : m_implementation(std::make_unique<Implementation>(settings, blackboard, log))
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
