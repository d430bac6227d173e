#include "stopround.h"

#include <csignal>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>

#include <boost/json.hpp>

#include "callers.h"
#include "support/httpclient.h"
#include "targets.h"
#include "transport/transport.h"

namespace arbutusgrade::support {
namespace {

namespace json = boost::json;
using std::chrono::seconds;

constexpr milliseconds warmUp{2'500};
constexpr milliseconds betweenStops{1'500};
constexpr milliseconds readyTimeout{8'000};
constexpr int routeTimeoutMs = 8'000;
constexpr int manualTargets = 6;
constexpr int shards = 3;
constexpr int targetsPerShard = 2;

//! @brief What else happens during a stop.
enum class Beside { Nothing, Sighup, SecondSigterm, NewConfiguration };
constexpr std::uint64_t besideCount = 4;

json::object route(const std::string &name, const std::string &type)
{
    return {{"name", name},
            {"host", "h.example"},
            {"prefix", "/" + name + "/"},
            {"routeType", type},
            {"timeoutMs", routeTimeoutMs},
            {"targetLatencyMs", 600},
            {"priority", 1},
            {"maxAttempts", 2}};
}

std::string configuration(int version)
{
    json::object search = route("search", "safe");
    json::array shardNames;
    for (int shard = 0; shard < shards; ++shard) {
        shardNames.emplace_back("shard-" + std::to_string(shard));
    }
    search["shardServices"] = shardNames;
    search["topK"] = 2;
    search["minShardShare"] = 0.6;
    json::object manual = route("manual", "safe");
    manual["service"] = "manuals";
    json::object order = route("order", "unsafe");
    order["service"] = "manuals";
    const json::object service{{"name", "manuals"}, {"maxConnections", 110}};
    return json::serialize(json::object{{"version", version},
                                        {"routes", json::array{search, manual, order}},
                                        {"services", json::array{service}}});
}

//! @brief The processes of a round and what happened to the requests.
class StopRound
{
public:
    explicit StopRound(const StopRoundOptions &options)
        : m_options(options), m_random{options.m_seed}, m_start(std::chrono::steady_clock::now()),
          m_targets(options.m_seed, m_start)
    {
        startStore();
        addTargets();
        for (int gateway = 0; gateway < options.m_gatewayCount; ++gateway) {
            m_ports.push_back(freePorts(3));
            writeSettings(gateway, m_options.m_grace);
            m_gateways.emplace_back();
            m_starts.push_back(0);
        }
        for (int gateway = 0; gateway < options.m_gatewayCount; ++gateway) {
            startGateway(gateway);
        }
        for (int gateway = 0; gateway < options.m_gatewayCount; ++gateway) {
            waitUntilReady(gateway);
        }
    }

    StopRoundResult play()
    {
        std::vector<std::uint16_t> callerPorts;
        std::vector<std::uint16_t> readinessPorts;
        for (const std::vector<std::uint16_t> &ports : m_ports) {
            callerPorts.push_back(ports[0]);
            readinessPorts.push_back(ports[1]);
        }
        std::vector<SentRequest> requests;
        {
            const Rotation rotation(callerPorts, readinessPorts);
            Callers callers(rotation, m_options.m_seed,
                            m_options.m_callersPerGateway * m_options.m_gatewayCount, m_start);
            std::this_thread::sleep_for(warmUp);
            for (int gateway = 0; gateway < m_options.m_gatewayCount; ++gateway) {
                stopGateway(gateway);
                startGateway(gateway);
                waitUntilReady(gateway);
                std::this_thread::sleep_for(betweenStops);
            }
            requests = callers.stop();
        }
        check(requests);
        return std::move(m_result);
    }

private:
    void startStore()
    {
        m_store = ChildProcess({m_options.m_programs + "/platform-standin", "--port=0"},
                               m_directory.path() + "/store.log");
        m_storePort =
            static_cast<std::uint16_t>(std::stoi(m_store.waitForOutput("port", seconds(5))));
        putKey("op/config", configuration(m_version));
    }

    void putKey(const std::string &key, const std::string &value)
    {
        const json::object body{
            {"setKeys", json::array{json::object{{"key", key}, {"value", encodeBase64(value)}}}}};
        if (httpCall(m_storePort, "POST", "/kv-txn", json::serialize(body)).m_status != 200) {
            throw std::runtime_error("the store did not take " + key);
        }
    }

    void addTargets()
    {
        for (int number = 0; number < manualTargets; ++number) {
            addTarget("m" + std::to_string(number), "manuals");
        }
        for (int shard = 0; shard < shards; ++shard) {
            for (int number = 0; number < targetsPerShard; ++number) {
                addTarget("s" + std::to_string(shard) + "-" + std::to_string(number),
                          "shard-" + std::to_string(shard));
            }
        }
    }

    void addTarget(const std::string &id, const std::string &service)
    {
        const std::uint16_t port = m_targets.add(id);
        putKey("servers/" + id,
               json::serialize(json::object{{"service", service},
                                            {"address", "127.0.0.1:" + std::to_string(port)},
                                            {"zone", "z"},
                                            {"version", "v1"},
                                            {"concurrency", 6},
                                            {"state", "ready"},
                                            {"warmupLeftMs", 0},
                                            {"sequence", 1},
                                            {"born", 1}}));
    }

    std::string settingsPath(int gateway) const
    {
        return m_directory.path() + "/gateway-" + std::to_string(gateway) + ".yaml";
    }

    std::string logPath(int gateway, int start) const
    {
        return m_directory.path() + "/gateway-" + std::to_string(gateway) + "-"
               + std::to_string(start) + ".log";
    }

    void writeSettings(int gateway, milliseconds grace)
    {
        const std::vector<std::uint16_t> &ports = m_ports[static_cast<std::size_t>(gateway)];
        const std::string host = "\"127.0.0.1:";
        writeFile(settingsPath(gateway),
                  "node: n" + std::to_string(gateway) + "\ndataCentre: z\ncallers: " + host
                      + std::to_string(ports[0]) + "\"\nreadiness: " + host
                      + std::to_string(ports[1]) + "\"\nmetricsPort: " + std::to_string(ports[2])
                      + "\nstore: " + host + std::to_string(m_storePort)
                      + "\"\nextraArrivalRatio: 0.2\nextraArrivalSlack: 20\n"
                        "shutdownGraceMilliseconds: "
                      + std::to_string(grace.count()) + "\n");
    }

    void startGateway(int gateway)
    {
        const std::size_t index = static_cast<std::size_t>(gateway);
        ++m_starts[index];
        m_gateways[index] =
            ChildProcess({m_options.m_gateway, "--settings=" + settingsPath(gateway)},
                         logPath(gateway, m_starts[index]));
    }

    void waitUntilReady(int gateway)
    {
        const std::uint16_t port = m_ports[static_cast<std::size_t>(gateway)][1];
        if (!waitUntil([port] { return httpCall(port, "GET", "/readiness").m_status == 200; },
                       readyTimeout)) {
            throw std::runtime_error("gateway " + std::to_string(gateway) + " is not ready");
        }
    }

    //! @brief SIGTERM, something else beside it in some stops, and SIGKILL at the end of the grace.
    void stopGateway(int gateway)
    {
        ChildProcess &process = m_gateways[static_cast<std::size_t>(gateway)];
        const Beside beside = static_cast<Beside>(nextRandomBelow(m_random, besideCount));
        const milliseconds pause(nextRandomBelow(
            m_random, static_cast<std::uint64_t>(m_options.m_grace.count() * 3 / 4)));
        m_stops.push_back({gateway, timeSince(m_start)});
        const SteadyTime signalled = std::chrono::steady_clock::now();
        process.sendSignal(SIGTERM);
        std::optional<ExitState> end = process.wait(pause);
        if (!end) {
            disturb(beside, gateway);
            end = process.wait(m_options.m_grace - timeSince(signalled));
        }
        if (beside == Beside::Sighup) {
            writeSettings(gateway, m_options.m_grace);
        }
        if (!end) {
            process.kill();
            violation("gateway " + std::to_string(gateway) + " did not end within its grace");
        } else if (end->m_code != 0) {
            violation("gateway " + std::to_string(gateway) + " ended with code "
                      + std::to_string(end->m_code) + ", signal " + std::to_string(end->m_signal));
        }
    }

    void disturb(Beside beside, int gateway)
    {
        ChildProcess &process = m_gateways[static_cast<std::size_t>(gateway)];
        switch (beside) {
        case Beside::Nothing:
            return;
        case Beside::Sighup:
            // The grace of a stop that has begun stays as it was at SIGTERM.
            writeSettings(gateway, m_options.m_grace / 2);
            process.sendSignal(SIGHUP);
            return;
        case Beside::SecondSigterm:
            process.sendSignal(SIGTERM);
            return;
        case Beside::NewConfiguration:
            putKey("op/config", configuration(++m_version));
            return;
        }
    }

    void violation(const std::string &text)
    {
        m_result.m_violations.push_back("seed " + std::to_string(m_options.m_seed) + ": " + text);
    }

    //! @brief Lines of the gateway's logs that name the request.
    std::string logLines(const SentRequest &request) const
    {
        const std::string name = '"' + request.m_id + '"';
        const std::size_t index = static_cast<std::size_t>(request.m_gateway);
        std::string found;
        for (int start = 1; start <= m_starts[index]; ++start) {
            std::istringstream log(readFile(logPath(request.m_gateway, start)));
            for (std::string line; std::getline(log, line);) {
                if (line.find(name) != std::string::npos) {
                    found += "\n  " + line;
                }
            }
        }
        return found;
    }

    std::string describe(const SentRequest &request, const std::vector<TargetRun> &runs) const
    {
        std::string text = request.m_id + " " + request.m_path + " at gateway "
                           + std::to_string(request.m_gateway) + ", sent "
                           + std::to_string(request.m_sentAt.count()) + " ms";
        for (const Stop &stop : m_stops) {
            if (stop.m_gateway == request.m_gateway && stop.m_at <= request.m_endedAt) {
                text += " (SIGTERM + " + std::to_string((request.m_sentAt - stop.m_at).count())
                        + " ms)";
            }
        }
        text += ", ended after " + std::to_string((request.m_endedAt - request.m_sentAt).count())
                + " ms with " + std::to_string(request.m_status) + " " + request.m_end;
        for (const TargetRun &run : runs) {
            text += ", run by " + run.m_target + " from " + std::to_string(run.m_startedAt.count())
                    + " ms" + (run.m_callerLeft ? " (connection closed)" : "");
        }
        return text + logLines(request);
    }

    void check(const std::vector<SentRequest> &requests)
    {
        const std::map<std::string, std::vector<TargetRun>> allRuns = m_targets.runs();
        StopRoundCounts &counts = m_result.m_counts;
        for (const SentRequest &request : requests) {
            const std::map<std::string, std::vector<TargetRun>>::const_iterator found =
                allRuns.find(request.m_id);
            const std::vector<TargetRun> runs =
                found == allRuns.end() ? std::vector<TargetRun>() : found->second;
            const bool answered = request.m_status != 0;
            const bool read = answered || !runs.empty() || !logLines(request).empty();
            ++counts.m_sent;
            counts.m_read += read ? 1 : 0;
            counts.m_passedOn += runs.empty() ? 0 : 1;
            counts.m_answered += answered ? 1 : 0;
            counts.m_succeeded += request.m_status == 200 ? 1 : 0;
            counts.m_refused += request.m_status == 503 ? 1 : 0;
            counts.m_crossed += read ? 0 : 1;
            if (read && !answered) {
                violation("read but not answered: " + describe(request, runs));
            }
            if (!request.m_idempotent && runs.size() > 1) {
                violation("ran more than once: " + describe(request, runs));
            }
            if (!request.m_idempotent && request.m_status == 503 && !runs.empty()) {
                violation("refused but run: " + describe(request, runs));
            }
        }
    }

    struct Stop
    {
        int m_gateway = 0;
        milliseconds m_at{0};
    };

    StopRoundOptions m_options;
    RandomGenerator m_random;
    SteadyTime m_start;
    WorkingTargets m_targets;
    TemporaryDirectory m_directory;
    ChildProcess m_store;
    std::uint16_t m_storePort = 0;
    int m_version = 1;
    std::vector<std::vector<std::uint16_t>> m_ports; //!< Of a gateway: callers, readiness, metrics.
    std::vector<int> m_starts;                       //!< Number of starts of each gateway.
    std::vector<ChildProcess> m_gateways;
    std::vector<Stop> m_stops;
    StopRoundResult m_result;
};

} // namespace

StopRoundResult playStopRound(const StopRoundOptions &options)
{
    StopRound round(options);
    return round.play();
}

} // namespace arbutusgrade::support
