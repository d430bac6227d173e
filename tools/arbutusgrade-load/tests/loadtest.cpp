#include "load.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "standins/httpserver.h"

namespace arbutusgrade::load {
namespace {

std::string answer(const std::string &included, const std::string &lacking,
                   const std::string &entries)
{
    return R"({"requestId":"r1","outcome":"complete","snapshot":{"epoch":1,"version":7},)"
           R"("coverage":{"included":[)"
           + included + R"(],"lacking":[)" + lacking + R"(]},"entries":[)" + entries + "]}";
}

std::string entry(const std::string &record, const std::string &request, int version)
{
    return R"({"record":")" + record + R"(","requestId":")" + request + R"(","epoch":1,"version":)"
           + std::to_string(version) + "}";
}

std::string check(const std::string &body)
{
    Sample sample;
    return readAnswer(200, body, "r1", true, sample);
}

// Guards against load runs that pass although answers break G1, G2 or G3.
TEST(ReadAnswer, NamesTheGuaranteeThatAnAnswerBreaks)
{
    EXPECT_EQ(check(answer(R"("a")", "", entry("a/0", "r1", 7))), "");
    EXPECT_NE(check(answer(R"("a")", "", entry("a/0", "r2", 7))), "") << "crossed entry";
    EXPECT_NE(check(answer(R"("a")", "", entry("a/0", "r1", 8))), "") << "other snapshot";
    EXPECT_NE(check(answer(R"("a","b")", "", entry("a/0", "r1", 7))), "") << "shard not in entries";
    EXPECT_NE(check(answer(R"("a")", R"({"shard":"a"})", entry("a/0", "r1", 7))), "")
        << "shard in both lists";
    EXPECT_NE(check(answer(R"("a")", R"({"shard":"b"})", entry("a/0", "r1", 7))), "")
        << "complete with a lacking shard";
    EXPECT_NE(check(answer(R"("a")", "", entry("a/0", "r1", 7) + "," + entry("a/0", "r1", 7))), "")
        << "merged twice";
}

// Guards against outcomes that callers would take for others by the status alone.
TEST(ReadAnswer, StatusMustFitTheOutcome)
{
    Sample sample;
    EXPECT_EQ(readAnswer(503, R"({"requestId":"r1","outcome":"not-run"})", "r1", true, sample), "");
    EXPECT_EQ(sample.m_outcome, "not-run");
    EXPECT_NE(readAnswer(502, R"({"requestId":"r1","outcome":"not-run"})", "r1", true, sample), "");
    EXPECT_EQ(readAnswer(0, "", "r1", true, sample), "");
    EXPECT_EQ(sample.m_outcome, "no-answer");
}

//! A node of which the test decides the answers, and options of a run against it.
class AnsweringNode
{
public:
    explicit AnsweringNode(standins::HttpHandler handler) : m_server(m_context, std::move(handler))
    {
        m_options.m_nodes = {NodeAddress{"127.0.0.1", m_server.listen(0)}};
        m_options.m_mix = {KindLoad{"search", 1, ""}};
        m_options.m_rate = 1000;
        m_options.m_arrivals = Arrivals::Fixed;
        m_options.m_length = std::chrono::milliseconds(20);
        m_options.m_balancerPoll = Duration(0);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~AnsweringNode()
    {
        m_context.stop();
        m_thread.join();
    }

    AnsweringNode(const AnsweringNode &) = delete;
    AnsweringNode &operator=(const AnsweringNode &) = delete;

    boost::asio::io_context m_context{1};
    LoadOptions m_options;

private:
    standins::HttpServer m_server;
    std::thread m_thread;
};

// Guards against runs that cannot be repeated, and rates that are not those asked for.
TEST(DrawArrivals, SameSeedSameTimesAtTheRateGiven)
{
    LoadOptions options;
    options.m_rate = 1000;
    options.m_length = std::chrono::seconds(10);
    const std::vector<Duration> poisson = drawArrivals(options);
    EXPECT_EQ(poisson, drawArrivals(options));
    EXPECT_NEAR(static_cast<double>(poisson.size()), 10000, 400);
    options.m_arrivals = Arrivals::Fixed;
    EXPECT_NEAR(static_cast<double>(drawArrivals(options).size()), 10000, 1);
}

// Guards against quantiles that leave out the slowest answers or count the warm-up.
TEST(Summarise, CountsOnlyTheMeasuredPartAndItsQuantiles)
{
    LoadResult result;
    result.m_mix = {KindLoad{"search", 1, ""}};
    result.m_length = std::chrono::seconds(1);
    for (int i = 1; i <= 1000; ++i) {
        Sample sample;
        sample.m_outcome = i > 990 ? "partial" : "complete";
        sample.m_latency = std::chrono::milliseconds(i);
        sample.m_included = i > 990 ? 9 : 10;
        sample.m_lacking = i > 990 ? 1 : 0;
        result.m_samples.push_back(sample);
    }
    result.m_samples.front().m_intended = Duration(-1);
    const KindSummary summary = summarise(result).front();
    EXPECT_EQ(summary.m_sent, 999U);
    EXPECT_EQ(summary.m_p99, std::chrono::milliseconds(991));
    EXPECT_EQ(summary.m_maximum, std::chrono::milliseconds(1000));
    EXPECT_NEAR(summary.m_coverage, 1.0 - 10.0 / 9990.0, 1e-9);
}

// Guards against latencies that count from the actual sending and so hide a stall of a daemon.
TEST(RunLoad, AStallShowsInAllRequestsThatWereDueInIt)
{
    const std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
    AnsweringNode node(
        [&](const standins::HttpRequest &request, const standins::Responder &responder) {
            if (request.m_method == "GET") {
                responder(standins::HttpResponse{200, "{}"});
                return;
            }
            // The timer lives in its handler, so it ends before the context does.
            const std::shared_ptr<boost::asio::steady_timer> timer =
                std::make_shared<boost::asio::steady_timer>(node.m_context, end);
            timer->async_wait([timer, responder](boost::system::error_code) {
                responder(standins::HttpResponse{503, R"({"outcome":"not-run"})"});
            });
        });
    node.m_options.m_rate = 100;
    node.m_options.m_length = std::chrono::milliseconds(300);
    const LoadResult result = runLoad(node.m_options);
    ASSERT_EQ(result.m_samples.size(), 29U);
    for (const Sample &sample : result.m_samples) {
        EXPECT_GT(sample.m_intended + sample.m_latency, std::chrono::milliseconds(400));
    }
}

// Guards against a second send to the node that has just lost the first one, which counts an order
// as unanswered although another node would have answered it.
TEST(RunLoad, SecondSendGoesToAnotherNode)
{
    AnsweringNode node([](const standins::HttpRequest &, const standins::Responder &responder) {
        responder(standins::HttpResponse{503, R"({"outcome":"not-run"})"});
    });
    constexpr std::uint16_t closedPort = 9; // The discard service, which nothing serves here.
    node.m_options.m_nodes.insert(node.m_options.m_nodes.begin(),
                                  NodeAddress{"127.0.0.1", closedPort});
    node.m_options.m_rate = 20'000;
    node.m_options.m_resends = 1;
    const LoadResult result = runLoad(node.m_options);
    EXPECT_EQ(result.m_samples.size(), 399U);
    for (const Sample &sample : result.m_samples) {
        EXPECT_NE(sample.m_outcome, "no-answer") << sample.m_id;
    }
}

// Guards against a run that never ends, because a poll that was due at the end polls on and on.
TEST(RunLoad, EndsAlthoughAPollIsDueAtTheEnd)
{
    AnsweringNode node([](const standins::HttpRequest &, const standins::Responder &responder) {
        responder(standins::HttpResponse{200, "{}"});
    });
    node.m_options.m_balancerPoll = Duration(50);
    constexpr int runs = 20; // A poll is due at the end of only some of them.
    for (int run = 0; run < runs; ++run) {
        EXPECT_EQ(runLoad(node.m_options).m_samples.size(), 19U);
    }
}

// Guards against a bound that passes because its figure is missing or its sign is misread.
TEST(CheckBounds, BrokenAndMissingFiguresFail)
{
    const Ratios figures{{"search", {{"p99Ms", 2.1}}}};
    std::string text;
    EXPECT_TRUE(checkBounds({*parseBound("search.p99Ms<=2.2")}, figures, text));
    EXPECT_FALSE(checkBounds({*parseBound("search.p99Ms<=2")}, figures, text));
    EXPECT_FALSE(checkBounds({*parseBound("search.p99Ms>=2.2")}, figures, text));
    EXPECT_FALSE(checkBounds({*parseBound("search.p50Ms<=2")}, figures, text));
    EXPECT_FALSE(parseBound("search.p99Ms<2").has_value());
    EXPECT_FALSE(parseBound("search<=2").has_value());
}

} // namespace
} // namespace arbutusgrade::load
