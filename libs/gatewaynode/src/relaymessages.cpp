#include "details/relaymessages.h"

#include <charconv>
#include <limits>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "jsonreader/jsonreader.h"

namespace arbutusgrade {

namespace json = boost::json;

namespace {

constexpr std::size_t maximumDepth = 8;

// A relay whose data is older has been cut off for long, whatever the number.
constexpr std::uint64_t maximumAgeMilliseconds = 1'000'000'000;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

//! @brief Removes the name and "=" from the front of the text, and returns what follows up to the
//! next "&".
std::optional<std::string_view> takeParameter(std::string_view &text, std::string_view name)
{
    if (!text.starts_with(name) || text.substr(name.size(), 1) != "=") {
        return std::nullopt;
    }
    const std::string_view rest = text.substr(name.size() + 1);
    const std::string_view value = rest.substr(0, rest.find('&'));
    text = rest.substr(std::min(rest.size(), value.size() + 1));
    return value;
}

std::optional<std::uint64_t> integerField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(value->get_int64());
}

std::optional<std::string> base64Field(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    return decodeBase64(std::string_view(value->get_string()));
}

std::optional<MetadataEvent> decodeEvent(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    std::optional<std::string> key = base64Field(*object, "key");
    std::optional<std::string> text = base64Field(*object, "value");
    const std::optional<std::uint64_t> revision = integerField(*object, "revision");
    const json::value *removed = object->if_contains("removed");
    if (!key || !text || !revision || removed == nullptr || !removed->is_bool()) {
        return std::nullopt;
    }
    return MetadataEvent{MetadataItem{std::move(*key), std::move(*text), *revision},
                         removed->get_bool()};
}

} // namespace

std::string encodeRelayRequest(const RelayRequest &request)
{
    return std::string(relayWatchPath) + "?after=" + std::to_string(request.m_afterRevision)
           + "&waitMs=" + std::to_string(request.m_wait.count())
           + "&prefix=" + percentEncode(request.m_prefix);
}

std::optional<RelayRequest> decodeRelayRequest(std::string_view query)
{
    const std::optional<std::string_view> after = takeParameter(query, "after");
    const std::optional<std::string_view> wait = takeParameter(query, "waitMs");
    const std::optional<std::string_view> prefix = takeParameter(query, "prefix");
    if (!after || !wait || !prefix) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> afterNumber = parseNumber(*after);
    const std::optional<std::uint64_t> waitNumber = parseNumber(*wait);
    if (!afterNumber || !waitNumber
        || *waitNumber > static_cast<std::uint64_t>(relayWait.count())) {
        return std::nullopt;
    }
    // The prefix stays encoded: it is only compared.
    return RelayRequest{std::string(*prefix), *afterNumber, std::chrono::milliseconds(*waitNumber)};
}

std::string encodeRelayAnswer(const RelayAnswer &answer)
{
    json::array events;
    for (const MetadataEvent &event : answer.m_events) {
        events.push_back(json::object{{"key", encodeBase64(event.m_item.m_key)},
                                      {"value", encodeBase64(event.m_item.m_value)},
                                      {"revision", event.m_item.m_revision},
                                      {"removed", event.m_removed}});
    }
    json::object object{
        {"upTo", answer.m_upTo}, {"ageMs", answer.m_age.count()}, {"events", std::move(events)}};
    if (answer.m_era) {
        object["era"] = *answer.m_era;
    }
    return json::serialize(object);
}

std::optional<RelayAnswer> decodeRelayAnswer(std::string_view text)
{
    json::parse_options options;
    options.max_depth = maximumDepth;
    boost::system::error_code error;
    std::size_t consumed = 0;
    const std::optional<json::value> document = parseWithinLimit(text, options, error, consumed);
    if (!document || !document->is_object()) {
        return std::nullopt;
    }
    const json::object &object = document->get_object();
    const std::optional<std::uint64_t> upTo = integerField(object, "upTo");
    const std::optional<std::uint64_t> age = integerField(object, "ageMs");
    const json::value *events = object.if_contains("events");
    if (!upTo || !age || *age > maximumAgeMilliseconds || events == nullptr
        || !events->is_array()) {
        return std::nullopt;
    }
    RelayAnswer answer;
    answer.m_upTo = *upTo;
    answer.m_age = std::chrono::milliseconds(*age);
    answer.m_era = integerField(object, "era");
    if (!answer.m_era && object.contains("era")) {
        return std::nullopt;
    }
    for (const json::value &value : events->get_array()) {
        std::optional<MetadataEvent> event = decodeEvent(value);
        if (!event) {
            return std::nullopt;
        }
        answer.m_events.push_back(std::move(*event));
    }
    return answer;
}

} // namespace arbutusgrade
