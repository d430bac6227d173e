#include "target.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/post.hpp>

namespace arbutusgrade::standins {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr int entriesForEachShard = 2;
constexpr std::size_t healthHistoryLimit = 4096;

TimePoint currentTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

json::object snapshotBody(Snapshot snapshot)
{
    return {{"epoch", snapshot.m_epoch}, {"version", snapshot.m_version}};
}

std::string textMember(const json::object &body, std::string_view name)
{
    const json::value *value = body.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t numberMember(const json::object &body, std::string_view name, std::int64_t fallback)
{
    const json::value *value = body.if_contains(name);
    if (value == nullptr) {
        return fallback;
    }
    boost::system::error_code error;
    const std::int64_t number = value->to_number<std::int64_t>(error);
    return error ? fallback : number;
}

bool flagMember(const json::object &body, std::string_view name, bool fallback)
{
    const json::value *value = body.if_contains(name);
    return value != nullptr && value->is_bool() ? value->as_bool() : fallback;
}

std::optional<json::object> parseObject(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

} // namespace

Target::Target(boost::asio::io_context &context, std::uint16_t port, std::uint64_t seed,
               const TargetBehaviour &behaviour)
    : m_context(context), m_port(port), m_random{seed}, m_behaviour(behaviour),
      m_server(context, [this](const HttpRequest &request,
                               const Responder &responder) { handle(request, responder); }),
      m_restartTimer(context), m_snapshots{HeldSnapshot{Snapshot{1, 1}, farFuture}}
{
}

void Target::start()
{
    m_server.setConnectionLimit(static_cast<std::size_t>(m_behaviour.m_connectionLimit));
    m_server.setConnectTime(Duration(static_cast<std::int64_t>(m_behaviour.m_connectMs * 1000)));
    m_server.listen(m_port);
    m_dead = false;
    ++m_starts;
    m_startTime = currentTime();
}

std::uint16_t Target::port() const
{
    return m_port;
}

void Target::handle(const HttpRequest &request, const Responder &responder)
{
    if (control(request, responder)) {
        return;
    }
    if (m_behaviour.m_frozen) {
        return;
    }
    if (request.m_path == "/v1/execute" && request.m_method == "POST") {
        std::optional<Job> job = parseJob(request.m_body, responder);
        if (job) {
            accept(std::move(*job));
        }
    } else if (request.m_path == "/v1/cancel" && request.m_method == "POST") {
        cancel(request.m_body, responder);
    } else if (request.m_path == "/v1/health") {
        responder(HttpResponse{200, json::serialize(laggingState(health()))});
    } else if (request.m_path == "/v1/load") {
        const json::object state = laggingState(health());
        responder(HttpResponse{200, json::serialize(state.at("load"))});
    } else {
        responder(HttpResponse{404, R"({"error":"no such call"})"});
    }
}

bool Target::control(const HttpRequest &request, const Responder &responder)
{
    const std::string &path = request.m_path;
    if (path == "/v1/statistics") {
        responder(HttpResponse{200, json::serialize(statistics())});
        return true;
    }
    if (path == "/v1/crash") {
        responder(HttpResponse{200, "{}"});
        crash();
        return true;
    }
    if (path != "/v1/faults" && path != "/v1/snapshots") {
        return false;
    }
    const std::optional<json::object> body = parseObject(request.m_body);
    std::string problem = "the body is not a JSON object";
    if (body) {
        problem = path == "/v1/faults" ? patchBehaviour(m_behaviour, *body) : changeSnapshot(*body);
    }
    m_server.setConnectionLimit(static_cast<std::size_t>(m_behaviour.m_connectionLimit));
    m_server.setConnectTime(Duration(static_cast<std::int64_t>(m_behaviour.m_connectMs * 1000)));
    noteDrain();
    startJobs();
    responder(problem.empty()
                  ? HttpResponse{200, "{}"}
                  : HttpResponse{400, json::serialize(json::object{{"error", problem}})});
    return true;
}

void Target::noteDrain()
{
    if (!m_behaviour.m_draining) {
        m_drainTime.reset();
    } else if (!m_drainTime) {
        m_drainTime = currentTime();
        m_statistics.m_startedAfterDrain = 0;
        m_statistics.m_arrivedAfterDrainMs = -1;
    }
}

std::string Target::changeSnapshot(const json::object &body)
{
    const Snapshot snapshot{static_cast<std::uint64_t>(numberMember(body, "epoch", 0)),
                            static_cast<std::uint64_t>(numberMember(body, "version", 0))};
    if (snapshot.m_epoch == 0 || snapshot.m_version == 0) {
        return "epoch and version are numbers above 0";
    }
    const milliseconds keep(numberMember(body, "keepMs", m_behaviour.m_snapshotKeepMs));
    advanceSnapshot(m_snapshots, snapshot, currentTime(), keep);
    return {};
}

std::optional<Target::Job> Target::parseJob(const std::string &body, const Responder &responder)
{
    const std::optional<json::object> object = parseObject(body);
    if (!object || !object->contains("attemptId") || textMember(*object, "requestId").empty()) {
        ++m_statistics.m_malformed;
        responder(HttpResponse{400, R"({"error":"attemptId or requestId is missing"})"});
        return std::nullopt;
    }
    Job job;
    job.m_number = m_nextJob++;
    job.m_attempt = object->at("attemptId");
    job.m_attemptKey = json::serialize(job.m_attempt);
    job.m_requestId = textMember(*object, "requestId");
    job.m_shard = textMember(*object, "shard");
    job.m_snapshot = Snapshot{static_cast<std::uint64_t>(numberMember(*object, "epoch", 0)),
                              static_cast<std::uint64_t>(numberMember(*object, "version", 0))};
    const std::int64_t deadline = numberMember(*object, "deadlineMs", -1);
    if (deadline >= 0) {
        job.m_deadline = currentTime() + milliseconds(deadline);
    }
    job.m_idempotent = flagMember(*object, "idempotent", true);
    if (object->contains("payload")) {
        job.m_payload = object->at("payload");
    }
    job.m_responder = responder;
    return job;
}

// A request without a snapshot is served from the newest one.
bool Target::chooseSnapshot(Job &job)
{
    dropEndedSnapshots(m_snapshots, currentTime());
    if (job.m_snapshot == Snapshot{}) {
        job.m_snapshot = m_snapshots.back().m_snapshot;
        return true;
    }
    return std::any_of(m_snapshots.begin(), m_snapshots.end(), [&job](const HeldSnapshot &held) {
        return held.m_snapshot == job.m_snapshot;
    });
}

void Target::accept(Job job)
{
    if (m_drainTime) {
        const Duration age = currentTime() - *m_drainTime;
        m_statistics.m_arrivedAfterDrainMs = std::chrono::duration_cast<milliseconds>(age).count();
        if (m_behaviour.m_refuseWhenDraining) {
            ++m_statistics.m_refusedDraining;
            refuse(job, 503, "draining");
            return;
        }
    }
    if (!chooseSnapshot(job)) {
        ++m_statistics.m_snapshotGone;
        refuse(job, 409, "snapshot-gone");
        return;
    }
    const std::int64_t running = static_cast<std::int64_t>(m_running.size());
    const std::int64_t queued = static_cast<std::int64_t>(m_queued.size());
    if (running >= m_behaviour.m_slots && queued >= m_behaviour.m_queueLimit) {
        ++m_statistics.m_shed;
        refuse(job, 503, "shed");
        return;
    }
    m_queued.push_back(std::move(job));
    startJobs();
}

void Target::startJobs()
{
    while (!m_dead && !m_queued.empty()
           && static_cast<std::int64_t>(m_running.size()) < m_behaviour.m_slots) {
        const auto job = m_queued.begin();
        if (job->m_deadline <= currentTime()) {
            ++m_statistics.m_expired;
            refuse(*job, 503, "shed");
            m_queued.erase(job);
            continue;
        }
        m_running.splice(m_running.end(), m_queued, job);
        startJob(job);
    }
}

void Target::startJob(Jobs::iterator job)
{
    ++m_statistics.m_executions;
    ++m_statistics.m_executionsByShard[job->m_shard];
    if (m_drainTime) {
        ++m_statistics.m_startedAfterDrain;
    }
    if (!job->m_idempotent) {
        ++m_statistics.m_onceExecutions[job->m_requestId];
    }
    if (job->m_payload.is_object() && flagMember(job->m_payload.as_object(), "crash", false)) {
        // The callers of this function walk the lists that a crash clears.
        boost::asio::post(m_context, [this] { crash(); });
        return;
    }
    const bool cold = currentTime() < m_startTime + milliseconds(m_behaviour.m_coldMs);
    job->m_timer = std::make_unique<boost::asio::steady_timer>(
        m_context, drawServiceTime(m_behaviour, m_random, cold));
    // A timer that has fired can still be waiting to run when a crash or cancel removes the job.
    job->m_timer->async_wait([this, number = job->m_number](boost::system::error_code error) {
        if (!error) {
            finishJob(number);
        }
    });
}

void Target::finishJob(std::uint64_t number)
{
    const auto job = std::find_if(m_running.begin(), m_running.end(), [number](const Job &running) {
        return running.m_number == number;
    });
    if (job == m_running.end()) {
        return;
    }
    if (nextRandomUnit(m_random) < m_behaviour.m_errorProbability) {
        ++m_statistics.m_errors;
        json::object body = describe(*job);
        body["status"] = "error";
        reply(*job, 500, std::move(body));
    } else {
        ++m_statistics.m_completed;
        json::object body = describe(*job);
        body["status"] = "ok";
        body["entries"] = entries(*job);
        reply(*job, 200, std::move(body));
    }
    m_running.erase(job);
    startJobs();
}

void Target::refuse(const Job &job, unsigned status, std::string_view name)
{
    json::object body = describe(job);
    body["status"] = name;
    body["notStarted"] = true;
    reply(job, status, std::move(body));
}

void Target::reply(const Job &job, unsigned status, json::object body)
{
    HttpResponse response;
    response.m_status = status;
    if (m_behaviour.m_frozen) {
        return;
    }
    if (nextRandomUnit(m_random) < m_behaviour.m_crossedAttemptProbability) {
        ++m_statistics.m_crossed;
        body["attemptId"] =
            job.m_attempt.is_string() ? json::value("crossed-attempt") : json::value(987654321);
    }
    if (nextRandomUnit(m_random) < m_behaviour.m_crossedRequestProbability) {
        ++m_statistics.m_crossed;
        body["requestId"] = "crossed-request";
    }
    if (nextRandomUnit(m_random) < m_behaviour.m_doubledProbability) {
        ++m_statistics.m_doubled;
        response.m_mode = ReplyMode::Twice;
    }
    if (nextRandomUnit(m_random) < m_behaviour.m_loseReplyProbability) {
        response.m_mode = ReplyMode::Close;
    }
    response.m_body = json::serialize(body);
    job.m_responder(response);
}

json::object Target::describe(const Job &job)
{
    return {{"attemptId", job.m_attempt},
            {"requestId", job.m_requestId},
            {"shard", job.m_shard},
            {"snapshot", snapshotBody(job.m_snapshot)},
            {"holdings", holdings()},
            {"load", load()},
            {"draining", m_behaviour.m_draining},
            {"startId", std::to_string(m_port) + "-" + std::to_string(m_starts)}};
}

// Entries name the request, shard and snapshot, so that a caller can tell whose they are.
json::array Target::entries(const Job &job) const
{
    json::array result;
    for (int number = 0; number < entriesForEachShard; ++number) {
        result.push_back(json::object{{"record", job.m_shard + "/" + std::to_string(number)},
                                      {"requestId", job.m_requestId},
                                      {"epoch", job.m_snapshot.m_epoch},
                                      {"version", job.m_snapshot.m_version},
                                      {"target", m_port}});
    }
    return result;
}

json::array Target::holdings()
{
    dropEndedSnapshots(m_snapshots, currentTime());
    json::array result;
    for (const HeldSnapshot &held : m_snapshots) {
        result.push_back(snapshotBody(held.m_snapshot));
    }
    return result;
}

json::object Target::load() const
{
    return {
        {"running", m_running.size()}, {"queued", m_queued.size()}, {"slots", m_behaviour.m_slots}};
}

json::object Target::health()
{
    return {{"status", m_behaviour.m_draining ? "draining" : "ok"},
            {"draining", m_behaviour.m_draining},
            {"startId", std::to_string(m_port) + "-" + std::to_string(m_starts)},
            {"holdings", holdings()},
            {"load", load()}};
}

// States are kept only when they are asked for, so the lag is at least the time set.
json::object Target::laggingState(const json::object &current)
{
    json::object shown = current;
    const TimePoint now = currentTime();
    if (m_behaviour.m_healthLagMs > 0) {
        m_healthHistory.emplace_back(now, current);
        const TimePoint limit = now - milliseconds(m_behaviour.m_healthLagMs);
        while (
            m_healthHistory.size() > 1
            && (m_healthHistory[1].first <= limit || m_healthHistory.size() > healthHistoryLimit)) {
            m_healthHistory.pop_front();
        }
        shown = m_healthHistory.front().second;
    }
    if (m_behaviour.m_healthAlwaysGood) {
        shown["status"] = "ok";
        shown["draining"] = false;
        shown["load"] = json::object{{"running", 0}, {"queued", 0}, {"slots", m_behaviour.m_slots}};
    }
    return shown;
}

void Target::cancel(const std::string &body, const Responder &responder)
{
    ++m_statistics.m_cancelRequests;
    const std::optional<json::object> object = parseObject(body);
    if (!object || !object->contains("attemptId")) {
        responder(HttpResponse{400, R"({"error":"attemptId is missing"})"});
        return;
    }
    const std::string key = json::serialize(object->at("attemptId"));
    const std::string requestId = textMember(*object, "requestId");
    std::vector<std::pair<Jobs *, Jobs::iterator>> matches;
    for (Jobs *jobs : {&m_queued, &m_running}) {
        for (auto job = jobs->begin(); job != jobs->end(); ++job) {
            if (job->m_attemptKey == key && (requestId.empty() || requestId == job->m_requestId)) {
                matches.emplace_back(jobs, job);
            }
        }
    }
    responder(HttpResponse{200, "{}"});
    if (matches.size() > 1) {
        ++m_statistics.m_ambiguousCancels;
        return;
    }
    // Work that may not run twice is not broken off once it runs.
    if (matches.empty()
        || (matches.front().first == &m_running && !matches.front().second->m_idempotent)) {
        return;
    }
    ++m_statistics.m_cancelled;
    const Jobs::iterator job = matches.front().second;
    if (matches.front().first == &m_queued) {
        refuse(*job, 503, "shed");
    } else {
        json::object answer = describe(*job);
        answer["status"] = "error";
        reply(*job, 500, std::move(answer));
    }
    matches.front().first->erase(job);
    startJobs();
}

void Target::crash()
{
    if (m_dead) {
        return;
    }
    m_dead = true;
    ++m_statistics.m_crashes;
    m_running.clear();
    m_queued.clear();
    m_healthHistory.clear();
    m_server.close();
    m_restartTimer.expires_after(milliseconds(m_behaviour.m_restartMs));
    m_restartTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            restart();
        }
    });
}

// Another process may hold the port for a moment after a long absence.
void Target::restart()
{
    try {
        start();
    } catch (const boost::system::system_error &) {
        m_restartTimer.expires_after(milliseconds(100));
        m_restartTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                restart();
            }
        });
    }
}

json::object Target::statistics() const
{
    json::object body = statisticsBody(m_statistics);
    body["port"] = m_port;
    body["starts"] = m_starts;
    body["connections"] = m_server.openConnections();
    body["maximumConnections"] = m_server.maximumConnections();
    body["refusedConnections"] = m_server.refusedConnections();
    return body;
}

} // namespace arbutusgrade::standins
