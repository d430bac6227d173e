#include <algorithm>
#include <cstdio>
#include <limits>

#include <boost/json.hpp>

#include "load.h"

namespace arbutusgrade::load {

namespace json = boost::json;

namespace {

double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

//! The smallest value that the share of all values does not exceed.
Duration quantile(const std::vector<Duration> &sorted, double share)
{
    if (sorted.empty()) {
        return Duration(0);
    }
    const double place = share * static_cast<double>(sorted.size());
    const std::size_t index = static_cast<std::size_t>(place);
    return sorted[std::min(index, sorted.size() - 1)];
}

std::string formatLine(const char *format, const std::string &name, const KindSummary &kind)
{
    char line[256];
    std::snprintf(
        line, sizeof line, format, name.c_str(), static_cast<unsigned long long>(kind.m_sent),
        static_cast<unsigned long long>(kind.m_good),
        static_cast<unsigned long long>(kind.m_refused),
        static_cast<unsigned long long>(kind.m_sent - kind.m_good - kind.m_refused),
        kind.m_coverage * 100.0, toMilliseconds(kind.m_p50), toMilliseconds(kind.m_p99),
        toMilliseconds(kind.m_p999), toMilliseconds(kind.m_maximum), kind.m_goodPerSecond);
    return line;
}

template <typename Counts> json::object countsJson(const Counts &counts)
{
    json::object object;
    for (const std::pair<const std::string, std::uint64_t> &count : counts) {
        object[count.first] = count.second;
    }
    return object;
}

void addSample(KindSummary &summary, const Sample &sample)
{
    ++summary.m_sent;
    ++summary.m_outcomes[std::string(sample.m_outcome)];
    if (!sample.m_reason.empty()) {
        ++summary.m_reasons[sample.m_reason];
    }
    if (sample.m_outcome != "no-answer") {
        ++summary.m_answered;
    }
    if (sample.m_outcome == "not-run") {
        ++summary.m_refused;
    }
    if (sample.m_sends > 1) {
        ++summary.m_resent;
    }
    if (sample.m_wrong) {
        ++summary.m_wrong;
    }
}

} // namespace

std::vector<KindSummary> summarise(const LoadResult &result, Duration from, Duration to)
{
    std::vector<KindSummary> summaries(result.m_mix.size());
    std::vector<std::vector<Duration>> latencies(result.m_mix.size());
    std::vector<std::uint64_t> included(result.m_mix.size());
    std::vector<std::uint64_t> all(result.m_mix.size());
    for (const Sample &sample : result.m_samples) {
        if (sample.m_intended < from || sample.m_intended >= to) {
            continue;
        }
        KindSummary &summary = summaries[sample.m_kind];
        addSample(summary, sample);
        if (sample.m_outcome == "complete" || sample.m_outcome == "partial") {
            ++summary.m_good;
            latencies[sample.m_kind].push_back(sample.m_latency);
            included[sample.m_kind] += static_cast<std::uint64_t>(sample.m_included);
            all[sample.m_kind] += static_cast<std::uint64_t>(sample.m_included + sample.m_lacking);
        }
    }
    const double seconds =
        static_cast<double>((std::min(to, result.m_length) - std::max(from, Duration(0))).count())
        / 1e6;
    for (std::size_t kind = 0; kind < summaries.size(); ++kind) {
        KindSummary &summary = summaries[kind];
        std::vector<Duration> &sorted = latencies[kind];
        std::sort(sorted.begin(), sorted.end());
        summary.m_kind = result.m_mix[kind].m_kind;
        summary.m_p50 = quantile(sorted, 0.5);
        summary.m_p99 = quantile(sorted, 0.99);
        summary.m_p999 = quantile(sorted, 0.999);
        summary.m_maximum = sorted.empty() ? Duration(0) : sorted.back();
        summary.m_goodPerSecond = static_cast<double>(summary.m_good) / seconds;
        if (all[kind] > 0) {
            summary.m_coverage =
                static_cast<double>(included[kind]) / static_cast<double>(all[kind]);
        }
    }
    return summaries;
}

std::vector<KindSummary> summarise(const LoadResult &result)
{
    return summarise(result, Duration(0), result.m_length);
}

double extraLoad(const LoadResult &result)
{
    return result.m_attempts.m_first > 0 ? result.m_attempts.m_extra / result.m_attempts.m_first
                                         : 0;
}

json::object reportJson(const LoadResult &result)
{
    json::object kinds;
    for (const KindSummary &kind : summarise(result)) {
        kinds[kind.m_kind] = json::object{
            {"sent", kind.m_sent},
            {"answered", kind.m_answered},
            {"good", kind.m_good},
            {"refused", kind.m_refused},
            {"resent", kind.m_resent},
            {"wrong", kind.m_wrong},
            {"coverage", kind.m_coverage},
            {"goodPerSecond", kind.m_goodPerSecond},
            {"p50Ms", toMilliseconds(kind.m_p50)},
            {"p99Ms", toMilliseconds(kind.m_p99)},
            {"p999Ms", toMilliseconds(kind.m_p999)},
            {"maximumMs", toMilliseconds(kind.m_maximum)},
            {"outcomes", countsJson(kind.m_outcomes)},
            {"reasons", countsJson(kind.m_reasons)},
        };
    }
    json::array problems;
    for (const std::string &problem : result.m_problems) {
        problems.emplace_back(problem);
    }
    return {{"rate", result.m_rate},
            {"seconds", static_cast<double>(result.m_length.count()) / 1e6},
            {"firstAttempts", result.m_attempts.m_first},
            {"extraAttempts", result.m_attempts.m_extra},
            {"extraLoad", extraLoad(result)},
            {"problems", problems},
            {"kinds", kinds}};
}

std::string reportTable(const std::vector<KindSummary> &kinds)
{
    std::string text = "kind                      sent     good  refused    other  coverage"
                       "     p50     p99   p99.9     max  good/s\n";
    for (const KindSummary &kind : kinds) {
        text += formatLine("%-21s %8llu %8llu %8llu %8llu %8.3f%% %7.2f %7.2f %7.2f %7.2f %7.1f\n",
                           kind.m_kind, kind);
    }
    return text;
}

} // namespace arbutusgrade::load
