#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "gatewaynode/gatewaynode.h"

//! @brief Which nodes relay the changes of the store to others, which relay a node uses, and when
//! its answers can be used. No input or output; `now` is a parameter.
namespace arbutusgrade {

//! A data centre with fewer nodes has no relays: each node watches the store itself.
inline constexpr std::size_t minimumNodesForRelays = 8;

//! Each relay has a share of the followers, and those of the other one while that is skipped.
inline constexpr std::size_t relaysPerDataCentre = 2;

//! Wait of a relay's own watch, and of a watch that a relay answers.
inline constexpr std::chrono::milliseconds relayWait{1'000};

//! A relay that has not replied within the wait and this time counts as silent.
inline constexpr std::chrono::milliseconds relayReplyMargin{400};

//! Shortest time-out of a call to a relay, also when the data of this node is old already.
inline constexpr std::chrono::milliseconds minimumRelayTimeout{200};

//! A relay whose answer could not be used is not asked again for this long.
inline constexpr Duration relaySkipTime = std::chrono::seconds(5);

//! Age of a relay's data beyond its wait and its pause at which it counts as cut off from the
//! store.
inline constexpr std::chrono::milliseconds relayAgeMargin{500};

//! A reply of the store that arrives later than its wait and this time may have been computed
//! earlier, for example because this process was paused.
inline constexpr std::chrono::milliseconds storeReplyMargin{100};

//! A watch that is answered later than this had waited at the store: there were no changes when it
//! arrived there.
inline constexpr std::chrono::milliseconds promptReplyTime{500};

//! @brief Pause of a relay after changes, so that its next call returns a batch.
std::chrono::milliseconds relayPause(std::chrono::milliseconds changeBound);

//! @brief Age up to which the data of a relay is used.
std::chrono::milliseconds maximumRelayAge(std::chrono::milliseconds changeBound);

//! @brief Time at which the data of a reply is taken to have been current.
TimePoint dataTimeOfReply(TimePoint sentAt, std::chrono::milliseconds wait, TimePoint receivedAt);

//! @brief Returns a time after which the changes in a reply of the store were made.
//! @param previousDataTime when the data of this node was current before the reply.
TimePoint changeTimeOfReply(TimePoint previousDataTime, TimePoint sentAt, TimePoint receivedAt);

//! @brief Returns the relays of the data centre, by weighted rendezvous hashing; none if it has
//! too few nodes.
std::vector<RegisteredNode> selectRelays(std::span<const RegisteredNode> nodes,
                                         std::string_view dataCentre);

//! @brief The relays that a node may use, the preferred one first.
struct RelayRoute
{
    std::vector<RegisteredNode> m_relays;
    std::map<std::string, TimePoint> m_skippedUntil; //!< By name.
};

//! @brief Replaces the relays. Nodes prefer different ones, so that each relay has its share.
//! @return false if they are the same as before.
bool setRelays(RelayRoute &route, std::string_view node, std::vector<RegisteredNode> relays);

//! @brief True if both links have the same address and port.
bool isSameEndpoint(const NodeLinkSettings &left, const NodeLinkSettings &right);

//! @brief Returns the relay to ask, or null if the store is to be asked.
const RegisteredNode *chooseRelay(const RelayRoute &route, TimePoint now);

//! @brief Does not ask the relay again until relaySkipTime has passed.
void skipRelay(RelayRoute &route, TimePoint now, const std::string &name);

//! @brief Wait and time-out of a call to a relay.
struct RelayCallTimes
{
    std::chrono::milliseconds m_wait{0};
    std::chrono::milliseconds m_timeout{0};
};

//! @brief Chooses the times so that this node notices a silent relay before its own data is older
//! than a relay's may be.
//! @param dataAge age of this node's data.
RelayCallTimes relayCallTimes(Duration dataAge, std::chrono::milliseconds maximumAge);

//! @brief Why an answer of a relay is not used.
enum class RelayError { NoReply, Refused, Unreadable, HistoryGone, OtherEra, OldData };

//! @brief Name of an error for the log.
std::string_view relayErrorName(RelayError error);

//! @brief A relay's answer to a watch.
struct RelayAnswer
{
    StoreEra m_era;
    std::uint64_t m_upTo = 0; //!< All changes up to this revision are part of the answer.
    std::chrono::milliseconds m_age{0};
    std::vector<MetadataEvent> m_events;
};

//! @brief Returns why the answer cannot be used, or nothing.
std::optional<RelayError> validateAnswer(const RelayAnswer &answer, StoreEra knownEra,
                                         std::uint64_t afterRevision,
                                         std::chrono::milliseconds maximumAge);

} // namespace arbutusgrade
