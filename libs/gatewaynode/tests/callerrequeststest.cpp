#include <gtest/gtest.h>

#include "details/callerrequests.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

ForwardHeaders testHeaders()
{
    return ForwardHeaders{"X-Id",      "X-Time",  "X-Target", "X-Receipt",
                          "X-Not-Run", "X-Parts", "X-Lacks",  "X-Org"};
}

HttpRequest makeRequest(const HttpHeaders &headers)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/a/b?c=d";
    request.m_path = "/a/b";
    request.m_headers = headers;
    request.m_body = "body";
    request.m_exchange = 3;
    return request;
}

} // namespace

// Guards against forwarding an altered request: a dropped query string, a forwarded hop-by-hop
// header, or an expected target that the caller has set.
TEST(CallerRequests, ForwardsTheRequestWithoutHopByHopHeaders)
{
    const ParsedCallerRequest parsed =
        parseCallerRequest(makeRequest({{"Host", "Name.Example:80"},
                                        {"x-id", "7"},
                                        {"X-Time", "1500"},
                                        {"X-Target", "forged"},
                                        {"Connection", "close, X-Hop"},
                                        {"X-Hop", "1"},
                                        {"Transfer-Encoding", "chunked"},
                                        {"Accept", "*/*"}}),
                           testHeaders());
    ASSERT_NE(parsed.m_request, nullptr);
    EXPECT_EQ(parsed.m_request->m_head, "POST /a/b?c=d HTTP/1.1\r\nHost: Name.Example:80\r\n"
                                        "x-id: 7\r\nAccept: */*\r\nContent-Length: 4\r\n");
    EXPECT_EQ(parsed.m_request->m_host, "name.example");
    EXPECT_EQ(parsed.m_request->m_timeLeft, Duration(1500ms));
    EXPECT_EQ(parsed.m_request->m_requestId, "7");
}

// Guards against a caller that counts as near, or as infinitely far away, because its round trip
// time is not known.
TEST(CallerRequests, UsesTheDefaultWhereTheRoundTripIsNotKnown)
{
    HttpRequest request = makeRequest({{"Host", "a"}, {"X-Id", "1"}});
    request.m_isFirst = true;
    ForwardRequestPointer parsed = parseCallerRequest(request, testHeaders()).m_request;
    ASSERT_NE(parsed, nullptr);
    EXPECT_EQ(parsed->m_callerPath.m_roundTrip, defaultCallerRoundTrip);
    EXPECT_TRUE(parsed->m_callerPath.m_newConnection);
    request.m_roundTrip = 300us;
    request.m_isFirst = false;
    parsed = parseCallerRequest(request, testHeaders()).m_request;
    EXPECT_EQ(parsed->m_callerPath.m_roundTrip, Duration(300us));
    EXPECT_FALSE(parsed->m_callerPath.m_newConnection);
}

// Guards against request smuggling: requests that the gateway and a target may interpret
// differently, such as one with two Host headers.
TEST(CallerRequests, RejectsAmbiguousRequests)
{
    const ForwardHeaders headers = testHeaders();
    EXPECT_EQ(parseCallerRequest(makeRequest({{"X-Id", "1"}}), headers).m_request, nullptr);
    EXPECT_EQ(
        parseCallerRequest(makeRequest({{"Host", "a"}, {"Host", "b"}, {"X-Id", "1"}}), headers)
            .m_request,
        nullptr);
    EXPECT_EQ(parseCallerRequest(makeRequest({{"Host", "a"}}), headers).m_request, nullptr);
    EXPECT_EQ(
        parseCallerRequest(makeRequest({{"Host", "a"}, {"X-Id", "1"}, {"X-Id", "2"}}), headers)
            .m_request,
        nullptr);
    HttpRequest absolute = makeRequest({{"Host", "a"}, {"X-Id", "1"}});
    absolute.m_target = "http://b/a";
    EXPECT_EQ(parseCallerRequest(absolute, headers).m_request, nullptr);
}

// Guards against sending a target no timeout, or one longer than the time left.
TEST(CallerRequests, SerializesTheTimeLeftAndTheExpectedTarget)
{
    const std::shared_ptr<ForwardRequest> request = std::make_shared<ForwardRequest>();
    request->m_head = "GET / HTTP/1.1\r\n";
    const TargetPointer target = std::make_shared<Target>();
    target->m_entry.m_id = "t1";
    std::string text = "previous attempt";
    serializeAttempt(text, ForwardCommand{1, target, request, Duration(1999), true}, testHeaders());
    EXPECT_EQ(text, "GET / HTTP/1.1\r\nX-Time: 1\r\nX-Target: t1\r\n\r\n");
}

// Guards against a Retry-After that is rounded to whole seconds; callers wait for fractions of a
// second.
TEST(CallerRequests, FormatsRetryAfterInFractionsOfASecond)
{
    ForwardAnswer answer;
    answer.m_kind = AnswerKind::Refused;
    answer.m_status = 503;
    answer.m_retryAfter = Duration(300ms);
    const HttpResponse response = buildCallerResponse(answer, testHeaders());
    EXPECT_EQ(response.m_headers, (HttpHeaders{{"Retry-After", "0.300"}}));
}

// Guards against search responses without receipts or with a wrong count of missing shards.
TEST(CallerRequests, AddsReceiptsAndMissingShardsToSearchResponses)
{
    ForwardAnswer answer;
    answer.m_kind = AnswerKind::Merged;
    answer.m_status = 200;
    answer.m_receipts = {"r1", "r2"};
    answer.m_missingShards = 1;
    const HttpResponse response = buildCallerResponse(answer, testHeaders());
    EXPECT_EQ(response.m_headers, (HttpHeaders{{"X-Parts", "r1, r2"}, {"X-Lacks", "1"}}));
}

} // namespace arbutusgrade
