#include <algorithm>
#include <charconv>
#include <cmath>
#include <memory>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "callerpool.h"
#include "load.h"

namespace arbutusgrade::load {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t problemLimit = 10;
// Unanswered polls of /readyz take a node out just as a balancer does.
constexpr Duration pollTimeout = std::chrono::milliseconds(500);

double parseNumber(std::string_view text)
{
    double number = 0;
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() ? number : -1;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    std::size_t start = 0;
    for (;;) {
        const std::size_t end = text.find(separator, start);
        parts.push_back(text.substr(start, end - start));
        if (end == std::string_view::npos) {
            return parts;
        }
        start = end + 1;
    }
}

//! Sum of the samples of a metric in the Prometheus text format, over all label values given.
double sumMetric(const std::string &text, std::string_view name, std::string_view label)
{
    double sum = 0;
    for (const std::string_view line : split(text, '\n')) {
        if (!line.starts_with(name)
            || (!label.empty() && line.find(label) == std::string_view::npos)) {
            continue;
        }
        const std::string_view rest = line.substr(name.size());
        if (rest.empty() || (rest.front() != ' ' && rest.front() != '{')) {
            continue;
        }
        const double value = parseNumber(line.substr(line.rfind(' ') + 1));
        sum += std::max(value, 0.0);
    }
    return sum;
}

struct Request
{
    std::size_t m_kind = 0;
    std::string m_id;
    steady_clock::time_point m_intended;
    std::optional<std::size_t> m_lostAt; //!< Node whose connection gave no answer to the last send.
    Sample m_sample;
};

class Runner
{
public:
    explicit Runner(const LoadOptions &options)
        : m_options(options), m_timer(m_context),
          m_pollTimer(m_context), m_random{options.m_seed + 1}, m_arrivals(drawArrivals(options)),
          m_ready(options.m_nodes.size(), true)
    {
        m_result.m_mix = options.m_mix;
        m_result.m_rate = options.m_rate;
        m_result.m_length = options.m_length;
        for (const NodeAddress &node : options.m_nodes) {
            m_pools.push_back(std::make_unique<CallerPool>(
                m_context,
                asio::ip::tcp::endpoint(asio::ip::make_address(node.m_address), node.m_port)));
        }
    }

    LoadResult run(const std::vector<TimedAction> &actions)
    {
        const AttemptCounts before = readAttempts();
        m_start = steady_clock::now();
        std::thread actor([this, &actions] {
            for (const TimedAction &action : actions) {
                std::this_thread::sleep_until(m_start + m_options.m_warmUp + action.m_at);
                action.m_action();
            }
        });
        poll();
        sendDue();
        m_context.restart();
        m_context.run();
        actor.join();
        const AttemptCounts after = readAttempts();
        // A node that was replaced counts from zero again.
        m_result.m_attempts.m_first = std::max(0.0, after.m_first - before.m_first);
        m_result.m_attempts.m_extra = std::max(0.0, after.m_extra - before.m_extra);
        return std::move(m_result);
    }

private:
    void sendDue()
    {
        const steady_clock::time_point now = steady_clock::now();
        while (m_next < m_arrivals.size() && m_start + m_arrivals[m_next] <= now) {
            start(m_start + m_arrivals[m_next]);
            ++m_next;
        }
        if (m_next == m_arrivals.size()) {
            endIfDone();
            return;
        }
        m_timer.expires_at(m_start + m_arrivals[m_next]);
        m_timer.async_wait([this](boost::system::error_code) { sendDue(); });
    }

    void start(steady_clock::time_point intended)
    {
        const std::shared_ptr<Request> request = std::make_shared<Request>();
        request->m_kind = drawKind();
        request->m_id = m_options.m_idPrefix + "-" + std::to_string(m_options.m_seed) + "-"
                        + std::to_string(m_next);
        request->m_intended = intended;
        request->m_sample.m_kind = request->m_kind;
        request->m_sample.m_id = request->m_id;
        ++m_waiting;
        send(request);
    }

    void send(const std::shared_ptr<Request> &request)
    {
        const KindLoad &kind = m_options.m_mix[request->m_kind];
        json::object body{{"requestId", request->m_id}, {"kind", kind.m_kind}};
        if (!kind.m_service.empty()) {
            body["service"] = kind.m_service;
        }
        if (request->m_sample.m_sends > 1) {
            body["attempt"] = request->m_sample.m_sends;
        }
        const std::string head = json::serialize(body);
        const std::string text =
            head.substr(0, head.size() - 1) + ",\"payload\":" + m_options.m_payload + "}";
        const std::size_t node = chooseNode(request->m_lostAt);
        m_pools[node]->call("POST", "/v1/query", text, m_options.m_timeout,
                            [this, request, node](unsigned status, const std::string &answer) {
                                if (status == 0
                                    && request->m_sample.m_sends <= m_options.m_resends) {
                                    request->m_lostAt = node;
                                    ++request->m_sample.m_sends;
                                    send(request);
                                    return;
                                }
                                finish(*request, status, answer);
                            });
    }

