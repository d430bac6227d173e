#include <malloc.h>

#include <benchmark/benchmark.h>

#include "query/query.h"

namespace arbutusgrade {
namespace {

constexpr Snapshot heldSnapshot{1, 7};

Settings benchmarkSettings(std::int64_t services)
{
    Settings settings;
    settings.m_site = "east";
    settings.m_nodes.emplace_back().m_name = "node0";
    GroupSettings &group = settings.m_groups.emplace_back();
    group.m_name = "index";
    for (std::int64_t service = 0; service < services; ++service) {
        ServiceSettings &shard = group.m_services.emplace_back();
        shard.m_name = "shard" + std::to_string(service);
        shard.m_connections = 1000;
        for (int target = 0; target < 6; ++target) {
            TargetSettings &replica = shard.m_targets.emplace_back();
            replica.m_name = shard.m_name + "-" + std::to_string(target);
            replica.m_dataCentre = "east";
        }
    }
    KindSettings &kind = settings.m_kinds.emplace_back();
    kind.m_name = "search";
    kind.m_group = "index";
    return settings;
}

struct BenchmarkEngine
{
    explicit BenchmarkEngine(std::int64_t services)
    {
        QueryOptions options;
        options.m_node = "node0";
        // All requests have the same payload, so only the first one is probed.
        m_engine = createQueryEngine(options);
        const Settings settings = benchmarkSettings(services);
        adoptSettings(*m_engine, m_now, settings, m_actions);
        for (const ServiceSettings &service : settings.m_groups.front().m_services) {
            for (const TargetSettings &target : service.m_targets) {
                TargetObservation observation;
                observation.m_target = target.m_name;
                observation.m_holdings = {heldSnapshot};
                observeTarget(*m_engine, m_now, observation, m_actions);
            }
        }
        m_actions.clear();
    }

    void submit()
    {
        CallerRequest request;
        request.m_caller = ++m_lastCaller;
        request.m_requestId = "request-" + std::to_string(m_lastCaller);
        request.m_kind = "search";
        request.m_payload = m_payload;
        submitRequest(*m_engine, m_now, request, m_actions);
    }

    //! Replies to all attempts, including those that the replies trigger.
    void replyToAll()
    {
        while (!m_actions.empty()) {
            m_now += std::chrono::microseconds(500);
            ActionList actions;
            std::swap(actions, m_actions);
            m_answered += actions.size();
            for (const Action &action : actions) {
                const SendAttempt *send = std::get_if<SendAttempt>(&action);
                if (send == nullptr) {
                    continue;
                }
                m_reply.m_attempt = send->m_attempt;
                m_reply.m_requestId = send->m_requestId;
                m_reply.m_service = send->m_service;
                m_reply.m_status = AttemptStatus::Ok;
                m_reply.m_snapshot = heldSnapshot;
                m_reply.m_holdings = {heldSnapshot};
                m_reply.m_load = TargetLoad{1, 0, 3};
                m_reply.m_startId = "start-1";
                m_reply.m_entries = "[]";
                handleAttemptReply(*m_engine, m_now, send->m_target, m_reply, m_actions);
            }
        }
    }

    QueryEnginePointer m_engine;
    TimePoint m_now{std::chrono::seconds(100)};
    ActionList m_actions;
    AttemptReply m_reply;
    std::shared_ptr<const std::string> m_payload =
        std::make_shared<const std::string>("{\"text\":\"pump station\"}");
    CallerId m_lastCaller = 0;
    std::size_t m_answered = 0;
};

//! Measures a whole request: submission, choice of targets, replies, merge and answer.
void wholeRequest(benchmark::State &state)
{
    BenchmarkEngine engine(state.range(0));
    for (int warmUp = 0; warmUp < 50; ++warmUp) {
        engine.submit();
        engine.replyToAll();
    }
    while (state.KeepRunning()) {
        engine.submit();
        engine.replyToAll();
    }
    benchmark::DoNotOptimize(engine.m_answered);
    state.counters["subRequest"] = benchmark::Counter(static_cast<double>(state.range(0)),
                                                      benchmark::Counter::kIsIterationInvariantRate
                                                          | benchmark::Counter::kInvert);
    if (totalViolations(invariantCounters(*engine.m_engine)) > 0) {
        state.SkipWithError("an invariant was violated");
    }
}

//! Measures the heap memory of the engine per request in flight, without its actions.
void memoryPerRequest(benchmark::State &state)
{
    constexpr std::size_t requests = 200;
    double bytes = 0;
    while (state.KeepRunning()) {
        BenchmarkEngine engine(state.range(0));
        engine.submit();
        engine.replyToAll();
        const struct mallinfo2 before = mallinfo2();
        for (std::size_t request = 0; request < requests; ++request) {
            engine.submit();
            engine.m_actions.clear();
            engine.m_actions.shrink_to_fit();
        }
        const struct mallinfo2 after = mallinfo2();
        bytes = static_cast<double>(after.uordblks - before.uordblks) / requests;
    }
    state.counters["bytes"] = bytes;
}

BENCHMARK(wholeRequest)->Arg(10)->Arg(30)->Arg(290)->Unit(benchmark::kMicrosecond);
BENCHMARK(memoryPerRequest)->Arg(10)->Arg(30)->Arg(290)->Iterations(1);

} // namespace
} // namespace arbutusgrade

BENCHMARK_MAIN();
