#include "settings/settings.h"

#include <optional>

#include "details/compactforms.h"
#include "details/decoder.h"
#include "details/overlay.h"

namespace arbutusgrade {

namespace {

using namespace details;

bool isPresent(const SettingsSource &overlay)
{
    return !overlay.m_name.empty() || !overlay.m_text.empty();
}

//! Checks the base by itself, so that an overlay cannot hide its faults.
Settings checkBase(YamlNode base, FindingList &findings)
{
    expandCompactForms(base, findings);
    return decodeSettings(base, false, findings);
}

bool checkSite(const YamlNode &overlay, FindingList &findings)
{
    MapReader reader = openMap(overlay, findings);
    return readName(reader, "site", Presence::Required).has_value();
}

Settings checkMerged(YamlNode base, const YamlNode &overlay, FindingList &findings)
{
    const bool hasSite = checkSite(overlay, findings);
    if (overlay.m_kind != NodeKind::Map) {
        return {};
    }
    applyOverlay(base, overlay, findings);
    expandCompactForms(base, findings);
    return decodeSettings(base, hasSite, findings);
}

Settings readSettings(const SettingsSource &base, const SettingsSource &overlay,
                      FindingList &findings)
{
    const std::optional<YamlNode> baseTree = parseYaml(baseFile, base.m_text, findings);
    std::optional<YamlNode> overlayTree;
    if (isPresent(overlay)) {
        overlayTree = parseYaml(overlayFile, overlay.m_text, findings);
    }
    Settings settings;
    if (baseTree) {
        settings = checkBase(*baseTree, findings);
    }
    if (overlayTree && baseTree) {
        settings = checkMerged(*baseTree, *overlayTree, findings);
    } else if (overlayTree) {
        checkSite(*overlayTree, findings);
    }
    return settings;
}

} // namespace

Checked<Settings> parseSettings(const SettingsSource &base, const SettingsSource &overlay)
{
    FindingList findings;
    findings.m_fileNames = {base.m_name, overlay.m_name};
    Settings settings = readSettings(base, overlay, findings);
    if (findings.m_total > 0) {
        return takeFindings(findings);
    }
    return settings;
}

} // namespace arbutusgrade
