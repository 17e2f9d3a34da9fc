#include "platform/fake_store.h"

#include "relay/listener.h"
#include "relay/simple_http_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>

namespace marigoldladder::platform {

using namespace relay;
namespace http = boost::beast::http;

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(5);

    // Whether a target is a path and a query as RFC 3986 has them.
    auto isWellFormed(std::string_view target) -> bool
    {
        const auto isHex = [&](std::size_t at) {
            return at < target.size() && std::isxdigit(static_cast<unsigned char>(target[at])) != 0;
        };
        constexpr auto marks = std::string_view("-._~:/?@!$&'()*+,;=%");
        for (auto at = std::size_t { 0 }; at < target.size(); ++at) {
            const auto character = target[at];
            if (std::isalnum(static_cast<unsigned char>(character)) == 0
                && marks.find(character) == std::string_view::npos)
                return false;
            if (character == '%' && !(isHex(at + 1) && isHex(at + 2)))
                return false;
        }
        return target.starts_with('/');
    }

    // Decodes what is percent-encoded in a part of a well-formed target.
    auto decoded(std::string_view text) -> std::string
    {
        constexpr auto hexadecimal = 16;
        auto bytes = std::string();
        for (auto at = std::size_t { 0 }; at < text.size(); ++at) {
            if (text[at] != '%') {
                bytes += text[at];
                continue;
            }
            bytes += static_cast<char>(std::stoi(std::string(text.substr(at + 1, 2)), nullptr, hexadecimal));
            at += 2;
        }
        return bytes;
    }

    // The same in a query, where a plus sign is a blank.
    auto formDecoded(std::string text) -> std::string
    {
        std::replace(text.begin(), text.end(), '+', ' ');
        return decoded(text);
    }

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
            return { decoded(target), "" };
        return { decoded(target.substr(0, slash)), decoded(target.substr(slash + 1)) };
    }

    // Returns a name as JSON text; bytes that aren't UTF-8 stand in it as they are.
    auto nameAsJson(const std::string& name) -> std::string
    {
        auto text = std::string("\"");
        for (const auto character : name) {
            if (static_cast<unsigned char>(character) >= 0x80) {
                text += character;
                continue;
            }
            const auto quoted = nlohmann::json(std::string(1, character)).dump();
            text += quoted.substr(1, quoted.size() - 2);
        }
        return text + '"';
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
    m_state.m_objects[kind][name] = Object { ++m_state.m_revision, std::move(spec), "" };
    m_state.m_changes.push_back({ m_state.m_revision, kind, name, false });
}

auto FakeStore::putNamed(
    const std::string& kind, const std::string& name, std::string nameText, std::string spec) -> void
{
    putText(kind, name, std::move(spec));
    m_state.m_objects[kind][name].m_nameText = std::move(nameText);
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
        const auto isMalformed = error.category() == make_error_code(http::error::end_of_stream).category()
            && error != http::error::end_of_stream && error != http::error::partial_message;
        if (error && !isMalformed)
            co_return;
        ++m_calls;
        auto response = Response(http::status::bad_request, 11);
        if (isMalformed)
            response.keep_alive(false);
        else
            response = co_await answer(request);
        while (m_unresponsive)
            co_await sleepFor(pollInterval);
        response.prepare_payload();
        co_await http::async_write(stream, response, errorTo(error));
        if (error || isMalformed)
            co_return;
    }
}

auto FakeStore::describe(const std::string& name, const Object& object) const -> std::string
{
    const auto nameText = object.m_nameText.empty() ? nameAsJson(name) : object.m_nameText;
    return R"({"metadata":{"name":)" + nameText + R"(,"revision":)" + std::to_string(object.m_revision)
        + R"(},"spec":)" + object.m_spec + R"(,"status":null})";
}

auto FakeStore::list(const std::string& kind, const std::string& after) const -> std::string
{
    auto items = std::string();
    auto hasMore = false;
    if (const auto found = m_state.m_objects.find(kind); found != m_state.m_objects.end()) {
        const auto& objects = found->second;
        auto listed = std::size_t { 0 };
        auto at = after.empty() ? objects.begin() : objects.upper_bound(after);
        for (; at != objects.end() && listed < m_pageSize; ++at, ++listed)
            items += (items.empty() ? "" : ",") + describe(at->first, at->second);
        hasMore = at != objects.end();
    }
    return R"({"items":[)" + items + R"(],"more_pages":)" + (hasMore ? "true" : "false") + R"(,"as_of":)"
        + std::to_string(m_state.m_revision) + "}";
}

auto FakeStore::answerList(const Request& request, const std::string& kind, Response& response) -> void
{
    ++m_listCalls;
    m_publishedRevisions[kind] = m_state.m_revision;
    const auto after = formDecoded(queryParameter(std::string(request.target()), "after"));
    const auto known = m_readAfter ? m_readAfter(after) : after;
    if (known)
        response.body() = list(kind, *known);
    else
        response.result(http::status::bad_request);
}

auto FakeStore::changesAfter(const std::string& kind, std::uint64_t revision) const -> std::string
{
    auto events = std::string();
    for (const auto& change : m_state.m_changes) {
        if (change.m_kind != kind || change.m_revision <= revision)
            continue;
        const auto& objects = m_state.m_objects.at(kind);
        const auto found = objects.find(change.m_name);
        const auto object = found == objects.end() ? Object { change.m_revision, "null", "" } : found->second;
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
    if (!isWellFormed(target)) {
        response.result(http::status::bad_request);
        co_return response;
    }
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
        answerList(request, kind, response);
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
