#include <gtest/gtest.h>

#include "membership/membership.h"

//! Behaviour of a node when its byte rate limit for gossip is used up.
namespace arbutusgrade {
namespace {

constexpr Duration probePeriod{500'000};
//! Enough for a probe and one short update, but less than the reserve for probes.
constexpr double scarceTokenBytes = 450.0;

MembershipCore createNode(TimePoint now)
{
    MembershipOptions options;
    options.m_node = "node-1";
    options.m_dataCentre = "north-1";
    options.m_address = "node-1";
    options.m_peerPort = 1;
    options.m_bytesPerSecond = 0.0;
    MembershipCore core = createMembershipCore(now, options);
    updateTargets(core, now, {{"target-1", "north-1"}});
    return core;
}

//! Adds a live member without pending updates, so that the node probes it from then on.
void addMember(MembershipCore &core, TimePoint now, const std::string &name)
{
    MembershipSnapshot snapshot;
    snapshot.m_members.push_back(
        {name, 1, MemberState::Alive, 0, "north-1", name, std::uint16_t(1), std::uint16_t(2), ""});
    MembershipActions actions;
    applySnapshot(core, now, snapshot, actions);
    core.m_members.at(name).m_remainingTransmits = 0;
}

std::vector<GossipMessage> sentMessages(const MembershipActions &actions)
{
    std::vector<GossipMessage> messages;
    for (const MembershipAction &action : actions) {
        if (const SendGossip *send = std::get_if<SendGossip>(&action)) {
            messages.push_back(send->m_message);
        }
    }
    return messages;
}

//! Advances by one probe period and returns the messages that the node sends.
std::vector<GossipMessage> advanceProbePeriod(MembershipCore &core, TimePoint &now)
{
    now += probePeriod;
    MembershipActions actions;
    advanceTime(core, now, actions);
    return sentMessages(actions);
}

// Guards against a draining update that is delayed for more than 3 s while probes use all bytes.
TEST(MembershipByteLimitTest, ProbeCarriesDrainingTargetFromReserve)
{
    TimePoint now{Duration(1'000'000)};
    MembershipCore core = createNode(now);
    addMember(core, now, "node-2");
    core.m_byteTokens = scarceTokenBytes;
    MembershipActions actions;
    shareDraining(core, now, "target-1", actions);

    const std::vector<GossipMessage> messages = advanceProbePeriod(core, now);
    ASSERT_FALSE(messages.empty());
    EXPECT_EQ(messages.front().m_type, GossipType::Ping);
    ASSERT_EQ(messages.front().m_targets.size(), 1U);
    EXPECT_TRUE(messages.front().m_targets.front().m_draining);
}

// Guards against regular updates that leave no bytes for probes.
TEST(MembershipByteLimitTest, RegularUpdatesDoNotUseProbeReserve)
{
    TimePoint now{Duration(1'000'000)};
    MembershipCore core = createNode(now);
    addMember(core, now, "node-2");
    core.m_byteTokens = scarceTokenBytes;
    MembershipActions actions;
    handleTargetProbe(core, now, "target-1", TargetProbeResult{"start-1", false, {}}, actions);

    const std::vector<GossipMessage> messages = advanceProbePeriod(core, now);
    ASSERT_FALSE(messages.empty());
    EXPECT_TRUE(messages.front().m_targets.empty());
}

// Guards against a live member that is declared dead because of probes that were never sent.
TEST(MembershipByteLimitTest, WithheldProbeDoesNotCauseSuspicion)
{
    TimePoint now{Duration(1'000'000)};
    MembershipCore core = createNode(now);
    addMember(core, now, "node-2");
    core.m_byteTokens = 0.0;

    for (int period = 0; period < 60; ++period) {
        EXPECT_TRUE(advanceProbePeriod(core, now).empty());
    }

    EXPECT_EQ(core.m_members.at("node-2").m_update.m_state, MemberState::Alive);
}

} // namespace
} // namespace arbutusgrade
