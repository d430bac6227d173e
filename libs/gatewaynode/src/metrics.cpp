#include <array>

#include "details/nodeimplementation.h"

namespace arbutusgrade {

namespace {

constexpr std::array<std::string_view, answerKindCount> answerNames{
    "relayed",   "merged",      "no-route",     "refused",       "failed",
    "timed-out", "quarantined", "unauthorized", "quota-exceeded"};

void addEngineMetrics(MetricFamilies &families, const ForwardStatistics &engine)
{
    const auto counter = [&families](std::string_view name, std::string_view help,
                                     std::uint64_t value) {
        addCounter(families, name, help, static_cast<double>(value));
    };
    counter("arbutusgrade_requests_total", "Requests of callers", engine.m_requests);
    for (std::size_t kind = 0; kind < answerNames.size(); ++kind) {
        addCounter(families, "arbutusgrade_answers_total", "Answers by kind",
                   static_cast<double>(engine.m_answers[kind]), {{"kind", answerNames[kind]}});
    }
    counter("arbutusgrade_partial_answers_total", "Searches with shards missing", engine.m_partial);
    counter("arbutusgrade_attempts_total", "Requests sent to targets", engine.m_attempts);
    counter("arbutusgrade_hedges_total", "Second attempts as the first was late", engine.m_hedges);
    counter("arbutusgrade_retries_total", "Attempts after a failed one", engine.m_retries);
    counter("arbutusgrade_repeats_total", "Attempts at a target that had the request before",
            engine.m_repeats);
    counter("arbutusgrade_budget_denied_total", "Extra attempts beyond the budget",
            engine.m_budgetDenied);
    counter("arbutusgrade_foreign_replies_total", "Replies that belong to another request",
            engine.m_mismatches);
    counter("arbutusgrade_callers_gone_total", "Callers that left before their answer",
            engine.m_callerDisconnects);
    counter("arbutusgrade_probes_total", "Connections opened to targets that were down",
            engine.m_probes);
    counter("arbutusgrade_target_refusal_times_total",
            "Refusals in which a target asked for no requests for a time", engine.m_refusalTimes);
    counter("arbutusgrade_targets_leaving_total", "Targets that said in a reply that they leave",
            engine.m_leavingTargets);
    counter("arbutusgrade_crashes_total", "Crashes of targets attributed to requests",
            engine.m_crashes);
    counter("arbutusgrade_crashes_cleared_total", "Shared crashes cleared by an answer",
            engine.m_clearedCrashes);
    addCounter(families, "arbutusgrade_shutdown_requests_total", "Requests during a planned stop",
               static_cast<double>(engine.m_acceptedInShutdown), {{"decision", "accepted"}});
    addCounter(families, "arbutusgrade_shutdown_requests_total", "Requests during a planned stop",
               static_cast<double>(engine.m_refusedInShutdown), {{"decision", "refused"}});
}

void addCallerConnections(MetricFamilies &families, const HttpConnectionCounts &connections)
{
    const std::array<std::pair<std::string_view, std::size_t>, 5> states{
        {{"idle", connections.m_idle},
         {"reading", connections.m_reading},
         {"handling", connections.m_handling},
         {"writing", connections.m_writing},
         {"draining", connections.m_draining}}};
    for (const std::pair<std::string_view, std::size_t> &state : states) {
        addGauge(families, "arbutusgrade_caller_connections", "Connections of callers by state",
                 static_cast<double>(state.second), {{"state", state.first}});
    }
}

} // namespace

void GatewayNode::Implementation::addStoreMetrics(MetricFamilies &families) const
{
    const RelayedStoreStatistics &relayed = m_relayedStore->statistics();
    const RelayServer &server = m_relayedStore->server();
    const auto counter = [&families](std::string_view name, std::string_view help,
                                     std::uint64_t value, MetricLabels labels = {}) {
        addCounter(families, name, help, static_cast<double>(value), labels);
    };
    constexpr std::string_view watches = "arbutusgrade_store_watches_total";
    counter(watches, "Watches by who was asked", relayed.m_storeWatches, {{"source", "store"}});
    counter(watches, "Watches by who was asked", relayed.m_relayAnswers, {{"source", "relay"}});
    counter("arbutusgrade_relay_doubts_total", "Answers of relays that were not used",
            relayed.m_rejectedAnswers);
    constexpr std::string_view served = "arbutusgrade_relay_served_total";
    counter(served, "Watches of other nodes", server.statistics().m_answered,
            {{"result", "answered"}});
    counter(served, "Watches of other nodes", server.statistics().m_refused,
            {{"result", "refused"}});
    counter("arbutusgrade_store_replies_discarded_total",
            "Replies of the store that belong to another era", m_store.discardedReplies());
    addGauge(families, "arbutusgrade_relay_role", "1 if the node is a relay",
             m_relayedStore->isRelay() ? 1.0 : 0.0);
    addGauge(families, "arbutusgrade_relay_pending", "Watches of other nodes that wait",
             static_cast<double>(server.pendingCalls()));
}

MetricFamilies GatewayNode::Implementation::metrics() const
{
    const ForwardStatistics &engine = m_engine.statistics();
    const ForwardClientStatistics &client = m_client.statistics();
    const HttpServerStatistics callers = m_callerServer.statistics();
    MetricFamilies families;
    const auto counter = [&families](std::string_view name, std::string_view help,
                                     std::uint64_t value) {
        addCounter(families, name, help, static_cast<double>(value));
    };
    addEngineMetrics(families, engine);
    counter("arbutusgrade_connections_opened_total", "Connections to targets", client.m_opened);
    counter("arbutusgrade_connect_failures_total", "Connections to targets that failed",
            client.m_connectFailures);
    counter("arbutusgrade_replies_given_up_total",
            "Replies of targets given up as all together took too much memory",
            client.m_givenUpReplies);
    addGauge(families, "arbutusgrade_reply_bytes_held",
             "Bytes of large replies that are read or passed on",
             static_cast<double>(client.m_heldBytes));
    addStoreMetrics(families);
    counter("arbutusgrade_log_lines_dropped_total", "Decisions beyond the bound of the log",
            m_decisionLog.droppedLines());
    addGauge(families, "arbutusgrade_requests_in_flight", "Requests without an answer",
             static_cast<double>(engine.m_inFlight));
    addGauge(families, "arbutusgrade_target_connections", "Open connections to targets",
             static_cast<double>(client.m_connections));
    addGauge(families, "arbutusgrade_reply_bytes_buffered", "Bytes of replies not complete yet",
             static_cast<double>(client.m_hop.m_bufferedBytes));
    addGauge(families, "arbutusgrade_configuration_version", "Version in force",
             m_engine.routing() ? static_cast<double>(m_engine.routing()->m_version) : 0.0);
    addGauge(families, "arbutusgrade_ready", "1 if the node takes requests", isReady() ? 1.0 : 0.0);
    counter("arbutusgrade_connections_closed_unread_total",
            "Idle connections of callers closed with bytes that were not read",
            callers.m_closedWithUnreadBytes);
    counter("arbutusgrade_requests_rejected_total",
            "Requests of callers that were malformed, too large or too slow to arrive",
            callers.m_rejectedRequests);
    constexpr std::string_view exceptions = "arbutusgrade_connection_exceptions_total";
    constexpr std::string_view exceptionsHelp = "Connections ended by an exception, by peer";
    addCounter(families, exceptions, exceptionsHelp,
               static_cast<double>(callers.m_hop.m_exceptions), {{"peer", "caller"}});
    addCounter(families, exceptions, exceptionsHelp, static_cast<double>(client.m_hop.m_exceptions),
               {{"peer", "target"}});
    addCallerConnections(families, m_callerServer.connectionCounts());
    if (m_quotaService.isActive()) {
        addGauge(families, "arbutusgrade_quota_requests_waiting", "Requests that wait for a token",
                 static_cast<double>(m_admission.waitingRequests()));
    }
    m_quotaService.collect(families);
    m_latency.collect(families);
    m_callerRoundTrip.collect(families);
    return families;
}

} // namespace arbutusgrade
