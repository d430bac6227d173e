#include <benchmark/benchmark.h>

#include "quota/quota.h"

//! @brief Time of decisions and reports of the shared quotas.
namespace arbutusgrade {
namespace {

constexpr QuotaTolerance tolerance{std::chrono::seconds(5), 0.1, 20.0};
constexpr int organisations = 76;

//! Keeps the last messages; nothing is delivered.
class LastMessages : public QuotaOutput
{
public:
    void sendReport(std::string_view, const QuotaReport &report) override
    {
        m_report = report;
    }
    void sendReply(std::string_view, const QuotaReply &reply) override
    {
        m_reply = reply;
        ++m_replies;
    }
    void decided(std::uint64_t, const QuotaDecision &) override { }
    void coordinatorChanged(std::uint32_t, std::string_view, std::string_view) override { }

    QuotaReport m_report;
    QuotaReply m_reply;
    std::size_t m_replies = 0;
};

std::string organisationName(int index)
{
    return "organisation" + std::to_string(index);
}

//! A limiter that has chosen `coordinator` among the nodes.
struct BenchmarkNode
{
    BenchmarkNode(std::string_view name, std::string_view coordinator, int nodes)
        : m_limiter({std::string(name), tolerance, 7}, m_now, m_output)
    {
        std::vector<OrganisationLimit> limits;
        limits.reserve(organisations);
        for (int index = 0; index < organisations; ++index) {
            limits.push_back({organisationName(index), {1e6, 1e6}});
        }
        std::vector<QuotaPeer> peers;
        for (int node = 0; node < nodes; ++node) {
            const std::string peer = "node" + std::to_string(node);
            peers.push_back({peer, peer == coordinator ? 1e6 : 1e-6});
        }
        m_limiter.setLimits(m_now, limits);
        m_limiter.setPeers(m_now, peers, nodes);
    }

    TimePoint m_now{std::chrono::seconds(100)};
    LastMessages m_output;
    QuotaLimiter m_limiter;
};

//! Measures a decision with a token held, and the reports and replies for it.
void admitWithToken(benchmark::State &state)
{
    BenchmarkNode node("node0", "node0", 2);
    std::uint64_t request = 0;
    std::size_t admitted = 0;
    const std::string organisation = organisationName(5);
    while (state.KeepRunning()) {
        node.m_now += Duration(10);
        admitted += node.m_limiter.admit(node.m_now, organisation, ++request).m_verdict
                            == QuotaVerdict::Admitted
                        ? 1U
                        : 0U;
        if (node.m_now >= node.m_limiter.nextTimer()) {
            node.m_limiter.advance(node.m_now);
        }
    }
    state.counters["admitted"] =
        static_cast<double>(admitted) / static_cast<double>(std::max<std::uint64_t>(request, 1));
}

//! Measures the handling of a report at a coordinator of many nodes, with its reply.
void handleReport(benchmark::State &state)
{
    constexpr int nodes = 300;
    // 300 nodes have three partitions; the reports are for partition 0.
    BenchmarkNode node("node0", "node0", nodes);
    std::vector<QuotaReport> reports(nodes);
    for (int peer = 1; peer < nodes; ++peer) {
        QuotaReport &report = reports[static_cast<std::size_t>(peer)];
        report.m_nodeSession = static_cast<std::uint64_t>(peer);
        report.m_partitions = 3;
        for (int index = 0; index < organisations; ++index) {
            const std::uint64_t hash = stableHash(organisationName(index));
            if (hash % 3 == 0 && static_cast<std::int64_t>(report.m_uses.size()) < state.range(0)) {
                report.m_uses.push_back({hash, 0, 0, 1, 0});
            }
        }
    }
    std::size_t next = 0;
    while (state.KeepRunning()) {
        next = next % (nodes - 1) + 1;
        QuotaReport &report = reports[next];
        node.m_now += Duration(1000);
        report.m_sentAt = node.m_now.time_since_epoch().count();
        node.m_limiter.receiveReport(node.m_now, "node" + std::to_string(next), report);
        report.m_coordinatorSession = node.m_output.m_reply.m_coordinatorSession;
        report.m_coordinatorTime = node.m_output.m_reply.m_coordinatorTime;
        report.m_nodes = nodes;
    }
    state.counters["replies"] =
        static_cast<double>(node.m_output.m_replies) / static_cast<double>(state.iterations());
    state.counters["share"] = node.m_limiter.statistics().m_delegatedShare;
}

BENCHMARK(admitWithToken);
BENCHMARK(handleReport)->Arg(0)->Arg(1)->Arg(8)->Arg(24);

} // namespace
} // namespace arbutusgrade

BENCHMARK_MAIN();
