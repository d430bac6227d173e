#include <gtest/gtest.h>

#include "details/admission.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

class FakeGate : public QuotaGate
{
public:
    bool isActive() const override
    {
        return m_active;
    }
    QuotaDecision admit(TimePoint /*now*/, std::string_view /*organisation*/,
                        std::uint64_t /*request*/) override
    {
        ++m_asked;
        return m_decision;
    }
    void cancel(std::uint64_t request) override
    {
        m_cancelled.push_back(request);
    }
    void returnToken(TimePoint /*now*/, std::string_view organisation) override
    {
        m_returned.emplace_back(organisation);
    }

    bool m_active = true;
    QuotaDecision m_decision;
    int m_asked = 0;
    std::vector<std::uint64_t> m_cancelled;
    std::vector<std::string> m_returned;
};

class AdmissionTest : public testing::Test, public AdmissionOutput
{
protected:
    void forward(TimePoint /*now*/, const ForwardRequestPointer &request) override
    {
        m_forwarded.push_back(request);
    }
    void refuse(const ForwardRequestPointer &request, const QuotaDecision &decision) override
    {
        m_refused.push_back(request->m_caller);
        m_verdict = decision.m_verdict;
    }

    void submit(std::uint64_t caller, std::string_view organisation, QuotaVerdict verdict)
    {
        const std::shared_ptr<ForwardRequest> request = std::make_shared<ForwardRequest>();
        request->m_caller = caller;
        request->m_organisation = organisation;
        m_gate.m_decision.m_verdict = verdict;
        m_admission.submit(m_now, request);
    }

    TimePoint m_now{10s};
    FakeGate m_gate;
    Admission m_admission{m_gate, *this};
    std::vector<ForwardRequestPointer> m_forwarded;
    std::vector<std::uint64_t> m_refused;
    QuotaVerdict m_verdict = QuotaVerdict::Admitted;
};

} // namespace

// Guards against requests without a quota that are delayed or take a token.
TEST_F(AdmissionTest, PassesRequestsWithoutAQuotaOn)
{
    submit(1, "", QuotaVerdict::Exhausted);
    m_gate.m_active = false;
    submit(2, "o", QuotaVerdict::Exhausted);
    EXPECT_EQ(m_forwarded.size(), 2U);
    EXPECT_EQ(m_gate.m_asked, 0);
}

// Guards against a token that is lost with a request that is not run, and against one that is given
// back for a request that may have run.
TEST_F(AdmissionTest, ReturnsTheTokensOfRequestsThatAreNotRun)
{
    const std::vector<std::pair<AnswerKind, bool>> cases{
        {AnswerKind::Refused, true},  {AnswerKind::Quarantined, true}, {AnswerKind::NoRoute, true},
        {AnswerKind::Relayed, false}, {AnswerKind::Merged, false},     {AnswerKind::Failed, false},
        {AnswerKind::TimedOut, false}};
    for (const std::pair<AnswerKind, bool> &entry : cases) {
        m_gate.m_returned.clear();
        submit(1, "o", QuotaVerdict::Admitted);
        m_admission.answered(m_now, 1, entry.first);
        m_admission.answered(m_now, 1, entry.first);
        EXPECT_EQ(m_gate.m_returned.size(), entry.second ? 1U : 0U)
            << static_cast<int>(entry.first);
    }
    submit(2, "o", QuotaVerdict::Exhausted);
    m_admission.answered(m_now, 2, AnswerKind::Refused);
    EXPECT_EQ(m_refused, std::vector<std::uint64_t>{2});
    EXPECT_TRUE(m_gate.m_returned.empty());
}

// Guards against a request that is lost while it waits for a token, or whose wait adds to the time
// that the caller allows.
TEST_F(AdmissionTest, HoldsRequestsUntilTheyAreDecided)
{
    submit(1, "o", QuotaVerdict::Pending);
    submit(2, "o", QuotaVerdict::Pending);
    EXPECT_EQ(m_admission.waitingRequests(), 2U);
    EXPECT_TRUE(m_forwarded.empty());
    QuotaDecision decision;
    m_admission.decided(m_now + 30ms, 1, decision);
    ASSERT_EQ(m_forwarded.size(), 1U);
    EXPECT_EQ(m_forwarded[0]->m_timeHeld, Duration(30ms));
    decision.m_verdict = QuotaVerdict::Undecided;
    m_admission.decided(m_now + 40ms, 2, decision);
    m_admission.decided(m_now + 40ms, 2, decision);
    EXPECT_EQ(m_refused, std::vector<std::uint64_t>{2});
    EXPECT_EQ(m_verdict, QuotaVerdict::Undecided);
}

// Guards against forwarding a request whose caller has left while it waited.
TEST_F(AdmissionTest, DropsARequestWhoseCallerHasLeft)
{
    submit(1, "o", QuotaVerdict::Pending);
    EXPECT_TRUE(m_admission.callerDisconnected(1));
    EXPECT_EQ(m_gate.m_cancelled, std::vector<std::uint64_t>{1});
    m_admission.decided(m_now, 1, {});
    EXPECT_TRUE(m_forwarded.empty());
    submit(2, "o", QuotaVerdict::Admitted);
    EXPECT_FALSE(m_admission.callerDisconnected(2));
    m_admission.answered(m_now, 2, AnswerKind::Refused);
    EXPECT_TRUE(m_gate.m_returned.empty());
}

} // namespace arbutusgrade
