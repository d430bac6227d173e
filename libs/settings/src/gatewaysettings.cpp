#include <algorithm>
#include <charconv>
#include <optional>

#include "details/ipaddress.h"
#include "details/reader.h"
#include "settings/settings.h"

namespace arbutusgrade {

namespace {

using namespace details;

constexpr Range<std::int64_t> portRange{1, 65'535};
constexpr Range<std::int64_t> timeRangeMilliseconds{1, 3'600'000};

std::optional<EndpointSettings> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    EndpointSettings endpoint;
    const std::string_view port = text.substr(colon + 1);
    const std::from_chars_result parsed =
        std::from_chars(port.data(), port.data() + port.size(), endpoint.m_port);
    const std::optional<std::string> address = normalizeAddress(text.substr(0, colon));
    const bool portIsValid =
        parsed.ec == std::errc() && parsed.ptr == port.data() + port.size() && endpoint.m_port != 0;
    if (!address || !portIsValid) {
        return std::nullopt;
    }
    endpoint.m_address = *address;
    return endpoint;
}

void readEndpointInto(MapReader &reader, std::string_view key, EndpointSettings &field)
{
    const std::optional<std::string> text = readText(reader, key, Presence::Required);
    if (!text) {
        return;
    }
    const std::optional<EndpointSettings> endpoint = parseEndpoint(*text);
    if (!endpoint) {
        addFinding(*reader.m_findings, valuePlace(*findEntry(*reader.m_node, key)),
                   "'" + std::string(key)
                       + "' must be an IP number and a port, for example "
                         "10.1.0.39:8226, not "
                       + quote(*text));
        return;
    }
    field = *endpoint;
}

void readExtraArrivals(MapReader &reader, GatewaySettings &settings)
{
    const std::optional<double> ratio =
        readFraction(reader, "extraArrivalRatio", Presence::Required, {0.0, 1.0});
    const std::optional<double> slack =
        readFraction(reader, "extraArrivalSlack", Presence::Required, {0.0, 1'000'000.0});
    settings.m_extraArrivalRatio = ratio.value_or(0.0);
    settings.m_extraArrivalSlack = slack.value_or(0.0);
    readMillisecondsInto(reader, "extraArrivalWindowMilliseconds", timeRangeMilliseconds,
                         settings.m_extraArrivalWindow);
}

GatewaySettings readGateway(const YamlNode &tree, FindingList &findings)
{
    GatewaySettings settings;
    MapReader reader = openMap(tree, findings);
    readInto(reader, "node", Presence::Required, readName, settings.m_node);
    readInto(reader, "dataCentre", Presence::Required, readName, settings.m_dataCentre);
    readEndpointInto(reader, "callers", settings.m_callers);
    readEndpointInto(reader, "readiness", settings.m_readiness);
    readIntegerInto(reader, "metricsPort", portRange, settings.m_metricsPort);
    readEndpointInto(reader, "store", settings.m_store);
    readMillisecondsInto(reader, "minimumLeaseMilliseconds", timeRangeMilliseconds,
                         settings.m_minimumLease);
    readExtraArrivals(reader, settings);
    readMillisecondsInto(reader, "configurationBoundMilliseconds", timeRangeMilliseconds,
                         settings.m_changeBound);
    settings.m_drainBound = settings.m_changeBound;
    readMillisecondsInto(reader, "drainBoundMilliseconds", timeRangeMilliseconds,
                         settings.m_drainBound);
    settings.m_changeBound = std::min(settings.m_changeBound, settings.m_drainBound);
    readMillisecondsInto(reader, "contactBoundMilliseconds", timeRangeMilliseconds,
                         settings.m_contactBound);
    readMillisecondsInto(reader, "shutdownGraceMilliseconds", timeRangeMilliseconds,
                         settings.m_shutdownGrace);
    closeMap(reader);
    return settings;
}

} // namespace

Checked<GatewaySettings> parseGatewaySettings(const SettingsSource &source)
{
    FindingList findings;
    findings.m_fileNames = {source.m_name, ""};
    const std::optional<YamlNode> tree = parseYaml(baseFile, source.m_text, findings);
    GatewaySettings settings;
    if (tree) {
        settings = readGateway(*tree, findings);
    }
    if (findings.m_total > 0) {
        return takeFindings(findings);
    }
    return settings;
}

} // namespace arbutusgrade
