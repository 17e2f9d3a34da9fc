// Objects under names of any characters.
#include "objects/platform_client.h"

#include "harness/child_process.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    TEST(PlatformClientTest, FindsAndRemovesAnObjectOfAnyName)
    {
        const auto process = harness::ChildProcess("fakes/fake-platform", {});
        const auto address = parseAddress(process.ready().value("address", "")).value_or(Address());
        auto metrics = Metrics();
        auto platform = PlatformClient(address, metrics);
        for (const auto* name : { "a b", "a#b", "a?b", "a%b", "a%41", "a&b", "a+b", "a\"b", "a\r\nb: c" }) {
            ASSERT_TRUE(platform.create("vms", name, { { "role", "x" } })) << name;
            const auto found = platform.get("vms", name);
            ASSERT_TRUE(found && found.value()) << name;
            EXPECT_EQ(found.value()->m_name, name);
            EXPECT_TRUE(platform.update("vms", *found.value())) << name;
            EXPECT_TRUE(platform.remove("vms", name)) << name;
        }
        const auto left = platform.list("vms");
        ASSERT_TRUE(left);
        EXPECT_TRUE(left.value().m_objects.empty());
    }

} // namespace
} // namespace marigoldladder
