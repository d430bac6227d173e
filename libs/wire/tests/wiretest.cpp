#include "wire/wire.h"

#include <limits>

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

GossipMessage fullMessage()
{
    GossipMessage message;
    message.m_type = GossipType::Nack;
    message.m_sender = "kariakoo-1";
    message.m_incarnation = ~std::uint64_t{0};
    message.m_sequence = 77;
    message.m_revision = 1'000'000;
    message.m_storeContactAge = Duration(1'500'000);
    message.m_probeTarget = "upanga-2";
    message.m_members = {{"a", 5, MemberState::Left, 9, "dc", "10.0.0.1", 65535, 80, ""},
                         {"b", 6, MemberState::Suspect, 0, "", "", 0, 0, "a"}};
    message.m_targets = {{"t", "start", 3, false, true, {{1, 2}, {~std::uint64_t{0}, 4}}},
                         {"u", "", 1, true, false, {}}};
    message.m_quarantines = {{~std::uint64_t{0}, 2, Duration(600'000'000)}};
    return message;
}

// Guards against a field that is lost or changed between two nodes, and against a bound of the
// size that the byte limit cannot rely on.
TEST(Wire, GossipSurvivesTheWireWithinItsBound)
{
    const GossipMessage sent = fullMessage();
    const std::string bytes = encodeGossip(sent);
    EXPECT_LE(bytes.size(), estimateEncodedBytes(sent));
    const Decoded<GossipMessage> decoded = decodeGossip(bytes);
    ASSERT_TRUE(decoded);
    const GossipMessage &got = decoded.value();
    EXPECT_EQ(got.m_type, sent.m_type);
    EXPECT_EQ(got.m_incarnation, sent.m_incarnation);
    EXPECT_EQ(got.m_storeContactAge, sent.m_storeContactAge);
    EXPECT_EQ(got.m_probeTarget, sent.m_probeTarget);
    ASSERT_EQ(got.m_members.size(), 2U);
    EXPECT_EQ(got.m_members[0].m_state, MemberState::Left);
    EXPECT_EQ(got.m_members[0].m_peerPort, 65535);
    EXPECT_EQ(got.m_members[1].m_accuser, "a");
    ASSERT_EQ(got.m_targets.size(), 2U);
    EXPECT_EQ(got.m_targets[0].m_holdings, sent.m_targets[0].m_holdings);
    EXPECT_TRUE(got.m_targets[0].m_draining);
    EXPECT_EQ(got.m_quarantines.at(0).m_remaining, sent.m_quarantines[0].m_remaining);
    EXPECT_EQ(encodeGossip(got), bytes);
}

// Guards against a bound that is too small for a datagram full of small updates.
TEST(Wire, BoundHoldsForManyUpdates)
{
    GossipMessage message;
    message.m_sender = "s";
    for (int index = 0; index < 40; ++index) {
        message.m_targets.push_back({"t", "", ~std::uint64_t{0}, true, true, {}});
        message.m_quarantines.push_back({~std::uint64_t{0}, 2, Duration::max()});
        EXPECT_LE(encodeGossip(message).size(), estimateEncodedBytes(message));
    }
}

