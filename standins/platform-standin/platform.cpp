#include "platform.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>

#include "standins/jsonpatch.h"

namespace arbutusgrade::standins {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t valueLimitBytes = 1024U * 1024U;
// Expired leases and waiting watches are looked at this often.
constexpr milliseconds watchPeriod{50};

std::string_view afterPrefix(const std::string &path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return {};
    }
    return std::string_view(path).substr(prefix.size());
}

json::object describeKey(std::string_view key, const KeyState &state)
{
    return {{"key", key}, {"value", state.m_value}, {"revision", state.m_revision}};
}

json::object errorBody(std::string_view text)
{
    return {{"error", text}};
}

} // namespace

Platform::Platform(boost::asio::io_context &context, std::uint64_t seed)
    : m_context(context),
      m_server(context, [this](const HttpRequest &request,
                               const Responder &responder) { handle(request, responder); }),
      m_watchTimer(context), m_random{seed}
{
    checkWatchesLater();
}

std::uint16_t Platform::listen(std::uint16_t port)
{
    return m_server.listen(port);
}

PlatformFaults &Platform::faults()
{
    return m_faults;
}

void Platform::after(std::int64_t delay, std::function<void()> action)
{
    if (delay <= 0) {
        action();
        return;
    }
    const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(m_context, milliseconds(delay));
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code) { action(); });
}

void Platform::handle(const HttpRequest &request, const Responder &responder)
{
    if (request.m_path == "/v1/faults" || request.m_path == "/v1/statistics"
        || (request.m_path == "/v1/vms" && request.m_method == "PUT")) {
        handleControl(request, responder);
        return;
    }
    if (m_faults.m_hang) {
        ++m_counts["hung"];
        return;
    }
    if (m_faults.m_down) {
        ++m_counts["refusedDown"];
        responder(HttpResponse{503, {}, ReplyMode::Close});
        return;
    }
    after(m_faults.m_delayMs, [this, request, responder] { perform(request, responder); });
}

void Platform::handleControl(const HttpRequest &request, const Responder &responder)
{
    if (request.m_path == "/v1/statistics") {
        responder(HttpResponse{200, json::serialize(statistics())});
        return;
    }
    boost::system::error_code error;
    const json::value body = json::parse(request.m_body, error);
    if (error || !body.is_object()) {
        responder(HttpResponse{400, json::serialize(errorBody("the body is not a JSON object"))});
        return;
    }
    std::string problem;
    if (request.m_path == "/v1/vms") {
        const json::value *vms = body.as_object().if_contains("vms");
        if (vms != nullptr && vms->is_array()) {
            m_vms.emplace_back(steady_clock::now(), vms->as_array());
        } else {
            problem = "vms is not an array";
        }
    } else if (request.m_method == "PUT") {
        problem = applyFaults(body.as_object());
    }
    if (!problem.empty()) {
        responder(HttpResponse{400, json::serialize(errorBody(problem))});
        return;
    }
    responder(HttpResponse{200, "{}"});
}

std::string Platform::applyFaults(json::object patch)
{
    const json::value *rollback = patch.if_contains("rollback");
    if (rollback != nullptr) {
        const json::object empty;
        const json::object &place = rollback->is_object() ? rollback->as_object() : empty;
        const json::value *key = place.if_contains("key");
        const json::value *revision = place.if_contains("revision");
        if (key == nullptr || revision == nullptr || !key->is_string() || !revision->is_int64()
            || !m_store.rollBack(std::string(key->as_string()), revision->as_int64())) {
            return "rollback names no state that is known";
        }
        patch.erase("rollback");
    }
    std::string copyProblem = applyCopyFaults(patch);
    if (!copyProblem.empty()) {
        return copyProblem;
    }
    const std::array<PatchField, 8> fields{{
        {"down", &m_faults.m_down},
        {"hang", &m_faults.m_hang},
        {"delayMs", &m_faults.m_delayMs},
        {"replyDelayMs", &m_faults.m_replyDelayMs},
        {"loseReplies", &m_faults.m_loseReplies},
        {"callsPerSecond", &m_faults.m_callsPerSecond},
        {"vmLagMs", &m_faults.m_vmLagMs},
        {"hideEra", &m_faults.m_hideEra},
    }};
    return applyPatch(patch, fields);
}

