#pragma once

#include "membership/membership.h"

//! @brief Functions shared by the source files of the membership library.
namespace arbutusgrade::membershipdetails {

//! @brief Returns how often a node sends a new update; grows logarithmically with the node count.
int initialTransmits(const MembershipCore &core) noexcept;

//! @brief Merges an update and schedules it for dissemination if it changed the state.
void applyMemberUpdate(MembershipCore &core, TimePoint now, const MemberUpdate &update,
                       MembershipActions &actions);
void applyTargetUpdate(MembershipCore &core, TimePoint now, const SharedTargetState &state,
                       MembershipActions &actions);
void applyQuarantineUpdate(MembershipCore &core, TimePoint now, const QuarantineUpdate &update,
                           MembershipActions &actions);

//! @brief Raises or confirms a suspicion of this node against a member.
void suspectMember(MembershipCore &core, TimePoint now, const std::string &name,
                   MembershipActions &actions);

//! @brief Declares members dead whose suspicion timed out and removes expired tombstones.
void expireSuspicions(MembershipCore &core, TimePoint now, MembershipActions &actions);

//! @brief Detects a pause of this process from the gap since the last call.
void detectPause(MembershipCore &core, TimePoint now);

//! @brief Adds @p change to the awareness score, within its limits.
void adjustAwareness(MembershipCore &core, int change) noexcept;

//! @brief Receiver of a message.
struct Destination
{
    std::string m_peer;
    std::string m_address;
    std::uint16_t m_port = 0;
};

Destination destinationOf(const Member &member);

//! @brief Sends a message after adding the sender state and as many updates as fit.
//! @return false, without sending, if the byte rate limit is exceeded.
bool sendMessage(MembershipCore &core, TimePoint now, const Destination &destination,
                 GossipMessage message, MembershipActions &actions);

//! @brief Pushes urgent updates to random peers, rate limited.
void pushUrgentUpdates(MembershipCore &core, TimePoint now, MembershipActions &actions);

//! @brief Repeats the last push, for peers that did not receive it.
void repeatLastPush(MembershipCore &core, TimePoint now, MembershipActions &actions);

bool isLive(MemberState state) noexcept;

//! @brief Returns the names of the live members of a data centre, sorted, without this node.
std::vector<std::string> liveMembers(const MembershipCore &core, std::string_view dataCentre);

//! @brief Returns whether this node is a delegate of its data centre.
bool isDelegate(const MembershipCore &core);

//! @brief Returns the data centres of live members other than this node's.
std::set<std::string> otherDataCentres(const MembershipCore &core);

//! @brief Returns this node's data centre and those from which a message arrived recently.
std::set<std::string> reachableDataCentres(const MembershipCore &core, TimePoint now);

//! @brief Removes and returns a random element.
template <typename Element>
Element removeRandom(RandomGenerator &random, std::vector<Element> &elements)
{
    const std::uint64_t index = nextRandomBelow(random, elements.size());
    std::swap(elements[index], elements.back());
    Element removed = std::move(elements.back());
    elements.pop_back();
    return removed;
}

//! @brief Updates which targets this node probes and starts the due probes.
void advanceTargetProbes(MembershipCore &core, TimePoint now, MembershipActions &actions);

TimePoint nextTargetProbeTime(const MembershipCore &core);

} // namespace arbutusgrade::membershipdetails
