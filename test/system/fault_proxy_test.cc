// The path through fault proxies: what the harness promises to the tests of failures.
#include "harness/deployment.h"

#include <gtest/gtest.h>

namespace marigoldladder::harness {
namespace {

    TEST(FaultProxyTest, LetsRequestsThroughAndRefusesThemOnOrder)
    {
        auto plan = smallPlan();
        plan.m_proxyPlatform = true;
        plan.m_proxyPeers = true;
        plan.m_proxyUpstreams = true;
        auto deployment = Deployment(plan);
        ASSERT_TRUE(deployment.waitUntilServing()) << "expected every node to serve within its start time";
        ASSERT_EQ(deployment.applyNote(0, basicNote(1))->status, 200);
        auto caller = makeCaller(deployment.node(0).m_caller, basicKey);
        const auto ask = [&] {
            return caller
                .Post("/v1/completions", completionBody("adapter-0@1", 2, false), "application/json")
                ->status;
        };
        EXPECT_TRUE(waitUntil(std::chrono::seconds(4), [&] { return ask() == 200; })) << "expected an answer";
        deployment.upstreamProxy("triage-1").setMode("refuse");
        deployment.upstreamProxy("triage-2").setMode("refuse");
        EXPECT_NE(ask(), 200) << "expected no answer while the upstreams refuse connections";
    }

} // namespace
} // namespace marigoldladder::harness
