#include <atomic>
#include <set>
#include <thread>

#include "systemtest.h"

namespace arbutusgrade::support {
namespace {

namespace json = boost::json;

std::string snapshotBody(int epoch, int version, int keepMs)
{
    return json::serialize(
        json::object{{"epoch", epoch}, {"version", version}, {"keepMs", keepMs}});
}

// Guards against answers that mix index versions while these move from service to service.
TEST(Snapshots, VersionsMoveDuringSearchesAndEachAnswerHasOne)
{
    Site site(sendernettPlan(3), programs);
    site.startNodes();
    std::atomic<bool> stop = false;
    std::thread mover([&site, &stop] {
        for (int version = 2; !stop; ++version) {
            for (int place = 0; place < 30; ++place) {
                site.callTarget(TargetLocation{"feilsok", place / 3, place % 3}, "POST",
                                "/v1/snapshots", snapshotBody(1, version, 3000));
                std::this_thread::sleep_for(milliseconds(10));
            }
        }
    });
    const load::LoadResult result =
        load::runLoad(makeLoad(site, "fault-history-search:2,alarm-lookup:1", 60, 6));
    stop = true;
    mover.join();
    expectNoProblems(result);
    const std::vector<load::KindSummary> kinds = load::summarise(result);
    EXPECT_EQ(kinds[0].m_outcomes.count("failed"), 0U);
    EXPECT_GE(kinds[0].m_coverage, 0.999) << "old versions stay available long enough";
}

// Guards against answers that count the shards of one partitioning and hold those of another.
TEST(Snapshots, RepartitioningDuringSearchesKeepsEachAnswerInOneEpoch)
{
    SitePlan plan = sendernettPlan(3);
    plan.m_partitionings = "    partitionings:\n"
                           "      - {epoch: 1, services: [feilsok-01, feilsok-02, feilsok-03, "
                           "feilsok-04, feilsok-05, feilsok-06]}\n"
                           "      - {epoch: 2, services: [feilsok-05, feilsok-06, feilsok-07, "
                           "feilsok-08, feilsok-09, feilsok-10]}\n";
    Site site(plan, programs);
    for (int service = 6; service < 10; ++service) {
        for (int replica = 0; replica < 3; ++replica) {
            site.callTarget(TargetLocation{"feilsok", service, replica}, "POST", "/v1/snapshots",
                            snapshotBody(2, 1, 0));
        }
    }
    site.startNodes();
    std::thread mover([&site] {
        for (int place = 0; place < 6; ++place) {
            std::this_thread::sleep_for(milliseconds(150));
            site.callTarget(TargetLocation{"feilsok", 4 + place / 3, place % 3}, "POST",
                            "/v1/snapshots", snapshotBody(2, 1, 5000));
        }
    });
    std::set<std::int64_t> epochs;
    for (int number = 0; number < 400 && epochs.count(2) * number < 300; ++number) {
        const std::string id = "search-" + std::to_string(number);
        const HttpReply reply = site.query(number % 3, makeRequest(id, "fault-history-search"));
        load::Sample sample;
        EXPECT_EQ(load::readAnswer(reply.m_status, reply.m_body, id, true, sample), "");
        ASSERT_EQ(sample.m_outcome, "complete") << reply.m_body;
        const json::object answer = jsonBody(reply);
        const std::int64_t epoch = answer.at("snapshot").at("epoch").to_number<std::int64_t>();
        epochs.insert(epoch);
        EXPECT_EQ(sample.m_included, 6);
        const bool hasFirst = reply.m_body.find("\"feilsok-01\"") != std::string::npos;
        const bool hasLast = reply.m_body.find("\"feilsok-10\"") != std::string::npos;
        EXPECT_EQ(hasFirst, epoch == 1) << reply.m_body;
        EXPECT_EQ(hasLast, epoch == 2) << reply.m_body;
        std::this_thread::sleep_for(milliseconds(10));
    }
    mover.join();
    EXPECT_EQ(epochs, (std::set<std::int64_t>{1, 2}));
}

} // namespace
} // namespace arbutusgrade::support
