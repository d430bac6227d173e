#include "transport/transport.h"

namespace arbutusgrade {

namespace {

bool isSpace(char character) noexcept
{
    return character == ' ' || character == '\t' || character == '\n' || character == '\r';
}

void skipSpace(std::string_view text, std::size_t &position) noexcept
{
    while (position < text.size() && isSpace(text[position])) {
        ++position;
    }
}

void skipString(std::string_view text, std::size_t &position) noexcept
{
    ++position;
    while (position < text.size() && text[position] != '"') {
        position += text[position] == '\\' ? 2 : 1;
    }
    ++position;
}

void skipValue(std::string_view text, std::size_t &position) noexcept
{
    int depth = 0;
    while (position < text.size()) {
        const char character = text[position];
        if (character == '"') {
            skipString(text, position);
            continue;
        }
        if (character == '{' || character == '[') {
            ++depth;
        } else if (character == '}' || character == ']') {
            if (depth == 0) {
                return;
            }
            --depth;
        } else if (character == ',' && depth == 0) {
            return;
        }
        ++position;
    }
}

std::string_view trimmed(std::string_view text) noexcept
{
    while (!text.empty() && isSpace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

//! @brief Calls the visitor with each direct member of the object.
template <typename Visitor> void visitMembers(std::string_view text, Visitor visit)
{
    std::size_t position = text.find('{');
    if (position == std::string_view::npos) {
        return;
    }
    ++position;
    skipSpace(text, position);
    while (position < text.size() && text[position] == '"') {
        const std::size_t keyStart = position;
        skipString(text, position);
        JsonMember member;
        member.m_key = text.substr(keyStart, position - keyStart);
        skipSpace(text, position);
        ++position; // The colon.
        skipSpace(text, position);
        const std::size_t valueStart = position;
        skipValue(text, position);
        member.m_value = trimmed(text.substr(valueStart, position - valueStart));
        visit(member);
        ++position; // The comma or closing brace.
        skipSpace(text, position);
    }
}

} // namespace

std::vector<JsonMember> splitJsonObject(std::string_view text)
{
    std::vector<JsonMember> members;
    visitMembers(text, [&members](const JsonMember &member) { members.push_back(member); });
    return members;
}

std::string_view findJsonMember(std::string_view text, std::string_view key)
{
    std::string_view value;
    visitMembers(text, [&value, key](const JsonMember &member) {
        if (member.m_key.substr(1, member.m_key.size() - 2) == key) {
            value = member.m_value;
        }
    });
    return value;
}

} // namespace arbutusgrade
