// Objects that one node fetches from another.
#include "relay/cache_exchange.h"

#include "relay/generated/peer_messages_generated.h"
#include "relay/peer_server.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto hostNumber = 203;
    constexpr auto firstState = StoreRevision { 1, 0 };

    auto largeConfiguration() -> StoredObject
    {
        auto object = StoredObject();
        object.m_name = "main";
        object.m_revision = { 1, 7 };
        object.m_content = { { "version", 3 } };
        for (auto number = 0; number < 2'000; ++number) {
            const auto name = "route-" + std::to_string(number);
            object.m_content["routes"].push_back({ { "name", name }, { "host", name + ".example" } });
        }
        return object;
    }

    class CacheExchangeTest : public testing::Test {
    protected:
        CacheExchangeTest()
        {
            auto& cache = m_objects[ObjectKind::Configuration];
            const auto object = largeConfiguration();
            cache.m_objects[object.m_name] = object;
            cache.m_revision = { 1, 9 };
        }

        auto address() const -> Address { return { loopbackHost(hostNumber), m_port }; }

        auto listen() -> void
        {
            while (!m_server.listen(address()))
                ++m_port; // Another test process of the same number may have it.
        }

        // Returns what `exchange` fetches, and runs the loop until then.
        auto fetch() -> std::optional<CacheChanges>
        {
            auto changes = std::optional<CacheChanges>();
            net::co_spawn(
                m_context,
                [&]() -> Awaitable<void> {
                    changes = co_await m_exchange.fetch(address(), ObjectKind::Configuration, firstState);
                    m_context.stop();
                },
                net::detached);
            m_context.run();
            m_context.restart();
            return changes;
        }

        // Serves one answer that arrives piece by piece, with a pause after each.
        auto servePieces(std::string answer, std::size_t pieces, std::chrono::milliseconds pause) -> void
        {
            const auto endpoint = net::ip::tcp::endpoint(net::ip::make_address(loopbackHost(hostNumber)), 0);
            m_acceptor.emplace(m_context, endpoint);
            m_port = m_acceptor->local_endpoint().port();
            auto serve = [this, answer = std::move(answer), pieces, pause](net::ip::tcp::socket socket) {
                net::co_spawn(m_context, sendPieces(std::move(socket), answer, pieces, pause), net::detached);
            };
            net::co_spawn(m_context, acceptConnections(*m_acceptor, std::move(serve)), net::detached);
        }

        static auto sendPieces(net::ip::tcp::socket socket, std::string answer, std::size_t pieces,
            std::chrono::milliseconds pause) -> Awaitable<void>
        {
            auto stream = tcp_stream(std::move(socket));
            auto error = ErrorCode();
            const auto length = answer.size() / pieces + 1;
            for (auto at = std::size_t { 0 }; at < answer.size() && !error; at += length) {
                const auto piece = answer.substr(at, length);
                co_await net::async_write(stream, net::buffer(piece), errorTo(error));
                co_await sleepFor(pause);
            }
        }

        net::io_context m_context { 1 };
        ObjectCache m_objects;
        Metrics m_metrics;
        CacheExchange m_exchange { m_context.get_executor(), capacityOf(RelaySettings()), m_objects };
        PeerServer m_server { m_context.get_executor(), capacityOf(RelaySettings()), m_metrics,
            [this](std::shared_ptr<tcp_stream> stream, std::string message) {
                return m_exchange.serve(std::move(stream), std::move(message));
            },
            {} };
        std::optional<net::ip::tcp::acceptor> m_acceptor;
        int m_port = 7'100;
    };

    // An answer without objects, with padding, so that its length is that of a large one.
    auto longAnswer() -> std::string
    {
        auto answer = messages::ChangesAnswerT();
        answer.revision = 9;
        auto object = std::make_unique<messages::ChangedObjectT>();
        object->name = std::string(200'000, 'n');
        object->removed = true;
        answer.objects.push_back(std::move(object));
        auto builder = flatbuffers::FlatBufferBuilder();
        builder.Finish(messages::ChangesAnswer::Pack(builder, &answer));
        const auto length = static_cast<std::uint32_t>(builder.GetSize());
        auto bytes = std::string();
        for (auto shift = 0U; shift < 32U; shift += 8U)
            bytes.push_back(static_cast<char>(length >> shift));
        return bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), length);
    }

    TEST_F(CacheExchangeTest, AConfigurationArrivesAsItIs)
    {
        listen();
        for (auto time = 0; time < 2; ++time) {
            const auto changes = fetch();
            ASSERT_TRUE(changes);
            ASSERT_EQ(changes->m_changes.size(), 1U);
            EXPECT_EQ(changes->m_changes[0].m_object.m_content, largeConfiguration().m_content);
            EXPECT_EQ(changes->m_revision, (StoreRevision { 1, 9 }));
        }
    }

    TEST_F(CacheExchangeTest, AnotherConfigurationIsNotAnsweredByTheEarlierOne)
    {
        listen();
        ASSERT_TRUE(fetch());
        auto& object = m_objects[ObjectKind::Configuration].m_objects.at("main");
        object.m_content = { { "version", 4 } };
        object.m_revision = { 1, 8 };
        const auto changes = fetch();
        ASSERT_TRUE(changes);
        EXPECT_EQ(changes->m_changes[0].m_object.m_content, nlohmann::json({ { "version", 4 } }));
    }

    // Review 5: what had not arrived whole within a second was dropped, and asked for again from its
    // beginning.
    TEST_F(CacheExchangeTest, AnAnswerThatTakesLongerThanASecondIsReceivedWhole)
    {
        servePieces(longAnswer(), 5, std::chrono::milliseconds(400));
        const auto changes = fetch();
        ASSERT_TRUE(changes);
        EXPECT_EQ(changes->m_changes.size(), 1U);
    }

    TEST_F(CacheExchangeTest, APeerThatFallsSilentIsGivenUp)
    {
        servePieces(longAnswer(), 2, std::chrono::seconds(3));
        const auto begun = std::chrono::steady_clock::now();
        EXPECT_FALSE(fetch());
        EXPECT_LT(std::chrono::steady_clock::now(), begun + std::chrono::seconds(2));
    }

    // Each piece came in time, so that the answer took as long as the peer liked.
    TEST_F(CacheExchangeTest, APeerThatAnswersPieceByPieceWithoutEndIsGivenUp)
    {
        servePieces(longAnswer(), 1'000, std::chrono::milliseconds(100));
        const auto begun = std::chrono::steady_clock::now();
        EXPECT_FALSE(fetch());
        EXPECT_LT(std::chrono::steady_clock::now(), begun + std::chrono::seconds(7));
    }

    // The same on the side that serves.
    TEST_F(CacheExchangeTest, ACallThatArrivesPieceByPieceWithoutEndIsGivenUp)
    {
        listen();
        auto ended = false;
        auto sendPieceByPiece = [&]() -> Awaitable<void> {
            auto socket = net::ip::tcp::socket(m_context);
            co_await socket.async_connect(*endpointOf(address()), net::use_awaitable);
            auto error = ErrorCode();
            constexpr auto lengthOfCall = std::string_view("\x80\0\0\0", 4);
            co_await net::async_write(socket, net::buffer(lengthOfCall), errorTo(error));
            while (!error) {
                co_await sleepFor(std::chrono::milliseconds(200));
                co_await net::async_write(socket, net::buffer("x", 1), errorTo(error));
            }
            ended = true;
        };
        net::co_spawn(m_context, sendPieceByPiece(), net::detached);
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(3);
        while (!ended && std::chrono::steady_clock::now() < until)
            m_context.run_one_for(std::chrono::milliseconds(50));
        EXPECT_TRUE(ended);
    }

} // namespace
} // namespace marigoldladder::relay
