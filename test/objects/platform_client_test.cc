// Names of any characters, and objects that can't be read beside sound ones.
#include "objects/platform_client.h"

#include "harness/child_process.h"
#include "harness/one_answer_server.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    // What stands in a list or a change between two sound objects.
    auto oddObjects() -> std::vector<std::string>
    {
        return { "5", "null", "{}", R"({"metadata":7})", R"({"metadata":{"name":"b"}})",
            R"({"metadata":{"name":"b","resourceVersion":"x"}})",
            R"({"metadata":{"name":"b","resourceVersion":2}})",
            R"({"metadata":{"name":null,"resourceVersion":"2"}})" };
    }

    auto sound(const std::string& name) -> std::string
    {
        return R"({"metadata":{"name":")" + name + R"(","resourceVersion":"3"},"spec":{"role":"x"}})";
    }

    TEST(PlatformClientTest, AnObjectThatCannotBeReadHidesNoOtherOneInAList)
    {
        for (const auto& odd : oddObjects()) {
            const auto server
                = OneAnswerServer(answerWithBody(R"({"metadata":{"resourceVersion":"9"},"items":[)"
                    + sound("a") + "," + odd + "," + sound("c") + "]}"));
            auto metrics = Metrics();
            const auto list = PlatformClient({ "127.0.0.1", server.port() }, metrics).list("vms");
            ASSERT_TRUE(list) << odd;
            ASSERT_EQ(list.value().m_objects.size(), 2U) << odd;
            EXPECT_EQ(list.value().m_objects[1].m_name, "c") << odd;
        }
    }

    TEST(PlatformClientTest, AnObjectThatCannotBeReadEndsNoWatch)
    {
        for (const auto& odd : oddObjects()) {
            const auto line = [](const std::string& object) {
                return R"({"type":"MODIFIED","object":)" + object + "}\n";
            };
            const auto server
                = OneAnswerServer(answerWithBody(line(sound("a")) + line(odd) + line(sound("c"))));
            auto metrics = Metrics();
            auto names = std::vector<std::string>();
            const auto watched
                = PlatformClient({ "127.0.0.1", server.port() }, metrics)
                      .watch("vms", 1, std::chrono::milliseconds(500), [&](const WatchEvent& event) {
                          names.push_back(event.m_object.m_name);
                          return true;
                      });
            EXPECT_TRUE(watched) << odd;
            EXPECT_EQ(names, (std::vector<std::string> { "a", "c" })) << odd;
        }
    }

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
