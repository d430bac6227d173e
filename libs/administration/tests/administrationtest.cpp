#include "administration/administration.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

std::vector<std::string> messagesOf(const std::vector<Finding> &findings)
{
    std::vector<std::string> messages;
    messages.reserve(findings.size());
    for (const Finding &finding : findings) {
        messages.push_back(formatFinding(finding));
    }
    return messages;
}

// Guards against a change that reaches the daemon altered.
TEST(ChangeRequest, IsReadAsItWasWritten)
{
    ConfigurationWrite write;
    write.m_changeId = "change-0001";
    write.m_author = "F\u00f8rde \"desk\"";
    write.m_summary = "more slots";
    write.m_expectedRevision = 41;
    write.m_base = "firm: a\n";
    write.m_overlays = {{"bergen", "site: bergen\n"}, {"voss", "site: voss\n"}};
    write.m_draining = std::vector<std::string>{"feilsok-01-1"};
    const Checked<ConfigurationWrite> read = parseChangeRequest(formatChangeRequest(write));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read.value().m_changeId, write.m_changeId);
    EXPECT_EQ(read.value().m_author, write.m_author);
    EXPECT_EQ(read.value().m_summary, write.m_summary);
    EXPECT_EQ(read.value().m_expectedRevision, 41);
    EXPECT_EQ(read.value().m_base, write.m_base);
    EXPECT_EQ(read.value().m_overlays, write.m_overlays);
    EXPECT_EQ(read.value().m_draining, write.m_draining);
}

