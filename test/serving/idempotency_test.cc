#include "serving/idempotency.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    TEST(IdempotencyTest, ReadsBackTheBindingOfAPrefix)
    {
        const auto prefix = makeKeyPrefix(VmName("10.0.0.7"), 1733284800000000, 28888080);
        const auto bound = parseBoundKey(IdempotencyKey(prefix + "booking.17"));
        ASSERT_TRUE(bound) << prefix;
        EXPECT_EQ(bound->m_vm, VmName("10.0.0.7"));
        EXPECT_EQ(bound->m_incarnation, 1733284800000000U);
        EXPECT_EQ(bound->m_epoch, KeyEpoch { 28888080 });
    }

    TEST(IdempotencyTest, ReadsAPrefixWithoutAnEpoch)
    {
        const auto bound = parseBoundKey(IdempotencyKey("bern-a-1.1733284800000000.x"));
        ASSERT_TRUE(bound);
        EXPECT_FALSE(bound->m_epoch);
    }

    TEST(IdempotencyTest, TakesOtherKeysAsPlain)
    {
        for (const auto* text : { "booking-17", "a.b.c", "bern-a-1.17.x", ".1733284800000000.x", "" })
            EXPECT_FALSE(parseBoundKey(IdempotencyKey(text))) << text;
    }

    TEST(IdempotencyTest, KeepsOrganisationsAndRoutesApart)
    {
        const auto key = IdempotencyKey("k");
        const auto scoped = scopeKey(OrganisationName("ab"), RouteName("c"), key);
        EXPECT_NE(scoped, scopeKey(OrganisationName("a"), RouteName("bc"), key));
        EXPECT_NE(scoped, scopeKey(OrganisationName("ab"), RouteName("d"), key));
        EXPECT_EQ(scoped, scopeKey(OrganisationName("ab"), RouteName("c"), key));
    }

} // namespace
} // namespace marigoldladder
