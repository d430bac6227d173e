#include "standins.h"

#include <algorithm>

#include <boost/beast/core/detail/base64.hpp>

//! @brief The platform's store.
namespace review {

namespace {

namespace base64 = boost::beast::detail::base64;

constexpr std::size_t itemsInPage = 50;
constexpr Milliseconds idleTime{120'000};
constexpr Milliseconds leaseCheckInterval{100};

std::string encode(std::string_view bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            const std::string digits(text.substr(index + 1, 2));
            decoded += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> query;
    std::size_t start = target.find('?');
    while (start != std::string_view::npos) {
        const std::size_t end = target.find('&', start + 1);
        const std::string_view field =
            target.substr(start + 1, end == std::string_view::npos ? end : end - start - 1);
        const std::size_t equals = std::min(field.find('='), field.size());
        query[std::string(field.substr(0, equals))] =
            percentDecode(field.substr(std::min(equals + 1, field.size())));
        start = end;
    }
    return query;
}

std::int64_t number(const std::map<std::string, std::string> &query, const std::string &name)
{
    const std::map<std::string, std::string>::const_iterator found = query.find(name);
    return found == query.end() ? 0 : std::strtoll(found->second.c_str(), nullptr, 10);
}

std::string text(const std::map<std::string, std::string> &query, const std::string &name)
{
    const std::map<std::string, std::string>::const_iterator found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

json::object parseBody(const std::string &body)
{
    boost::system::error_code error;
    json::value value = json::parse(body, error);
    return !error && value.is_object() ? value.get_object() : json::object();
}

std::int64_t integer(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::string string(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

json::array array(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->get_array() : json::array();
}

} // namespace

std::uint16_t Store::openEntry(const std::string &address)
{
    m_entries.push_back(std::make_unique<Entry>());
    Entry &entry = *m_entries.back();
    const bool isOpen =
        entry.m_listener.open(address, 0, [this, &entry](const ConnectionPointer &connection) {
            serve(entry, connection);
        });
    return isOpen ? entry.m_listener.port() : 0;
}

void Store::setCut(std::uint16_t entry, bool isCut)
{
    for (const std::unique_ptr<Entry> &item : m_entries) {
        if (item->m_listener.port() == entry) {
            item->m_isCut = isCut;
        }
    }
    m_changed.notify_all();
}

void Store::close()
{
    m_isClosed = true;
    m_changed.notify_all();
    for (const std::unique_ptr<Entry> &entry : m_entries) {
        entry->m_isCut = false;
        entry->m_listener.close();
    }
}

void Store::serve(Entry &entry, const ConnectionPointer &connection)
{
    while (const std::optional<Message> request = connection->read(idleTime)) {
        const Reply reply = call(*request);
        if (entry.m_isCut) {
            // What crossed the cut is lost; the connection stays silent until the cut has healed.
            while (entry.m_isCut && !m_isClosed) {
                sleepFor(Milliseconds(20));
            }
            return;
        }
        const std::string body = json::serialize(reply.m_body);
        if (!connection->write("HTTP/1.1 " + std::to_string(reply.m_status)
                               + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                               + std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
}

Store::Reply Store::call(const Message &request)
{
    static constexpr std::string_view renewPath = "/kv-keep/";
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::map<std::string, std::string> query = parseQuery(target);
    if (path == "/kv-range") {
        return list(query);
    }
    if (path == "/kv-watch") {
        return watch(query);
    }
    if (path == "/kv-txn") {
        return commit(parseBody(request.m_body));
    }
    if (path == "/kv-lease") {
        return createLease(parseBody(request.m_body));
    }
    if (path.starts_with(renewPath)) {
        return renewLease(std::strtoll(path.substr(renewPath.size()).c_str(), nullptr, 10));
    }
    return Reply{404, {}};
}

Store::Reply Store::list(const std::map<std::string, std::string> &query)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    endLeasesLocked();
    const std::string prefix = text(query, "prefix");
    const std::string after = text(query, "after");
    json::array items;
    bool hasMore = false;
    for (const std::pair<const std::string, json::object> &item : m_items) {
        if (!item.first.starts_with(prefix) || item.first <= after) {
            continue;
        }
        hasMore = items.size() == itemsInPage;
        if (hasMore) {
            break;
        }
        items.push_back(item.second);
    }
    return Reply{200, {{"items", items}, {"hasMore", hasMore}, {"storeRevision", m_revision}}};
}

Store::Reply Store::watch(const std::map<std::string, std::string> &query)
{
    const std::string prefix = text(query, "prefix");
    const std::int64_t after = number(query, "after");
    const Clock::time_point end = Clock::now() + Milliseconds(number(query, "waitMs"));
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        endLeasesLocked();
        json::array events;
        for (const Event &event : m_events) {
            if (event.m_revision > after && event.m_key.starts_with(prefix)) {
                events.push_back(event.m_item);
            }
        }
        if (!events.empty() || Clock::now() >= end || m_isClosed) {
            return Reply{200, {{"events", events}, {"storeRevision", m_revision}}};
        }
        m_changed.wait_until(lock, std::min(end, Clock::now() + leaseCheckInterval));
    }
}

Store::Reply Store::commit(const json::object &body)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    endLeasesLocked();
    for (const json::value &row : array(body, "expect")) {
        const std::map<std::string, json::object>::const_iterator found =
            m_items.find(string(row.as_object(), "key"));
        const std::int64_t revision =
            found == m_items.end() ? 0 : integer(found->second, "revision");
        if (revision != integer(row.as_object(), "revision")) {
            return Reply{412, {{"items", json::array()}}};
        }
    }
    const json::array items = array(body, "setKeys");
    for (const json::value &item : items) {
        const std::int64_t lease = integer(item.as_object(), "lease");
        if (lease != 0 && !m_leases.contains(lease)) {
            return Reply{404, {}};
        }
    }
    for (const json::value &item : items) {
        const json::object &fields = item.as_object();
        putLocked(string(fields, "key"), string(fields, "value"), integer(fields, "lease"));
    }
    for (const json::value &key : array(body, "deleteKeys")) {
        removeLocked(std::string(key.as_string()));
    }
    return Reply{200, {{"revision", m_revision}}};
}

Store::Reply Store::createLease(const json::object &body)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Milliseconds timeToLive(integer(body, "ttlMs"));
    m_leases[++m_lastLease] = Lease{timeToLive, Clock::now() + timeToLive};
    return Reply{200, {{"lease", m_lastLease}, {"ttlMs", timeToLive.count()}}};
}

Store::Reply Store::renewLease(std::int64_t lease)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    endLeasesLocked();
    const std::map<std::int64_t, Lease>::iterator found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return Reply{404, {}};
    }
    found->second.m_end = Clock::now() + found->second.m_timeToLive;
    return Reply{200, {}};
}

void Store::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    putLocked(key, encode(value), lease);
}

void Store::put(const std::string &key, const json::value &value)
{
    put(key, json::serialize(value));
}

void Store::remove(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    removeLocked(key);
}

void Store::putLocked(const std::string &key, const std::string &encoded, std::int64_t lease)
{
    ++m_revision;
    const std::map<std::string, json::object>::const_iterator found = m_items.find(key);
    const std::int64_t created =
        found == m_items.end() ? m_revision : integer(found->second, "created");
    m_items[key] = json::object{{"key", key},
                                {"value", encoded},
                                {"revision", m_revision},
                                {"created", created},
                                {"lease", lease}};
    m_events.push_back(Event{m_revision, key, m_items[key]});
    m_changed.notify_all();
}

void Store::removeLocked(const std::string &key)
{
    if (m_items.erase(key) == 0) {
        return;
    }
    ++m_revision;
    m_events.push_back(
        Event{m_revision, key, {{"key", key}, {"revision", m_revision}, {"removed", true}}});
    m_changed.notify_all();
}

void Store::endLeasesLocked()
{
    std::vector<std::string> ended;
    std::erase_if(m_leases, [](const std::pair<const std::int64_t, Lease> &lease) {
        return Clock::now() >= lease.second.m_end;
    });
    for (const std::pair<const std::string, json::object> &item : m_items) {
        const std::int64_t lease = integer(item.second, "lease");
        if (lease != 0 && !m_leases.contains(lease)) {
            ended.push_back(item.first);
        }
    }
    for (const std::string &key : ended) {
        removeLocked(key);
    }
}

} // namespace review
