#include "enginefixture.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

ForwardOptions testOptions()
{
    ForwardOptions options;
    options.m_dataCentre = "a";
    options.m_budget = RetryBudgetLimits{0.2, 100.0, std::chrono::seconds(10), 1};
    options.m_warmup = WarmupTolerance{};
    return options;
}

Route searchRoute()
{
    Route route;
    route.m_name = "search";
    route.m_host = "h.example";
    route.m_prefix = "/search/";
    route.m_idempotent = true;
    route.m_timeout = std::chrono::seconds(2);
    route.m_latencyTarget = std::chrono::milliseconds(150);
    route.m_attemptLimit = 2;
    route.m_shards = {"shard-1", "shard-2"};
    route.m_topRecords = 3;
    route.m_minimumShardShare = 0.5;
    return route;
}

Route ordersRoute()
{
    Route route;
    route.m_name = "orders";
    route.m_host = "h.example";
    route.m_prefix = "/orders/";
    route.m_timeout = std::chrono::seconds(2);
    route.m_latencyTarget = std::chrono::milliseconds(400);
    route.m_attemptLimit = 2;
    route.m_services = {WeightedService{"orders", 1.0}};
    return route;
}

} // namespace

void RecordingOutput::send(const ForwardCommand &order)
{
    m_orders.push_back(order);
}

void RecordingOutput::abandon(std::uint64_t attempt)
{
    m_abandoned.push_back(attempt);
}

bool RecordingOutput::isSent(std::uint64_t /*attempt*/) const
{
    return m_connectionsAreOpen;
}

void RecordingOutput::probe(const TargetPointer &target)
{
    m_probed.push_back(target);
}

void RecordingOutput::answer(const ForwardAnswer &answer)
{
    m_answers.push_back(answer);
}

void RecordingOutput::record(const ForwardDecision &decision)
{
    m_events.emplace_back(std::string(decision.m_event) + ":" + std::string(decision.m_reason));
}

void RecordingOutput::publishCrash(const CrashReport &report)
{
    m_crashReports.push_back(report);
}

EngineTest::EngineTest() : m_engine(testOptions(), m_now, m_output)
{
    m_table.m_routes = {searchRoute(), ordersRoute()};
    m_table.m_connectionLimits = {{"shard-1", 4}, {"shard-2", 4}, {"orders", 4}};
    applyTable(1);
    for (const std::string service : {"shard-1", "shard-2", "orders"}) {
        for (const std::string dataCentre : {"a", "b", "c"}) {
            addTarget(service + dataCentre, service, dataCentre);
        }
    }
    m_engine.setNodeCount(1);
}

void EngineTest::advanceTime(Duration duration)
{
    const TimePoint end = m_now + duration;
    while (m_engine.nextTimer() <= end) {
        m_now = std::max(m_now, m_engine.nextTimer());
        m_engine.advance(m_now);
    }
    m_now = end;
}

void EngineTest::addTarget(std::string_view id, std::string_view service,
                           std::string_view dataCentre)
{
    TargetEntry entry;
    entry.m_id = id;
    entry.m_service = service;
    entry.m_dataCentre = dataCentre;
    entry.m_address = "127.0.0.1";
    entry.m_port = static_cast<std::uint16_t>(1000 + m_engine.registry().m_targets.size());
    entry.m_started = 1;
    applyEntry(m_engine.registry(), m_now, entry);
}

void EngineTest::applyTable(std::uint64_t version)
{
    m_table.m_version = version;
    m_engine.applyRoutingTable(std::make_shared<const RoutingTable>(m_table));
}

std::uint64_t EngineTest::submit(std::string_view path, Duration timeLeft,
                                 const CallerPath &callerPath)
{
    const std::shared_ptr<ForwardRequest> request = std::make_shared<ForwardRequest>();
    request->m_caller = ++m_lastCaller;
    request->m_requestId = "id-" + std::to_string(m_lastCaller);
    request->m_method = "GET";
    request->m_host = "h.example";
    request->m_path = path;
    request->m_timeLeft = timeLeft;
    request->m_callerPath = callerPath;
    request->m_fingerprint = stableHash(path);
    m_engine.submit(m_now, request);
    return m_lastCaller;
}

void EngineTest::replySuccess(const ForwardCommand &order, std::string_view body)
{
    TargetReply reply;
    reply.m_status = 200;
    reply.m_body = body;
    reply.m_receipt = "receipt-" + std::to_string(order.m_attempt);
    reply.m_echoedId = order.m_request->m_requestId;
    m_engine.attemptEnded(m_now, order.m_attempt, ForwardEnd::Reply, reply);
}

void EngineTest::endAttempt(const ForwardCommand &order, ForwardEnd end)
{
    m_engine.attemptEnded(m_now, order.m_attempt, end, {});
}

void EngineTest::replyStatus(const ForwardCommand &order, int status, bool notExecuted)
{
    TargetReply reply;
    reply.m_status = status;
    reply.m_notExecuted = notExecuted;
    m_engine.attemptEnded(m_now, order.m_attempt, ForwardEnd::Reply, reply);
}

void EngineTest::useUpRetryBudget()
{
    constexpr int maximumRequests = 200;
    const std::string delayed = "retry-delayed:no-budget";
    m_table.m_routes[1].m_idempotent = true;
    applyTable(m_table.m_version + 1);
    for (int request = 0; request < maximumRequests; ++request) {
        submit("/orders/x");
        replyStatus(lastOrder(), 500, false);
        if (std::find(m_output.m_events.begin(), m_output.m_events.end(), delayed)
            != m_output.m_events.end()) {
            return;
        }
        replyStatus(lastOrder(), 500, false);
    }
    FAIL() << "the budget of retries was not used up";
}

std::vector<ForwardCommand> EngineTest::ordersFor(std::string_view service) const
{
    std::vector<ForwardCommand> orders;
    std::copy_if(m_output.m_orders.begin(), m_output.m_orders.end(), std::back_inserter(orders),
                 [service](const ForwardCommand &order) {
                     return order.m_target->m_entry.m_service == service;
                 });
    return orders;
}

const ForwardCommand &EngineTest::lastOrder() const
{
    return m_output.m_orders.back();
}

} // namespace arbutusgrade
