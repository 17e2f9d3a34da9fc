// A fake of the platform's metadata store: objects by kind, revisions, eras, conditional writes and watches.
//
// It serves HTTP on loopback from the given event loop, and can simulate failures.
#pragma once

#include "relay/tcp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace marigoldladder::platform {

class FakeStore {
public:
    explicit FakeStore(boost::asio::io_context&);

    auto address() const -> Address;

    // Writes an object as an operator or a replica would.
    auto put(const std::string& kind, const std::string& name, const nlohmann::json& spec) -> void;
    // The same with any text as its content, as another writer may leave it.
    auto putText(const std::string& kind, const std::string& name, std::string spec) -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;

    // Discards the changes so far, so that watches from earlier revisions fail.
    auto discardHistory() -> void { m_oldestRevision = m_state.m_revision; }

    // Keeps a copy of the objects as they are now.
    auto keepCopy() -> void;
    // Returns to the copy kept last: objects, revisions and history are those of the copy, and the era rises.
    auto restoreCopy() -> void;

    // While set, every call is answered 503.
    auto refuseCalls(bool refuses) -> void { m_refuses = refuses; }

    // From now on no call is answered.
    auto stopAnswering() -> void { m_unresponsive = true; }

    auto calls() const -> int { return m_calls; }
    auto revision() const -> std::uint64_t { return m_state.m_revision; }

    // Returns the latest revision that a listing or a watch of this kind has returned.
    auto publishedRevision(const std::string& kind) -> std::uint64_t { return m_publishedRevisions[kind]; }

private:
    struct Object {
        std::uint64_t m_revision = 0;
        std::string m_spec; // As text.
    };
    struct Change {
        std::uint64_t m_revision = 0;
        std::string m_kind;
        std::string m_name;
        bool m_removed = false;
    };
    // What a copy of the store contains.
    struct State {
        std::map<std::string, std::map<std::string, Object>> m_objects;
        std::vector<Change> m_changes;
        std::uint64_t m_revision = 1;
    };
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    auto serve(boost::asio::ip::tcp::socket) -> relay::Awaitable<void>;
    auto answer(const Request&) -> relay::Awaitable<Response>;
    auto answerWithinEra(const Request&) -> relay::Awaitable<Response>;
    // Return JSON as text, as the contents of objects may be any text.
    auto list(const std::string& kind) const -> std::string;
    auto changesAfter(const std::string& kind, std::uint64_t revision) const -> std::string;
    auto describe(const std::string& name, const Object&) const -> std::string;
    auto write(const Request&, const std::string& kind, const std::string& name, Response&) -> void;

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    State m_state;
    State m_copy;
    std::uint64_t m_era = 1;
    std::map<std::string, std::uint64_t> m_publishedRevisions;
    std::uint64_t m_oldestRevision = 0;
    int m_calls = 0;
    bool m_refuses = false;
    bool m_unresponsive = false;
};

} // namespace marigoldladder::platform
