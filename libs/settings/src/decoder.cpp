#include "details/decoder.h"

#include <unordered_set>

#include "details/compactforms.h"
#include "details/ipaddress.h"

namespace arbutusgrade::details {

namespace {

constexpr std::string_view hashPrefix = "sha256:";
constexpr std::size_t hashDigits = 64;

StoreSettings decodeStore(const YamlNode &node, Decoder &decoder)
{
    StoreSettings store;
    MapReader reader = openMap(node, decoder.m_findings);
    readInto(reader, "address", Presence::Required, readAddress, store.m_address);
    readIntegerInto(reader, "port", portRange, store.m_port, Presence::Required);
    readMillisecondsInto(reader, "timeoutMilliseconds", {1, 60'000}, store.m_timeout);
    readIntegerInto(reader, "claimsPerSecond", {1, 100'000}, store.m_claimsPerSecond);
    declareEndpoint(reader, "port", store.m_address, store.m_port, decoder);
    closeMap(reader);
    return store;
}

NodeSettings decodeNode(const YamlNode &node, Decoder &decoder)
{
    NodeSettings result;
    MapReader reader = openMap(node, decoder.m_findings);
    result.m_name = readDeclaredName(reader, NameKind::Node, decoder);
    result.m_dataCentre = readReference(reader, "dataCentre", NameKind::DataCentre, decoder);
    readInto(reader, "address", Presence::Required, readAddress, result.m_address);
    readIntegerInto(reader, "callerPort", portRange, result.m_callerPort, Presence::Required);
    readIntegerInto(reader, "peerPort", portRange, result.m_peerPort, Presence::Required);
    declareEndpoint(reader, "callerPort", result.m_address, result.m_callerPort, decoder);
    declareEndpoint(reader, "peerPort", result.m_address, result.m_peerPort, decoder);
    closeMap(reader);
    return result;
}

bool isTokenHash(std::string_view text)
{
    return text.size() == hashPrefix.size() + hashDigits && text.starts_with(hashPrefix)
           && text.find_first_not_of("0123456789abcdef", hashPrefix.size())
                  == std::string_view::npos;
}

std::string readTokenHash(MapReader &reader)
{
    const std::optional<std::string> hash = readText(reader, "tokenHash", Presence::Required);
    if (hash && !isTokenHash(*hash)) {
        // The text is not repeated: it may be the token itself, and findings are logged.
        addFinding(*reader.m_findings, findEntry(*reader.m_node, "tokenHash")->m_place,
                   "'tokenHash' must be 'sha256:' and 64 digits 0-9 a-f, the hash of the token");
    }
    return hash.value_or(std::string());
}

TeamSettings decodeTeam(const YamlNode &node, Decoder &decoder)
{
    TeamSettings team;
    MapReader reader = openMap(node, decoder.m_findings);
    team.m_name = readDeclaredName(reader, NameKind::Team, decoder);
    team.m_tokenHash = readTokenHash(reader);
    team.m_groups = readReferences(reader, "groups", NameKind::Group, Presence::Optional, decoder);
    readInto(reader, "platform", Presence::Optional, readBoolean, team.m_platform);
    readIntegerInto(reader, "requestsPerSecond", {0, 1'000'000}, team.m_requestsPerSecond);
    closeMap(reader);
    return team;
}

std::vector<std::string> readDataCentres(MapReader &reader, Decoder &decoder)
{
    std::vector<std::string> names;
    const YamlNode *const list = readList(reader, "dataCentres", Presence::Required);
    noteUnreadableList(reader, "dataCentres", NameKind::DataCentre, decoder);
    if (list == nullptr) {
        return names;
    }
    if (list->m_items.size() > maximumDataCentres) {
        addFinding(decoder.m_findings, list->m_place,
                   "more than " + std::to_string(maximumDataCentres) + " data centres");
    }
    for (const YamlNode &item : list->m_items) {
        const std::optional<std::string> name = nameOf(item, decoder.m_findings);
        if (name) {
            declareName(decoder.m_names, NameKind::DataCentre, *name, item.m_place,
                        decoder.m_findings);
            names.push_back(*name);
        }
    }
    return names;
}

void decodeLimits(MapReader &reader, Settings &settings)
{
    readIntegerInto(reader, "bodyLimitBytes", {1'024, 16'777'216}, settings.m_bodyLimitBytes);
    readMillisecondsInto(reader, "shutdownLingerMilliseconds", {0, 60'000},
                         settings.m_shutdownLinger);
    readMillisecondsInto(reader, "shutdownBoundMilliseconds", {0, 600'000},
                         settings.m_shutdownBound);
    const std::optional<double> rate =
        readFraction(reader, "spanSampleRate", Presence::Optional, {0.0, 1.0});
    settings.m_spanSampleRate = rate.value_or(settings.m_spanSampleRate);
}

} // namespace

Settings decodeSettings(const YamlNode &root, bool hasOverlay, FindingList &findings)
{
    Decoder decoder{findings, {}};
    Settings settings;
    MapReader reader = openMap(root, findings);
    readInto(reader, "firm", Presence::Required, readText, settings.m_firm);
    readInto(reader, "region", Presence::Required, readName, settings.m_region);
    settings.m_dataCentres = readDataCentres(reader, decoder);
    if (hasOverlay) {
        settings.m_site = readReference(reader, "site", NameKind::DataCentre, decoder);
    }
    const YamlNode *const store = readEntry(reader, "store", Presence::Required);
    if (store != nullptr) {
        settings.m_store = decodeStore(*store, decoder);
    }
    settings.m_nodes = decodeList(reader, "nodes", Presence::Required, decoder, decodeNode);
    settings.m_groups = decodeList(reader, "groups", Presence::Required, decoder, decodeGroup);
    noteUnreadableList(reader, "groups", NameKind::Group, decoder);
    settings.m_kinds = decodeList(reader, "kinds", Presence::Required, decoder, decodeKind);
    settings.m_teams = decodeList(reader, "teams", Presence::Optional, decoder, decodeTeam);
    decodeLimits(reader, settings);
    closeMap(reader);
    resolveReferences(decoder.m_names, findings);
    return settings;
}

std::string readDeclaredName(MapReader &reader, NameKind kind, Decoder &decoder)
{
    const std::optional<std::string> name = readName(reader, "name", Presence::Required);
    if (name) {
        declareName(decoder.m_names, kind, *name, findEntry(*reader.m_node, "name")->m_place,
                    decoder.m_findings);
    }
    return name.value_or(std::string());
}

void declareEndpoint(const MapReader &reader, std::string_view portKey, const std::string &address,
                     std::uint16_t port, Decoder &decoder)
{
    if (reader.m_node != nullptr && !address.empty() && port != 0) {
        declareName(decoder.m_names, NameKind::Endpoint, formatEndpoint(address, port),
                    findEntry(*reader.m_node, portKey)->m_place, decoder.m_findings);
    }
}

void noteUnreadableList(const MapReader &reader, std::string_view key, NameKind kind,
                        Decoder &decoder)
{
    const YamlNode *const list =
        reader.m_node == nullptr ? nullptr : findEntry(*reader.m_node, key);
    if (list == nullptr || list->m_kind != NodeKind::List || list->m_faulty) {
        decoder.m_names.m_incomplete.insert(kind);
    }
}

std::string readReference(MapReader &reader, std::string_view key, NameKind kind, Decoder &decoder)
{
    const std::optional<std::string> name = readName(reader, key, Presence::Required);
    if (name) {
        const Place &place = findEntry(*reader.m_node, key)->m_place;
        referToName(decoder.m_names, NameReference{kind, *name, place, {}});
    }
    return name.value_or(std::string());
}

std::vector<std::string> readReferences(MapReader &reader, std::string_view key, NameKind kind,
                                        Presence presence, Decoder &decoder)
{
    std::vector<std::string> names;
    const YamlNode *const list = readList(reader, key, presence);
    if (list == nullptr) {
        return names;
    }
    std::unordered_set<std::string> seen;
    for (const YamlNode &item : list->m_items) {
        const std::optional<std::string> name = nameOf(item, decoder.m_findings);
        if (!name) {
            continue;
        }
        if (!seen.insert(*name).second) {
            addFinding(decoder.m_findings, item.m_place,
                       quote(*name) + " is given twice in this list");
            continue;
        }
        referToName(decoder.m_names, NameReference{kind, *name, item.m_place, {}});
        names.push_back(*name);
    }
    return names;
}

} // namespace arbutusgrade::details
