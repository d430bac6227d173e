#include <algorithm>
#include <set>

#include "administration/administration.h"

namespace arbutusgrade {

namespace {

constexpr std::string_view baseFile = "base";

std::string overlayFile(std::string_view site)
{
    return "overlays/" + std::string(site);
}

//! What a team may change as a whole: a group with its kinds.
struct OwnedPart
{
    const GroupSettings *m_group = nullptr;
    std::vector<const KindSettings *> m_kinds;
};

OwnedPart partOf(const Settings &settings, std::string_view group)
{
    OwnedPart part;
    for (const GroupSettings &candidate : settings.m_groups) {
        if (candidate.m_name == group) {
            part.m_group = &candidate;
        }
    }
    for (const KindSettings &kind : settings.m_kinds) {
        if (kind.m_group == group) {
            part.m_kinds.push_back(&kind);
        }
    }
    return part;
}

bool isSameKind(const KindSettings *first, const KindSettings *second)
{
    return *first == *second;
}

bool isSamePart(const OwnedPart &before, const OwnedPart &after)
{
    const bool hasGroup = before.m_group != nullptr && after.m_group != nullptr;
    const bool isSameGroup =
        hasGroup ? *before.m_group == *after.m_group : before.m_group == after.m_group;
    return isSameGroup
           && std::equal(before.m_kinds.begin(), before.m_kinds.end(), after.m_kinds.begin(),
                         after.m_kinds.end(), isSameKind);
}

bool ownsGroup(const TeamSettings &team, std::string_view group)
{
    return std::find(team.m_groups.begin(), team.m_groups.end(), group) != team.m_groups.end();
}

//! No team can be listed for a group that does not exist yet, so platform teams create groups. They
//! also remove them, as the names of removed groups must leave the lists of other teams.
bool mayChangePart(const TeamSettings &team, std::string_view group, const OwnedPart &before,
                   const OwnedPart &after)
{
    const bool isKept = before.m_group != nullptr && after.m_group != nullptr;
    return ownsGroup(team, group) ? isKept || team.m_platform : !isKept && team.m_platform;
}

//! Settings that belong to no group.
Settings platformPart(Settings settings)
{
    settings.m_groups.clear();
    settings.m_kinds.clear();
    return settings;
}

std::set<std::string> groupNames(const Settings &before, const Settings &after)
{
    std::set<std::string> names;
    for (const Settings *const settings : {&before, &after}) {
        for (const GroupSettings &group : settings->m_groups) {
            names.insert(group.m_name);
        }
    }
    return names;
}

std::string fileOf(const std::string &site)
{
    return site.empty() ? std::string(baseFile) : overlayFile(site);
}

void compareSite(const TeamSettings &team, const std::string &site, const Settings &before,
                 const Settings &after, std::vector<Finding> &findings)
{
    for (const std::string &group : groupNames(before, after)) {
        const OwnedPart partBefore = partOf(before, group);
        const OwnedPart partAfter = partOf(after, group);
        if (!isSamePart(partBefore, partAfter)
            && !mayChangePart(team, group, partBefore, partAfter)) {
            findings.push_back(Finding{fileOf(site), 0, 0,
                                       "team '" + team.m_name + "' may not change group '" + group
                                           + "' or its kinds"});
        }
    }
    if (!team.m_platform && platformPart(before) != platformPart(after)) {
        findings.push_back(Finding{fileOf(site), 0, 0,
                                   "team '" + team.m_name
                                       + "' may change only groups; nodes, store, teams and limits "
                                         "need a team with 'platform: true'"});
    }
}

//! A site without an overlay runs with the base alone.
Settings settingsOf(const SettingsBySite &all, const std::string &site)
{
    const SettingsBySite::const_iterator exact = all.find(site);
    if (exact != all.end()) {
        return exact->second;
    }
    const SettingsBySite::const_iterator base = all.find(std::string());
    Settings settings = base == all.end() ? Settings() : base->second;
    settings.m_site = site;
    return settings;
}

} // namespace

Checked<SettingsBySite> parseDocumentSettings(std::string_view base,
                                              const std::map<std::string, std::string> &overlays)
{
    SettingsBySite result;
    std::vector<Finding> findings;
    std::set<std::string> seen; // Findings of the base come again with each overlay.
    const SettingsSource baseSource{std::string(baseFile), base};
    const auto add = [&](const std::string &site, const SettingsSource &overlay) {
        Checked<Settings> settings = parseSettings(baseSource, overlay);
        if (settings.has_error()) {
            for (const Finding &finding : settings.error()) {
                if (seen.insert(formatFinding(finding)).second) {
                    findings.push_back(finding);
                }
            }
            return;
        }
        if (settings.value().m_site != site) {
            findings.push_back(Finding{overlay.m_name, 0, 0,
                                       "the overlay names the site '" + settings.value().m_site
                                           + "', but is filed under '" + site + "'"});
        }
        result[site] = std::move(settings.value());
    };
    add(std::string(), SettingsSource{});
    for (const std::pair<const std::string, std::string> &overlay : overlays) {
        add(overlay.first, SettingsSource{overlayFile(overlay.first), overlay.second});
    }
    if (!findings.empty()) {
        return findings;
    }
    return result;
}

std::vector<Finding> findForbiddenChanges(const TeamSettings &team, const SettingsBySite &before,
                                          const SettingsBySite &after)
{
    std::set<std::string> sites;
    for (const SettingsBySite *const all : {&before, &after}) {
        for (const std::pair<const std::string, Settings> &entry : *all) {
            sites.insert(entry.first);
        }
    }
    std::vector<Finding> findings;
    for (const std::string &site : sites) {
        compareSite(team, site, settingsOf(before, site), settingsOf(after, site), findings);
    }
    return findings;
}

bool mayDrainTarget(const TeamSettings &team, const Settings &settings, std::string_view target)
{
    for (const GroupSettings &group : settings.m_groups) {
        for (const ServiceSettings &service : group.m_services) {
            for (const TargetSettings &candidate : service.m_targets) {
                if (candidate.m_name == target) {
                    return team.m_platform || ownsGroup(team, group.m_name);
                }
            }
        }
    }
    return false;
}

} // namespace arbutusgrade
