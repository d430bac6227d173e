#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

//! @brief Collection of findings in the base and the overlay, in order of place.
namespace arbutusgrade::details {

inline constexpr int baseFile = 0;
inline constexpr int overlayFile = 1;

//! A damaged file can have a finding on every line; more than this many help nobody.
inline constexpr std::size_t maximumFindings = 1000;

//! Findings beyond this number are only counted, which bounds the memory that a file can ask for.
inline constexpr std::size_t maximumStoredFindings = 100'000;

//! @brief Place in the base (file 0) or the overlay (file 1). Lines and columns count from 1.
struct Place
{
    int m_file = baseFile;
    int m_line = 0;
    int m_column = 0;

    bool operator==(const Place &other) const = default;
};

struct PlacedMessage
{
    Place m_place;
    std::string m_message;

    bool operator==(const PlacedMessage &other) const = default;
};

struct FindingList
{
    std::array<std::string, 2> m_fileNames;
    std::vector<PlacedMessage> m_messages;
    std::size_t m_total = 0; //!< Findings added, stored or not.
};

//! @brief Adds a finding; the order of calls does not matter.
void addFinding(FindingList &findings, const Place &place, std::string message);

//! @brief Formats a place as "file:line:column" for use within a message.
std::string formatPlace(const FindingList &findings, const Place &place);

//! @brief Text in single quotes, with control characters replaced and long texts cut.
std::string quote(std::string_view text);

//! @brief The known word nearest to the text if it is likely meant, as " (did you mean 'X'?)".
std::string suggestion(std::string_view text, const std::vector<std::string_view> &known);

//! @brief Sorted findings without repetition, at most maximumFindings and one that says so.
std::vector<Finding> takeFindings(FindingList &findings);

} // namespace arbutusgrade::details
