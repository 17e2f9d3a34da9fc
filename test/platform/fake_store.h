// A fake of the platform's metadata store: objects by kind, revisions, eras, conditional writes, listings in
// pages and watches.
//
// It serves HTTP on loopback from the given event loop, and can simulate failures. Names in paths and queries
// are percent-encoded; in a query a plus sign is a blank, as in forms. A malformed target is answered 400.
#pragma once

#include "relay/tcp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
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
    // The same with any text, such as a number, where the store states the name.
    auto putNamed(const std::string& kind, const std::string& name, std::string nameText, std::string spec)
        -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;

    // From now on a page of a listing has this many objects at most.
    auto setPageSize(std::size_t objects) -> void { m_pageSize = objects; }

    // From now on a listing continues after what this function makes of the name in the query; where it
    // returns nothing, the call is answered 400.
    auto readAfterBy(std::function<std::optional<std::string>(const std::string&)> read) -> void
    {
        m_readAfter = std::move(read);
    }

    // Returns the listing calls that the store has received so far, one for each page.
    auto listCalls() const -> int { return m_listCalls; }

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
        std::string m_nameText; // What the store states as the name; empty: the name itself.
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
    auto list(const std::string& kind, const std::string& after) const -> std::string;
    auto changesAfter(const std::string& kind, std::uint64_t revision) const -> std::string;
    auto describe(const std::string& name, const Object&) const -> std::string;
    auto answerList(const Request&, const std::string& kind, Response&) -> void;
    auto write(const Request&, const std::string& kind, const std::string& name, Response&) -> void;

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    State m_state;
    State m_copy;
    std::uint64_t m_era = 1;
    std::map<std::string, std::uint64_t> m_publishedRevisions;
    std::uint64_t m_oldestRevision = 0;
    std::size_t m_pageSize = std::numeric_limits<std::size_t>::max();
    std::function<std::optional<std::string>(const std::string&)> m_readAfter;
    int m_calls = 0;
    int m_listCalls = 0;
    bool m_refuses = false;
    bool m_unresponsive = false;
};

} // namespace marigoldladder::platform
