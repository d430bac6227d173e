#include "details/findinglist.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace arbutusgrade::details {

namespace {

constexpr std::size_t maximumQuotedBytes = 60;
constexpr std::size_t maximumSuggestionLength = 64;

bool isContinuationByte(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U;
}

bool comesBefore(const PlacedMessage &first, const PlacedMessage &second)
{
    const Place &one = first.m_place;
    const Place &other = second.m_place;
    return std::tie(one.m_file, one.m_line, one.m_column, first.m_message)
           < std::tie(other.m_file, other.m_line, other.m_column, second.m_message);
}

std::size_t editDistance(std::string_view first, std::string_view second)
{
    std::vector<std::size_t> row(second.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < first.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < second.size(); ++j) {
            const std::size_t replaced = diagonal + (first[i] == second[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

void addFinding(FindingList &findings, const Place &place, std::string message)
{
    findings.m_total += 1;
    if (findings.m_messages.size() < maximumStoredFindings) {
        findings.m_messages.push_back(PlacedMessage{place, std::move(message)});
    }
}

std::string formatPlace(const FindingList &findings, const Place &place)
{
    return findings.m_fileNames[static_cast<std::size_t>(place.m_file)] + ":"
           + std::to_string(place.m_line) + ":" + std::to_string(place.m_column);
}

std::string quote(std::string_view text)
{
    std::size_t length = std::min(text.size(), maximumQuotedBytes);
    while (length > 0 && length < text.size() && isContinuationByte(text[length])) {
        --length;
    }
    std::string result = "'";
    for (const char byte : text.substr(0, length)) {
        const bool isControl = static_cast<unsigned char>(byte) < 0x20U || byte == 0x7f;
        result += isControl ? '?' : byte;
    }
    if (length < text.size()) {
        result += "...";
    }
    return result + "'";
}

std::string suggestion(std::string_view text, const std::vector<std::string_view> &known)
{
    if (text.empty() || text.size() > maximumSuggestionLength) {
        return {};
    }
    std::string_view best;
    std::size_t bestDistance = 1 + text.size() / 3;
    for (const std::string_view candidate : known) {
        const bool containsText = text.size() >= 4 && candidate.starts_with(text);
        const std::size_t distance = containsText ? 1 : editDistance(text, candidate);
        if (distance <= bestDistance && (best.empty() || distance < bestDistance)) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best.empty() ? std::string() : " (did you mean " + quote(best) + "?)";
}

std::vector<Finding> takeFindings(FindingList &findings)
{
    std::vector<PlacedMessage> &messages = findings.m_messages;
    std::sort(messages.begin(), messages.end(), comesBefore);
    messages.erase(std::unique(messages.begin(), messages.end()), messages.end());
    std::vector<Finding> result;
    for (PlacedMessage &message : messages) {
        const Place &place = message.m_place;
        const std::string &file = findings.m_fileNames[static_cast<std::size_t>(place.m_file)];
        if (result.size() == maximumFindings) {
            result.push_back(Finding{file, place.m_line, place.m_column,
                                     "further findings from here on are not listed"});
            break;
        }
        result.push_back(Finding{file, place.m_line, place.m_column, std::move(message.m_message)});
    }
    messages.clear();
    return result;
}

} // namespace arbutusgrade::details
