#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "base/base.h"

//! @brief Typed reading of JSON objects. Faults become findings; reading goes on.
namespace arbutusgrade {

namespace json = boost::json;

enum class FieldPresence { Required, Optional };

//! @brief One object and what is wrong with it.
struct ObjectReader
{
    const json::object *m_object = nullptr; //!< nullptr: all reads give nothing.
    std::string m_path;                     //!< Of the object within the text, for messages.
    std::string m_file;
    std::vector<Finding> *m_findings = nullptr;
    std::vector<std::string_view> m_knownFields;
};

//! Messages of the administration nest 3 levels deep.
inline constexpr std::size_t messageDepth = 8;

//! Memory that a parsed text may take. That of a text from elsewhere may be more than ten times as
//! long as the text.
inline constexpr std::size_t parsedTextLimitBytes = 24 * 1024 * 1024;

//! @brief Parses a whole text within parsedTextLimitBytes.
//! @param consumed number of bytes that were read before an error.
//! @return nothing, with the error set, if the text is faulty or takes more memory.
std::optional<json::value> parseWithinLimit(std::string_view text,
                                            const json::parse_options &options,
                                            boost::system::error_code &error,
                                            std::size_t &consumed);

//! @brief Parses a text that must be one object; a syntax error is a finding with its place, and so
//! is deeper nesting than allowed.
std::optional<json::value> parseObject(std::string_view text, std::string_view file,
                                       std::vector<Finding> &findings,
                                       std::size_t maximumDepth = messageDepth);

ObjectReader openObject(const json::value &value, std::string path, std::string_view file,
                        std::vector<Finding> &findings);

//! @brief Reports the fields that were not asked for.
void reportUnknownFields(const ObjectReader &reader);

void addFieldFinding(const ObjectReader &reader, std::string_view field, std::string_view problem);

const json::value *readField(ObjectReader &reader, std::string_view field, FieldPresence presence);
std::string readString(ObjectReader &reader, std::string_view field, FieldPresence presence,
                       std::size_t maximumBytes);

//! @brief Returns a whole number within the bounds; 0 after a finding.
std::int64_t readNumber(ObjectReader &reader, std::string_view field, FieldPresence presence,
                        std::int64_t minimum,
                        std::int64_t maximum = std::numeric_limits<std::int64_t>::max());

//! @brief Returns a number within the bounds; 0 after a finding.
double readReal(ObjectReader &reader, std::string_view field, FieldPresence presence,
                double minimum, double maximum);

const json::array *readArray(ObjectReader &reader, std::string_view field, FieldPresence presence);

//! @brief Reads an object whose values are all strings.
std::vector<std::pair<std::string, std::string>> readStringMap(ObjectReader &reader,
                                                               std::string_view field,
                                                               FieldPresence presence);

} // namespace arbutusgrade
