#include <gtest/gtest.h>

#include "details/callerrequests.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

ForwardHeaders testHeaders()
{
    return ForwardHeaders{"X-Id",      "X-Time",  "X-Target", "X-Receipt", "X-Not-Run",
                          "X-Leaving", "X-Parts", "X-Lacks",  "X-Org"};
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

//! @brief Key "k-1" of the organisation "acme"; "/a/" needs a key, "/open/" does not.
RoutingTablePointer tableWithOrganisations()
{
    RoutingTable table;
    Organisation acme;
    acme.m_name = "acme";
    acme.m_priority = 4;
    addOrganisation(table, acme, std::vector<std::string>{"k-1"});
    table.m_routes.resize(2);
    table.m_routes[0].m_host = "h";
    table.m_routes[0].m_prefix = "/a/";
    table.m_routes[1] = table.m_routes[0];
    table.m_routes[1].m_prefix = "/open/";
    table.m_routes[1].m_anonymousAccess = true;
    return std::make_shared<const RoutingTable>(table);
}

//! @brief Parses and authorises a request with a host, an id and the headers.
ParsedCallerRequest parseFor(const RoutingTablePointer &table, std::string_view path,
                             HttpHeaders headers, std::optional<ForwardRefusal> &refusal)
{
    headers.emplace_back("Host", "h");
    headers.emplace_back("X-Id", "1");
    HttpRequest request = makeRequest(headers);
    request.m_path = path;
    ParsedCallerRequest parsed = parseCallerRequest(request, testHeaders(), table);
    refusal = authorizeRequest(parsed, testHeaders());
    return parsed;
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

// Guards against a key that reaches a target, and against a caller that names the organisation
// itself, in whatever letter case, number and place.
TEST(CallerRequests, ReplacesTheKeyByTheOrganisation)
{
    const HttpHeaders headers{{"x-org", "forged"},
                              {"X-ORG", "forged"},
                              {"AUTHORIZATION", "Token k-1"},
                              {"X-Org", ""},
                              {"Connection", "X-Org, Authorization"},
                              {"X-Organ", "kept"}};
    std::optional<ForwardRefusal> refusal;
    const ParsedCallerRequest parsed = parseFor(tableWithOrganisations(), "/a/b", headers, refusal);
    EXPECT_FALSE(refusal);
    EXPECT_EQ(parsed.m_request->m_head, "POST /a/b?c=d HTTP/1.1\r\nX-Organ: kept\r\nHost: h\r\n"
                                        "X-Id: 1\r\nContent-Length: 4\r\nX-Org: acme\r\n");
    EXPECT_EQ(parsed.m_request->m_organisation, "acme");
    EXPECT_EQ(parsed.m_request->m_priority, 4);
}

// Guards against an anonymous route that forwards a forged organisation or an invalid key.
TEST(CallerRequests, StripsBothHeadersOnAnonymousRoutes)
{
    std::optional<ForwardRefusal> refusal;
    const ParsedCallerRequest invalid =
        parseFor(tableWithOrganisations(), "/open/b",
                 {{"x-oRG", "acme"}, {"authorization", "Token wrong"}}, refusal);
    EXPECT_FALSE(refusal);
    EXPECT_EQ(invalid.m_request->m_head.find("acme"), std::string::npos);
    EXPECT_EQ(invalid.m_request->m_head.find("wrong"), std::string::npos);
    const ParsedCallerRequest valid =
        parseFor(tableWithOrganisations(), "/open/b", {{"authorization", "Token k-1"}}, refusal);
    EXPECT_FALSE(refusal);
    EXPECT_EQ(valid.m_request->m_organisation, "acme");
    EXPECT_NE(valid.m_request->m_head.find("\r\nX-Org: acme\r\n"), std::string::npos);
}

// Guards against running a request whose key is not valid, and against a guess which of several
// keys counts.
TEST(CallerRequests, RefusesRequestsWithoutExactlyOneValidKey)
{
    for (const HttpHeaders &headers :
         {HttpHeaders{}, HttpHeaders{{"Authorization", "Token k-2"}},
          HttpHeaders{{"Authorization", "Token k-1"}, {"authorization", "Token k-1"}},
          HttpHeaders{{"Authorization", "Token k-1"}, {"Authorization", ""}},
          HttpHeaders{{"X-Org", "acme"}}, HttpHeaders{{"Proxy-Authorization", "Token k-1"}}}) {
        std::optional<ForwardRefusal> refusal;
        const ParsedCallerRequest parsed =
            parseFor(tableWithOrganisations(), "/a/b", headers, refusal);
        ASSERT_TRUE(refusal);
        EXPECT_EQ(refusal->m_status, 401);
        EXPECT_EQ(refusal->m_kind, AnswerKind::Unauthorized);
        EXPECT_EQ(parsed.m_request->m_organisation, "");
    }
}

// Guards against a target that says that it is leaving and is not understood, in any spelling of
// the header, and against a caller that no longer gets the header.
TEST(CallerRequests, ReadsThatATargetIsLeavingAndPassesItOn)
{
    ReplyContent content;
    content.m_status = 503;
    EXPECT_FALSE(parseTargetReply(content, testHeaders()).m_isLeaving);
    content.m_headers = {{"x-LEAVING", "1"}};
    const TargetReply reply = parseTargetReply(content, testHeaders());
    EXPECT_TRUE(reply.m_isLeaving);
    EXPECT_EQ(reply.m_headers, content.m_headers);
    content.m_headers = {{"X-Leaving", "0"}};
    EXPECT_FALSE(parseTargetReply(content, testHeaders()).m_isLeaving);
}

// Guards against a refusal whose time is not understood, and against odd values that stop the use
// of a target or end the process.
TEST(CallerRequests, ReadsForHowLongATargetRefuses)
{
    const auto timeOf = [](const std::string &text, int status) {
        ReplyContent content;
        content.m_status = status;
        content.m_headers = {{"retry-AFTER", text}};
        return parseTargetReply(content, testHeaders()).m_refusalTime;
    };
    EXPECT_EQ(timeOf("2", 503), Duration(2s));
    EXPECT_EQ(timeOf("0.25", 503), Duration(250ms));
    EXPECT_EQ(timeOf("0", 503), Duration(0));
    EXPECT_GE(timeOf("1e300", 503), Duration(24h));
    EXPECT_GE(timeOf("inf", 503), Duration(24h));
    for (const std::string odd :
         {"", "-1", "nan", "1e999", "2s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        EXPECT_FALSE(timeOf(odd, 503)) << odd;
    }
    EXPECT_FALSE(timeOf("2", 500));
    EXPECT_FALSE(timeOf("2", 429));
}

// Guards against a request that crashes targets and is cleared by the success of the same path and
// body of another organisation, and against two nodes that count it as different ones.
TEST(CallerRequests, TheFingerprintNamesTheOrganisation)
{
    RoutingTable table = *tableWithOrganisations();
    Organisation other;
    other.m_name = "other";
    addOrganisation(table, other, std::vector<std::string>{"k-2", "k-3"});
    const auto fingerprintFor = [&table](const std::string &key) {
        std::optional<ForwardRefusal> refusal;
        return parseFor(std::make_shared<const RoutingTable>(table), "/a/b",
                        {{"Authorization", "Token " + key}}, refusal)
            .m_request->m_fingerprint;
    };
    EXPECT_NE(fingerprintFor("k-1"), fingerprintFor("k-2"));
    EXPECT_EQ(fingerprintFor("k-2"), fingerprintFor("k-3"));
    EXPECT_EQ(fingerprintFor("k-1"), fingerprintFor("k-1"));
}

// Guards against a deployment without organisations whose callers lose their headers, and against a
// 401 where the engine answers 404 or 503.
TEST(CallerRequests, LeavesOtherRequestsAsTheyAre)
{
    const HttpHeaders headers{{"Authorization", "Basic x"}, {"x-org", "a"}};
    std::optional<ForwardRefusal> refusal;
    for (const RoutingTablePointer &table :
         {RoutingTablePointer(), std::make_shared<const RoutingTable>()}) {
        const ParsedCallerRequest parsed = parseFor(table, "/a/b", headers, refusal);
        EXPECT_FALSE(refusal);
        EXPECT_NE(parsed.m_request->m_head.find("Authorization: Basic x\r\nx-org: a\r\n"),
                  std::string::npos);
    }
    parseFor(tableWithOrganisations(), "/none/b", headers, refusal);
    EXPECT_FALSE(refusal);
}

} // namespace arbutusgrade
