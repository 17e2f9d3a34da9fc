// Orders around a change of the order lease, from the decision to the engine.
#include "relay/order_controller.h"

#include "platform/engine_client.h"
#include "platform/fake_upstream.h"
#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>
#include <stdexcept>

namespace marigoldladder::platform {
namespace {

    using namespace relay;
    using Clock = std::chrono::steady_clock;

    constexpr auto leaseTime = Milliseconds(500);
    const auto self = VmName("node-1");
    const auto other = VmName("node-2");

    auto reportReply() -> UpstreamReply
    {
        const auto body
            = std::string(R"({"models":[{"name":"model","version":1,"adapters":[]}],"sequence":0})");
        auto reply = UpstreamReply { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body };
        reply.m_closes = true;
        return reply;
    }

    // A node that may order the load of an adapter that a request waits for, at one engine.
    struct Node {
        Node()
            : m_engine(m_context, [this](const UpstreamRequest& request) { return answer(request); })
            , m_engineCalls(makeEngineCalls(m_context.get_executor()))
            , m_socket(m_context.get_executor())
            , m_peers(m_context.get_executor(), m_settings, m_board, m_store, m_socket, Incarnation { 77 })
            , m_orders(m_context.get_executor(), m_settings, m_board, m_store, m_countedCalls, m_peers)
            , m_waiting(m_board.m_adapterRates, "model/a1", &AdapterRate::m_waiting)
        {
            m_settings.m_vm = self;
            m_settings.m_bounds.m_leaseTime = leaseTime;
            m_board.m_configuration
                = std::make_shared<const RoutingConfiguration>(configurationWith(enginePool()));
            auto record = engineRecord("engine");
            record.m_address = m_engine.address();
            applyUpstreamRecord(m_board.m_upstreams, record, Clock::now());
            m_countedCalls = m_engineCalls;
            m_countedCalls.m_order = [this](auto&&... arguments) {
                if (++m_ordersBegun <= m_failingOrders)
                    throw std::runtime_error("broken");
                return m_engineCalls.m_order(std::forward<decltype(arguments)>(arguments)...);
            };
            m_store.m_get = [this](const std::string& kind, const std::string&) { return read(kind); };
            m_store.m_create = [this](std::string kind, StoredObject object) {
                return write(std::move(kind), std::move(object));
            };
            m_store.m_replace = m_store.m_create;
            m_store.m_list = [](const std::string&, ListingAge) { return listNothing(); };
            m_peers.start([] { return true; });
        }

        auto answer(const UpstreamRequest& request) const -> UpstreamReply
        {
            if (request.target() == "/report")
                return m_report;
            return { "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n" };
        }

        static auto listNothing() -> Awaitable<StoreResult<ObjectListing>> { co_return ObjectListing(); }

        auto read(std::string kind) -> Awaitable<StoreResult<StoredObject>>
        {
            if (kind != "leases" || !m_lease)
                co_return StoreFailure { StoreFailureType::Conflict, "missing" };
            co_return *m_lease;
        }

        auto write(std::string kind, StoredObject object) -> Awaitable<StoreResult<StoredObject>>
        {
            if (kind != "leases")
                co_return object; // The node's entry.
            ++m_leaseWrites;
            co_await sleepFor(m_storeDelay);
            object.m_revision = { firstEra, object.m_revision.m_revision + 1 };
            m_lease = object;
            co_return object;
        }

        net::io_context m_context { 1 };
        RelaySettings m_settings;
        RelayBoard m_board;
        FakeUpstream m_engine;
        EngineCalls m_engineCalls;
        EngineCalls m_countedCalls;
        ObjectStore m_store;
        std::optional<StoredObject> m_lease;
        Milliseconds m_storeDelay { 0 };
        int m_leaseWrites = 0;
        int m_ordersBegun = 0;
        int m_failingOrders = 0;
        UpstreamReply m_report = reportReply();
        PeerSocket m_socket;
        PeerExchange m_peers;
        OrderController m_orders;
        AdapterUse m_waiting;
    };

    class OrderControllerTest : public testing::Test {
    protected:
        OrderControllerTest()
            : m_node(*new Node()) // NOLINT(cppcoreguidelines-owning-memory): see the member.
        {
        }

