#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "details/findinglist.h"
#include "details/yamltree.h"

//! @brief Typed reading of the entries of a map. Faults become findings; reading goes on.
namespace arbutusgrade::details {

enum class Presence { Required, Optional };

//! @brief Inclusive limits of a number.
template <typename Number> struct Range
{
    Number m_minimum;
    Number m_maximum;
};

//! @brief Entries of one map, and which of them the schema knows.
struct MapReader
{
    const YamlNode *m_node = nullptr; //!< nullptr if the value is no map: all reads give nothing.
    FindingList *m_findings = nullptr;
    std::vector<std::string_view> m_knownKeys;
};

//! @brief Starts reading a map; any other kind of value is a finding.
MapReader openMap(const YamlNode &node, FindingList &findings);

//! @brief Reports the keys that were not asked for since openMap.
void closeMap(const MapReader &reader);

//! @brief Returns the value of a key; reports it if it is missing although required, or empty.
const YamlNode *readEntry(MapReader &reader, std::string_view key, Presence presence);

//! @brief Returns a value that is a list, else reports it.
const YamlNode *readList(MapReader &reader, std::string_view key, Presence presence);

std::optional<std::string> readText(MapReader &reader, std::string_view key, Presence presence);
std::optional<bool> readBoolean(MapReader &reader, std::string_view key, Presence presence);
std::optional<std::int64_t> readInteger(MapReader &reader, std::string_view key, Presence presence,
                                        const Range<std::int64_t> &range);
std::optional<double> readFraction(MapReader &reader, std::string_view key, Presence presence,
                                   const Range<double> &range);

//! @brief Returns a name that can stand in a URL path and in a store key.
std::optional<std::string> readName(MapReader &reader, std::string_view key, Presence presence);

//! @brief Returns an IP address in its usual form; host names are findings.
std::optional<std::string> readAddress(MapReader &reader, std::string_view key, Presence presence);

//! @brief Checks one list item as readName does.
std::optional<std::string> nameOf(const YamlNode &node, FindingList &findings);

//! @brief Checks one value as readAddress does.
std::optional<std::string> addressOf(const YamlNode &node, FindingList &findings);

//! @brief Reads an optional integer into a field that keeps its default if the key is absent.
template <typename Field>
void readIntegerInto(MapReader &reader, std::string_view key, const Range<std::int64_t> &range,
                     Field &field, Presence presence = Presence::Optional)
{
    const std::optional<std::int64_t> value = readInteger(reader, key, presence, range);
    if (value) {
        field = static_cast<Field>(*value);
    }
}

//! @brief Reads a time in milliseconds into a field that keeps its default if the key is absent.
inline void readMillisecondsInto(MapReader &reader, std::string_view key,
                                 const Range<std::int64_t> &range, std::chrono::milliseconds &field)
{
    const std::optional<std::int64_t> value = readInteger(reader, key, Presence::Optional, range);
    if (value) {
        field = std::chrono::milliseconds(*value);
    }
}

//! @brief Reads an optional value with the given function into a field.
template <typename Field, typename Function>
void readInto(MapReader &reader, std::string_view key, Presence presence, Function read,
              Field &field)
{
    std::optional<Field> value = read(reader, key, presence);
    if (value) {
        field = std::move(*value);
    }
}

} // namespace arbutusgrade::details
