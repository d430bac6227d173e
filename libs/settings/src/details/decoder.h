#pragma once

#include "details/findinglist.h"
#include "details/names.h"
#include "details/reader.h"
#include "details/yamltree.h"
#include "settings/settings.h"

//! @brief Turns a tree without compact forms into settings; all faults become findings.
namespace arbutusgrade::details {

//! @brief What decoding of one file needs besides the tree.
struct Decoder
{
    FindingList &m_findings;
    NameTable m_names;
};

//! @brief Decodes the whole file and checks names and references.
Settings decodeSettings(const YamlNode &root, bool hasOverlay, FindingList &findings);

//! @brief Decodes the items of `groups`.
GroupSettings decodeGroup(const YamlNode &node, Decoder &decoder);

//! @brief Decodes the items of `kinds`.
KindSettings decodeKind(const YamlNode &node, Decoder &decoder);

//! @brief Reads the `name` of an item and declares it.
std::string readDeclaredName(MapReader &reader, NameKind kind, Decoder &decoder);

//! @brief Declares the endpoint so that no other machine may use it too.
void declareEndpoint(const MapReader &reader, std::string_view portKey, const std::string &address,
                     std::uint16_t port, Decoder &decoder);

//! @brief Reads a name that must be declared elsewhere.
std::string readReference(MapReader &reader, std::string_view key, NameKind kind, Decoder &decoder);

//! @brief Reads a list of names that must be declared elsewhere.
std::vector<std::string> readReferences(MapReader &reader, std::string_view key, NameKind kind,
                                        Presence presence, Decoder &decoder);

//! @brief Suppresses findings on references to names whose declarations cannot be read.
void noteUnreadableList(const MapReader &reader, std::string_view key, NameKind kind,
                        Decoder &decoder);

//! @brief Decodes each item of a list with the given function.
template <typename Item>
std::vector<Item> decodeList(MapReader &reader, std::string_view key, Presence presence,
                             Decoder &decoder, Item (*decodeItem)(const YamlNode &, Decoder &))
{
    std::vector<Item> items;
    const YamlNode *const list = readList(reader, key, presence);
    if (list == nullptr || list->m_faulty) {
        return items;
    }
    for (const YamlNode &item : list->m_items) {
        items.push_back(decodeItem(item, decoder));
    }
    return items;
}

inline constexpr Range<std::int64_t> portRange{1, 65'535};

} // namespace arbutusgrade::details
