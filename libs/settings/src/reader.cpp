#include "details/reader.h"

#include <algorithm>
#include <charconv>

#include "details/ipaddress.h"

namespace arbutusgrade::details {

namespace {

constexpr std::size_t maximumNameLength = 63;

//! Returns the value if it is a single value, else reports it.
const YamlNode *readScalar(MapReader &reader, std::string_view key, Presence presence)
{
    const YamlNode *const value = readEntry(reader, key, presence);
    if (value == nullptr || value->m_kind == NodeKind::Scalar) {
        return value;
    }
    addFinding(*reader.m_findings, value->m_place,
               quote(key) + " must be a single value, not "
                   + std::string(nodeKindName(value->m_kind)));
    return nullptr;
}

template <typename Number> std::optional<Number> numberOf(const YamlNode &node)
{
    // A leading zero means octal to some YAML readers, so it is no number here.
    const std::string_view text = node.m_text;
    const bool hasLeadingZero = text.size() > 1 && text[0] == '0' && text[1] != '.';
    Number number{};
    const char *const end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, number);
    if (node.m_quoted || hasLeadingZero || result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return number;
}

std::string formatNumber(std::int64_t number)
{
    return std::to_string(number);
}

std::string formatNumber(double number)
{
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    return text.ends_with('.') ? text + "0" : text;
}

template <typename Number>
std::optional<Number> readNumber(MapReader &reader, std::string_view key, Presence presence,
                                 const Range<Number> &range, std::string_view typeName)
{
    const YamlNode *const value = readScalar(reader, key, presence);
    if (value == nullptr) {
        return std::nullopt;
    }
    const std::optional<Number> number = numberOf<Number>(*value);
    const std::string limits =
        " from " + formatNumber(range.m_minimum) + " to " + formatNumber(range.m_maximum);
    if (!number) {
        addFinding(*reader.m_findings, value->m_place,
                   quote(key) + " must be " + std::string(typeName) + limits + ", not "
                       + quote(value->m_text));
        return std::nullopt;
    }
    // Written so that a value that is not a number is refused too.
    if (!(*number >= range.m_minimum && *number <= range.m_maximum)) {
        addFinding(*reader.m_findings, value->m_place,
                   quote(key) + " is " + value->m_text + "; it must be" + limits);
        return std::nullopt;
    }
    return number;
}

bool isNameCharacter(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
           || (byte >= '0' && byte <= '9') || byte == '-' || byte == '_' || byte == '.';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maximumNameLength && text[0] != '-' && text[0] != '.'
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

} // namespace

MapReader openMap(const YamlNode &node, FindingList &findings)
{
    if (node.m_kind == NodeKind::Map) {
        return MapReader{&node, &findings, {}};
    }
    addFinding(findings, valuePlace(node),
               "a map of keys is needed here, not " + std::string(nodeKindName(node.m_kind)));
    return MapReader{nullptr, &findings, {}};
}

void closeMap(const MapReader &reader)
{
    if (reader.m_node == nullptr) {
        return;
    }
    const std::vector<std::string_view> &known = reader.m_knownKeys;
    for (const YamlNode &item : reader.m_node->m_items) {
        if (std::find(known.begin(), known.end(), item.m_key) == known.end()) {
            addFinding(*reader.m_findings, item.m_keyPlace,
                       "unknown key " + quote(item.m_key) + suggestion(item.m_key, known));
        }
    }
}

const YamlNode *readEntry(MapReader &reader, std::string_view key, Presence presence)
{
    if (reader.m_node == nullptr) {
        return nullptr;
    }
    reader.m_knownKeys.push_back(key);
    const YamlNode *const value = findEntry(*reader.m_node, key);
    if (value == nullptr) {
        if (presence == Presence::Required) {
            addFinding(*reader.m_findings, reader.m_node->m_place,
                       "key " + quote(key) + " is missing");
        }
        return nullptr;
    }
    if (value->m_kind == NodeKind::Null) {
        addFinding(*reader.m_findings, valuePlace(*value), quote(key) + " has no value");
        return nullptr;
    }
    return value;
}

const YamlNode *readList(MapReader &reader, std::string_view key, Presence presence)
{
    const YamlNode *const value = readEntry(reader, key, presence);
    if (value == nullptr) {
        return nullptr;
    }
    if (value->m_kind != NodeKind::List) {
        addFinding(*reader.m_findings, value->m_place,
                   quote(key) + " must be a list, not " + std::string(nodeKindName(value->m_kind)));
        return nullptr;
    }
    if (value->m_items.empty() && !value->m_faulty && presence == Presence::Required) {
        addFinding(*reader.m_findings, value->m_place, quote(key) + " must not be empty");
    }
    return value;
}

std::optional<std::string> readText(MapReader &reader, std::string_view key, Presence presence)
{
    const YamlNode *const value = readScalar(reader, key, presence);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (value->m_text.empty() || value->m_text.size() > 200) {
        addFinding(*reader.m_findings, value->m_place,
                   quote(key) + " must have 1 to 200 characters");
        return std::nullopt;
    }
    return value->m_text;
}

std::optional<bool> readBoolean(MapReader &reader, std::string_view key, Presence presence)
{
    const YamlNode *const value = readScalar(reader, key, presence);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->m_quoted && value->m_text == "true") {
        return true;
    }
    if (!value->m_quoted && value->m_text == "false") {
        return false;
    }
    addFinding(*reader.m_findings, value->m_place,
               quote(key) + " must be true or false, not " + quote(value->m_text));
    return std::nullopt;
}

std::optional<std::int64_t> readInteger(MapReader &reader, std::string_view key, Presence presence,
                                        const Range<std::int64_t> &range)
{
    return readNumber<std::int64_t>(reader, key, presence, range, "a whole number");
}

std::optional<double> readFraction(MapReader &reader, std::string_view key, Presence presence,
                                   const Range<double> &range)
{
    return readNumber<double>(reader, key, presence, range, "a number");
}

std::optional<std::string> readName(MapReader &reader, std::string_view key, Presence presence)
{
    const YamlNode *const value = readScalar(reader, key, presence);
    return value == nullptr ? std::nullopt : nameOf(*value, *reader.m_findings);
}

std::optional<std::string> readAddress(MapReader &reader, std::string_view key, Presence presence)
{
    const YamlNode *const value = readScalar(reader, key, presence);
    return value == nullptr ? std::nullopt : addressOf(*value, *reader.m_findings);
}

std::optional<std::string> nameOf(const YamlNode &node, FindingList &findings)
{
    if (node.m_kind == NodeKind::Scalar && isName(node.m_text)) {
        return node.m_text;
    }
    addFinding(findings, valuePlace(node),
               (node.m_kind == NodeKind::Scalar ? quote(node.m_text)
                                                : std::string(nodeKindName(node.m_kind)))
                   + " is not a name: 1 to 63 letters a-z, digits, '-', '_' or '.', beginning with "
                     "a letter, a digit or '_'");
    return std::nullopt;
}

std::optional<std::string> addressOf(const YamlNode &node, FindingList &findings)
{
    std::optional<std::string> address =
        node.m_kind == NodeKind::Scalar ? normalizeAddress(node.m_text) : std::nullopt;
    if (!address) {
        addFinding(findings, valuePlace(node),
                   (node.m_kind == NodeKind::Scalar ? quote(node.m_text)
                                                    : std::string(nodeKindName(node.m_kind)))
                       + " is not the IP number of one machine, such as 10.20.0.7 or fd00::7");
    }
    return address;
}

} // namespace arbutusgrade::details