    void finish(Request &request, unsigned status, const std::string &answer)
    {
        Sample &sample = request.m_sample;
        const steady_clock::time_point now = steady_clock::now();
        sample.m_latency = std::chrono::duration_cast<Duration>(now - request.m_intended);
        sample.m_intended =
            std::chrono::duration_cast<Duration>(request.m_intended - m_start - m_options.m_warmUp);
        const std::string problem =
            readAnswer(status, answer, request.m_id, m_options.m_checkEntries, sample);
        sample.m_wrong = !problem.empty();
        if (sample.m_wrong && m_result.m_problems.size() < problemLimit) {
            m_result.m_problems.push_back(request.m_id + ": " + problem);
        }
        m_result.m_samples.push_back(sample);
        --m_waiting;
        endIfDone();
    }

    void endIfDone()
    {
        if (m_next == m_arrivals.size() && m_waiting == 0) {
            // A poll that is due already runs when the figures are read, in spite of the cancel.
            m_ended = true;
            m_pollTimer.cancel();
            m_context.stop();
        }
    }

    std::size_t drawKind()
    {
        double total = 0;
        for (const KindLoad &kind : m_options.m_mix) {
            total += kind.m_weight;
        }
        double place = nextRandomUnit(m_random) * total;
        for (std::size_t kind = 0; kind + 1 < m_options.m_mix.size(); ++kind) {
            place -= m_options.m_mix[kind].m_weight;
            if (place < 0) {
                return kind;
            }
        }
        return m_options.m_mix.size() - 1;
    }

    //! The next ready node in turn, other than the one that lost the last send; if there is none,
    //! the next one, which then refuses.
    std::size_t chooseNode(std::optional<std::size_t> lostAt)
    {
        for (std::size_t tries = 0; tries < m_pools.size(); ++tries) {
            const std::size_t node = m_turn++ % m_pools.size();
            if (m_ready[node] && node != lostAt) {
                return node;
            }
        }
        return m_turn++ % m_pools.size();
    }

    void poll()
    {
        if (m_options.m_balancerPoll.count() == 0 || m_ended) {
            return;
        }
        for (std::size_t node = 0; node < m_pools.size(); ++node) {
            m_pools[node]->call("GET", "/readyz", {}, pollTimeout,
                                [this, node](unsigned status, const std::string &) {
                                    m_ready[node] = status == 200;
                                });
        }
        m_pollTimer.expires_after(m_options.m_balancerPoll);
        m_pollTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                poll();
            }
        });
    }

    AttemptCounts readAttempts()
    {
        AttemptCounts counts;
        for (const std::unique_ptr<CallerPool> &pool : m_pools) {
            pool->call("GET", "/metrics", {}, std::chrono::seconds(2),
                       [&counts](unsigned, const std::string &text) {
                           const std::string_view name = "arbutusgrade_attempts_total";
                           counts.m_first += sumMetric(text, name, "\"first\"");
                           counts.m_extra += sumMetric(text, name, "\"hedge\"")
                                             + sumMetric(text, name, "\"retry\"");
                       });
        }
        m_context.restart();
        m_context.run();
        return counts;
    }

    const LoadOptions &m_options;
    asio::io_context m_context{1};
    asio::steady_timer m_timer;
    asio::steady_timer m_pollTimer;
    RandomGenerator m_random;
    std::vector<Duration> m_arrivals;
    std::vector<std::unique_ptr<CallerPool>> m_pools;
    std::vector<bool> m_ready;
    steady_clock::time_point m_start;
    std::size_t m_next = 0;
    std::size_t m_waiting = 0;
    std::size_t m_turn = 0;
    bool m_ended = false; //!< All requests are sent and answered.
    LoadResult m_result;
};

} // namespace

std::vector<Duration> drawArrivals(const LoadOptions &options)
{
    std::vector<Duration> arrivals;
    RandomGenerator random{options.m_seed};
    const double length = static_cast<double>((options.m_warmUp + options.m_length).count());
    const double mean = 1e6 / options.m_rate;
    double at = 0;
    for (;;) {
        const double gap = options.m_arrivals == Arrivals::Poisson
                               ? -std::log(1.0 - nextRandomUnit(random)) * mean
                               : mean;
        at += gap;
        if (at >= length) {
            return arrivals;
        }
        arrivals.emplace_back(static_cast<std::int64_t>(at));
    }
}

std::optional<std::vector<KindLoad>> parseMix(std::string_view text)
{
    std::vector<KindLoad> mix;
    for (const std::string_view item : split(text, ',')) {
        const std::vector<std::string_view> parts = split(item, ':');
        if (parts.size() > 3 || parts[0].empty()) {
            return std::nullopt;
        }
        KindLoad kind;
        kind.m_kind = parts[0];
        kind.m_weight = parts.size() > 1 ? parseNumber(parts[1]) : 1;
        kind.m_service = parts.size() > 2 ? parts[2] : std::string_view();
        if (!(kind.m_weight > 0)) {
            return std::nullopt;
        }
        mix.push_back(kind);
    }
    return mix;
}

LoadResult runLoad(const LoadOptions &options, const std::vector<TimedAction> &actions)
{
    Runner runner(options);
    return runner.run(actions);
}

} // namespace arbutusgrade::load