// {"copy": true} keeps a copy of the store; {"restore": true} puts the store back to it.
std::string Platform::applyCopyFaults(json::object &patch)
{
    if (patch.erase("copy") > 0) {
        m_copy = m_store;
    }
    if (patch.erase("restore") == 0) {
        return {};
    }
    if (!m_copy) {
        return "there is no copy to restore";
    }
    m_store.restore(*m_copy);
    ++m_era;
    completePrefixWatches();
    return {};
}

// The limit holds over the last second, whatever the type of the calls.
bool Platform::admitCall()
{
    const StoreTime now = steady_clock::now();
    while (!m_recentCalls.empty() && m_recentCalls.front() + seconds(1) <= now) {
        m_recentCalls.pop_front();
    }
    const std::uint64_t recent = m_recentCalls.size();
    if (m_faults.m_callsPerSecond > 0
        && recent >= static_cast<std::uint64_t>(m_faults.m_callsPerSecond)) {
        ++m_counts["rateLimited"];
        return false;
    }
    m_recentCalls.push_back(now);
    m_peakCallsPerSecond = std::max(m_peakCallsPerSecond, recent + 1);
    return true;
}

void Platform::reply(const Responder &responder, unsigned status, const json::value &body)
{
    HttpResponse response{status, json::serialize(body)};
    if (!m_faults.m_hideEra) {
        response.m_headers.emplace_back("Store-Era", std::to_string(m_era));
    }
    if (nextRandomUnit(m_random) < m_faults.m_loseReplies) {
        ++m_counts["lostReplies"];
        response.m_mode = ReplyMode::Close;
    }
    after(m_faults.m_replyDelayMs, [responder, response] { responder(response); });
}

void Platform::perform(const HttpRequest &request, const Responder &responder)
{
    if (!admitCall()) {
        reply(responder, 429, errorBody("more calls than the rate limit allows"));
        return;
    }
    if (handlePublishedCall(request, responder)) {
        return;
    }
    const StoreTime now = steady_clock::now();
    const std::string &path = request.m_path;
    const std::string_view key = afterPrefix(path, "/v1/keys/");
    const std::string_view watched = afterPrefix(path, "/v1/watch/");
    const std::string_view lease = afterPrefix(path, "/v1/leases/");
    if (!key.empty() && request.m_method == "GET") {
        get(std::string(key), responder);
    } else if (!key.empty() && request.m_method == "PUT") {
        put(request, std::string(key), responder);
    } else if (!watched.empty() && request.m_method == "GET") {
        watch(request, std::string(watched), responder);
    } else if (path == "/v1/leases" && request.m_method == "POST") {
        ++m_counts["leaseCreate"];
        const seconds timeToLive(numberParameter(request, "ttlSeconds", 10));
        reply(responder, 200, json::object{{"lease", m_store.createLease(timeToLive, now)}});
    } else if (!lease.empty() && request.m_method == "PUT") {
        ++m_counts["leaseKeepAlive"];
        const std::int64_t id = std::strtoll(std::string(lease).c_str(), nullptr, 10);
        if (m_store.keepAlive(id, now)) {
            reply(responder, 200, json::object{{"lease", id}});
        } else {
            reply(responder, 404, errorBody("the lease has lapsed"));
        }
    } else if (path == "/v1/vms" && request.m_method == "GET") {
        ++m_counts["vms"];
        showVms(responder);
    } else {
        ++m_counts["unknown"];
        reply(responder, 404, errorBody("no such call"));
    }
}

