#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "details/nodeimplementation.h"

namespace arbutusgrade {

namespace json = boost::json;

namespace {

// The share is floor(connections / nodes); the page shows it beside what is in use.
json::array describeTargets(const std::vector<TargetView> &views)
{
    json::array targets;
    for (const TargetView &view : views) {
        targets.push_back(json::object{
            {"target", view.m_target},
            {"service", view.m_service},
            {"draining", view.m_draining},
            {"ejected", view.m_ejected},
            {"inFlight", view.m_inFlight},
            {"limit", view.m_limit},
            {"connectionShare", view.m_connectionShare},
            {"latencyP95Ms", static_cast<double>(view.m_latencyP95.count()) / 1000.0}});
    }
    return targets;
}

json::object describeInvariants(const InvariantCounters &counters)
{
    json::object invariants;
    for (std::size_t index = 0; index < invariantCount; ++index) {
        invariants[invariantName(static_cast<Invariant>(index))] = json::object{
            {"checks", counters.m_checks[index]}, {"violations", counters.m_violations[index]}};
    }
    return invariants;
}

json::value ageInSeconds(const std::optional<TimePoint> &time)
{
    if (!time) {
        return nullptr;
    }
    return std::chrono::duration<double>(steadyNow() - *time).count();
}

void addQueryMetrics(MetricFamilies &families, const QueryStatistics &statistics)
{
    addCounter(families, "arbutusgrade_requests_total", "Requests submitted.",
               static_cast<double>(statistics.m_requests));
    for (std::size_t index = 0; index < statistics.m_outcomes.size(); ++index) {
        addCounter(families, "arbutusgrade_answers_total", "Answers by outcome.",
                   static_cast<double>(statistics.m_outcomes[index]),
                   {{"outcome", outcomeName(static_cast<Outcome>(index))}});
    }
    const std::pair<std::string_view, std::uint64_t> attempts[] = {
        {"first", statistics.m_firstAttempts},
        {"hedge", statistics.m_hedges},
        {"retry", statistics.m_retries}};
    for (const std::pair<std::string_view, std::uint64_t> &attempt : attempts) {
        addCounter(families, "arbutusgrade_attempts_total", "Attempts by cause.",
                   static_cast<double>(attempt.second), {{"cause", attempt.first}});
    }
    addCounter(families, "arbutusgrade_dropped_replies_total",
               "Replies that were late, crossed or duplicated.",
               static_cast<double>(statistics.m_droppedReplies));
    addGauge(families, "arbutusgrade_queued", "Sub-requests that wait for capacity.",
             static_cast<double>(statistics.m_queued));
    addGauge(families, "arbutusgrade_attempts_in_flight", "Attempts that wait for a reply.",
             static_cast<double>(statistics.m_inFlight));
}

void addInvariantMetrics(MetricFamilies &families, const InvariantCounters &counters)
{
    for (std::size_t index = 0; index < invariantCount; ++index) {
        addCounter(families, "arbutusgrade_invariant_checks_total", "Checks by invariant.",
                   static_cast<double>(counters.m_checks[index]),
                   {{"invariant", invariantName(static_cast<Invariant>(index))}});
    }
    for (std::size_t index = 0; index < invariantCount; ++index) {
        addCounter(families, "arbutusgrade_invariant_violations_total", "Violations by invariant.",
                   static_cast<double>(counters.m_violations[index]),
                   {{"invariant", invariantName(static_cast<Invariant>(index))}});
    }
}

void addStoreMetrics(MetricFamilies &families, const StoreClientStatistics &statistics)
{
    const std::pair<std::string_view, std::uint64_t> calls[] = {{"read", statistics.m_reads},
                                                                {"write", statistics.m_writes},
                                                                {"lease", statistics.m_leases},
                                                                {"watch", statistics.m_watches},
                                                                {"vm-list", statistics.m_vmLists}};
    for (const std::pair<std::string_view, std::uint64_t> &call : calls) {
        addCounter(families, "arbutusgrade_store_calls_total", "Calls of the store by operation.",
                   static_cast<double>(call.second), {{"operation", call.first}});
    }
    addCounter(families, "arbutusgrade_store_unavailable_total",
               "Calls of the store that ended without an answer.",
               static_cast<double>(statistics.m_unavailable));
}

void addConnectionMetrics(MetricFamilies &families, const TargetClientStatistics &targets,
                          const HttpServerStatistics &server)
{
    addGauge(families, "arbutusgrade_connections", "Open connections by hop.",
             static_cast<double>(server.m_connections), {{"hop", "caller"}});
    addGauge(families, "arbutusgrade_connections", "Open connections by hop.",
             static_cast<double>(targets.m_connections), {{"hop", "target"}});
    addCounter(families, "arbutusgrade_target_connections_opened_total",
               "Connections to targets that were started.", static_cast<double>(targets.m_opened));
    addCounter(families, "arbutusgrade_target_connect_failures_total",
               "Connections to targets that could not be made.",
               static_cast<double>(targets.m_connectFailures));
    addGauge(families, "arbutusgrade_attempts_waiting", "Attempts that wait for a connection.",
             static_cast<double>(targets.m_waiting));
    addCounter(families, "arbutusgrade_cancels_total", "Cancel messages sent to targets.",
               static_cast<double>(targets.m_cancels));
    addCounter(families, "arbutusgrade_mismatched_replies_total",
               "Replies that echoed identifiers of another attempt.",
               static_cast<double>(targets.m_mismatches));
    addCounter(families, "arbutusgrade_rejected_requests_total",
               "Requests that were malformed, oversized, slow or truncated.",
               static_cast<double>(server.m_rejectedRequests));
}

void addByteMetrics(MetricFamilies &families, const HopStatistics &caller,
                    const HopStatistics &target, const HopStatistics &store)
{
    const std::pair<std::string_view, const HopStatistics *> hops[] = {
        {"caller", &caller}, {"target", &target}, {"store", &store}};
    for (const std::pair<std::string_view, const HopStatistics *> &hop : hops) {
        addCounter(families, "arbutusgrade_hop_bytes_total", "Bytes by hop and direction.",
                   static_cast<double>(hop.second->m_bytesIn),
                   {{"hop", hop.first}, {"direction", "in"}});
        addCounter(families, "arbutusgrade_hop_bytes_total", "Bytes by hop and direction.",
                   static_cast<double>(hop.second->m_bytesOut),
                   {{"hop", hop.first}, {"direction", "out"}});
    }
    for (const std::pair<std::string_view, const HopStatistics *> &hop : hops) {
        addCounter(families, "arbutusgrade_hop_requests_total", "Requests by hop.",
                   static_cast<double>(hop.second->m_messages), {{"hop", hop.first}});
    }
}

} // namespace

std::vector<std::string> NodeShell::Implementation::unreadyReasons() const
{
    std::vector<std::string> reasons;
    if (m_shutdown) {
        reasons.emplace_back("shutting down");
    }
    if (m_revision < 0) {
        reasons.emplace_back("no settings in force");
    }
    for (const std::unique_ptr<NodeService> &service : m_services) {
        if (const std::optional<std::string> reason = service->unreadyReason()) {
            reasons.push_back(*reason);
        }
    }
    return reasons;
}

json::object NodeShell::Implementation::status() const
{
    json::object status{
        {"node", m_options.m_node},
        {"incarnation", m_options.m_incarnation},
        {"dataCentre", m_self.m_dataCentre},
        {"revision", m_revision},
        {"shuttingDown", m_shutdown.has_value()},
        {"uptimeSeconds", std::chrono::duration<double>(steadyNow() - m_started).count()},
        {"storeContactAgeSeconds", ageInSeconds(m_store.statistics().m_lastContact)},
        {"requestsInFlight", requestsInFlight(*m_engine)},
        {"targets", describeTargets(targetViews(*m_engine))},
        {"invariants", describeInvariants(invariantCounters(*m_engine))}};
    for (const std::unique_ptr<NodeService> &service : m_services) {
        service->contributeStatus(status);
    }
    return status;
}

MetricFamilies NodeShell::Implementation::metrics()
{
    MetricFamilies families;
    addQueryMetrics(families, queryStatistics(*m_engine));
    addInvariantMetrics(families, invariantCounters(*m_engine));
    addStoreMetrics(families, m_store.statistics());
    const TargetClientStatistics targets = m_targets.statistics();
    const HttpServerStatistics server = m_server.statistics();
    addConnectionMetrics(families, targets, server);
    addByteMetrics(families, server.m_hop, targets.m_hop, m_store.statistics().m_hop);
    addGauge(families, "arbutusgrade_settings_revision", "Revision of the settings in force.",
             static_cast<double>(m_revision));
    m_answerLatency.collect(families);
    for (const std::unique_ptr<NodeService> &service : m_services) {
        service->contributeMetrics(families);
    }
    return families;
}

void NodeShell::Implementation::addStatusRoutes()
{
    m_server.addRoute("GET", "/healthz", [](const HttpRequest &, const HttpResponder &responder) {
        HttpResponse response;
        response.m_body = R"({"status":"ok"})";
        responder(std::move(response));
    });
    m_server.addRoute(
        "GET", "/readyz", [this](const HttpRequest &, const HttpResponder &responder) {
            const std::vector<std::string> reasons = unreadyReasons();
            HttpResponse response;
            response.m_status = reasons.empty() ? 200 : 503;
            json::array list(reasons.begin(), reasons.end());
            response.m_body = json::serialize(
                json::object{{"ready", reasons.empty()}, {"reasons", std::move(list)}});
            responder(std::move(response));
        });
    m_server.addRoute("GET", "/v1/status",
                      [this](const HttpRequest &, const HttpResponder &responder) {
                          HttpResponse response;
                          response.m_body = json::serialize(status());
                          responder(std::move(response));
                      });
    m_server.addRoute("GET", "/metrics",
                      [this](const HttpRequest &, const HttpResponder &responder) {
                          HttpResponse response;
                          response.m_contentType = "text/plain; version=0.0.4; charset=utf-8";
                          response.m_body = serializeMetrics(metrics());
                          responder(std::move(response));
                      });
}

} // namespace arbutusgrade
