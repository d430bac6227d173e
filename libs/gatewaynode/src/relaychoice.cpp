#include "details/relaychoice.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! A relay pauses for this fraction of the time in which changes must be in force.
constexpr int relayPauseDivisor = 8;

double relayScore(const RegisteredNode &node)
{
    return weightedRendezvousScore("relay/" + node.m_dataCentre, node.m_name, node.m_link.m_weight);
}

bool hasHigherScore(const RegisteredNode &left, const RegisteredNode &right)
{
    const double leftScore = relayScore(left);
    const double rightScore = relayScore(right);
    return leftScore != rightScore ? leftScore > rightScore : left.m_name < right.m_name;
}

bool isSameLink(const RegisteredNode &left, const RegisteredNode &right)
{
    return left.m_name == right.m_name && isSameEndpoint(left.m_link, right.m_link);
}

} // namespace

bool isSameEndpoint(const NodeLinkSettings &left, const NodeLinkSettings &right)
{
    return left.m_address == right.m_address && left.m_port == right.m_port;
}

std::chrono::milliseconds relayPause(std::chrono::milliseconds changeBound)
{
    return changeBound / relayPauseDivisor;
}

std::chrono::milliseconds maximumRelayAge(std::chrono::milliseconds changeBound)
{
    return relayWait + relayPause(changeBound) + relayAgeMargin;
}

TimePoint dataTimeOfReply(TimePoint sentAt, std::chrono::milliseconds wait, TimePoint receivedAt)
{
    return std::min<TimePoint>(receivedAt, sentAt + wait + storeReplyMargin);
}

TimePoint changeTimeOfReply(TimePoint previousDataTime, TimePoint sentAt, TimePoint receivedAt)
{
    if (receivedAt - sentAt <= promptReplyTime) {
        return previousDataTime;
    }
    // The store replied as soon as there was a change.
    return std::max<TimePoint>(previousDataTime, receivedAt - storeReplyMargin);
}

std::vector<RegisteredNode> selectRelays(std::span<const RegisteredNode> nodes,
                                         std::string_view dataCentre)
{
    std::vector<RegisteredNode> candidates;
    for (const RegisteredNode &node : nodes) {
        if (node.m_dataCentre == dataCentre) {
            candidates.push_back(node);
        }
    }
    if (candidates.size() < minimumNodesForRelays) {
        return {};
    }
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(relaysPerDataCentre),
                      candidates.end(), hasHigherScore);
    candidates.resize(relaysPerDataCentre);
    return candidates;
}

bool setRelays(RelayRoute &route, std::string_view node, std::vector<RegisteredNode> relays)
{
    std::sort(relays.begin(), relays.end(),
              [node](const RegisteredNode &left, const RegisteredNode &right) {
                  return rendezvousWeight(node, left.m_name) > rendezvousWeight(node, right.m_name);
              });
    if (std::equal(relays.begin(), relays.end(), route.m_relays.begin(), route.m_relays.end(),
                   isSameLink)) {
        return false;
    }
    route.m_relays = std::move(relays);
    std::erase_if(route.m_skippedUntil,
                  [&route](const std::pair<const std::string, TimePoint> &skip) {
                      return std::none_of(route.m_relays.begin(), route.m_relays.end(),
                                          [&skip](const RegisteredNode &relay) {
                                              return relay.m_name == skip.first;
                                          });
                  });
    return true;
}

const RegisteredNode *chooseRelay(const RelayRoute &route, TimePoint now)
{
    for (const RegisteredNode &relay : route.m_relays) {
        const std::map<std::string, TimePoint>::const_iterator skipped =
            route.m_skippedUntil.find(relay.m_name);
        if (skipped == route.m_skippedUntil.end() || now >= skipped->second) {
            return &relay;
        }
    }
    return nullptr;
}

void skipRelay(RelayRoute &route, TimePoint now, const std::string &name)
{
    route.m_skippedUntil[name] = now + relaySkipTime;
}

RelayCallTimes relayCallTimes(Duration dataAge, std::chrono::milliseconds maximumAge)
{
    const std::chrono::milliseconds remaining =
        maximumAge - std::chrono::duration_cast<std::chrono::milliseconds>(dataAge);
    const std::chrono::milliseconds wait =
        std::clamp(remaining, std::chrono::milliseconds(0), relayWait);
    const std::chrono::milliseconds timeout =
        std::clamp(remaining + relayReplyMargin, minimumRelayTimeout, wait + relayReplyMargin);
    return RelayCallTimes{wait, timeout};
}

std::string_view relayErrorName(RelayError error)
{
    switch (error) {
    case RelayError::NoReply:
        return "no-reply";
    case RelayError::Refused:
        return "refused";
    case RelayError::Unreadable:
        return "unreadable";
    case RelayError::HistoryGone:
        return "history-gone";
    case RelayError::OtherEra:
        return "other-era";
    case RelayError::OldData:
        return "old-data";
    }
    return "";
}

std::optional<RelayError> validateAnswer(const RelayAnswer &answer, StoreEra knownEra,
                                         std::uint64_t afterRevision,
                                         std::chrono::milliseconds maximumAge)
{
    if (answer.m_era != knownEra) {
        return RelayError::OtherEra;
    }
    if (answer.m_age > maximumAge) {
        return RelayError::OldData;
    }
    std::uint64_t previous = afterRevision;
    for (const MetadataEvent &event : answer.m_events) {
        const std::uint64_t revision = event.m_item.m_revision;
        if (revision <= afterRevision || revision < previous || revision > answer.m_upTo) {
            return RelayError::Unreadable;
        }
        previous = revision;
    }
    return std::nullopt;
}

} // namespace arbutusgrade
