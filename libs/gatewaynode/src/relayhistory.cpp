#include "details/relayhistory.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

// Names, revision and punctuation of an event in a message.
constexpr std::size_t eventOverheadBytes = 96;

//! @brief Size of an event in a message, where key and value are base64.
std::size_t sentBytes(const MetadataEvent &event)
{
    return eventOverheadBytes + (event.m_item.m_key.size() + event.m_item.m_value.size()) * 4 / 3;
}

bool hasLowerRevision(const MetadataEvent &left, const MetadataEvent &right)
{
    return left.m_item.m_revision < right.m_item.m_revision;
}

} // namespace

void RelayHistory::clear()
{
    *this = RelayHistory();
}

void RelayHistory::append(TimePoint now, TimePoint dataTime, std::uint64_t afterRevision,
                          const MetadataChanges &changes)
{
    const bool isEarlierEra = m_era && changes.m_era && *changes.m_era < *m_era;
    if (isEarlierEra) {
        return;
    }
    if (!m_dataTime || changes.m_era != m_era || afterRevision > m_upTo) {
        clear();
        m_era = changes.m_era;
        m_completeAfter = afterRevision;
        m_upTo = afterRevision;
    }
    const std::uint64_t knownUpTo = m_upTo;
    m_upTo = std::max(m_upTo, changes.m_storeRevision);
    std::vector<MetadataEvent> events = changes.m_events;
    for (MetadataEvent &event : events) {
        if (event.m_item.m_revision == 0) {
            event.m_item.m_revision = m_upTo;
        }
    }
    std::stable_sort(events.begin(), events.end(), hasLowerRevision);
    for (MetadataEvent &event : events) {
        if (event.m_item.m_revision <= knownUpTo) {
            continue;
        }
        m_upTo = std::max(m_upTo, event.m_item.m_revision);
        m_bytes += sentBytes(event);
        m_changes.push_back(Change{std::move(event), now});
    }
    m_dataTime = m_dataTime ? std::max(*m_dataTime, dataTime) : dataTime;
    purge(now);
}

void RelayHistory::purge(TimePoint now)
{
    while (!m_changes.empty()
           && (m_bytes > maximumBytes || now - m_changes.front().m_appendedAt >= retention)) {
        m_completeAfter = m_changes.front().m_event.m_item.m_revision;
        m_bytes -= sentBytes(m_changes.front().m_event);
        m_changes.pop_front();
    }
}

bool RelayHistory::hasAnswer(std::uint64_t afterRevision) const
{
    const bool hasChanges =
        !m_changes.empty() && m_changes.back().m_event.m_item.m_revision > afterRevision;
    return !m_dataTime || afterRevision < m_completeAfter || hasChanges;
}

std::optional<RelayAnswer> RelayHistory::changesAfter(TimePoint now,
                                                      std::uint64_t afterRevision) const
{
    if (!m_dataTime || afterRevision < m_completeAfter) {
        return std::nullopt;
    }
    RelayAnswer answer;
    answer.m_era = m_era;
    answer.m_upTo = m_upTo;
    answer.m_age = std::chrono::ceil<std::chrono::milliseconds>(now - *m_dataTime);
    std::size_t bytes = 0;
    for (const Change &change : m_changes) {
        const std::uint64_t revision = change.m_event.m_item.m_revision;
        if (revision <= afterRevision) {
            continue;
        }
        bytes += sentBytes(change.m_event);
        if (bytes > answerLimitBytes) {
            // Changes of one revision are not split over two answers.
            std::erase_if(answer.m_events, [revision](const MetadataEvent &event) {
                return event.m_item.m_revision == revision;
            });
            if (answer.m_events.empty()) {
                return std::nullopt;
            }
            answer.m_upTo = answer.m_events.back().m_item.m_revision;
            break;
        }
        answer.m_events.push_back(change.m_event);
    }
    return answer;
}

} // namespace arbutusgrade
