#include <charconv>
#include <cstdio>

#include <boost/json.hpp>

#include "load.h"

namespace arbutusgrade::load {

namespace json = boost::json;

namespace {

std::string formatNumber(double number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", number);
    return text;
}

} // namespace

Ratios compareReports(const json::object &now, const json::object &before)
{
    Ratios ratios;
    const json::value *kindsBefore = before.if_contains("kinds");
    if (kindsBefore == nullptr || !kindsBefore->is_object()) {
        return ratios;
    }
    for (const json::key_value_pair &kind : now.at("kinds").as_object()) {
        const json::value *old = kindsBefore->as_object().if_contains(kind.key());
        if (old == nullptr || !old->is_object()) {
            continue;
        }
        for (const std::string_view metric :
             {"p50Ms", "p99Ms", "p999Ms", "goodPerSecond", "coverage"}) {
            const json::value *base = old->as_object().if_contains(metric);
            const double divisor = base != nullptr ? base->to_number<double>() : 0;
            if (divisor > 0) {
                ratios[std::string(kind.key())][std::string(metric)] =
                    kind.value().at(metric).to_number<double>() / divisor;
            }
        }
    }
    return ratios;
}

std::string ratioTable(const Ratios &ratios)
{
    std::string text = "ratios to the earlier run\n";
    for (const std::pair<const std::string, std::map<std::string, double>> &kind : ratios) {
        text += "  " + kind.first + ":";
        for (const std::pair<const std::string, double> &metric : kind.second) {
            text += " " + metric.first + " " + formatNumber(metric.second);
        }
        text += "\n";
    }
    return text;
}

std::optional<Bound> parseBound(std::string_view text)
{
    const std::size_t sign = text.find_first_of("<>");
    const std::size_t dot = text.substr(0, sign).rfind('.');
    if (sign == std::string_view::npos || dot == std::string_view::npos
        || !text.substr(sign + 1).starts_with('=')) {
        return std::nullopt;
    }
    Bound bound;
    bound.m_kind = text.substr(0, dot);
    bound.m_metric = text.substr(dot + 1, sign - dot - 1);
    bound.m_upper = text[sign] == '<';
    const std::string_view number = text.substr(sign + 2);
    const std::from_chars_result result =
        std::from_chars(number.data(), number.data() + number.size(), bound.m_limit);
    if (result.ec != std::errc() || result.ptr != number.data() + number.size()) {
        return std::nullopt;
    }
    return bound;
}

bool checkBounds(const std::vector<Bound> &bounds, const Ratios &figures, std::string &text)
{
    bool all = true;
    for (const Bound &bound : bounds) {
        const std::string name = bound.m_kind + "." + bound.m_metric;
        const auto kind = figures.find(bound.m_kind);
        const bool known = kind != figures.end() && kind->second.contains(bound.m_metric);
        if (!known) {
            text += "BROKEN " + name + ": no figure\n";
            all = false;
            continue;
        }
        const double figure = kind->second.at(bound.m_metric);
        const bool holds = bound.m_upper ? figure <= bound.m_limit : figure >= bound.m_limit;
        all = all && holds;
        text += std::string(holds ? "holds  " : "BROKEN ") + name + " " + formatNumber(figure)
                + (bound.m_upper ? ", at most " : ", at least ") + formatNumber(bound.m_limit)
                + "\n";
    }
    return all;
}

} // namespace arbutusgrade::load
