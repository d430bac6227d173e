#pragma once

#include "membership/membership.h"

//! @brief Steps shared by the parts of the membership core.
namespace arbutusgrade::membershipdetails {

//! @brief Times that a new update is told by each node; grows with the logarithm of the nodes.
int transmitCount(const MembershipCore &core) noexcept;

//! @brief Takes one update; tells it on if it was news.
void applyMember(MembershipCore &core, TimePoint now, const MemberUpdate &update,
                 MembershipActions &actions);
void applyTarget(MembershipCore &core, TimePoint now, const SharedTarget &state,
                 MembershipActions &actions);
void applyQuarantine(MembershipCore &core, TimePoint now, const QuarantineUpdate &update,
                     MembershipActions &actions);

//! @brief Starts or confirms the suspicion of a member.
void suspectMember(MembershipCore &core, TimePoint now, const std::string &name,
                   MembershipActions &actions);

//! @brief Declares members dead whose suspicion lasted long enough, and forgets old tombstones.
void advanceSuspicions(MembershipCore &core, TimePoint now, MembershipActions &actions);

//! @brief Detects a pause of this process by the gap since the last call.
void notePause(MembershipCore &core, TimePoint now);

void changeAwareness(MembershipCore &core, int change) noexcept;

//! @brief Where a message goes.
struct Destination
{
    std::string m_peer;
    std::string m_address;
    std::uint16_t m_port = 0;
};

Destination destinationOf(const Member &member);

//! @brief Fills in the sender and as many updates as fit. Returns false, and sends nothing, where
//! the byte limit does not allow it.
bool sendMessage(MembershipCore &core, TimePoint now, const Destination &destination,
                 GossipMessage message, MembershipActions &actions);

//! @brief Tells urgent updates to random peers, at most once in a short interval.
void pushUrgent(MembershipCore &core, TimePoint now, MembershipActions &actions);

//! @brief Repeats the last push a few times, for those that it did not reach.
void repeatPush(MembershipCore &core, TimePoint now, MembershipActions &actions);

bool isLive(MemberState state) noexcept;

//! @brief Names of live members of the data centre, without this node.
std::vector<std::string> liveMembers(const MembershipCore &core, std::string_view dataCentre);

bool isDelegate(const MembershipCore &core);

//! @brief Data centres of known members other than this node's.
std::set<std::string> otherDataCentres(const MembershipCore &core);

//! @brief This node's data centre and those that sent it a message lately.
std::set<std::string> heardDataCentres(const MembershipCore &core, TimePoint now);

//! @brief Removes and returns a random element.
template <typename Element> Element takeRandom(RandomGenerator &random, std::vector<Element> &from)
{
    const std::uint64_t index = nextRandomBelow(random, from.size());
    std::swap(from[index], from.back());
    Element taken = std::move(from.back());
    from.pop_back();
    return taken;
}

//! @brief Chooses the targets that this node probes and starts the probes that are due.
void advanceTargetProbes(MembershipCore &core, TimePoint now, MembershipActions &actions);

TimePoint nextTargetProbe(const MembershipCore &core);

} // namespace arbutusgrade::membershipdetails
