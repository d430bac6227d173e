#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "details/answers.h"
#include "details/callerrequest.h"

#include <boost/json/parse.hpp>

namespace arbutusgrade {

namespace {

std::vector<std::string> findingsOf(std::string_view body)
{
    CallerRequest request;
    std::vector<std::string> fields;
    for (const RequestFinding &finding : parseCallerRequest(body, request)) {
        fields.push_back(finding.m_field);
    }
    return fields;
}

} // namespace

// Guards against fields that are lost, and against a payload that is written anew instead of kept.
TEST(CallerRequest, TakesAllFieldsAndKeepsPayloadText)
{
    CallerRequest request;
    const std::string payload = R"({ "a" : 1.50, "b":"}\",{", "a":[2,"]"] })";
    EXPECT_TRUE(parseCallerRequest(R"( { "requestId":"r 1","kind":"k","service":"s","attempt":2,)"
                                   R"("deadlineMs":250, "payload" : )"
                                       + payload + " } ",
                                   request)
                    .empty());
    EXPECT_EQ(request.m_requestId, "r 1");
    EXPECT_EQ(request.m_service, "s");
    EXPECT_EQ(request.m_sendNumber, 2);
    EXPECT_EQ(request.m_timeout, Duration(250'000));
    EXPECT_EQ(*request.m_payload, payload);
}

// Guards against callers that learn of their mistakes one at a time.
TEST(CallerRequest, ReportsAllFindingsTogether)
{
    EXPECT_THAT(findingsOf(R"({"requestId":"","kind":7,"deadlineMs":0,"attempt":"x","extra":1})"),
                testing::UnorderedElementsAre("requestId", "kind", "deadlineMs", "attempt", "extra",
                                              "payload"));
    EXPECT_THAT(findingsOf(R"({"requestId":"a\u0007","kind":"k","payload":1})"),
                testing::ElementsAre("requestId"));
    EXPECT_THAT(
        findingsOf(R"({"requestId":")" + std::string(129, 'a') + R"(","kind":"k","payload":1})"),
        testing::ElementsAre("requestId"));
    EXPECT_THAT(findingsOf(R"({"requestId":"a","kind":"k","deadlineMs":600001,"payload":1})"),
                testing::ElementsAre("deadlineMs"));
    for (const std::string_view body : {"", "{", "[1]", "\"text\"", "{\"a\":1}{"}) {
        EXPECT_FALSE(findingsOf(body).empty()) << body;
    }
}

// Guards against duplicate keys, of which a parser keeps the last one silently.
TEST(CallerRequest, ReportsDuplicateKeyHoweverWritten)
{
    EXPECT_THAT(findingsOf(R"({"requestId":"a","request\u0049d":"b","kind":"k","payload":1})"),
                testing::ElementsAre("requestId"));
}

// Guards against nesting that exhausts the stack.
TEST(CallerRequest, RefusesDeepNesting)
{
    const std::string deep(100'000, '[');
    EXPECT_FALSE(findingsOf(R"({"requestId":"a","kind":"k","payload":)" + deep).empty());
}

// Guards against answers that are no JSON when some shards have no entries or names need escapes.
TEST(Answer, FormatsAsJson)
{
    CallerAnswer answer;
    answer.m_requestId = "r\"1";
    answer.m_outcome = Outcome::Partial;
    answer.m_reason = Reason::Deadline;
    answer.m_snapshot = Snapshot{2, 9};
    answer.m_included = {{"s1", "[ ]"}, {"s2", R"([{"a":1},2])"}, {"s3", "[3]"}};
    answer.m_lacking = {{"s4", Reason::NoReplica}};
    const HttpResponse response = formatAnswer(answer);
    EXPECT_EQ(response.m_status, 200);
    EXPECT_EQ(boost::json::parse(response.m_body),
              boost::json::parse(
                  R"({"requestId":"r\"1","outcome":"partial","reason":"deadline",)"
                  R"("snapshot":{"epoch":2,"version":9},"coverage":{"included":["s1","s2","s3"],)"
                  R"("lacking":[{"shard":"s4","reason":"no-replica"}]},"entries":[{"a":1},2,3],)"
                  R"("traceId":"00000000000000000000000000000000"})"));
}

// Guards against a refusal that callers take for an unknown outcome, or the reverse.
TEST(Answer, MapsOutcomesToStatus)
{
    const std::vector<std::pair<std::pair<Outcome, Reason>, int>> cases{
        {{Outcome::Complete, Reason::None}, 200},
        {{Outcome::NotRun, Reason::Overload}, 503},
        {{Outcome::OutcomeUnknown, Reason::InProgress}, 504},
        {{Outcome::Failed, Reason::Quarantined}, 502},
        {{Outcome::Failed, Reason::RequestIdReused}, 409},
        {{Outcome::NotRun, Reason::UnknownKind}, 404},
        {{Outcome::NotRun, Reason::UnknownService}, 404},
        {{Outcome::NotRun, Reason::QuotaExceeded}, 429}};
    for (const std::pair<std::pair<Outcome, Reason>, int> &item : cases) {
        CallerAnswer answer;
        answer.m_outcome = item.first.first;
        answer.m_reason = item.first.second;
        EXPECT_EQ(formatAnswer(answer).m_status, item.second) << reasonName(answer.m_reason);
    }
}

} // namespace arbutusgrade
