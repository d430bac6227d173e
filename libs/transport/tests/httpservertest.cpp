#include <string>

#include <gtest/gtest.h>

#include "loopback.h"
#include "transport/transport.h"

namespace arbutusgrade {

namespace {

HttpServerOptions quickOptions()
{
    HttpServerOptions options;
    options.m_bodyLimitBytes = 1024;
    options.m_readTimeout = Duration(300'000);
    return options;
}

class HttpServerTest : public testing::Test
{
protected:
    HttpServerTest() : m_server(m_context, quickOptions())
    {
        m_server.addRoute("POST", "/echo",
                          [](const HttpRequest &request, const HttpResponder &responder) {
                              responder(HttpResponse{200, request.m_body, "text/plain", {}});
                          });
        m_server.addRoute("POST", "/later",
                          [this](const HttpRequest &, const HttpResponder &later) {
                              m_pending.push_back(later);
                          });
        EXPECT_FALSE(m_server.listen("127.0.0.1", 0));
    }

    std::string exchange(std::string_view request, std::string_view expected)
    {
        RawClient client(m_context, m_server.port());
        client.send(request);
        runUntil(m_context, [&] { return client.received(expected) || client.isClosed(); });
        return client.text();
    }

    void expectStillServing()
    {
        EXPECT_NE(exchange("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok", "ok")
                      .find("200 OK"),
                  std::string::npos);
    }

    asio::io_context m_context;
    HttpServer m_server;
    std::vector<HttpResponder> m_pending;
};

} // namespace

// Guards against requests of one connection that are answered out of order or not at all.
TEST_F(HttpServerTest, KeepsConnectionForPipelinedRequests)
{
    RawClient client(m_context, m_server.port());
    const std::string request = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n";
    client.send(request + "one" + request + "two");
    ASSERT_TRUE(runUntil(m_context, [&] { return client.received("two"); }));
    EXPECT_LT(client.text().find("one"), client.text().find("two"));
    EXPECT_EQ(m_server.statistics().m_accepted, 1U);
}

// Guards against answers that are timed without the way to the caller, or with the handshake
// counted for each request of a connection.
TEST_F(HttpServerTest, TellsTheRoundTripAndTheFirstRequestOfAConnection)
{
    std::vector<HttpRequest> requests;
    m_server.addRoute("GET", "/note",
                      [&requests](const HttpRequest &request, const HttpResponder &responder) {
                          requests.push_back(request);
                          responder(HttpResponse{});
                      });
    RawClient client(m_context, m_server.port());
    const std::string request = "GET /note HTTP/1.1\r\nHost: x\r\n\r\n";
    client.send(request + request);
    ASSERT_TRUE(runUntil(m_context, [&] { return requests.size() == 2; }));
    EXPECT_TRUE(requests[0].m_isFirst);
    EXPECT_FALSE(requests[1].m_isFirst);
    ASSERT_TRUE(requests[0].m_roundTrip.has_value());
    EXPECT_GT(*requests[0].m_roundTrip, Duration::zero());
    EXPECT_LT(*requests[0].m_roundTrip, Duration(1'000'000));
    EXPECT_EQ(requests[1].m_roundTrip, requests[0].m_roundTrip);
}

// Guards against a caller whose chunk extension or trailers never end and fill the memory.
TEST_F(HttpServerTest, RejectsEndlessFraming)
{
    const std::string head = "POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(16 * 1024, 'a');
    for (const std::string start : {"4;name=", "0\r\nX-Trailer: "}) {
        RawClient client(m_context, m_server.port());
        client.send(head + start);
        std::size_t sent = 0;
        while (client.text().empty() && !client.isClosed() && sent < 4 * 1024 * 1024) {
            client.send(filler);
            sent += filler.size();
            runUntil(
                m_context, [] { return false; }, std::chrono::milliseconds(1));
        }
        EXPECT_LT(sent, 512U * 1024);
        EXPECT_EQ(client.text().find("HTTP/1.1 408"), std::string::npos);
    }
    expectStillServing();
}

// Guards against malformed requests that get no answer or take the server down.
TEST_F(HttpServerTest, AnswersMalformedRequestWith400)
{
    EXPECT_NE(exchange("nonsense\r\n\r\n", "400").find("400 Bad Request"), std::string::npos);
    EXPECT_NE(exchange("POST /echo HTTP/1.1\r\nContent-Length: abc\r\n\r\n", "400").find("400"),
              std::string::npos);
    expectStillServing();
    EXPECT_EQ(m_server.statistics().m_rejectedRequests, 2U);
}

// Guards against oversized bodies and headers that are read into memory.
TEST_F(HttpServerTest, AnswersOversizedRequestWith413Or431)
{
    const std::string body(2000, 'x');
    EXPECT_NE(
        exchange("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + body, "413")
            .find("413"),
        std::string::npos);
    const std::string chunked =
        "POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "7d0\r\n"
        + body + "\r\n0\r\n\r\n";
    EXPECT_NE(exchange(chunked, "413").find("413"), std::string::npos);
    const std::string header(20000, 'h');
    EXPECT_NE(exchange("POST /echo HTTP/1.1\r\nX-Long: " + header + "\r\n\r\n", "431").find("431"),
              std::string::npos);
    expectStillServing();
}

// Guards against a connection that keeps the size limits which were in force when it began to wait:
// proper requests would get 413 after the limits were raised, and larger ones than allowed would be
// read after they were lowered.
TEST_F(HttpServerTest, AppliesTheSizeLimitsInForceToAWaitingConnection)
{
    const std::string body(4000, 'b');
    const std::string largeBody =
        "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n" + body;
    const std::string largeHead = "POST /echo HTTP/1.1\r\nHost: x\r\nX-Long: "
                                  + std::string(30'000, 'h') + "\r\nContent-Length: 2\r\n\r\nok";
    RawClient unused(m_context, m_server.port());
    RawClient used(m_context, m_server.port());
    used.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nfirst");
    ASSERT_TRUE(runUntil(m_context, [&] { return used.received("first"); }));
    runFor(m_context, std::chrono::milliseconds(20));
    HttpServerOptions options = quickOptions();
    options.m_bodyLimitBytes = 8000;
    options.m_headerLimitBytes = 64 * 1024;
    m_server.setOptions(options);
    for (RawClient *client : {&unused, &used}) {
        client->send(largeBody);
        EXPECT_TRUE(runUntil(m_context, [&] { return client->received(body); })) << client->text();
        client->send(largeHead);
        EXPECT_TRUE(runUntil(m_context, [&] { return client->received("ok"); })) << client->text();
    }
    runFor(m_context, std::chrono::milliseconds(20));
    m_server.setOptions(quickOptions());
    unused.send(largeHead);
    used.send(largeBody);
    EXPECT_TRUE(runUntil(m_context, [&] { return unused.received("HTTP/1.1 431"); }));
    EXPECT_TRUE(runUntil(m_context, [&] { return used.received("HTTP/1.1 413"); }));
}

// Guards against an idle connection that is closed by an idle timeout which is no longer in force,
// and against one that outlives a shorter one.
TEST_F(HttpServerTest, AppliesTheIdleTimeoutInForceToAWaitingConnection)
{
    HttpServerOptions options = quickOptions();
    options.m_idleTimeout = Duration(200'000);
    m_server.setOptions(options);
    RawClient client(m_context, m_server.port());
    client.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(runUntil(m_context, [&] { return client.received("ok"); }));
    options.m_idleTimeout = Duration(2'000'000);
    m_server.setOptions(options);
    runFor(m_context, std::chrono::milliseconds(700));
    EXPECT_FALSE(client.isClosed());
    options.m_idleTimeout = Duration(200'000);
    m_server.setOptions(options);
    EXPECT_TRUE(runUntil(
        m_context, [&] { return client.isClosed(); }, std::chrono::milliseconds(1000)));
}

// Guards against slow senders that hold a connection and its buffers for ever.
TEST_F(HttpServerTest, AnswersSlowRequestWith408)
{
    EXPECT_NE(exchange("POST /echo HTTP/1.1\r\nContent-Le", "408").find("408"), std::string::npos);
    EXPECT_NE(exchange("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345", "408")
                  .find("408"),
              std::string::npos);
    expectStillServing();
}

// Guards against truncated requests that are taken for complete ones.
TEST_F(HttpServerTest, AnswersTruncatedRequestWith400)
{
    RawClient client(m_context, m_server.port());
    client.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345");
    client.endSending();
    ASSERT_TRUE(runUntil(m_context, [&] { return client.isClosed(); }));
    EXPECT_TRUE(client.received("400 Bad Request"));
    expectStillServing();
}

// Guards against a response that is written to a connection that is gone.
TEST_F(HttpServerTest, ToleratesCallerThatDisconnects)
{
    {
        RawClient client(m_context, m_server.port());
        client.send("POST /later HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        ASSERT_TRUE(runUntil(m_context, [&] { return m_pending.size() == 1; }));
    }
    m_pending.front()(HttpResponse{200, std::string(500000, 'z'), "text/plain", {}});
    m_pending.front()(HttpResponse{500, "second answer", "text/plain", {}});
    EXPECT_TRUE(runUntil(m_context, [&] { return m_server.requestsInFlight() == 0; }));
    expectStillServing();
}

// Guards against prefixes that match inside a path segment, and wrong codes for wrong methods.
TEST_F(HttpServerTest, MatchesWholeSegmentsAndMethods)
{
    EXPECT_NE(exchange("POST /echoes HTTP/1.1\r\nHost: x\r\n\r\n", "404").find("404"),
              std::string::npos);
    EXPECT_NE(exchange("GET /echo HTTP/1.1\r\nHost: x\r\n\r\n", "405").find("405"),
              std::string::npos);
}

// Guards against a planned stop that resets requests which have arrived but were not read yet, on
// an idle connection or on one that was not accepted.
TEST_F(HttpServerTest, StopAnswersRequestsThatHaveArrived)
{
    const std::string request = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok";
    RawClient idle(m_context, m_server.port());
    runFor(m_context, std::chrono::milliseconds(20));
    RawClient notAccepted(m_context, m_server.port());
    idle.send(request);
    notAccepted.send(request);
    m_server.stopAccepting();
    EXPECT_EQ(m_server.requestsInFlight(), 2U);
    EXPECT_TRUE(runUntil(m_context, [&] { return idle.isClosed() && notAccepted.isClosed(); }));
    EXPECT_TRUE(idle.received("200 OK"));
    EXPECT_TRUE(notAccepted.received("200 OK"));
    EXPECT_TRUE(notAccepted.received("Connection: close"));
}

// Guards against a planned stop that drops requests which a caller sent ahead on its connection.
TEST_F(HttpServerTest, StopAnswersRequestsThatWereSentAhead)
{
    const std::string later = "POST /later HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    const std::string echo = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n";
    RawClient client(m_context, m_server.port());
    client.send(later + echo + "one" + echo + "two");
    ASSERT_TRUE(runUntil(m_context, [&] { return m_pending.size() == 1; }));
    m_server.announceClose();
    m_server.stopAccepting();
    m_pending.front()(HttpResponse{200, "first", "text/plain", {}});
    EXPECT_TRUE(runUntil(m_context, [&] { return client.isClosed(); }));
    for (const std::string_view body : {"first", "one", "two"}) {
        EXPECT_TRUE(client.received(body)) << body;
    }
    EXPECT_TRUE(client.received("Connection: close"));
}

// Guards against a shutdown that cuts off a request in flight or keeps idle connections.
TEST_F(HttpServerTest, StopAnswersRequestInFlight)
{
    RawClient busy(m_context, m_server.port());
    RawClient idle(m_context, m_server.port());
    busy.send("POST /later HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(runUntil(m_context, [&] { return m_pending.size() == 1; }));
    m_server.stopAccepting();
    EXPECT_TRUE(runUntil(m_context, [&] { return idle.isClosed(); }));
    EXPECT_EQ(m_server.requestsInFlight(), 1U);
    m_pending.front()(HttpResponse{200, "late answer", "text/plain", {}});
    EXPECT_TRUE(
        runUntil(m_context, [&] { return busy.received("late answer") && busy.isClosed(); }));
    EXPECT_TRUE(busy.received("Connection: close"));
}

// Guards against a request that is cut off in its head or body and is run, alone or behind a whole
// one on the same connection.
TEST_F(HttpServerTest, CutRequestIsNotRun)
{
    const std::string whole = "PUT /whole HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok";
    const std::vector<std::string> requests{
        whole, "GET /a HTTP/1.1\r\nHost: x\r\nX-Id: 12\r\n folded\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\n\r\nGET / HTTP/1",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "10;a=b\r\n0123456789abcdef\r\n1\r\nx\r\n0\r\nX-Trailer: 1\r\n\r\n"};
    int wholeRuns = 0;
    int cutRuns = 0;
    int expectedWholeRuns = 0;
    m_server.setFallback([&](const HttpRequest &request, const HttpResponder &responder) {
        const bool isWhole = request.m_path == "/whole";
        wholeRuns += isWhole ? 1 : 0;
        cutRuns += isWhole ? 0 : 1;
        responder(HttpResponse{200, "", "text/plain", {}});
    });
    std::vector<std::unique_ptr<RawClient>> silent;
    for (const std::string &request : requests) {
        for (std::size_t cut = 0; cut < request.size(); ++cut) {
            for (const std::string &before : {std::string(), whole}) {
                expectedWholeRuns += before.empty() ? 0 : 1;
                const std::string text = before + request.substr(0, cut);
                RawClient closing(m_context, m_server.port());
                closing.send(text);
                closing.endSending();
                EXPECT_TRUE(runUntil(m_context, [&] { return closing.isClosed(); })) << text;
                if (before.empty()) {
                    RawClient resetting(m_context, m_server.port());
                    resetting.send(text);
                    resetting.reset();
                    silent.push_back(std::make_unique<RawClient>(m_context, m_server.port()));
                    silent.back()->send(text);
                }
            }
        }
    }
    runFor(m_context, std::chrono::milliseconds(400));
    EXPECT_EQ(cutRuns, 0);
    EXPECT_EQ(wholeRuns, expectedWholeRuns);
    for (const std::unique_ptr<RawClient> &client : silent) {
        EXPECT_EQ(client->text().find("200"), std::string::npos) << client->text();
    }
    expectStillServing();
}

// Guards against an answer to HEAD with a body, such as that of an error: the caller would take it
// for the beginning of the next answer on the connection.
TEST_F(HttpServerTest, AnswerToHeadHasNoBody)
{
    m_server.setFallback([](const HttpRequest & /*request*/, const HttpResponder &responder) {
        responder(HttpResponse{502, "an error", "text/plain", {}});
    });
    RawClient client(m_context, m_server.port());
    client.send("HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil(m_context, [&] { return client.received("\r\n\r\n"); }));
    EXPECT_TRUE(client.text().ends_with("\r\n\r\n")) << client.text();
    EXPECT_TRUE(client.received("Content-Length: 8\r\n"));
    const std::size_t headBytes = client.text().size();
    client.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil(m_context, [&] { return client.text().ends_with("an error"); }));
    EXPECT_TRUE(client.text().substr(headBytes).starts_with("HTTP/1.1 502")) << client.text();
    const std::string malformed =
        exchange("HEAD /a HTTP/1.1\r\nHost: x\r\n\r\nno request\r\n\r\n", "\"}");
    EXPECT_TRUE(malformed.ends_with("}")) << malformed;
}

} // namespace arbutusgrade