void Platform::get(const std::string &key, const Responder &responder)
{
    ++m_counts["get"];
    const std::optional<KeyState> state = m_store.get(key, steady_clock::now());
    if (state) {
        reply(responder, 200, describeKey(key, *state));
    } else {
        reply(responder, 404, errorBody("no such key"));
    }
}

void Platform::put(const HttpRequest &request, const std::string &key, const Responder &responder)
{
    ++m_counts["put"];
    if (request.m_body.size() > valueLimitBytes) {
        reply(responder, 413, errorBody("the value is longer than 1 MiB"));
        return;
    }
    const std::int64_t lease = numberParameter(request, "lease", 0);
    if (lease != 0 && !m_store.hasLease(lease, steady_clock::now())) {
        ++m_counts["lapsedLease"];
        reply(responder, 404, errorBody("the lease has lapsed"));
        return;
    }
    std::optional<std::int64_t> expected;
    if (request.m_parameters.contains("expected")) {
        expected = numberParameter(request, "expected", -1);
    }
    const PutResult result = m_store.put(key, request.m_body, expected, lease, steady_clock::now());
    if (!result.m_written) {
        ++m_counts["conflict"];
    }
    reply(responder, result.m_written ? 200 : 412, describeKey(key, result.m_state));
    checkWatches();
}

void Platform::watch(const HttpRequest &request, const std::string &key, const Responder &responder)
{
    ++m_counts["watch"];
    const seconds wait(numberParameter(request, "waitSeconds", 30));
    m_watches.push_back(
        Watch{key, numberParameter(request, "after", 0), steady_clock::now() + wait, responder});
    checkWatches();
}

// A watch ends when the key has a revision above the one named (200), or at its end (204).
void Platform::checkWatches()
{
    const StoreTime now = steady_clock::now();
    std::vector<Watch> waiting;
    std::vector<Watch> watches = std::move(m_watches);
    for (Watch &watch : watches) {
        const std::optional<KeyState> state = m_store.get(watch.m_key, now);
        if (state && state->m_revision > watch.m_after) {
            reply(watch.m_responder, 200, describeKey(watch.m_key, *state));
        } else if (now >= watch.m_end) {
            watch.m_responder(HttpResponse{204, {}});
        } else {
            waiting.push_back(std::move(watch));
        }
    }
    m_watches = std::move(waiting);
}

void Platform::checkWatchesLater()
{
    m_watchTimer.expires_after(watchPeriod);
    m_watchTimer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        if (m_faults.m_down) {
            for (const Watch &watch : m_watches) {
                watch.m_responder(HttpResponse{503, {}, ReplyMode::Close});
            }
            m_watches.clear();
            for (const PrefixWatch &watch : m_prefixWatches) {
                watch.m_responder(HttpResponse{503, {}, ReplyMode::Close});
            }
            m_prefixWatches.clear();
        }
        completePrefixWatches();
        checkWatches();
        checkWatchesLater();
    });
}

// Shows the newest list that is older than the lag.
void Platform::showVms(const Responder &responder)
{
    const StoreTime limit = steady_clock::now() - milliseconds(m_faults.m_vmLagMs);
    json::array shown;
    for (const std::pair<StoreTime, json::array> &state : m_vms) {
        if (state.first <= limit) {
            shown = state.second;
        }
    }
    reply(responder, 200, json::object{{"vms", shown}});
}

json::object Platform::statistics() const
{
    json::object calls;
    for (const std::pair<const std::string, std::uint64_t> &count : m_counts) {
        calls[count.first] = count.second;
    }
    return {{"calls", calls},
            {"waitingWatches", m_watches.size()},
            {"keys", m_store.keyCount()},
            {"peakCallsPerSecond", m_peakCallsPerSecond},
            {"connections", m_server.openConnections()},
            {"maximumConnections", m_server.maximumConnections()}};
}

} // namespace arbutusgrade::standins
