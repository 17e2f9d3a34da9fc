#include "relay/cache_exchange.h"

#include "core/bounded_json.h"
#include "core/compression.h"
#include "relay/connection_deadline.h"
#include "relay/generated/peer_messages_generated.h"
#include "relay/message_frames.h"

#include <boost/asio/write.hpp>
#include <functional>

namespace marigoldladder::relay {

namespace {

    constexpr auto silenceTimeout = std::chrono::milliseconds(1'000); // Of the other side.
    // For a whole answer. Many nodes may fetch a large configuration over one narrow link.
    constexpr auto answerTimeout = std::chrono::milliseconds(5'000);
    // For a peer's whole answer, however it spreads its bytes.
    constexpr auto fetchTimeout = answerTimeout + silenceTimeout;

    auto setPlainContent(messages::ChangedObjectT& object, const StoredObject& source) -> void
    {
        object.content = source.m_content.dump();
    }

    auto encode(const CacheChanges& changes,
        const std::function<void(messages::ChangedObjectT&, const StoredObject&)>& setContent) -> std::string
    {
        auto answer = messages::ChangesAnswerT();
        answer.revision = changes.m_revision.m_revision;
        answer.era = static_cast<std::uint32_t>(changes.m_revision.m_era);
        answer.complete = changes.m_complete;
        for (const auto& change : changes.m_changes) {
            auto object = std::make_unique<messages::ChangedObjectT>();
            object->name = change.m_object.m_name;
            object->revision = change.m_object.m_revision.m_revision;
            object->era = static_cast<std::uint32_t>(change.m_object.m_revision.m_era);
            object->removed = change.m_removed;
            if (!change.m_removed)
                setContent(*object, change.m_object);
            answer.objects.push_back(std::move(object));
        }
        auto builder = flatbuffers::FlatBufferBuilder();
        builder.Finish(messages::ChangesAnswer::Pack(builder, &answer));
        return frameOf(builder);
    }

    // Returns the content, or nothing if it can't be read.
    auto readContent(const messages::ChangedObjectT& object) -> std::optional<nlohmann::json>
    {
        if (object.compressed.empty())
            return readBoundedJson(object.content);
        if (object.content_length > maxFrameBytes)
            return std::nullopt;
        const auto bytes = std::string_view(
            reinterpret_cast<const char*>(object.compressed.data()), object.compressed.size());
        const auto text = decompress(bytes, object.content_length);
        return text ? readBoundedJson(*text) : std::nullopt;
    }

    auto decode(const std::string& message) -> std::optional<CacheChanges>
    {
        const auto* table = parseFrame<messages::ChangesAnswer>(message);
        if (!table)
            return std::nullopt;
        auto answer = messages::ChangesAnswerT();
        table->UnPackTo(&answer);
        auto changes = CacheChanges();
        changes.m_revision = { answer.era, answer.revision };
        changes.m_complete = answer.complete;
        for (const auto& changed : answer.objects) {
            auto object = StoredObject();
            object.m_name = changed->name;
            object.m_revision = { changed->era, changed->revision };
            auto content = changed->removed ? std::nullopt : readContent(*changed);
            if (content)
                object.m_content = std::move(*content);
            changes.m_changes.push_back({ std::move(object), changed->removed });
        }
        return changes;
    }

} // namespace

CacheExchange::CacheExchange(Executor executor, const NodeCapacity& capacity, ObjectCache& cache)
    : m_executor(std::move(executor))
    , m_cache(cache)
    , m_budget { capacity.m_peerAnswerBytes }
{
}

auto CacheExchange::serve(std::shared_ptr<tcp_stream> stream, std::string message) -> Awaitable<void>
{
    const auto* request = parseFrame<messages::ChangesRequest>(message);
    if (!request || request->kind() >= objectKinds.size())
        co_return;
    const auto after = StoreRevision { request->after_era(), request->after() };
    const auto kind = objectKinds[request->kind()];
    const auto setCompressed = [this, kind](messages::ChangedObjectT& object, const StoredObject& source) {
        setContent(object, kind, source);
    };
    const auto answer = request->accepts_compressed()
        ? encode(changesSince(m_cache[kind], after), setCompressed)
        : encode(changesSince(m_cache[kind], after), setPlainContent);
    // One answer is sent however large it is.
    auto memory = MemoryShare(m_budget);
    if (!memory.tryResize(answer.size()) && m_budget.m_held > 0)
        co_return;
    auto error = ErrorCode();
    stream->expires_after(answerTimeout);
    co_await net::async_write(*stream, net::buffer(answer), errorTo(error));
}

// A configuration is asked for by many nodes at once, so its compressed form is kept until it changes.
auto CacheExchange::setContent(messages::ChangedObjectT& object, ObjectKind kind, const StoredObject& source)
    -> void
{
    if (kind != ObjectKind::Configuration) {
        setPlainContent(object, source);
        return;
    }
    auto& known = m_compressed[source.m_name];
    if (known.m_revision != source.m_revision) {
        const auto text = source.m_content.dump();
        known = { source.m_revision, text.size(), compress(text) };
    }
    object.compressed.assign(known.m_bytes.begin(), known.m_bytes.end());
    object.content_length = static_cast<std::uint32_t>(known.m_length);
    if (known.m_bytes.empty())
        setPlainContent(object, source);
}

auto CacheExchange::fetch(Address peer, ObjectKind kind, StoreRevision after)
    -> Awaitable<std::optional<CacheChanges>>
{
    auto stream = tcp_stream(m_executor);
    auto error = ErrorCode();
    co_await connectTo(stream, peer, silenceTimeout, error);
    if (error)
        co_return std::nullopt;
    const auto deadline = ConnectionDeadline(stream, std::chrono::steady_clock::now() + fetchTimeout);
    auto builder = flatbuffers::FlatBufferBuilder();
    builder.Finish(messages::CreateChangesRequest(builder, static_cast<std::uint8_t>(kind), after.m_revision,
        static_cast<std::uint32_t>(after.m_era), true));
    const auto request = frameOf(builder);
    co_await net::async_write(stream, net::buffer(request), errorTo(error));
    if (error)
        co_return std::nullopt;
    const auto message = co_await readFrame(stream, silenceTimeout, maxFrameBytes);
    if (message.empty())
        co_return std::nullopt;
    co_return decode(message);
}

} // namespace marigoldladder::relay
