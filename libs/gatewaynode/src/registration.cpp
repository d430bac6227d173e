#include "details/registration.h"

#include <limits>
#include <vector>

#include <boost/asio/ip/address.hpp>
#include <boost/json/serialize.hpp>

#include "jsonreader/jsonreader.h"

namespace arbutusgrade {

namespace {

// A registration has five short fields; far longer values come from something else.
constexpr std::size_t valueLimitBytes = 1'024;
constexpr std::size_t nameLimitBytes = 255;

// In cores; keeps the weights of rendezvous hashing finite.
constexpr double minimumWeight = 0.001;
constexpr double maximumWeight = 1'024.0;

//! @brief Returns the IP address in its usual spelling, or nothing.
std::optional<std::string> normalizeAddress(const std::string &text)
{
    boost::system::error_code error;
    const boost::asio::ip::address address = boost::asio::ip::make_address(text, error);
    if (error || address.is_unspecified()) {
        return std::nullopt;
    }
    return address.to_string();
}

} // namespace

std::string encodeRegistration(const RegisteredNode &node)
{
    return json::serialize(json::object{{"name", node.m_name},
                                        {"dataCentre", node.m_dataCentre},
                                        {"address", node.m_link.m_address},
                                        {"port", node.m_link.m_port},
                                        {"weight", node.m_link.m_weight}});
}

std::optional<RegisteredNode> decodeRegistration(std::string_view name, std::string_view value)
{
    // The value of a node without a link is its name.
    if (value.size() > valueLimitBytes || !value.starts_with('{')) {
        return std::nullopt;
    }
    std::vector<Finding> findings;
    const std::optional<json::value> parsed = parseObject(value, name, findings);
    if (!parsed) {
        return std::nullopt;
    }
    ObjectReader reader = openObject(*parsed, "", name, findings);
    RegisteredNode node;
    node.m_name = readString(reader, "name", FieldPresence::Required, nameLimitBytes);
    node.m_dataCentre = readString(reader, "dataCentre", FieldPresence::Required, nameLimitBytes);
    const std::optional<std::string> address =
        normalizeAddress(readString(reader, "address", FieldPresence::Required, nameLimitBytes));
    node.m_link.m_port = static_cast<std::uint16_t>(readNumber(
        reader, "port", FieldPresence::Required, 1, std::numeric_limits<std::uint16_t>::max()));
    node.m_link.m_weight =
        readReal(reader, "weight", FieldPresence::Required, minimumWeight, maximumWeight);
    if (!findings.empty() || !address || node.m_name != name) {
        return std::nullopt;
    }
    node.m_link.m_address = *address;
    return node;
}

} // namespace arbutusgrade
