#include "ops/operator_auth.h"

#include "core/secret_digest.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto credential = "anna.operator-credential-1";
    constexpr auto call = ProvenCall { "POST", "/v1/notes", "{}" };

    auto settingsOf() -> NodeSettings
    {
        auto settings = NodeSettings();
        settings.m_operators = { { "anna", "bern", "salt", saltedDigest("salt", "operator-credential-1") } };
        return settings;
    }

    class OperatorAuthTest : public ::testing::Test {
    protected:
        auto proof(const ProvenCall& proven = call, const char* with = credential) -> std::string
        {
            return answerChallenge(m_authenticator.challenge("anna"), with, proven);
        }

        auto accepts(const std::string& header, const ProvenCall& made = call) -> bool
        {
            return m_authenticator.authenticate(header, made) != nullptr;
        }

        NodeSettings m_settings = settingsOf();
        OperatorAuthenticator m_authenticator { m_settings };
    };

    TEST_F(OperatorAuthTest, TakesTheRightCredentialEitherWay)
    {
        EXPECT_TRUE(accepts(std::string("Bearer ") + credential));
        EXPECT_TRUE(accepts(proof()));
    }

    TEST_F(OperatorAuthTest, RefusesWrongAndMissingCredentials)
    {
        for (const auto* header : { "", "Bearer ", "Bearer anna", "Bearer anna.", "Bearer anna.wrong",
                 "Bearer beat.operator-credential-1", "Basic anna.operator-credential-1", "Proof ",
                 "Proof anna", "Proof anna::", "Proof anna:1.2.3:4" })
            EXPECT_FALSE(accepts(header)) << "expected a refusal of: " << header;
        EXPECT_FALSE(accepts(proof(call, "anna.wrong")));
    }

    TEST_F(OperatorAuthTest, RefusesAProofUsedBefore)
    {
        const auto header = proof();
        ASSERT_TRUE(accepts(header));
        EXPECT_FALSE(accepts(header)) << "expected a replayed proof to be refused";
    }

    TEST_F(OperatorAuthTest, RefusesAProofOfAnotherCall)
    {
        EXPECT_FALSE(accepts(proof(), { "POST", "/v1/notes", "{\"changes\":[]}" }));
        EXPECT_FALSE(accepts(proof(), { "GET", "/v1/notes", "{}" }));
        EXPECT_FALSE(accepts(proof(), { "POST", "/v1/notes?after=1", "{}" }));
    }

    TEST_F(OperatorAuthTest, RefusesAProofForAnotherNodesChallenge)
    {
        const auto elsewhere = OperatorAuthenticator(m_settings);
        EXPECT_FALSE(accepts(answerChallenge(elsewhere.challenge("anna"), credential, call)));
    }

    TEST_F(OperatorAuthTest, ChallengesUnknownOperatorsAlikeEveryTime)
    {
        EXPECT_EQ(m_authenticator.challenge("nobody").m_salt, m_authenticator.challenge("nobody").m_salt);
        EXPECT_FALSE(m_authenticator.challenge("nobody").m_salt.empty());
    }

} // namespace
} // namespace marigoldladder
