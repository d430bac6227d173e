#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "base/base.h"

//! @brief Open-loop load against daemons, and what it measured.
//!
//! Requests are sent at times that were drawn beforehand, whether or not earlier ones were
//! answered. Latency counts from the time at which a request was meant to be sent, so that a stall
//! of the daemons or of this tool shows in full (no coordinated omission).
namespace arbutusgrade::load {

struct NodeAddress
{
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0;
};

//! @brief One kind of request and its share of the load.
struct KindLoad
{
    std::string m_kind;
    double m_weight = 1;
    std::string m_service; //!< Empty: the daemon chooses.
};

enum class Arrivals { Fixed, Poisson };

struct LoadOptions
{
    std::vector<NodeAddress> m_nodes;
    std::vector<KindLoad> m_mix;
    double m_rate = 100; //!< Requests per second, all kinds together.
    Duration m_length = std::chrono::seconds(10);
    Duration m_warmUp{0}; //!< Sent at the same rate before the measured part; not measured.
    Arrivals m_arrivals = Arrivals::Poisson;
    std::uint64_t m_seed = 1;
    Duration m_timeout = std::chrono::seconds(15); //!< Wait for one answer.
    int m_resends = 0; //!< Sends to other nodes after a connection gave no answer.
    Duration m_balancerPoll = std::chrono::milliseconds(250); //!< Of /readyz; 0: all nodes count.
    std::string m_payload = R"({"text":"load"})";
    std::string m_idPrefix = "load";
    bool m_checkEntries = false; //!< Entries are those of target-standin; check whose they are.
};

//! @brief One request, once it has ended.
struct Sample
{
    std::string m_id;       //!< Request id.
    std::size_t m_kind = 0; //!< Index in the mix.
    Duration m_intended{0}; //!< Since the start of the measured part; negative in the warm-up.
    Duration m_latency{0};
    std::string_view m_outcome; //!< Name of the outcome, "rejected" (4xx) or "no-answer".
    std::string m_reason;
    int m_included = 0;
    int m_lacking = 0;
    int m_sends = 1;
    bool m_wrong = false; //!< Broke a guarantee that the answer itself shows.
};

//! @brief Counters of all nodes together, from /metrics.
struct AttemptCounts
{
    double m_first = 0;
    double m_extra = 0; //!< Hedges and retries.
};

struct LoadResult
{
    std::vector<KindLoad> m_mix;
    double m_rate = 0;
    Duration m_length{0};
    std::vector<Sample> m_samples;
    AttemptCounts m_attempts;            //!< Made during the run.
    std::vector<std::string> m_problems; //!< First answers that broke a guarantee.
};

//! @brief Something done at a time of the measured part, such as a fault; runs on its own thread.
struct TimedAction
{
    Duration m_at{0};
    std::function<void()> m_action;
};

//! @brief Runs the load and waits for its last answer.
LoadResult runLoad(const LoadOptions &options, const std::vector<TimedAction> &actions = {});

//! @brief Times at which requests are sent, from the start of the warm-up.
std::vector<Duration> drawArrivals(const LoadOptions &options);

//! @brief Parses "KIND:WEIGHT[:SERVICE],...". Nothing if it is malformed.
std::optional<std::vector<KindLoad>> parseMix(std::string_view text);

//! @brief Fills outcome, reason and coverage of a sample from an answer and checks the answer.
//! @return empty, or which guarantee the answer breaks.
std::string readAnswer(unsigned status, const std::string &body, std::string_view requestId,
                       bool checkEntries, Sample &sample);

//! @brief What was measured for one kind in a part of the run.
struct KindSummary
{
    std::string m_kind;
    std::uint64_t m_sent = 0;
    std::uint64_t m_answered = 0; //!< With an outcome.
    std::uint64_t m_good = 0;     //!< `complete` or `partial`.
    std::uint64_t m_refused = 0;  //!< `not-run`.
    std::uint64_t m_resent = 0;
    std::uint64_t m_wrong = 0;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::map<std::string, std::uint64_t> m_reasons;
    Duration m_p50{0}; //!< Of the good answers, as all quantiles.
    Duration m_p99{0};
    Duration m_p999{0};
    Duration m_maximum{0};
    double m_coverage = 1; //!< Included over included and lacking shards of good answers.
    double m_goodPerSecond = 0;
};

//! @brief Summary of each kind over the requests meant to be sent in [from, to).
std::vector<KindSummary> summarise(const LoadResult &result, Duration from, Duration to);
std::vector<KindSummary> summarise(const LoadResult &result);

//! @brief Hedges and retries over first attempts; 0 without attempts.
double extraLoad(const LoadResult &result);

boost::json::object reportJson(const LoadResult &result);
std::string reportTable(const std::vector<KindSummary> &kinds);

//! @brief Ratios of the figures of a run to those of an earlier one: kind, then metric.
using Ratios = std::map<std::string, std::map<std::string, double>>;
Ratios compareReports(const boost::json::object &now, const boost::json::object &before);
std::string ratioTable(const Ratios &ratios);

//! @brief A limit such as "search.p99Ms<=2" or "search.goodPerSecond>=0.9".
struct Bound
{
    std::string m_kind;
    std::string m_metric;
    bool m_upper = true;
    double m_limit = 0;
};

std::optional<Bound> parseBound(std::string_view text);

//! @brief Says for each bound whether it holds. @return false if any is broken or has no figure.
bool checkBounds(const std::vector<Bound> &bounds, const Ratios &figures, std::string &text);

} // namespace arbutusgrade::load
