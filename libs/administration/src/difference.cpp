#include <algorithm>
#include <unordered_map>

#include "administration/administration.h"

namespace arbutusgrade {

namespace {

//! Time and memory grow with the square of the number of edits.
constexpr int maximumEdits = 1000;
constexpr std::size_t contextLines = 2;

enum class EditKind { Keep, Remove, Add };

struct Edit
{
    EditKind m_kind = EditKind::Keep;
    std::string_view m_line;
};

using Lines = std::vector<std::string_view>;

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

//! Lines as numbers that are equal where the lines are, which makes comparing cheap.
std::vector<int> numberLines(const Lines &lines, std::unordered_map<std::string_view, int> &numbers)
{
    std::vector<int> result;
    result.reserve(lines.size());
    for (const std::string_view line : lines) {
        result.push_back(numbers.emplace(line, static_cast<int>(numbers.size())).first->second);
    }
    return result;
}

//! State of the greedy algorithm of Myers, "An O(ND) difference algorithm and its variations":
//! for each diagonal, how far into `from` a path with the given number of edits reaches.
using Reach = std::vector<int>;

struct Search
{
    const std::vector<int> &m_from;
    const std::vector<int> &m_to;
    std::vector<Reach> m_trace; //!< Reach before each number of edits.
    Reach m_reach;              //!< By diagonal + maximumEdits + 1.
};

int &reachAt(Reach &reach, int diagonal)
{
    const int index = diagonal + maximumEdits + 1;
    return reach[static_cast<std::size_t>(index)];
}

bool stepsDown(Reach &reach, int diagonal, int edits)
{
    return diagonal == -edits
           || (diagonal != edits && reachAt(reach, diagonal - 1) < reachAt(reach, diagonal + 1));
}

//! @return whether a path with this number of edits reaches the end of both texts.
bool extendPaths(Search &search, int edits)
{
    const int fromSize = static_cast<int>(search.m_from.size());
    const int toSize = static_cast<int>(search.m_to.size());
    for (int diagonal = -edits; diagonal <= edits; diagonal += 2) {
        int from = stepsDown(search.m_reach, diagonal, edits)
                       ? reachAt(search.m_reach, diagonal + 1)
                       : reachAt(search.m_reach, diagonal - 1) + 1;
        int to = from - diagonal;
        while (from < fromSize && to < toSize && to >= 0
               && search.m_from[static_cast<std::size_t>(from)]
                      == search.m_to[static_cast<std::size_t>(to)]) {
            ++from;
            ++to;
        }
        reachAt(search.m_reach, diagonal) = from;
        if (from >= fromSize && to >= toSize) {
            return true;
        }
    }
    return false;
}

//! @return the least number of edits, or -1 if there are more than maximumEdits.
int findPath(Search &search)
{
    search.m_reach.assign(std::size_t{2} * maximumEdits + 3, 0);
    for (int edits = 0; edits <= maximumEdits; ++edits) {
        search.m_trace.push_back(search.m_reach);
        if (extendPaths(search, edits)) {
            return edits;
        }
    }
    return -1;
}

std::vector<Edit> readPath(Search &search, int edits, const Lines &fromLines, const Lines &toLines)
{
    std::vector<Edit> reversed;
    int from = static_cast<int>(fromLines.size());
    int to = static_cast<int>(toLines.size());
    const auto keep = [&] {
        --from;
        --to;
        reversed.push_back({EditKind::Keep, fromLines[static_cast<std::size_t>(from)]});
    };
    for (; edits > 0; --edits) {
        Reach &reach = search.m_trace[static_cast<std::size_t>(edits)];
        const int diagonal = from - to;
        const bool isAdded = stepsDown(reach, diagonal, edits);
        const int previous = isAdded ? diagonal + 1 : diagonal - 1;
        const int previousFrom = reachAt(reach, previous);
        const int start = isAdded ? previousFrom : previousFrom + 1;
        while (from > start) {
            keep();
        }
        if (isAdded) {
            --to;
            reversed.push_back({EditKind::Add, toLines[static_cast<std::size_t>(to)]});
        } else {
            --from;
            reversed.push_back({EditKind::Remove, fromLines[static_cast<std::size_t>(from)]});
        }
    }
    while (from > 0) {
        keep();
    }
    std::reverse(reversed.begin(), reversed.end());
    return reversed;
}

std::vector<Edit> replaceAll(const Lines &from, const Lines &to)
{
    std::vector<Edit> edits;
    for (const std::string_view line : from) {
        edits.push_back({EditKind::Remove, line});
    }
    for (const std::string_view line : to) {
        edits.push_back({EditKind::Add, line});
    }
    return edits;
}

std::vector<Edit> findEdits(const Lines &from, const Lines &to)
{
    std::unordered_map<std::string_view, int> numbers;
    const std::vector<int> fromNumbers = numberLines(from, numbers);
    const std::vector<int> toNumbers = numberLines(to, numbers);
    Search search{fromNumbers, toNumbers, {}, {}};
    const int edits = findPath(search);
    return edits < 0 ? replaceAll(from, to) : readPath(search, edits, from, to);
}

//! Edits from m_begin to before m_end, with the lines of both texts at which they begin.
struct Hunk
{
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::size_t m_fromLine = 1;
    std::size_t m_toLine = 1;
};

void appendHunk(std::string &text, const std::vector<Edit> &edits, const Hunk &hunk)
{
    std::size_t fromCount = 0;
    std::size_t toCount = 0;
    std::string lines;
    for (std::size_t i = hunk.m_begin; i < hunk.m_end; ++i) {
        const Edit &edit = edits[i];
        fromCount += edit.m_kind == EditKind::Add ? 0 : 1;
        toCount += edit.m_kind == EditKind::Remove ? 0 : 1;
        lines += edit.m_kind == EditKind::Keep ? ' ' : edit.m_kind == EditKind::Add ? '+' : '-';
        lines += edit.m_line;
        lines += '\n';
    }
    text += "@@ -" + std::to_string(hunk.m_fromLine) + "," + std::to_string(fromCount) + " +"
            + std::to_string(hunk.m_toLine) + "," + std::to_string(toCount) + " @@\n" + lines;
}

//! @return the index of the first edit that is no kept line, from the given one on.
std::size_t nextChange(const std::vector<Edit> &edits, std::size_t begin)
{
    while (begin < edits.size() && edits[begin].m_kind == EditKind::Keep) {
        ++begin;
    }
    return begin;
}

//! @return the end of the hunk whose first change is given; near changes share their context.
std::size_t hunkEnd(const std::vector<Edit> &edits, std::size_t change)
{
    std::size_t last = change;
    for (std::size_t next = nextChange(edits, change + 1);
         next < edits.size() && next - last <= 2 * contextLines + 1;
         next = nextChange(edits, next + 1)) {
        last = next;
    }
    return std::min(last + contextLines + 1, edits.size());
}

} // namespace

std::string differenceOfLines(std::string_view from, std::string_view to)
{
    const std::vector<Edit> edits = findEdits(splitLines(from), splitLines(to));
    std::string text;
    Hunk hunk;
    std::size_t position = 0;
    for (std::size_t change = nextChange(edits, 0); change < edits.size();
         change = nextChange(edits, position)) {
        hunk.m_begin = std::max(position, change - std::min(change, contextLines));
        hunk.m_end = hunkEnd(edits, change);
        for (; position < hunk.m_begin; ++position) {
            ++hunk.m_fromLine;
            ++hunk.m_toLine;
        }
        appendHunk(text, edits, hunk);
        for (; position < hunk.m_end; ++position) {
            hunk.m_fromLine += edits[position].m_kind == EditKind::Add ? 0 : 1;
            hunk.m_toLine += edits[position].m_kind == EditKind::Remove ? 0 : 1;
        }
    }
    return text;
}

} // namespace arbutusgrade