// Guards against a pull that loses the document or the state.
TEST(Wire, PullSurvivesTheWire)
{
    const PeerRequest request{9, PullRequest{"n1", 3, true, false}};
    const PeerRequest gotRequest = decodeRequest(encodeRequest(request)).value();
    EXPECT_EQ(gotRequest.m_id, 9U);
    EXPECT_TRUE(gotRequest.m_pull.value().m_wantConfiguration);
    PeerReply reply{9, PullReply{"n2", 4, std::string(900'000, 'x'), {}}};
    reply.m_pull->m_state.m_members = fullMessage().m_members;
    const PeerReply gotReply = decodeReply(encodeReply(reply)).value();
    EXPECT_EQ(gotReply.m_pull.value().m_configuration, reply.m_pull->m_configuration);
    EXPECT_EQ(gotReply.m_pull.value().m_state.m_members.size(), 2U);
    EXPECT_FALSE(decodeReply(encodeReply(PeerReply{1, std::nullopt})).value().m_pull);
}

// Guards against a crash or a hang on truncated and changed input from the network.
TEST(Wire, MutatedInputNeverCrashes)
{
    PeerReply reply{9, PullReply{"n2", 4, std::string("text"), {}}};
    reply.m_pull->m_state.m_members = fullMessage().m_members;
    reply.m_pull->m_state.m_targets = fullMessage().m_targets;
    const std::string gossip = encodeGossip(fullMessage());
    const std::string state = encodeReply(reply);
    for (std::size_t length = 0; length < gossip.size(); ++length) {
        EXPECT_FALSE(decodeGossip(std::string_view(gossip).substr(0, length))) << length;
    }
    RandomGenerator random{20};
    int accepted = 0;
    for (int round = 0; round < 50'000; ++round) {
        std::string changed = round % 2 == 0 ? gossip : state;
        const std::uint64_t changes = 1 + nextRandomBelow(random, 4);
        for (std::uint64_t change = 0; change < changes; ++change) {
            changed[nextRandomBelow(random, changed.size())] =
                static_cast<char>(nextRandomBelow(random, 256));
        }
        accepted += decodeGossip(changed) ? 1 : 0;
        accepted += decodeReply(changed) ? 1 : 0;
        accepted += decodeRequest(changed) ? 1 : 0;
    }
    EXPECT_GT(accepted, 0);
}

// Guards against a forged count or length that allocates far more than was received.
TEST(Wire, ForgedLengthsAreRefused)
{
    // Field 7 (list) of a Gossip with a count of 2^31 - 1 structs.
    EXPECT_FALSE(decodeGossip(std::string_view("\x79\xfc\xff\xff\xff\xff\x07", 7)));
    // Field 2 (text) with a length of 2^31 - 1.
    EXPECT_FALSE(decodeGossip(std::string_view("\x28\xff\xff\xff\xff\x07", 6)));
    EXPECT_EQ(decodeGossip(std::string(frameLimitBytes + 1, '\0')).error(), WireError::TooLarge);
    const std::array<std::uint8_t, 4> header = encodeFrameHeader(frameLimitBytes);
    EXPECT_EQ(decodeFrameHeader(header).value(), frameLimitBytes);
    const std::array<std::uint8_t, 4> tooLarge = encodeFrameHeader(frameLimitBytes + 1);
    EXPECT_FALSE(decodeFrameHeader(tooLarge));
}

// Guards against values outside their range that reach the core.
TEST(Wire, ValuesOutOfRangeAreRefused)
{
    GossipMessage message = fullMessage();
    message.m_sender.clear();
    EXPECT_FALSE(decodeGossip(encodeGossip(message)));
    message = fullMessage();
    message.m_members[0].m_name = std::string(256, 'n');
    EXPECT_FALSE(decodeGossip(encodeGossip(message)));
    message = fullMessage();
    message.m_revision = -1;
    EXPECT_FALSE(decodeGossip(encodeGossip(message)));
}

// Guards against unknown fields nested so deeply that skipping them exhausts the stack.
TEST(Wire, DeeplyNestedMessagesAreRefused)
{
    // An unknown field (15) that is a struct, or a list of one list, within the previous one.
    for (const char *const level : {"\xfc", "\x19"}) {
        std::string nested = level[0] == '\x19' ? "\xf9" : "";
        while (nested.size() < frameLimitBytes) {
            nested += level;
        }
        EXPECT_FALSE(decodeGossip(nested));
        EXPECT_FALSE(decodeRequest(nested));
        EXPECT_FALSE(decodeReply(nested));
    }
}

// Guards against ports that are cut to other ports.
TEST(Wire, PortsOutOfRangeAreRefused)
{
    GossipMessage message;
    message.m_sender = "s";
    message.m_members = {{"a", 5, MemberState::Alive, 9, "dc", "10.0.0.1", 65535, 80, ""}};
    const std::string bytes = encodeGossip(message);
    // Ports are written as variable-length numbers with the sign in the lowest bit.
    const std::string highest("\xfe\xff\x07", 3);
    const std::size_t place = bytes.find(highest);
    ASSERT_NE(place, std::string::npos);
    for (const std::string &port :
         {std::string("\x80\x80\x08", 3), std::string("\x81\x80\x00", 3),
          std::string("\xff\xff\xff\xff\x0f", 5), std::string("\xfe\xff\xff\xff\x0f", 5)}) {
        std::string changed = bytes;
        EXPECT_FALSE(decodeGossip(changed.replace(place, highest.size(), port)));
    }
}

QuotaReport fullReport(std::size_t organisations)
{
    QuotaReport report{~std::uint64_t{0}, 7, 1'000'000, 2'000'000, 1, 3, 68, {}};
    for (std::size_t index = 0; index < organisations; ++index) {
        report.m_uses.push_back({~std::uint64_t{0} - index, index, 1, 2, 3});
    }
    return report;
}

// Guards against a field that is lost or changed between two nodes.
TEST(Wire, QuotaMessagesSurviveTheWire)
{
    const std::string bytes = encodeQuota("n1", fullReport(2));
    const QuotaMessage message = decodeQuota(bytes).value();
    EXPECT_EQ(message.m_sender, "n1");
    const QuotaReport &report = std::get<QuotaReport>(message.m_content);
    EXPECT_EQ(report.m_coordinatorTime, 2'000'000);
    EXPECT_EQ(report.m_nodes, 68U);
    EXPECT_EQ(report.m_uses.at(1).m_pending, 3U);
    EXPECT_EQ(encodeQuota("n1", report), bytes);
    const QuotaReply reply{1, ~std::uint64_t{0}, 3, 4, 0, 2, false, {{5, 6, 700, true, true}}};
    const QuotaMessage gotReply = decodeQuota(encodeQuota("n2", reply)).value();
    const QuotaReply &got = std::get<QuotaReply>(gotReply.m_content);
    EXPECT_EQ(got.m_coordinatorSession, reply.m_coordinatorSession);
    EXPECT_EQ(got.m_reportSentAt, 3);
    EXPECT_FALSE(got.m_renews);
    EXPECT_EQ(got.m_grants.at(0).m_retryAfterMilliseconds, 700U);
    EXPECT_TRUE(got.m_grants[0].m_exhausted);
    EXPECT_TRUE(got.m_grants[0].m_recalled);
}

// Guards against the largest messages of the limiter (24 organisations in a report, 32 in a reply)
// that exceed a datagram after a long run.
TEST(Wire, TheLargestQuotaMessagesFitADatagram)
{
    QuotaReport report = fullReport(24);
    QuotaReply reply{~std::uint64_t{0}, 1, 3, 4, 0, 2, true, {}};
    for (QuotaUse &use : report.m_uses) {
        use.m_consumed = 10'000'000'000;
        use.m_returned = 10'000'000'000;
        use.m_wanted = 1'000'000;
        use.m_pending = 1'024;
    }
    for (std::uint64_t index = 0; index < 32; ++index) {
        reply.m_grants.push_back({~index, 10'000'000'000, 60'000, true, true});
    }
    const std::string sender(63, 'n');
    EXPECT_LE(encodeQuota(sender, report).size(), quotaLimitBytes);
    EXPECT_LE(encodeQuota(sender, reply).size(), quotaLimitBytes);
}

// Guards against a crash on malformed input, and against values that overflow in the limiter.
TEST(Wire, MalformedQuotaMessagesAreRefused)
{
    const std::string valid = encodeQuota("n1", fullReport(20));
    for (std::size_t length = 0; length < valid.size(); ++length) {
        EXPECT_FALSE(decodeQuota(std::string_view(valid).substr(0, length))) << length;
    }
    std::string changed = valid;
    changed[0] = 2;
    EXPECT_EQ(decodeQuota(changed).error(), WireError::OtherVersion);
    EXPECT_EQ(decodeQuota(valid + std::string(quotaLimitBytes, ' ')).error(), WireError::TooLarge);
    RandomGenerator random{21};
    for (int round = 0; round < 20'000; ++round) {
        changed = valid;
        changed[1 + nextRandomBelow(random, changed.size() - 1)] =
            static_cast<char>(nextRandomBelow(random, 256));
        const Decoded<QuotaMessage> decoded = decodeQuota(changed);
        EXPECT_TRUE(!decoded || !decoded.value().m_sender.empty());
    }
    for (const std::int64_t time : {std::int64_t{-1}, std::numeric_limits<std::int64_t>::max()}) {
        QuotaReport report = fullReport(0);
        report.m_coordinatorTime = time;
        EXPECT_FALSE(decodeQuota(encodeQuota("n1", report)));
    }
    QuotaReport report = fullReport(0);
    report.m_partitions = report.m_partition;
    EXPECT_FALSE(decodeQuota(encodeQuota("n1", report)));
    EXPECT_FALSE(decodeQuota(encodeQuota("", fullReport(0))));
}

} // namespace
} // namespace arbutusgrade
