#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "details/findinglist.h"
#include "details/yamltree.h"

//! @brief Compact forms of `services` and `targets`: a count and the first address instead of a
//! list. They are written out as the lists that they stand for.
namespace arbutusgrade::details {

//! A short file must not ask for unbounded memory. The design size is 1,700 targets.
inline constexpr std::size_t maximumCompactTargets = 20'000;

inline constexpr std::size_t maximumDataCentres = 50;

//! @brief State of the writing out of all compact forms of one file.
struct Expansion
{
    std::vector<std::string> m_dataCentres; //!< Of the base; targets are spread over these.
    std::size_t m_targetsLeft = maximumCompactTargets;
};

Expansion startExpansion(const YamlNode &root);

//! @brief Writes out the map under a `services` or `targets` key; leaves any other value alone.
void expandCompactForm(YamlNode &node, std::string_view parentName, Expansion &expansion,
                       FindingList &findings);

//! @brief Writes out all compact forms of a file.
void expandCompactForms(YamlNode &root, FindingList &findings);

} // namespace arbutusgrade::details
