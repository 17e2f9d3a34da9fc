#include "relay/route_history.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    const auto first = PoolName("first");
    const auto second = PoolName("second");
    const auto third = PoolName("third");

    auto streamRoute(const std::string& prefix, const RoutePools& pools) -> Route
    {
        auto route = Route();
        route.m_host = "h";
        route.m_pathPrefix = prefix;
        route.m_kind = CallKind::Stream;
        route.m_resumable = true;
        for (const auto& pool : pools)
            route.m_pools.push_back({ pool });
        return route;
    }

    auto configured(std::vector<Route> routes) -> std::shared_ptr<const RoutingConfiguration>
    {
        auto configuration = RoutingConfiguration();
        configuration.m_routesByHost["h"] = std::move(routes);
        sortRoutes(configuration);
        return std::make_shared<const RoutingConfiguration>(std::move(configuration));
    }

    TEST(RouteHistoryTest, HasTheRoutesWhoseStreamsMayBeTakenUp)
    {
        auto history = RouteHistory();
        auto once = streamRoute("/once/", { second });
        once.m_resumable = false;
        recordRoutes(history, configured({ streamRoute("/a/", { first, third }), once }), at(0));
        EXPECT_EQ(history.m_current, (std::set<RoutePools> { { first, third } }));
    }

    // Streams went on in the pool that their route led to since.
    TEST(RouteHistoryTest, AStreamMayHaveBegunInTheFormerPoolOfItsRoute)
    {
        auto history = RouteHistory();
        recordRoutes(history, configured({ streamRoute("/a/", { first }) }), at(0));
        recordRoutes(history, configured({ streamRoute("/a/", { second }) }), at(10));
        EXPECT_EQ(withFormerPools(history, { second }, at(39)), (RoutePools { first, second }));
        EXPECT_EQ(withFormerPools(history, { second }, at(40)), (RoutePools { second }));
        EXPECT_EQ(withFormerPools(history, { third }, at(39)), (RoutePools { third }));
    }

    TEST(RouteHistoryTest, AStreamMayHaveBegunBeforeTwoChanges)
    {
        auto history = RouteHistory();
        for (const auto& [pool, time] : { std::pair(first, 0), std::pair(second, 10), std::pair(third, 20) })
            recordRoutes(history, configured({ streamRoute("/a/", { pool }) }), at(time));
        EXPECT_EQ(withFormerPools(history, { third }, at(30)), (RoutePools { first, second, third }));
    }

    TEST(RouteHistoryTest, AStreamMayHaveBegunOnARouteThatWasSplit)
    {
        auto history = RouteHistory();
        recordRoutes(history, configured({ streamRoute("/a/", { first }) }), at(0));
        recordRoutes(
            history, configured({ streamRoute("/a/", { first }), streamRoute("/a/b/", { second }) }), at(10));
        EXPECT_EQ(withFormerPools(history, { second }, at(11)), (RoutePools { first, second }));
        EXPECT_EQ(withFormerPools(history, { first }, at(11)), (RoutePools { first }));
    }

    TEST(RouteHistoryTest, AStreamMayHaveBegunOnARouteThatWasRemoved)
    {
        auto history = RouteHistory();
        recordRoutes(
            history, configured({ streamRoute("/a/", { first }), streamRoute("/a/b/", { second }) }), at(0));
        recordRoutes(history, configured({ streamRoute("/a/", { first }) }), at(10));
        EXPECT_EQ(withFormerPools(history, { first }, at(11)), (RoutePools { first, second }));
    }

    TEST(RouteHistoryTest, NothingIsFormerAtTheFirstConfiguration)
    {
        auto history = RouteHistory();
        recordRoutes(history, nullptr, at(0));
        recordRoutes(history, configured({ streamRoute("/a/", { first }) }), at(0));
        EXPECT_TRUE(history.m_changes.empty());
    }

} // namespace
} // namespace marigoldladder::relay
