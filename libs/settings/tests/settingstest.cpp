#include "settings/settings.h"

#include <set>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "testfiles.h"

namespace arbutusgrade {
namespace {

using testing::AllOf;
using testing::Contains;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::Not;

// A small base that uses most keys. Each test replaces one line of it.
constexpr std::string_view smallBase = R"(firm: Testfirma
region: north
dataCentres: [east, west]
store: {address: 10.0.0.1, port: 80, timeoutMilliseconds: 500}
nodes:
  - {name: east-1, dataCentre: east, address: 10.0.1.1, callerPort: 81, peerPort: 82}
  - {name: west-1, dataCentre: west, address: 10.0.2.1, callerPort: 81, peerPort: 82}
groups:
  - name: faults
    services:
      count: 2
      namePrefix: faults-
      slots: 3
      targets: {count: 2, firstAddresses: {east: 10.0.1.10, west: 10.0.2.10}, port: 90}
  - name: orders
    services:
      - name: orders
        connections: 8
        targets:
          - {name: orders-1, dataCentre: east, address: 10.0.1.50, port: 91, draining: false}
kinds:
  - {name: search, group: faults, mode: complete, deadlineMilliseconds: 900, retries: 2}
  - {name: order, group: orders, mode: once}
)";

std::string replaced(std::string_view line, std::string_view replacement)
{
    std::string text(smallBase);
    const std::size_t position = text.find(line);
    EXPECT_NE(position, std::string::npos) << line;
    return text.replace(position, line.size(), replacement);
}

std::vector<std::string> findingsOf(std::string_view base, std::string_view overlay = {})
{
    const SettingsSource overlaySource{overlay.empty() ? "" : "o", overlay};
    const Checked<Settings> settings = parseSettings({"b", base}, overlaySource);
    std::vector<std::string> findings;
    if (settings.has_error()) {
        for (const Finding &finding : settings.error()) {
            findings.push_back(formatFinding(finding));
        }
    }
    return findings;
}

Settings settingsOf(std::string_view base, std::string_view overlay = {})
{
    const SettingsSource overlaySource{overlay.empty() ? "" : "o", overlay};
    const Checked<Settings> settings = parseSettings({"b", base}, overlaySource);
    EXPECT_THAT(findingsOf(base, overlay), ElementsAre());
    return settings.has_value() ? settings.value() : Settings();
}

// Guards against compact forms that give targets wrong names, data centres or addresses.
TEST(Settings, CompactFormsAreWrittenOut)
{
    const Settings settings = settingsOf(smallBase);
    ASSERT_EQ(settings.m_groups.size(), 2U);
    ASSERT_EQ(settings.m_groups[0].m_services.size(), 2U);
    const ServiceSettings &second = settings.m_groups[0].m_services[1];
    EXPECT_EQ(second.m_name, "faults-02");
    EXPECT_EQ(second.m_slots, 3);
    const std::vector<TargetSettings> expected{{"faults-02-1", "west", "10.0.2.11", 90, false},
                                               {"faults-02-2", "east", "10.0.1.11", 90, false}};
    EXPECT_EQ(second.m_targets, expected);
    const std::vector<PartitioningSettings> partitionings{{1, {"faults-01", "faults-02"}}};
    EXPECT_EQ(settings.m_groups[0].m_partitionings, partitionings);
    EXPECT_FALSE(settings.m_kinds[1].m_hedge);
    EXPECT_EQ(settings.m_kinds[1].m_retries, 0);
}

// Guards against an overlay that changes more, or less, than what it states.
TEST(Settings, OverlayChangesOnlyWhatItStates)
{
    const Settings merged = settingsOf(smallBase, R"(site: west
store: {timeoutMilliseconds: 700}
groups:
  - name: faults
    services:
      - {name: faults-02, slots: 5, targets: [{name: faults-02-2, draining: true}]}
kinds:
  - {name: search, retries: 1}
)");
    Settings expected = settingsOf(smallBase);
    expected.m_site = "west";
    expected.m_store.m_timeout = Milliseconds(700);
    expected.m_groups[0].m_services[1].m_slots = 5;
    expected.m_groups[0].m_services[1].m_targets[1].m_draining = true;
    expected.m_kinds[0].m_retries = 1;
    EXPECT_EQ(merged, expected);
}

struct FaultCase
{
    std::string_view m_line;
    std::string_view m_replacement;
    std::string_view m_finding;
};

// Guards against faults in a base that pass, or that are reported at the wrong place.
TEST(Settings, FaultsInTheBaseAreFoundAtTheirPlace)
{
    const std::vector<FaultCase> cases{
        {"firm: T", "frim: T", "b:1:1: unknown key 'frim' (did you mean 'firm'?)"},
        {"firm: Testfirma", "", "b:2:1: key 'firm' is missing"},
        {"firm: Testfirma", "firm:", "b:1:1: 'firm' has no value"},
        {"region: north", "region: north\nregion: south", "b:3:1: key 'region' is given twice"},
        {"[east, west]", "[east, west, east]", "b:3:27: data centre 'east' is used twice"},
        {"port: 80,", "port: eighty,", "b:4:34: 'port' must be a whole number from 1 to 65535"},
        {"port: 80,", "port: 070,", "b:4:34: 'port' must be a whole number"},
        {"port: 80,", "port: 65536,", "b:4:34: 'port' is 65536; it must be from 1 to 65535"},
        {"port: 80,", "port: [80],", "b:4:34: 'port' must be a single value, not a list"},
        {"10.0.0.1", "store.example", "b:4:18: 'store.example' is not the IP number"},
        {"10.0.0.1", "0.0.0.0", "b:4:18: '0.0.0.0' is not the IP number"},
        {"10.0.2.1,", "10.0.1.1,", "b:7:69: address and port '10.0.1.1:81' is used twice"},
        {"west-1, dataCentre: west", "west-1, dataCentre: wset",
         "b:7:32: there is no data centre 'wset' (did you mean 'west'?)"},
        {"name: west-1", "name: east-1", "b:7:12: node 'east-1' is used twice, first at b:6:12"},
        {"count: 2\n", "count: 0\n", "b:11:14: 'count' is 0"},
        {"count: 2\n      namePrefix: faults-\n      slots: 3\n      targets: {count: 2,",
         "count: 3\n      namePrefix: faults-\n      targets: {count: 9000,",
         "compact forms ask for more than 20000 targets"},
        {"10.0.1.10,", "223.255.255.255,", "b:14:16: so many targets go past the last address"},
        {"{count: 2, f", "{count: 2, dataCentres: [], f", "b:14:40: 'dataCentres' must not be"},
        {"{count: 2, f", "{count: 2, dataCentres: [no], f", "there is no data centre 'no'"},
        {", west: 10.0.2.10", "", "b:14:43: key 'west' is missing"},
        {"group: faults, mode", "group: fault, mode", "there is no group 'fault' (did you mean"},
        {"mode: complete", "mode: full", "b:22:41: 'mode' must be complete, best-by-deadline"},
        {"mode: once", "mode: once, retries: 1", "b:23:55: 'retries' must be 0 for mode once"},
        {"mode: once", "mode: once, hedge: true", "b:23:53: 'hedge' must be false for mode once"},
        {"mode: once", "mode: once, enoughCoverage: 0.5", "b:23:46: 'enoughCoverage' has a mean"},
        {"retries: 2", "retries: 2, hedge: yes", "'hedge' must be true or false, not 'yes'"},
        {"name: search", "name: 'a b'", "b:22:12: 'a b' is not a name"},
        {"    services:\n      count",
         "    partitionings: [{epoch: 2, services: [orders]}]\n"
         "    services:\n      count",
         "b:10:43: there is no service in this group 'orders'"},
        {"kinds:", "teams: [{name: a, tokenHash: secret}]\nkinds:",
         "'tokenHash' must be 'sha256:'"},
        {"kinds:", "teams: [{name: a, tokenHash: x, groups: [none]}]\nkinds:", "no group 'none'"},
    };
    for (const FaultCase &fault : cases) {
        EXPECT_THAT(findingsOf(replaced(fault.m_line, fault.m_replacement)),
                    Contains(HasSubstr(fault.m_finding)))
            << fault.m_replacement;
    }
}

// Guards against an overlay that adds what the base lacks or lets sites disagree on safety.
TEST(Settings, FaultsInAnOverlayAreFoundAtTheirPlace)
{
    const std::vector<std::pair<std::string_view, std::string_view>> cases{
        {"store: {}", "o:1:1: key 'site' is missing"},
        {"site: north", "o:1:7: there is no data centre 'north'"},
        {"site: east\nbodyLimitBytes: 2048", "o:2:1: the base has no key 'bodyLimitBytes' here"},
        {"site: east\nstore: {prot: 1}", "(did you mean 'port'?)"},
        {"site: east\nstore: {port: x}", "o:2:15: 'port' must be a whole number"},
        {"site: east\nstore: [1]", "o:2:8: 'store' is a map in the base, but here it is a list"},
        {"site: east\nnodes: [{name: east-2}]", "o:2:16: the base has no item named 'east-2'"},
        {"site: east\nnodes: [{peerPort: 2}]", "o:2:9: each item needs a 'name'"},
        {"site: east\nkinds: [{name: order, mode: single}]", "o:2:23: 'mode' must be the same at"},
        {"site: east\nnodes: [{name: west-1, address: 10.0.1.1}]", "'10.0.1.1:81' is used twice"},
        {"- site: east", "o:1:1: a map of keys is needed here, not a list"},
        {"site: east\nstore:", "o:2:1: 'store' has no value"},
    };
    for (const std::pair<std::string_view, std::string_view> &fault : cases) {
        EXPECT_THAT(findingsOf(smallBase, fault.first),
                    AllOf(Contains(HasSubstr(fault.second)), Not(Contains(HasSubstr(":0:0:")))))
            << fault.first;
    }
}

// Guards against operators who must fix one finding to see the next.
TEST(Settings, AllFindingsOfBothFilesAreReportedInOrder)
{
    std::string base = replaced("port: 80,", "port: 0,");
    base.replace(base.find("mode: once"), 10, "mode: onec");
    EXPECT_THAT(findingsOf(base, "store: {port: -1}\nnodes: 3"),
                ElementsAre(HasSubstr("b:4:34:"), HasSubstr("b:23:40:"), HasSubstr("o:1:1:"),
                            HasSubstr("o:1:15:"), HasSubstr("o:2:8:")));
    // The overlay's value is also checked where it hides the fault of the base.
    EXPECT_THAT(findingsOf(base, "site: east\nstore: {port: 5}"),
                ElementsAre(HasSubstr("b:4:34:"), HasSubstr("b:23:40:")));
}

// Guards against texts that exhaust memory or stack, end the process or are read as settings.
TEST(Settings, TextsThatAreNoSettingsAreRefused)
{
    std::string bomb = "a: &a [x, x]\n";
    for (char name = 'b'; name < 'l'; ++name) {
        bomb += std::string(1, name) + ": &" + name + " [*" + char(name - 1) + ", *"
                + char(name - 1) + "]\n";
    }
    const std::vector<std::pair<std::string, std::string_view>> cases{
        {"", "b:1:1: the file is empty"},
        {" \n\n", "b:1:1: the file is empty"},
        {"# only a comment\n", "b:1:1: the file is empty"},
        {"a: [1, 2", "YAML syntax"},
        {"a: 1\n  b: 2\n", "b:2:4: YAML syntax"},
        {"a: \"\xff\"\n", "b:1:5: not UTF-8 text"},
        {std::string("a: \0", 4), "not UTF-8 text"},
        {std::string(100'000, '['), "nested more than 16 levels deep"},
        {std::string(100'000, '{'), "nested more than 16 levels deep"},
        {std::string(500'000, '-') + " x", "a map of keys is needed here"},
        {std::string(1'000'001, 'a'), "at most 1000000 are allowed"},
        {bomb, "aliases are not supported"},
        {"a: !!int 3", "tags are not supported"},
        {"firm: a\n---\nfirm: b\n", "a second document is not allowed"},
        {"[1, 2]: 3", "a key must be a word"},
        {"- 1\n", "a map of keys is needed here, not a list"},
    };
    for (const std::pair<std::string, std::string_view> &text : cases) {
        EXPECT_THAT(findingsOf(text.first.empty() ? std::string(" ") : text.first),
                    Contains(HasSubstr(text.second)))
            << text.first.substr(0, 40);
    }
    EXPECT_THAT(findingsOf(smallBase, "\n"), ElementsAre("o:1:1: the file is empty"));
}

// Guards against a flood of findings that hides the first ones.
TEST(Settings, ManyFindingsAreCut)
{
    std::string base = "x: [";
    for (int i = 0; i < 3000; ++i) {
        base += "&a" + std::to_string(i) + " b, ";
    }
    const std::vector<std::string> findings = findingsOf(base + "]");
    EXPECT_EQ(findings.size(), 1001U);
    EXPECT_THAT(findings.back(), HasSubstr("further findings from here on are not listed"));
}

struct ExampleSize
{
    std::string_view m_firm;
    std::vector<std::string_view> m_sites;
    std::size_t m_nodes;
    std::size_t m_targets;
};

std::size_t checkReplicas(const Settings &settings)
{
    std::size_t targets = 0;
    for (const GroupSettings &group : settings.m_groups) {
        for (const ServiceSettings &service : group.m_services) {
            std::set<std::string> dataCentres;
            for (const TargetSettings &target : service.m_targets) {
                dataCentres.insert(target.m_dataCentre);
            }
            EXPECT_GE(dataCentres.size(), 3U) << service.m_name;
            targets += service.m_targets.size();
        }
    }
    return targets;
}

// Guards against examples that no longer fit the schema, the real sizes or the spread of replicas.
TEST(Examples, HaveTheRealSizes)
{
    const std::vector<ExampleSize> examples{
        {"sendernett", {"bergen", "forde", "voss"}, 9, 10 * 3 + 15 * 3 + 10 + 5},
        {"kilwa", {"kariakoo", "upanga", "msasani", "temeke"}, 8, 10 * 3 + 15 * 3 + 4 + 4},
    };
    for (const ExampleSize &example : examples) {
        const std::string directory = std::string(example.m_firm) + "/";
        const std::string base = readExample(directory + "base.yaml");
        for (const std::string_view site : example.m_sites) {
            const std::string overlay = readExample(directory + std::string(site) + ".yaml");
            const Settings settings = settingsOf(base, overlay);
            EXPECT_EQ(settings.m_site, site);
            EXPECT_EQ(settings.m_nodes.size(), example.m_nodes);
            EXPECT_EQ(checkReplicas(settings), example.m_targets);
            EXPECT_EQ(settings.m_kinds.size(), 5U);
        }
    }
}

} // namespace
} // namespace arbutusgrade
