#include <algorithm>

#include "administration/administration.h"
#include "jsonreader/jsonreader.h"

namespace arbutusgrade {

namespace {

constexpr std::string_view requestFile = "request";
constexpr std::size_t minimumIdBytes = 8;
constexpr std::size_t maximumIdBytes = 64;
constexpr std::size_t maximumAuthorBytes = 100;
constexpr std::size_t maximumSummaryBytes = 200;
constexpr std::size_t maximumOverlays = 50;

bool isIdCharacter(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
           || (byte >= '0' && byte <= '9') || byte == '-' || byte == '_';
}

void readChangeFields(ObjectReader &reader, ConfigurationWrite &write)
{
    const FieldPresence required = FieldPresence::Required;
    write.m_changeId = readString(reader, "changeId", required, maximumIdBytes);
    if (!write.m_changeId.empty() && !isChangeId(write.m_changeId)) {
        addFieldFinding(reader, "changeId", "must have 8 to 64 letters, digits, '-' or '_'");
    }
    write.m_expectedRevision = readNumber(reader, "expectedRevision", required, 0);
    write.m_author = readString(reader, "author", required, maximumAuthorBytes);
    write.m_summary = readString(reader, "summary", FieldPresence::Optional, maximumSummaryBytes);
    write.m_base = readString(reader, "base", required, configurationLimitBytes);
}

void readOverlays(ObjectReader &reader, ConfigurationWrite &write)
{
    for (std::pair<std::string, std::string> &overlay :
         readStringMap(reader, "overlays", FieldPresence::Required)) {
        write.m_overlays.insert(std::move(overlay));
    }
    if (write.m_overlays.size() > maximumOverlays) {
        addFieldFinding(reader, "overlays",
                        "must have at most " + std::to_string(maximumOverlays) + " entries");
    }
}

void readDraining(ObjectReader &reader, ConfigurationWrite &write)
{
    const json::array *const names = readArray(reader, "draining", FieldPresence::Optional);
    if (names == nullptr) {
        return;
    }
    write.m_draining.emplace();
    for (const json::value &name : *names) {
        if (!name.is_string()) {
            addFieldFinding(reader, "draining", "must hold names only");
            return;
        }
        write.m_draining->emplace_back(name.get_string());
    }
}

void requireText(const ObjectReader &reader, std::string_view field, const std::string &text)
{
    const json::value *const value = reader.m_object->if_contains(field);
    if (value != nullptr && value->is_string() && value->get_string().empty() && text.empty()) {
        addFieldFinding(reader, field, "must not be empty");
    }
}

} // namespace

bool isChangeId(std::string_view text) noexcept
{
    return text.size() >= minimumIdBytes && text.size() <= maximumIdBytes
           && std::all_of(text.begin(), text.end(), isIdCharacter);
}

std::string formatChangeRequest(const ConfigurationWrite &write)
{
    json::object overlays;
    for (const std::pair<const std::string, std::string> &overlay : write.m_overlays) {
        overlays[overlay.first] = overlay.second;
    }
    json::object request{
        {"changeId", write.m_changeId}, {"expectedRevision", write.m_expectedRevision},
        {"author", write.m_author},     {"summary", write.m_summary},
        {"base", write.m_base},         {"overlays", std::move(overlays)}};
    if (write.m_draining) {
        request["draining"] = json::value_from(*write.m_draining);
    }
    return json::serialize(request);
}

Checked<ConfigurationWrite> parseChangeRequest(std::string_view text)
{
    std::vector<Finding> findings;
    const std::optional<json::value> value = parseObject(text, requestFile, findings);
    if (!value) {
        return findings;
    }
    ConfigurationWrite write;
    ObjectReader reader = openObject(*value, "", requestFile, findings);
    readChangeFields(reader, write);
    readOverlays(reader, write);
    readDraining(reader, write);
    requireText(reader, "changeId", write.m_changeId);
    requireText(reader, "author", write.m_author);
    requireText(reader, "base", write.m_base);
    reportUnknownFields(reader);
    if (!findings.empty()) {
        return findings;
    }
    return write;
}

} // namespace arbutusgrade
