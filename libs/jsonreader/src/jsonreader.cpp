#include "jsonreader/jsonreader.h"

#include <algorithm>
#include <limits>
#include <new>

namespace arbutusgrade {

namespace {

Finding placedFinding(std::string_view text, std::size_t offset, std::string_view file,
                      std::string message)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const std::size_t lineStart = before.rfind('\n') + 1;
    const std::ptrdiff_t lines = std::count(before.begin(), before.end(), '\n');
    return Finding{std::string(file), static_cast<int>(lines) + 1,
                   static_cast<int>(before.size() - lineStart) + 1, std::move(message)};
}

//! @brief Memory from the heap up to a limit, beyond which allocations fail.
class LimitedMemory final : public json::memory_resource
{
public:
    explicit LimitedMemory(std::size_t limitBytes) : m_leftBytes(limitBytes) { }

private:
    void *do_allocate(std::size_t bytes, std::size_t alignment) override
    {
        if (bytes > m_leftBytes) {
            throw std::bad_alloc();
        }
        void *const memory = m_heap->allocate(bytes, alignment);
        m_leftBytes -= bytes;
        return memory;
    }

    void do_deallocate(void *memory, std::size_t bytes, std::size_t alignment) override
    {
        m_leftBytes += bytes;
        m_heap->deallocate(memory, bytes, alignment);
    }

    bool do_is_equal(const json::memory_resource &other) const noexcept override
    {
        return this == &other;
    }

    json::storage_ptr m_heap; //!< The default one.
    std::size_t m_leftBytes;
};

} // namespace

std::optional<json::value> parseWithinLimit(std::string_view text,
                                            const json::parse_options &options,
                                            boost::system::error_code &error, std::size_t &consumed)
{
    const json::storage_ptr memory =
        json::make_shared_resource<LimitedMemory>(parsedTextLimitBytes);
    consumed = 0;
    try {
        // The first storage is for values whose parents are not complete.
        json::stream_parser parser(memory, options);
        parser.reset(memory);
        consumed = parser.write_some(text.data(), text.size(), error);
        if (!error && consumed < text.size()) {
            error = json::error::extra_data;
        }
        if (!error) {
            parser.finish(error);
        }
        return error ? std::nullopt : std::optional<json::value>(parser.release());
    } catch (const std::bad_alloc &) {
        error = make_error_code(boost::system::errc::not_enough_memory);
        return std::nullopt;
    }
}

std::optional<json::value> parseObject(std::string_view text, std::string_view file,
                                       std::vector<Finding> &findings, std::size_t maximumDepth)
{
    json::parse_options options;
    options.max_depth = maximumDepth;
    boost::system::error_code error;
    std::size_t consumed = 0;
    std::optional<json::value> value = parseWithinLimit(text, options, error, consumed);
    if (!value) {
        findings.push_back(placedFinding(text, consumed, file, "JSON syntax: " + error.message()));
        return std::nullopt;
    }
    if (!value->is_object()) {
        findings.push_back(Finding{std::string(file), 1, 1, "must be a JSON object"});
        return std::nullopt;
    }
    return value;
}

ObjectReader openObject(const json::value &value, std::string path, std::string_view file,
                        std::vector<Finding> &findings)
{
    ObjectReader reader{value.if_object(), std::move(path), std::string(file), &findings, {}};
    if (reader.m_object == nullptr) {
        findings.push_back(Finding{reader.m_file, 0, 0, reader.m_path + " must be an object"});
    }
    return reader;
}

void reportUnknownFields(const ObjectReader &reader)
{
    if (reader.m_object == nullptr) {
        return;
    }
    const std::vector<std::string_view> &known = reader.m_knownFields;
    for (const json::key_value_pair &entry : *reader.m_object) {
        const std::string_view name = entry.key();
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            addFieldFinding(reader, name, "is not known");
        }
    }
}

void addFieldFinding(const ObjectReader &reader, std::string_view field, std::string_view problem)
{
    reader.m_findings->push_back(
        Finding{reader.m_file, 0, 0,
                "'" + reader.m_path + std::string(field) + "' " + std::string(problem)});
}

const json::value *readField(ObjectReader &reader, std::string_view field, FieldPresence presence)
{
    if (reader.m_object == nullptr) {
        return nullptr;
    }
    reader.m_knownFields.push_back(field);
    const json::value *const value = reader.m_object->if_contains(field);
    if (value == nullptr && presence == FieldPresence::Required) {
        addFieldFinding(reader, field, "is missing");
    }
    return value;
}

std::string readString(ObjectReader &reader, std::string_view field, FieldPresence presence,
                       std::size_t maximumBytes)
{
    const json::value *const value = readField(reader, field, presence);
    if (value == nullptr) {
        return {};
    }
    const json::string *const text = value->if_string();
    if (text == nullptr) {
        addFieldFinding(reader, field, "must be a string");
        return {};
    }
    if (text->size() > maximumBytes) {
        addFieldFinding(reader, field,
                        "must have at most " + std::to_string(maximumBytes) + " bytes");
        return {};
    }
    return std::string(*text);
}

std::int64_t readNumber(ObjectReader &reader, std::string_view field, FieldPresence presence,
                        std::int64_t minimum, std::int64_t maximum)
{
    const json::value *const value = readField(reader, field, presence);
    if (value == nullptr) {
        return 0;
    }
    boost::system::error_code error;
    const std::int64_t number = value->is_double() ? 0 : value->to_number<std::int64_t>(error);
    if (error || value->is_double() || number < minimum || number > maximum) {
        const bool isBounded = maximum < std::numeric_limits<std::int64_t>::max();
        addFieldFinding(reader, field,
                        "must be a whole number of at least " + std::to_string(minimum)
                            + (isBounded ? " and at most " + std::to_string(maximum) : ""));
        return 0;
    }
    return number;
}

double readReal(ObjectReader &reader, std::string_view field, FieldPresence presence,
                double minimum, double maximum)
{
    const json::value *const value = readField(reader, field, presence);
    if (value == nullptr) {
        return 0.0;
    }
    boost::system::error_code error;
    const double number = value->to_number<double>(error);
    if (error || number < minimum || number > maximum) {
        addFieldFinding(reader, field,
                        "must be a number from " + std::to_string(minimum) + " to "
                            + std::to_string(maximum));
        return 0.0;
    }
    return number;
}

const json::array *readArray(ObjectReader &reader, std::string_view field, FieldPresence presence)
{
    const json::value *const value = readField(reader, field, presence);
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_array()) {
        addFieldFinding(reader, field, "must be an array");
    }
    return value->if_array();
}

std::vector<std::pair<std::string, std::string>> readStringMap(ObjectReader &reader,
                                                               std::string_view field,
                                                               FieldPresence presence)
{
    std::vector<std::pair<std::string, std::string>> result;
    const json::value *const value = readField(reader, field, presence);
    if (value == nullptr) {
        return result;
    }
    ObjectReader entries = openObject(*value, reader.m_path + std::string(field) + ".",
                                      reader.m_file, *reader.m_findings);
    if (entries.m_object == nullptr) {
        return result;
    }
    for (const json::key_value_pair &entry : *entries.m_object) {
        const std::string_view name = entry.key();
        result.emplace_back(std::string(name), readString(entries, name, FieldPresence::Required,
                                                          std::numeric_limits<std::size_t>::max()));
    }
    return result;
}

} // namespace arbutusgrade
