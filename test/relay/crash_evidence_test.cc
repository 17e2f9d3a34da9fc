#include "relay/crash_evidence.h"

#include "relay/crash_evidence_report.h"
#include "relay/generated/peer_messages_generated.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    using std::chrono::milliseconds;

    constexpr auto shared = Suspect { SuspectKind::PromptPart, 0xa };
    constexpr auto deadly = Suspect { SuspectKind::PromptPart, 0xdead };
    constexpr auto wholeRequest = Suspect { SuspectKind::Request, 0x7 };
    constexpr auto requestInAnswer = Suspect { SuspectKind::RequestDuringAnswer, 0x7 };
    constexpr auto bystander = Suspect { SuspectKind::RequestDuringAnswer, 0x8 };
    constexpr auto sharedInAnswer = Suspect { SuspectKind::PromptPartDuringAnswer, 0xa };
    constexpr auto upstreams = std::size_t { 6 };
    const auto start = MonotonicTime(std::chrono::seconds(1'000));

    auto at(int time) -> MonotonicTime
    {
        return start + milliseconds(time);
    }

    class CrashEvidenceTest : public testing::Test {
    protected:
        // Records that a run crashed under these suspects.
        auto crash(UpstreamRunId run, int time, const std::vector<Suspect>& suspects) -> void
        {
            auto position = std::uint8_t { 0 };
            for (const auto& suspect : suspects)
                recordCrash(m_evidence, CrashNotice { suspect, run, at(time), position++ }, at(time));
        }

        auto isConvicted(const Suspect& suspect) const -> bool
        {
            return findConvicted(m_evidence, { suspect }).has_value();
        }

        CrashEvidence m_evidence;
    };

    TEST_F(CrashEvidenceTest, ConvictsThePartThatNoAnswerCleared)
    {
        for (auto run = 0; run < 3; ++run) {
            crash(run, run * 200, { shared, deadly });
            (void)recordAnswer(m_evidence, { shared }, at(run * 200 + 50));
        }
        EXPECT_EQ(convictSuspects(m_evidence, upstreams, at(1'000)), std::vector<Suspect> { deadly });
        EXPECT_FALSE(isConvicted(shared));
    }

    // Guards against refusing a whole route: while all upstreams are down, no answer clears the first part.
    TEST_F(CrashEvidenceTest, CrashesUnderAConvictedPartDoNotCountAgainstTheOthers)
    {
        (void)recordAnswer(m_evidence, { shared }, at(-100));
        for (auto run = 0; run < 8; ++run)
            crash(run, run * 200, { shared, deadly });
        EXPECT_EQ(convictSuspects(m_evidence, upstreams, at(3'000)), std::vector<Suspect> { deadly });
        crash(9, 3'100, { shared, deadly });
        EXPECT_FALSE(isLikelyCause(m_evidence, { shared }));
    }

    TEST_F(CrashEvidenceTest, OfTwoPartsThatAreAlwaysTogetherTheMoreSpecificOneIsConvicted)
    {
        for (auto run = 0; run < 3; ++run)
            crash(run, run * 200, { shared, deadly });
        EXPECT_EQ(convictSuspects(m_evidence, upstreams, at(1'000)), std::vector<Suspect> { deadly });
    }

    TEST_F(CrashEvidenceTest, UpstreamsThatCrashTogetherCountOnce)
    {
        for (auto run = 0; run < 8; ++run)
            crash(run, run * 5, { deadly });
        EXPECT_TRUE(convictSuspects(m_evidence, upstreams, at(1'000)).empty());
    }

    TEST_F(CrashEvidenceTest, OneCrashReportedByManyNodesCountsOnce)
    {
        for (auto report = 0; report < 8; ++report)
            crash(1, report * 200, { deadly });
        EXPECT_TRUE(convictSuspects(m_evidence, upstreams, at(3'000)).empty());
    }

    TEST_F(CrashEvidenceTest, ARepeatedRequestThatCrashesUpstreamsIsConvicted)
    {
        for (auto run = 0; run < 3; ++run)
            crash(run, run * 200, { wholeRequest });
        EXPECT_EQ(convictSuspects(m_evidence, upstreams, at(1'000)), std::vector<Suspect> { wholeRequest });
    }

    TEST_F(CrashEvidenceTest, OnlyOneTrialIsBegunAndTheTimeUntilTheNextDoubles)
    {
        for (auto run = 0; run < 3; ++run)
            crash(run, run * 200, { deadly });
        (void)convictSuspects(m_evidence, upstreams, at(1'000));
        const auto none = milliseconds(0);
        EXPECT_FALSE(tryBeginTrial(m_evidence, deadly, none, at(10'999)));
        EXPECT_FALSE(tryBeginTrial(m_evidence, deadly, milliseconds(400), at(11'000)));
        EXPECT_TRUE(tryBeginTrial(m_evidence, deadly, none, at(11'000)));
        EXPECT_FALSE(tryBeginTrial(m_evidence, deadly, none, at(30'999)));
        EXPECT_TRUE(tryBeginTrial(m_evidence, deadly, none, at(31'000)));
    }

    TEST_F(CrashEvidenceTest, AnAnswerInATrialClearsAConviction)
    {
        for (auto run = 0; run < 3; ++run)
            crash(run, run * 200, { deadly });
        (void)convictSuspects(m_evidence, upstreams, at(1'000));
        ASSERT_TRUE(tryBeginTrial(m_evidence, deadly, milliseconds(0), at(11'000)));
        EXPECT_TRUE(recordAnswer(m_evidence, { deadly }, at(11'100)));
        EXPECT_FALSE(isConvicted(deadly));
    }

    TEST_F(CrashEvidenceTest, AConvictionFromBeforeAnAnswerIsNotTakenOver)
    {
        (void)recordAnswer(m_evidence, { deadly }, at(1'000));
        mergeConviction(m_evidence, deadly, Conviction { at(500), 0 }, at(1'100));
        EXPECT_FALSE(isConvicted(deadly));
        mergeConviction(m_evidence, deadly, Conviction { at(1'200), 0 }, at(1'300));
        EXPECT_TRUE(isConvicted(deadly));
    }

    TEST_F(CrashEvidenceTest, RequestsOfASuspectAreNotRepeatedAfterTheSecondCrash)
    {
        crash(1, 0, { shared, deadly });
        EXPECT_FALSE(isLikelyCause(m_evidence, { deadly }));
        crash(2, 200, { shared, deadly });
        EXPECT_TRUE(isLikelyCause(m_evidence, { deadly }));
    }

    // Review 2: the first event cleared a request that crashed upstreams after it, again and again.
    TEST_F(CrashEvidenceTest, ARequestThatCrashesUpstreamsAfterItsAnswerBeganIsConvicted)
    {
        for (auto run = 0; run < 4; ++run) {
            (void)recordAnswer(m_evidence, { shared, wholeRequest }, at(run * 200 - 50));
            crash(run, run * 200, { sharedInAnswer, requestInAnswer });
            (void)recordAnswer(m_evidence, { sharedInAnswer }, at(run * 200 + 50));
        }
        EXPECT_EQ(
            convictSuspects(m_evidence, upstreams, at(1'000)), std::vector<Suspect> { requestInAnswer });
        EXPECT_FALSE(isConvicted(sharedInAnswer));
    }

    TEST_F(CrashEvidenceTest, AnAnswerThatEndsClearsWhatMetCrashesDuringIt)
    {
        for (auto run = 0; run < 3; ++run)
            crash(run, run * 200, { requestInAnswer });
        EXPECT_TRUE(recordAnswer(m_evidence, { requestInAnswer }, at(500)));
        EXPECT_TRUE(convictSuspects(m_evidence, upstreams, at(1'000)).empty());
    }

    // A long answer is resumed at one upstream after the other while these crash for another reason.
    TEST_F(CrashEvidenceTest, AnAnswerThatMeetsCrashesByChanceIsNotConvicted)
    {
        for (auto run = 0; run < 9; ++run)
            crash(run, run * 200, { run % 3 == 0 ? bystander : Suspect { bystander.m_kind, 0x100U + run } });
        EXPECT_TRUE(convictSuspects(m_evidence, upstreams, at(3'000)).empty());
    }

    TEST_F(CrashEvidenceTest, AnAnswerThatMeetsTheCrashesOfAnotherRequestIsNotConvicted)
    {
        for (auto run = 0; run < 5; ++run)
            crash(run, run * 200,
                run < 3 ? std::vector { requestInAnswer, bystander } : std::vector { requestInAnswer });
        EXPECT_EQ(
            convictSuspects(m_evidence, upstreams, at(3'000)), std::vector<Suspect> { requestInAnswer });
        EXPECT_FALSE(isConvicted(bystander));
    }

    TEST_F(CrashEvidenceTest, TwoRequestsThatCrashUpstreamsByTurnsAreBothConvicted)
    {
        const auto other = Suspect { SuspectKind::RequestDuringAnswer, 0x9 };
        for (auto run = 0; run < 18; ++run)
            crash(run, run * 200, { run % 2 == 0 ? requestInAnswer : other });
        (void)convictSuspects(m_evidence, upstreams, at(4'000));
        EXPECT_TRUE(isConvicted(requestInAnswer));
        EXPECT_TRUE(isConvicted(other));
    }

    TEST_F(CrashEvidenceTest, AnAnswerThatBeginsDoesNotEndATrialOfASuspectDuringAnswers)
    {
        for (auto run = 0; run < 4; ++run)
            crash(run, run * 200, { requestInAnswer });
        (void)convictSuspects(m_evidence, upstreams, at(1'000));
        ASSERT_TRUE(tryBeginTrial(m_evidence, requestInAnswer, milliseconds(0), at(11'000)));
        (void)recordAnswer(m_evidence, { wholeRequest }, at(11'100));
        EXPECT_TRUE(isConvicted(requestInAnswer));
        EXPECT_TRUE(recordAnswer(m_evidence, { requestInAnswer }, at(12'000)));
        EXPECT_FALSE(isConvicted(requestInAnswer));
    }

    // A third of the upstreams crash at once, again and again, while a few long answers have a part in
    // common.
    TEST_F(CrashEvidenceTest, APartAtManyUpstreamsIsNotConvictedByCrashesOfSeveralAtOnce)
    {
        constexpr auto manyUpstreams = std::size_t { 12 };
        for (auto event = 0; event < 4; ++event) {
            for (auto run = 0; run < 4; ++run) {
                const auto met = run < 2 ? std::vector { sharedInAnswer } : std::vector { bystander };
                crash(event * 4 + run, event * 2'000 + run, met);
            }
        }
        EXPECT_TRUE(convictSuspects(m_evidence, manyUpstreams, at(9'000)).empty());
    }

    // Among hundreds of long answers, some meet three crashes in a row.
    TEST_F(CrashEvidenceTest, OneOfManyAnswersThatMeetsThreeCrashesIsNotConvicted)
    {
        constexpr auto manyUpstreams = std::size_t { 16 };
        for (auto run = 0; run < 3; ++run) {
            auto met = std::vector { bystander };
            for (auto other = 0; other < 20; ++other)
                met.push_back({ bystander.m_kind, 0x1000U + 100U * run + other });
            crash(run, run * 2'000, met);
        }
        EXPECT_TRUE(convictSuspects(m_evidence, manyUpstreams, at(5'000)).empty());
    }

    TEST_F(CrashEvidenceTest, APartThatCrashesOneUpstreamAfterTheOtherDuringAnswersIsConvicted)
    {
        constexpr auto manyUpstreams = std::size_t { 12 };
        for (auto run = 0; run < 3; ++run)
            crash(run, run * 200, { sharedInAnswer, Suspect { bystander.m_kind, 0x100U + run } });
        EXPECT_EQ(
            convictSuspects(m_evidence, manyUpstreams, at(3'000)), std::vector<Suspect> { sharedInAnswer });
    }

    TEST_F(CrashEvidenceTest, RecordsAreBoundedAndConvictionsOutlastSuspicions)
    {
        for (auto run = 0; run < 3; ++run)
            crash(run, run * 200, { deadly });
        (void)convictSuspects(m_evidence, upstreams, at(1'000));
        for (auto id = std::uint64_t { 1 }; id <= 3 * maxSuspectRecords; ++id)
            crash(100, 2'000, { Suspect { SuspectKind::Request, id } });
        EXPECT_LE(m_evidence.m_records.size(), maxSuspectRecords);
        EXPECT_TRUE(isConvicted(deadly));
    }

    TEST_F(CrashEvidenceTest, OldCrashesAreDropped)
    {
        crash(1, 0, { deadly });
        dropOldEvidence(m_evidence, at(61'000));
        EXPECT_TRUE(m_evidence.m_records.empty());
        EXPECT_TRUE(m_evidence.m_crashNotices.empty());
    }

    // The evidence of three nodes, each of which saw one crash.
    TEST_F(CrashEvidenceTest, NodesThatExchangeReportsConvictTheSameSuspect)
    {
        auto nodes = std::vector<CrashEvidence>(3);
        for (auto node = 0; node < 3; ++node) {
            recordCrash(nodes[node], CrashNotice { deadly, static_cast<UpstreamRunId>(node), at(node * 200) },
                at(node * 200));
        }
        for (auto& receiver : nodes) {
            for (const auto& sender : nodes) {
                const auto report = makeEvidenceReport(sender, ReportScope::Self, at(600));
                ASSERT_TRUE(report);
                applyEvidenceReport(receiver, *report, ReportSource::LocalPeer, at(600));
            }
        }
        for (auto& node : nodes)
            EXPECT_EQ(convictSuspects(node, upstreams, at(1'000)), std::vector<Suspect> { deadly });
    }

    TEST_F(CrashEvidenceTest, ARestartedNodeLearnsConvictionsFromAnyReport)
    {
        for (auto run = 0; run < 3; ++run)
            crash(run, run * 200, { deadly });
        (void)convictSuspects(m_evidence, upstreams, at(1'000));
        ASSERT_TRUE(tryBeginTrial(m_evidence, deadly, milliseconds(0), at(20'000)));
        auto restarted = CrashEvidence();
        const auto report = makeEvidenceReport(m_evidence, ReportScope::Self, at(25'000));
        ASSERT_TRUE(report);
        applyEvidenceReport(restarted, *report, ReportSource::LocalPeer, at(25'000));
        EXPECT_TRUE(findConvicted(restarted, { deadly }));
        EXPECT_EQ(trialDueAt(restarted, deadly, milliseconds(0)), at(40'000));
    }

    TEST_F(CrashEvidenceTest, AnswersReportedByOtherNodesClearASuspect)
    {
        auto other = CrashEvidence();
        for (auto run = 0; run < 3; ++run)
            crash(run, run * 200, { shared });
        recordCrash(other, CrashNotice { shared, 2, at(400), 0, ReportSource::LocalPeer }, at(410));
        ASSERT_TRUE(recordAnswer(other, { shared }, at(450)));
        const auto report = makeEvidenceReport(other, ReportScope::Self, at(500));
        ASSERT_TRUE(report);
        applyEvidenceReport(m_evidence, *report, ReportSource::LocalPeer, at(500));
        EXPECT_TRUE(convictSuspects(m_evidence, upstreams, at(1'000)).empty());
    }

    TEST_F(CrashEvidenceTest, AGatewayReportsWhatItsDataCentreObservedButNotWhatOthersDid)
    {
        recordCrash(m_evidence, CrashNotice { deadly, 1, at(0), 0, ReportSource::LocalPeer }, at(0));
        recordCrash(m_evidence, CrashNotice { shared, 2, at(0), 0, ReportSource::RemotePeer }, at(0));
        EXPECT_FALSE(makeEvidenceReport(m_evidence, ReportScope::Self, at(100)));
        const auto report = makeEvidenceReport(m_evidence, ReportScope::DataCentre, at(100));
        ASSERT_TRUE(report);
        ASSERT_EQ(report->crashes.size(), 1U);
        EXPECT_EQ(report->crashes[0].suspect(), deadly.m_id);
    }

} // namespace
} // namespace marigoldladder::relay
