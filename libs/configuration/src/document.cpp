#include <algorithm>
#include <set>

#include <boost/json.hpp>

#include "configuration/configuration.h"

namespace arbutusgrade {

namespace {

namespace json = boost::json;

//! @brief Longest difference that is told to an operator.
constexpr std::size_t differenceLimitBytes = 16'384;

std::string textOf(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return {};
    }
    return std::string(value->get_string());
}

std::vector<Finding> documentFinding(std::string message)
{
    return {Finding{std::string(configurationKey), 0, 0, std::move(message)}};
}

void readOverlays(const json::object &object, ConfigurationDocument &document)
{
    const json::value *overlays = object.if_contains("overlays");
    if (overlays == nullptr || !overlays->is_object()) {
        return;
    }
    for (const json::key_value_pair &entry : overlays->get_object()) {
        if (entry.value().is_string()) {
            document.m_overlays[std::string(entry.key())] = std::string(entry.value().get_string());
        }
    }
}

void readDraining(const json::object &object, ConfigurationDocument &document)
{
    const json::value *draining = object.if_contains("draining");
    if (draining == nullptr || !draining->is_array()) {
        return;
    }
    for (const json::value &name : draining->get_array()) {
        if (name.is_string()) {
            document.m_draining.emplace_back(name.get_string());
        }
    }
}

void readChanges(const json::object &object, std::int64_t revision, ConfigurationDocument &document)
{
    const json::value *changes = object.if_contains("changes");
    if (changes == nullptr || !changes->is_array()) {
        return;
    }
    std::int64_t resolved = revision;
    for (const json::value &value : changes->get_array()) {
        if (!value.is_object() || document.m_changes.size() == configurationHistoryLimit) {
            break;
        }
        const json::object &entry = value.get_object();
        const json::value *replaced = entry.if_contains("replaced");
        ConfigurationChange change;
        change.m_revision = resolved;
        change.m_replaced = replaced != nullptr && replaced->is_int64() ? replaced->get_int64() : 0;
        change.m_changeId = textOf(entry, "changeId");
        change.m_author = textOf(entry, "author");
        change.m_timestamp = textOf(entry, "timestamp");
        change.m_summary = textOf(entry, "summary");
        resolved = change.m_replaced;
        document.m_changes.push_back(std::move(change));
    }
}

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

void appendLines(std::string &difference, char sign, const std::vector<std::string_view> &lines,
                 std::size_t begin, std::size_t end)
{
    for (std::size_t index = begin; index < end; ++index) {
        if (difference.size() + lines[index].size() > differenceLimitBytes) {
            difference += "...\n";
            return;
        }
        difference += sign;
        difference += lines[index];
        difference += '\n';
    }
}

void appendFileDifference(std::string &difference, const std::string &name, std::string_view from,
                          std::string_view to)
{
    if (from == to) {
        return;
    }
    const std::vector<std::string_view> before = splitLines(from);
    const std::vector<std::string_view> after = splitLines(to);
    const std::size_t shortest = std::min(before.size(), after.size());
    std::size_t head = 0;
    while (head < shortest && before[head] == after[head]) {
        ++head;
    }
    std::size_t tail = 0;
    while (tail < shortest - head
           && before[before.size() - 1 - tail] == after[after.size() - 1 - tail]) {
        ++tail;
    }
    difference += "@@ " + name + " line " + std::to_string(head + 1) + " @@\n";
    appendLines(difference, '-', before, head, before.size() - tail);
    appendLines(difference, '+', after, head, after.size() - tail);
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string joined;
    for (const std::string &name : names) {
        joined += name + "\n";
    }
    return joined;
}

std::string_view overlayOf(const ConfigurationDocument &document, const std::string &site)
{
    const auto found = document.m_overlays.find(site);
    return found == document.m_overlays.end() ? std::string_view() : found->second;
}

} // namespace

Checked<ConfigurationDocument> parseConfigurationDocument(std::string_view text,
                                                          std::int64_t revision)
{
    if (text.size() > configurationLimitBytes) {
        return documentFinding("the document exceeds 1 MB");
    }
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return documentFinding("the document is not a JSON object");
    }
    const json::object &object = value.get_object();
    const json::value *base = object.if_contains("base");
    if (base == nullptr || !base->is_string()) {
        return documentFinding("the document has no text \"base\"");
    }
    ConfigurationDocument document;
    document.m_base = std::string(base->get_string());
    document.m_changeId = textOf(object, "changeId");
    document.m_author = textOf(object, "author");
    document.m_timestamp = textOf(object, "timestamp");
    readOverlays(object, document);
    readDraining(object, document);
    readChanges(object, revision, document);
    return document;
}

std::string formatConfigurationDocument(const ConfigurationDocument &document)
{
    json::object overlays;
    for (const std::pair<const std::string, std::string> &overlay : document.m_overlays) {
        overlays[overlay.first] = overlay.second;
    }
    json::array changes;
    for (const ConfigurationChange &change : document.m_changes) {
        changes.push_back(json::object{{"replaced", change.m_replaced},
                                       {"changeId", change.m_changeId},
                                       {"author", change.m_author},
                                       {"timestamp", change.m_timestamp},
                                       {"summary", change.m_summary}});
    }
    json::array draining;
    for (const std::string &name : document.m_draining) {
        draining.emplace_back(name);
    }
    return json::serialize(json::object{{"changeId", document.m_changeId},
                                        {"author", document.m_author},
                                        {"timestamp", document.m_timestamp},
                                        {"base", document.m_base},
                                        {"overlays", std::move(overlays)},
                                        {"draining", std::move(draining)},
                                        {"changes", std::move(changes)}});
}

std::string describeDifference(const ConfigurationDocument &from, const ConfigurationDocument &to)
{
    std::string difference;
    appendFileDifference(difference, "base", from.m_base, to.m_base);
    std::set<std::string> sites;
    for (const ConfigurationDocument *document : {&from, &to}) {
        for (const std::pair<const std::string, std::string> &overlay : document->m_overlays) {
            sites.insert(overlay.first);
        }
    }
    for (const std::string &site : sites) {
        appendFileDifference(difference, "overlay " + site, overlayOf(from, site),
                             overlayOf(to, site));
    }
    appendFileDifference(difference, "draining", joinNames(from.m_draining),
                         joinNames(to.m_draining));
    return difference;
}

const ConfigurationChange *findChange(const ConfigurationDocument &document,
                                      std::string_view changeId)
{
    const auto found = std::find_if(
        document.m_changes.begin(), document.m_changes.end(),
        [changeId](const ConfigurationChange &change) { return change.m_changeId == changeId; });
    return found == document.m_changes.end() ? nullptr : &*found;
}

std::string_view configurationAlarmName(ConfigurationAlarmKind kind) noexcept
{
    switch (kind) {
    case ConfigurationAlarmKind::StoreOlder:
        return "store-older";
    case ConfigurationAlarmKind::StoreDiffers:
        return "store-differs";
    case ConfigurationAlarmKind::DocumentInvalid:
        return "document-invalid";
    case ConfigurationAlarmKind::FilesInvalid:
        return "files-invalid";
    }
    return "unknown";
}

} // namespace arbutusgrade
