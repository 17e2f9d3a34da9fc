#include "platform/fake_store.h"

#include "relay/listener.h"
#include "relay/simple_http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace marigoldladder::platform {

using namespace relay;
namespace http = boost::beast::http;

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(5);

    // Splits `/objects/KIND/NAME?query` into kind and name.
    auto splitTarget(std::string target) -> std::pair<std::string, std::string>
    {
        constexpr auto prefix = std::string_view("/objects/");
        target = target.substr(0, target.find('?'));
        if (!target.starts_with(prefix))
            return {};
        target.erase(0, prefix.size());
        const auto slash = target.find('/');
        if (slash == std::string::npos)
            return { target, "" };
        return { target.substr(0, slash), target.substr(slash + 1) };
    }

} // namespace

FakeStore::FakeStore(boost::asio::io_context& context)
    : m_context(context)
    , m_acceptor(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
{
    auto serveConnection = [this](boost::asio::ip::tcp::socket socket) {
        net::co_spawn(m_context, serve(std::move(socket)), net::detached);
    };
    net::co_spawn(m_context, acceptConnections(m_acceptor, std::move(serveConnection)), net::detached);
}

auto FakeStore::address() const -> Address
{
    return Address { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

auto FakeStore::put(const std::string& kind, const std::string& name, const nlohmann::json& spec) -> void
{
    putText(kind, name, spec.dump());
}

auto FakeStore::putText(const std::string& kind, const std::string& name, std::string spec) -> void
{
    m_state.m_objects[kind][name] = Object { ++m_state.m_revision, std::move(spec) };
    m_state.m_changes.push_back({ m_state.m_revision, kind, name, false });
}

auto FakeStore::remove(const std::string& kind, const std::string& name) -> void
{
    m_state.m_objects[kind].erase(name);
    m_state.m_changes.push_back({ ++m_state.m_revision, kind, name, true });
}

auto FakeStore::keepCopy() -> void
{
    m_copy = m_state;
}

auto FakeStore::restoreCopy() -> void
{
    m_state = m_copy;
    ++m_era;
    m_publishedRevisions.clear();
    m_oldestRevision = std::min(m_oldestRevision, m_state.m_revision);
}

auto FakeStore::serve(boost::asio::ip::tcp::socket socket) -> Awaitable<void>
{
    auto stream = tcp_stream(std::move(socket));
    auto buffer = beast::flat_buffer();
    for (;;) {
        auto error = ErrorCode();
        auto request = Request();
        co_await http::async_read(stream, buffer, request, errorTo(error));
        if (error)
            co_return;
        ++m_calls;
        auto response = co_await answer(request);
        while (m_unresponsive)
            co_await sleepFor(pollInterval);
        response.prepare_payload();
        co_await http::async_write(stream, response, errorTo(error));
        if (error)
            co_return;
    }
}

auto FakeStore::describe(const std::string& name, const Object& object) const -> std::string
{
    const auto metadata = nlohmann::json { { "name", name }, { "revision", object.m_revision } };
    return R"({"metadata":)" + metadata.dump() + R"(,"spec":)" + object.m_spec + R"(,"status":null})";
}

auto FakeStore::list(const std::string& kind) const -> std::string
{
    auto items = std::string();
    if (const auto found = m_state.m_objects.find(kind); found != m_state.m_objects.end()) {
        for (const auto& [name, object] : found->second)
            items += (items.empty() ? "" : ",") + describe(name, object);
    }
    return R"({"items":[)" + items + R"(],"more_pages":false,"as_of":)" + std::to_string(m_state.m_revision)
        + "}";
}

auto FakeStore::changesAfter(const std::string& kind, std::uint64_t revision) const -> std::string
{
    auto events = std::string();
    for (const auto& change : m_state.m_changes) {
        if (change.m_kind != kind || change.m_revision <= revision)
            continue;
        const auto& objects = m_state.m_objects.at(kind);
        const auto found = objects.find(change.m_name);
        const auto object = found == objects.end() ? Object { change.m_revision, "null" } : found->second;
        events += (events.empty() ? "" : ",") + std::string(R"({"deleted":)")
            + (change.m_removed ? "true" : "false") + R"(,"object":)" + describe(change.m_name, object) + "}";
    }
    return events;
}

auto FakeStore::write(
    const Request& request, const std::string& kind, const std::string& name, Response& response) -> void
{
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    const auto ownName = body["metadata"].value("name", name);
    const auto expected = body["metadata"].value("revision", std::uint64_t { 0 });
    auto& objects = m_state.m_objects[kind];
    const auto found = objects.find(ownName);
    const auto creates = request.method() == http::verb::post;
    const auto conflict = creates
        ? found != objects.end()
        : found == objects.end() || (expected != 0 && expected != found->second.m_revision);
    if (conflict) {
        response.result(http::status::conflict);
        return;
    }
    put(kind, ownName, body["spec"]);
    response.body() = describe(ownName, objects[ownName]);
}

auto FakeStore::answer(const Request& request) -> Awaitable<Response>
{
    auto response = co_await answerWithinEra(request);
    response.set("Store-Era", std::to_string(m_era));
    co_return response;
}

auto FakeStore::answerWithinEra(const Request& request) -> Awaitable<Response>
{
    auto response = Response();
    response.version(11);
    response.result(http::status::ok);
    const auto target = std::string(request.target());
    const auto [kind, name] = splitTarget(target);
    if (m_refuses) {
        response.result(http::status::service_unavailable);
        co_return response;
    }
    if (request.method() != http::verb::get) {
        write(request, kind, name, response);
        co_return response;
    }
    const auto watch = queryParameter(target, "watch");
    if (!name.empty()) {
        if (m_state.m_objects[kind].contains(name))
            response.body() = describe(name, m_state.m_objects[kind][name]);
        else
            response.result(http::status::not_found);
        co_return response;
    }
    if (watch.empty()) {
        m_publishedRevisions[kind] = m_state.m_revision;
        response.body() = list(kind);
        co_return response;
    }
    const auto revision = std::stoull(watch);
    const auto until = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(std::stoll("0" + queryParameter(target, "wait_ms")));
    const auto era = m_era;
    const auto isGone
        = [&] { return revision < m_oldestRevision || revision > m_state.m_revision || m_era != era; };
    auto events = changesAfter(kind, revision);
    while (events.empty() && !m_refuses && std::chrono::steady_clock::now() < until) {
        if (isGone())
            break;
        co_await sleepFor(pollInterval);
        events = changesAfter(kind, revision);
    }
    if (isGone() || m_refuses) {
        response.result(m_refuses ? http::status::service_unavailable : http::status::gone);
        co_return response;
    }
    m_publishedRevisions[kind] = m_state.m_revision;
    response.body() = R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(m_state.m_revision) + "}";
    co_return response;
}

} // namespace marigoldladder::platform
