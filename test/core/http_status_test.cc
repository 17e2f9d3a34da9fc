#include "core/http_status.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    TEST(HttpStatusTest, OnlyStatusesFrom200To599EndAnAnswer)
    {
        for (const auto status : { 200U, 204U, 404U, 503U, 599U })
            EXPECT_EQ(kindOfStatus(status), StatusKind::Final) << status;
        for (const auto status : { 0U, 20U, 99U, 600U, 999U })
            EXPECT_EQ(kindOfStatus(status), StatusKind::Invalid) << status;
    }

    TEST(HttpStatusTest, AnInterimAnswerIsFollowedByAnother)
    {
        for (const auto status : { 100U, 102U, 103U, 199U })
            EXPECT_EQ(kindOfStatus(status), StatusKind::Interim) << status;
        EXPECT_EQ(kindOfStatus(101U), StatusKind::Invalid);
    }

} // namespace
} // namespace marigoldladder
