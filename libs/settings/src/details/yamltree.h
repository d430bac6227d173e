#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "details/findinglist.h"

//! @brief YAML text as a tree that keeps the place of each key and value.
namespace arbutusgrade::details {

//! The configuration document is a store value, which is limited to 1 MB.
inline constexpr std::size_t maximumFileBytes = 1'000'000;

//! The schema nests 8 levels deep; anything deeper is refused before it costs stack.
inline constexpr int maximumDepth = 16;

//! The largest map of the schema has 13 keys. The bound keeps the search for a key cheap.
inline constexpr std::size_t maximumKeys = 100;

enum class NodeKind { Null, Scalar, List, Map };

//! @brief Value in a YAML file. Entries of a map are items that have a key.
struct YamlNode
{
    NodeKind m_kind = NodeKind::Null;
    bool m_faulty = false; //!< A finding says what is wrong; the value is not read further.
    bool m_quoted = false; //!< Scalars only: written in quotes or as a block, so always text.
    Place m_place;
    std::string m_text;
    std::vector<YamlNode> m_items;
    std::string m_key;
    Place m_keyPlace;
};

//! @brief Parses one document. Anchors, aliases, tags and repeated keys are findings.
//! @return nothing if the text is no YAML; the findings say why.
std::optional<YamlNode> parseYaml(int file, std::string_view text, FindingList &findings);

//! @brief Returns the entry of a map, or nullptr.
const YamlNode *findEntry(const YamlNode &map, std::string_view key);
YamlNode *findEntry(YamlNode &map, std::string_view key);

//! @brief Place to name in findings about a value: that of the key where the value is empty.
const Place &valuePlace(const YamlNode &node);

//! @brief "a list", "a map", "a single value" or "nothing".
std::string_view nodeKindName(NodeKind kind);

} // namespace arbutusgrade::details
