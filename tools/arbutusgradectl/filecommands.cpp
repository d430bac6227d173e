#include "commands.h"

#include <ostream>
#include <set>

#include <boost/json.hpp>

#include "textfile/textfile.h"

namespace arbutusgrade::control {

namespace {

namespace json = boost::json;

std::optional<std::string> readFile(const std::string &name, const CommandOutput &output)
{
    std::optional<std::string> text = readTextFile(name);
    if (!text) {
        output.m_error << "arbutusgradectl: cannot read " << name << "\n";
    }
    return text;
}

//! Findings of the base come again with each overlay.
void addFindings(std::vector<Finding> &all, std::set<std::string> &seen,
                 const std::vector<Finding> &more)
{
    for (const Finding &finding : more) {
        if (seen.insert(formatFinding(finding)).second) {
            all.push_back(finding);
        }
    }
}

//! Overlays by site, with the name of the file of each, checked against a base.
struct CheckedOverlays
{
    std::map<std::string, std::string> m_texts;
    std::vector<Finding> m_findings;
};

CheckedOverlays checkOverlays(const SettingsSource &base,
                              const std::map<std::string, std::string> &files)
{
    CheckedOverlays result;
    std::set<std::string> seen;
    const Checked<Settings> alone = parseSettings(base, SettingsSource{});
    if (alone.has_error()) {
        addFindings(result.m_findings, seen, alone.error());
    }
    for (const std::pair<const std::string, std::string> &file : files) {
        const Checked<Settings> settings =
            parseSettings(base, SettingsSource{file.first, file.second});
        if (settings.has_error()) {
            addFindings(result.m_findings, seen, settings.error());
            continue;
        }
        const std::string &site = settings.value().m_site;
        if (!result.m_texts.emplace(site, file.second).second) {
            result.m_findings.push_back(
                Finding{file.first, 1, 1, "a second overlay for the site '" + site + "'"});
        }
    }
    return result;
}

std::size_t countTargets(const Settings &settings)
{
    std::size_t targets = 0;
    for (const GroupSettings &group : settings.m_groups) {
        for (const ServiceSettings &service : group.m_services) {
            targets += service.m_targets.size();
        }
    }
    return targets;
}

void appendDifference(std::string &text, const std::string &name, std::string_view from,
                      std::string_view to)
{
    const std::string difference = differenceOfLines(from, to);
    if (!difference.empty()) {
        text += "--- " + name + " in force\n+++ " + name + " new\n" + difference;
    }
}

std::string_view overlayOf(const ConfigurationDocument &document, const std::string &site)
{
    const std::map<std::string, std::string>::const_iterator overlay =
        document.m_overlays.find(site);
    return overlay == document.m_overlays.end() ? std::string_view() : overlay->second;
}

} // namespace

std::optional<LocalFiles> readFiles(const CommandOptions &options, const CommandOutput &output)
{
    LocalFiles files;
    bool isComplete = true;
    if (!options.m_base.empty()) {
        files.m_base = readFile(options.m_base, output);
        isComplete = files.m_base.has_value();
    }
    for (const std::string &name : options.m_overlays) {
        std::optional<std::string> text = readFile(name, output);
        if (text) {
            files.m_overlays[name] = std::move(*text);
        } else {
            isComplete = false;
        }
    }
    return isComplete ? std::optional(std::move(files)) : std::nullopt;
}

int runValidate(const CommandOptions &options, const CommandOutput &output)
{
    if (options.m_base.empty()) {
        output.m_error << "arbutusgradectl: validate needs --base\n";
        return exitUsage;
    }
    const std::optional<LocalFiles> files = readFiles(options, output);
    if (!files) {
        return exitUsage;
    }
    const SettingsSource base{options.m_base, *files->m_base};
    const CheckedOverlays overlays = checkOverlays(base, files->m_overlays);
    if (!overlays.m_findings.empty()) {
        return reportFindings(overlays.m_findings, options, output);
    }
    const Settings settings = parseSettings(base, SettingsSource{}).value();
    if (options.m_json) {
        output.m_out << json::object{{"findings", json::array()}} << "\n";
        return exitOk;
    }
    output.m_out << "no findings: " << settings.m_firm << ", " << settings.m_nodes.size()
                 << " nodes, " << settings.m_groups.size() << " groups, " << countTargets(settings)
                 << " targets, " << settings.m_kinds.size() << " kinds, " << overlays.m_texts.size()
                 << " overlays\n";
    return exitOk;
}

std::optional<ConfigurationDocument> mergeFiles(const CommandOptions &options,
                                                const ConfigurationView &inForce,
                                                const CommandOutput &output, int &exitCode)
{
    const std::optional<LocalFiles> files = readFiles(options, output);
    if (!files) {
        exitCode = exitUsage;
        return std::nullopt;
    }
    ConfigurationDocument document = inForce.m_document;
    document.m_base = files->m_base.value_or(document.m_base);
    const std::string baseName = files->m_base ? options.m_base : "base";
    CheckedOverlays overlays = checkOverlays({baseName, document.m_base}, files->m_overlays);
    for (std::pair<const std::string, std::string> &overlay : overlays.m_texts) {
        document.m_overlays[overlay.first] = std::move(overlay.second);
    }
    for (const std::string &site : options.m_removedOverlays) {
        document.m_overlays.erase(site);
    }
    // Overlays that stay as they are must also fit the new base.
    if (overlays.m_findings.empty()) {
        const Checked<SettingsBySite> all =
            parseDocumentSettings(document.m_base, document.m_overlays);
        if (all.has_error()) {
            overlays.m_findings = all.error();
        }
    }
    if (!overlays.m_findings.empty()) {
        exitCode = reportFindings(overlays.m_findings, options, output);
        return std::nullopt;
    }
    return document;
}

std::string differenceOfDocuments(const ConfigurationDocument &from,
                                  const ConfigurationDocument &to)
{
    std::string text;
    appendDifference(text, "base", from.m_base, to.m_base);
    std::set<std::string> sites;
    for (const ConfigurationDocument *const document : {&from, &to}) {
        for (const std::pair<const std::string, std::string> &overlay : document->m_overlays) {
            sites.insert(overlay.first);
        }
    }
    for (const std::string &site : sites) {
        appendDifference(text, "overlay " + site, overlayOf(from, site), overlayOf(to, site));
    }
    return text;
}

int runDiff(const CommandOptions &options, const CommandOutput &output)
{
    int exitCode = exitOk;
    const std::optional<ConfigurationView> view = fetchConfiguration(options, output, exitCode);
    if (!view) {
        return exitCode;
    }
    const std::optional<ConfigurationDocument> document =
        mergeFiles(options, *view, output, exitCode);
    if (!document) {
        return exitCode;
    }
    const std::string difference = differenceOfDocuments(view->m_document, *document);
    if (options.m_json) {
        output.m_out << json::object{{"revision", view->m_revision}, {"difference", difference}}
                     << "\n";
        return exitOk;
    }
    output.m_out << "in force: revision " << view->m_revision << "\n"
                 << (difference.empty() ? "no difference\n" : difference);
    return exitOk;
}

} // namespace arbutusgrade::control