// Guards against requests of which only the first fault is reported, or that pass half read.
TEST(ChangeRequest, AllFaultsAreReportedTogether)
{
    const Checked<ConfigurationWrite> read = parseChangeRequest(
        R"({"changeId":"a b","expectedRevision":-1,"base":7,"overlays":{"x":1},"extra":0})");
    ASSERT_TRUE(read.has_error());
    EXPECT_THAT(messagesOf(read.error()),
                ElementsAre(HasSubstr("'changeId' must have 8 to 64"),
                            HasSubstr("'expectedRevision' must be a whole number of at least 0"),
                            HasSubstr("'author' is missing"), HasSubstr("'base' must be a string"),
                            HasSubstr("'overlays.x' must be a string"),
                            HasSubstr("'extra' is not known")));
    EXPECT_THAT(messagesOf(parseChangeRequest("{\n \"a\": }").error()),
                ElementsAre(HasSubstr("request:2:7: JSON syntax")));
    EXPECT_TRUE(parseChangeRequest(std::string(100'000, '[')).has_error());
    EXPECT_TRUE(parseChangeRequest("[]").has_error());
}

// Guards against an answer that tells the operator another result than the daemon had.
TEST(ChangeAnswer, EachResultIsReadAsItWasWritten)
{
    AnswerWrite answer;
    answer.m_revision = 7;
    answer.m_changeId = "change-0002";
    answer.m_author = "kari";
    answer.m_difference = "-a\n+b\n";
    answer.m_findings = {Finding{"base", 3, 4, "wrong"}};
    answer.m_error = "the store does not answer";
    const std::vector<std::pair<WriteResult, int>> results{{WriteResult::Accepted, 200},
                                                           {WriteResult::Conflict, 409},
                                                           {WriteResult::Invalid, 422},
                                                           {WriteResult::NotApplied, 503},
                                                           {WriteResult::Unknown, 503}};
    for (const std::pair<WriteResult, int> &result : results) {
        answer.m_result = result.first;
        const AdministrationAnswer sent = formatChangeAnswer(answer);
        EXPECT_EQ(sent.m_status, result.second);
        const Checked<AnswerWrite> read = parseChangeAnswer(sent.m_status, sent.m_body);
        ASSERT_TRUE(read.has_value()) << sent.m_body;
        EXPECT_EQ(read.value().m_result, result.first);
    }
    EXPECT_EQ(describeRefusal(422, formatFindings(answer.m_findings)), "base:3:4: wrong");
    EXPECT_EQ(describeRefusal(403, formatError("no")), "no");
    EXPECT_EQ(describeRefusal(502, "<html>"), "the node answered with status 502");
}

// Guards against a lost reply that is taken for "not applied" although the write may have happened.
TEST(ChangeAnswer, UnclearAnswersMeanUnknown)
{
    const Checked<AnswerWrite> read = parseChangeAnswer(503, R"({"error":"x"})");
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read.value().m_result, WriteResult::Unknown);
    EXPECT_TRUE(parseChangeAnswer(200, "{}").has_error());
    EXPECT_TRUE(parseChangeAnswer(500, R"({"error":"x"})").has_error());
    EXPECT_EQ(parseChangeState(R"({"state":"later"})").value().m_state, ChangeState::Unknown);
    EXPECT_EQ(parseChangeState(formatChangeState({0, ChangeState::Absent, 0})).value().m_state,
              ChangeState::Absent);
}

// Guards against a status page that loses nodes, history or drains on the way.
TEST(ConfigurationView, IsReadAsItWasWritten)
{
    ConfigurationView view;
    view.m_revision = 12;
    view.m_document = {"change-0003",
                       "per",
                       "2026-01-02T03:04:05Z",
                       "firm: a\n",
                       {{"voss", "site: voss\n"}},
                       {"t-1"},
                       {{11, 12, "change-0003", "per", "2026-01-02T03:04:05Z", "why"}}};
    const std::string text = formatConfigurationView(view);
    const Checked<ConfigurationView> read = parseConfigurationView(text);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(formatConfigurationView(read.value()), text);
    const NodeList list{12, {{"voss-1", "voss", "alive", 12}, {"voss-2", "voss", "suspect", -1}}};
    EXPECT_EQ(formatNodeList(parseNodeList(formatNodeList(list)).value()), formatNodeList(list));
}

// Guards against tokens that match by prefix, by their hash itself or when empty.
TEST(Tokens, OnlyTheExactTokenMatches)
{
    // Published test vector of SHA-256.
    EXPECT_EQ(hashToken("abc"),
              "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_TRUE(matchesToken("abc", hashToken("abc")));
    EXPECT_FALSE(matchesToken("ab", hashToken("abc")));
    EXPECT_FALSE(matchesToken(hashToken("abc"), hashToken("abc")));
    EXPECT_FALSE(matchesToken("", hashToken("")));
    EXPECT_FALSE(matchesToken("abc", hashToken("abc").substr(0, 70)));
    Settings settings;
    settings.m_teams = {{"one", hashToken("abc"), {}, false, 0}, {"two", "", {}, false, 0}};
    EXPECT_EQ(findTeam(settings, "abc"), &settings.m_teams[0]);
    EXPECT_EQ(findTeam(settings, ""), nullptr);
    EXPECT_EQ(findTeam(settings, "abd"), nullptr);
}

constexpr std::string_view twoGroups = R"(firm: Testfirma
region: north
dataCentres: [east, west]
store: {address: 10.0.0.1, port: 80}
nodes: [{name: n, dataCentre: east, address: 10.0.0.2, callerPort: 81, peerPort: 82}]
groups:
  - {name: mine, services: {count: 1, namePrefix: m-, slots: 3, targets: {count: 1, address: 10.0.1.1, firstPort: 90}}}
  - {name: other, services: {count: 1, namePrefix: o-, slots: 3, targets: {count: 1, address: 10.0.2.1, firstPort: 90}}}
kinds:
  - {name: search, group: mine, mode: complete, retries: 1}
  - {name: order, group: other, mode: once, priority: 1}
)";

std::string changed(std::string_view line, std::string_view replacement)
{
    std::string text(twoGroups);
    return text.replace(text.find(line), line.size(), replacement);
}

std::vector<std::string> forbidden(const TeamSettings &team, std::string_view base,
                                   const std::map<std::string, std::string> &overlays = {})
{
    const Checked<SettingsBySite> before = parseDocumentSettings(twoGroups, {});
    const Checked<SettingsBySite> after = parseDocumentSettings(base, overlays);
    EXPECT_TRUE(after.has_value()) << messagesOf(after.error())[0];
    return messagesOf(findForbiddenChanges(team, before.value(), after.value()));
}

// Guards against a team that changes another team's groups, by the base or by an overlay.
TEST(Rights, TeamsChangeOnlyTheirOwnGroups)
{
    const TeamSettings team{"t", "", {"mine"}, false, 0};
    EXPECT_THAT(forbidden(team, changed("retries: 1", "retries: 2")), IsEmpty());
    EXPECT_THAT(forbidden(team, changed("m-, slots: 3", "m-, slots: 4")), IsEmpty());
    EXPECT_THAT(forbidden(team, changed("priority: 1", "priority: 2")),
                ElementsAre(HasSubstr("base:0:0: team 't' may not change group 'other'")));
    EXPECT_THAT(forbidden(team, changed("group: mine", "group: other")),
                ElementsAre(HasSubstr("'other'")));
    EXPECT_THAT(forbidden(team, changed("port: 80", "port: 70")),
                ElementsAre(HasSubstr("'platform: true'")));
    const std::map<std::string, std::string> overlays{
        {"west", "site: west\ngroups: [{name: other, services: {slots: 9}}]\n"}};
    EXPECT_THAT(forbidden(team, twoGroups, overlays),
                ElementsAre(HasSubstr("overlays/west:0:0: team 't' may not change group 'other'")));
    EXPECT_THAT(forbidden(team, twoGroups, {{"west", "site: west\nregion: south\n"}}),
                ElementsAre(HasSubstr("overlays/west:0:0: team 't' may change only groups")));
}

// Guards against new groups that nobody may create, and platform teams that edit all groups.
TEST(Rights, PlatformTeamsCreateGroups)
{
    const TeamSettings team{"p", "", {}, true, 0};
    const std::string group = "groups:\n  - {name: new, services: [{name: new, targets: [{name: "
                              "new-1, dataCentre: east, address: 10.0.3.1, port: 9}]}]}\n";
    EXPECT_THAT(forbidden(team, changed("groups:\n", group)), IsEmpty());
    EXPECT_THAT(forbidden(team, changed("port: 80", "port: 70")), IsEmpty());
    EXPECT_THAT(forbidden(team, changed("retries: 1", "retries: 2")),
                ElementsAre(HasSubstr("'mine'")));
    const Settings settings = parseDocumentSettings(twoGroups, {}).value().at("");
    EXPECT_TRUE(mayDrainTarget({"t", "", {"mine"}, false, 0}, settings, "m-01-1"));
    EXPECT_FALSE(mayDrainTarget({"t", "", {"mine"}, false, 0}, settings, "o-01-1"));
    EXPECT_FALSE(mayDrainTarget(team, settings, "none"));
}

// Guards against an overlay filed under another site, and against findings repeated by each site.
TEST(DocumentSettings, FindingsOfAllFilesAreReportedOnce)
{
    const std::map<std::string, std::string> overlays{{"east", "site: west\n"},
                                                      {"west", "site: west\nregion: [1]\n"}};
    const Checked<SettingsBySite> faulty =
        parseDocumentSettings(changed("port: 80", "port: 0"), overlays);
    EXPECT_THAT(messagesOf(faulty.error()),
                ElementsAre(HasSubstr("base:4:34"), HasSubstr("overlays/west:2:9")));
    EXPECT_THAT(messagesOf(parseDocumentSettings(twoGroups, {{"east", "site: west\n"}}).error()),
                ElementsAre(HasSubstr("is filed under 'east'")));
}

// Guards against quotas that leak tokens, never refill or refill when the clock steps back.
TEST(TokenBucket, LimitsTheRate)
{
    const TimePoint start(std::chrono::seconds(100));
    TokenBucket bucket = createTokenBucket(start, 10);
    int taken = 0;
    for (int millisecond = 0; millisecond < 2000; ++millisecond) {
        taken += takeToken(bucket, start + std::chrono::milliseconds(millisecond)) ? 1 : 0;
    }
    EXPECT_EQ(taken, 10 + 19);
    EXPECT_FALSE(takeToken(bucket, start));
    TokenBucket unlimited = createTokenBucket(start, 0);
    EXPECT_TRUE(takeToken(unlimited, start) && takeToken(unlimited, start));
}

// Guards against differences that hide a changed line or place it wrongly.
TEST(Difference, ShowsChangedLinesInContext)
{
    EXPECT_EQ(differenceOfLines("a\nb\n", "a\nb\n"), "");
    EXPECT_EQ(differenceOfLines("a\nb\nc\nd\ne\nf\n", "a\nb\nc\nX\ne\nf\n"),
              "@@ -2,5 +2,5 @@\n b\n c\n-d\n+X\n e\n f\n");
    EXPECT_EQ(differenceOfLines("", "a\n"), "@@ -1,0 +1,1 @@\n+a\n");
    EXPECT_EQ(differenceOfLines("1\n2\n3\n4\n5\n6\n7\n8\n9\n", "2\n3\n4\n5\n6\n7\n8\n9\n10\n"),
              "@@ -1,3 +1,2 @@\n-1\n 2\n 3\n@@ -8,2 +7,3 @@\n 8\n 9\n+10\n");
}

std::string rebuilt(std::string_view difference, char skipped)
{
    std::string text;
    while (!difference.empty()) {
        const std::size_t end = difference.find('\n') + 1;
        if (difference[0] != skipped && difference[0] != '@') {
            text += difference.substr(1, end - 1);
        }
        difference.remove_prefix(end);
    }
    return text;
}

// Guards against edits that do not lead from the one text to the other, for short and huge ones.
TEST(Difference, RebuildsBothTexts)
{
    RandomGenerator random{7};
    for (const std::uint64_t size : {5U, 40U, 3000U}) {
        std::string from;
        std::string to;
        for (std::uint64_t line = 0; line < size; ++line) {
            from += std::to_string(nextRandomBelow(random, size)) + "\n";
            to += std::to_string(nextRandomBelow(random, size)) + "\n";
        }
        const std::string difference = differenceOfLines(from, to);
        // Lines that both texts share far from any change are not shown, so compare what is.
        if (size == 3000U) {
            EXPECT_EQ(rebuilt(difference, '+'), from);
            EXPECT_EQ(rebuilt(difference, '-'), to);
        } else {
            EXPECT_THAT(from, HasSubstr(rebuilt(difference, '+')));
            EXPECT_THAT(to, HasSubstr(rebuilt(difference, '-')));
        }
    }
}

} // namespace
} // namespace arbutusgrade