        // Runs the event loop, one handler at a time, until the function returns true or the time is over.
        auto runUntil(const std::function<bool()>& holds, Milliseconds time = Milliseconds(8'000)) -> bool
        {
            constexpr auto stepTime = Milliseconds(10);
            const auto until = Clock::now() + time;
            while (!holds()) {
                if (Clock::now() >= until)
                    return false;
                (void)m_node.m_context.run_one_for(stepTime);
            }
            return true;
        }

        auto callsReceived(const char* target) -> std::ptrdiff_t
        {
            const auto& requests = m_node.m_engine.requests();
            return std::count_if(requests.begin(), requests.end(),
                [&](const UpstreamRequest& request) { return request.target() == target; });
        }

        auto ordersReceived() -> std::ptrdiff_t { return callsReceived("/order"); }

        Node& m_node; // Never destroyed, as suspended coroutines may refer to its members.
    };

    TEST_F(OrderControllerTest, AnOrderIsNotWrittenIfAnotherNodeTakesTheLeaseOverDuringTheConnect)
    {
        m_node.m_orders.start([] { return true; });
        ASSERT_TRUE(runUntil([&] { return m_node.m_ordersBegun == 1; }));
        m_node.m_board.m_fleet.m_holder
            = KnownHolder { other, m_node.m_board.m_orders.m_fence + 1, Clock::now() };
        (void)runUntil([&] { return ordersReceived() > 0; }, Milliseconds(300));
        EXPECT_EQ(ordersReceived(), 0);
    }

    TEST_F(OrderControllerTest, ANodeSendsNoOrderWithinALeaseTimeOfTheHolderBefore)
    {
        m_node.m_lease = StoredObject { "engine-orders", { firstEra, 5 }, false,
            { { "vm", other.value() }, { "fence", 4 }, { "renewals", 9 } } };
        m_node.m_board.m_fleet.m_holder = KnownHolder { other, 4, Clock::now() };
        m_node.m_storeDelay = Milliseconds(200);
        m_node.m_orders.start([] { return true; });
        ASSERT_TRUE(runUntil([&] { return m_node.m_leaseWrites == 1; }));
        // The holder is heard of again while the store takes the lease's change.
        m_node.m_board.m_fleet.m_holder.m_lastReportedAt = Clock::now();
        const auto lastHeardAt = Clock::now();
        ASSERT_TRUE(runUntil([&] { return ordersReceived() > 0; }));
        EXPECT_GE(Clock::now() - lastHeardAt, leaseTime);
    }

    // Issue 44: the order before counted as being sent for ever.
    TEST_F(OrderControllerTest, AnEngineGetsTheOrderAfterOneWhoseCallThrew)
    {
        const auto waiting = AdapterUse(m_node.m_board.m_adapterRates, "model/a2", &AdapterRate::m_waiting);
        m_node.m_failingOrders = 1;
        m_node.m_orders.start([] { return true; });
        EXPECT_TRUE(runUntil([&] { return ordersReceived() > 0; }));
        EXPECT_EQ(m_node.m_board.m_metrics.value(Counter::InternalFailures), 1U);
    }

    // Review 6: an engine that answers without end was asked again and again meanwhile, and all its answers
    // were kept.
    TEST_F(OrderControllerTest, AnEngineThatDoesNotAnswerIsAskedForOneReportAtATime)
    {
        constexpr auto callTime = Milliseconds(500);
        m_node.m_report = {};
        m_node.m_orders.start([] { return true; });
        ASSERT_TRUE(runUntil([&] { return callsReceived("/report") > 0; }));
        (void)runUntil([] { return false; }, callTime * 3);
        EXPECT_LE(callsReceived("/report"), 4);
        EXPECT_GE(callsReceived("/report"), 2) << "expected it to be asked again after each call's time";
    }

    TEST_F(OrderControllerTest, AReportWithoutEndIsGivenUp)
    {
        m_node.m_report = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" };
        m_node.m_report.m_endless = "3e80\r\n" + std::string(16'000, 'x') + "\r\n";
        m_node.m_orders.start([] { return true; });
        ASSERT_TRUE(runUntil([&] { return callsReceived("/report") > 0; }));
        const auto asked = callsReceived("/report");
        EXPECT_TRUE(runUntil([&] { return callsReceived("/report") > asked; }, Milliseconds(1'000)));
    }

} // namespace
} // namespace marigoldladder::platform
