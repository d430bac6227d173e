#include <algorithm>
#include <deque>

#include "jsonreader/jsonreader.h"
#include "transport/transport.h"

namespace arbutusgrade {

namespace json = boost::json;

namespace {

constexpr int tooManyRequests = 429;

// Claims must outlive the 24 h in which callers may send again. A lease takes claims for an hour,
// so 25 h leave 24 h for the last of them. It is replaced before the hour ends, so that a slow
// store does not stop claims.
constexpr int claimLeaseSeconds = 25 * 3600;
constexpr std::chrono::minutes claimLeaseReplaceAge{50};
constexpr std::chrono::minutes claimLeaseUseAge{60};

std::optional<json::object> parseObject(const ReplyContent *reply)
{
    if (reply == nullptr) {
        return std::nullopt;
    }
    boost::system::error_code error;
    std::size_t consumed = 0;
    std::optional<json::value> document = parseWithinLimit(reply->m_body, {}, error, consumed);
    if (!document || !document->is_object()) {
        return std::nullopt;
    }
    return std::move(document->get_object());
}

bool takeValue(const json::object &object, StoreReply &result)
{
    const json::value *revision = object.if_contains("revision");
    if (revision == nullptr || !revision->is_int64()) {
        return false;
    }
    result.m_revision = revision->get_int64();
    const json::value *value = object.if_contains("value");
    if (value != nullptr && value->is_string()) {
        result.m_value = value->get_string();
    }
    return true;
}

StoreReply parseStoreReply(const ReplyContent *reply)
{
    StoreReply result;
    if (reply == nullptr) {
        return result;
    }
    if (reply->m_status == 404) {
        result.m_status = StoreStatus::NotFound;
        return result;
    }
    const std::optional<json::object> object = parseObject(reply);
    if (!object) {
        return result;
    }
    if (reply->m_status == 412) {
        // The key may have vanished since, in which case there is no current value.
        takeValue(*object, result);
        result.m_status = StoreStatus::Conflict;
    } else if (reply->m_status == 200 && takeValue(*object, result)) {
        result.m_status = StoreStatus::Ok;
    }
    return result;
}

//! @brief Lease identifiers are opaque; the store may give numbers or strings.
std::string leaseText(const json::object &object)
{
    const json::value *lease = object.if_contains("lease");
    if (lease == nullptr) {
        return {};
    }
    if (lease->is_string()) {
        return std::string(lease->get_string());
    }
    return lease->is_int64() ? std::to_string(lease->get_int64()) : std::string();
}

} // namespace

struct StoreClient::Implementation : std::enable_shared_from_this<StoreClient::Implementation>
{
    using LeaseHandler = std::function<void(const std::string &lease)>;

    Implementation(asio::io_context &context, const StoreClientOptions &options)
        : m_options(options), m_client(std::make_shared<HttpClient>(context, m_statistics.m_hop,
                                                                    options.m_connections)),
          m_watchClient(std::make_shared<HttpClient>(context, m_statistics.m_hop, 1))
    {
        applyEndpoint();
    }

    void applyEndpoint()
    {
        m_client->setEndpoint(m_options.m_address, m_options.m_port);
        m_watchClient->setEndpoint(m_options.m_address, m_options.m_port);
    }

    void send(HttpClient &client, HttpClient::Call call, HttpClient::Handler handler)
    {
        client.call(std::move(call), [weak = weak_from_this(),
                                      handler = std::move(handler)](const ReplyContent *reply) {
            const std::shared_ptr<Implementation> self = weak.lock();
            if (!self) {
                return;
            }
            // A front end that answers for a store that is down is no contact with it.
            const bool answered =
                reply != nullptr && reply->m_status < 500 && reply->m_status != tooManyRequests;
            if (answered) {
                self->m_statistics.m_lastContact = steadyNow();
            } else {
                ++self->m_statistics.m_unavailable;
            }
            handler(reply);
        });
    }

    void read(const CallStore &call, StoreHandler handler)
    {
        ++m_statistics.m_reads;
        send(*m_client, {"GET", "/v1/keys/" + percentEncode(call.m_key), "", deadlineOf(call)},
             [id = call.m_call, handler = std::move(handler)](const ReplyContent *reply) {
                 StoreReply result = parseStoreReply(reply);
                 result.m_call = id;
                 handler(result);
             });
    }

    void write(const CallStore &call, const std::string &lease, StoreHandler handler)
    {
        ++m_statistics.m_writes;
        std::string path = "/v1/keys/" + percentEncode(call.m_key)
                           + "?expected=" + std::to_string(call.m_expectedRevision);
        if (call.m_leased) {
            path += "&lease=" + percentEncode(lease);
        }
        send(*m_client, {"PUT", std::move(path), call.m_value, deadlineOf(call)},
             [weak = weak_from_this(), id = call.m_call, leased = call.m_leased,
              handler = std::move(handler)](const ReplyContent *reply) {
                 StoreReply result = parseStoreReply(reply);
                 result.m_call = id;
                 // A write does not say "not found"; the lease may have been lost by the store.
                 const bool refused =
                     reply != nullptr && reply->m_status != 200 && reply->m_status != 412;
                 if (refused) {
                     result.m_status = StoreStatus::Unavailable;
                 }
                 const std::shared_ptr<Implementation> self = weak.lock();
                 if (self && refused && leased) {
                     self->m_lease.clear();
                 }
                 handler(result);
             });
    }

    TimePoint deadlineOf(const CallStore &call) const
    {
        return std::min(call.m_deadline, steadyNow() + m_options.m_timeout);
    }

    //! @brief Gives the current lease to the handler, or an empty text if there is none in time.
    void withLease(LeaseHandler handler)
    {
        const Duration age = steadyNow() - m_leaseCreated;
        const bool usable = !m_lease.empty() && age < claimLeaseUseAge;
        if (!usable || age >= claimLeaseReplaceAge) {
            createLease();
        }
        if (usable) {
            handler(m_lease);
            return;
        }
        m_leaseWaiters.push_back(std::move(handler));
    }

    void createLease()
    {
        if (m_creatingLease) {
            return;
        }
        m_creatingLease = true;
        ++m_statistics.m_leases;
        const TimePoint started = steadyNow();
        send(*m_client,
             {"POST", "/v1/leases?ttlSeconds=" + std::to_string(claimLeaseSeconds), "",
              started + m_options.m_timeout},
             [weak = weak_from_this(), started](const ReplyContent *reply) {
                 if (const std::shared_ptr<Implementation> self = weak.lock()) {
                     self->takeLease(reply, started);
                 }
             });
    }

    void takeLease(const ReplyContent *reply, TimePoint started)
    {
        m_creatingLease = false;
        const std::optional<json::object> object = parseObject(reply);
        const std::string lease = object ? leaseText(*object) : std::string();
        if (!lease.empty()) {
            m_lease = lease;
            m_leaseCreated = started;
        }
        std::deque<LeaseHandler> waiters;
        waiters.swap(m_leaseWaiters);
        for (const LeaseHandler &waiter : waiters) {
            waiter(lease);
        }
    }

    StoreClientOptions m_options;
    StoreClientStatistics m_statistics;
    std::shared_ptr<HttpClient> m_client;
    std::shared_ptr<HttpClient> m_watchClient; //!< A waiting watch must not delay other calls.
    std::string m_lease;
    TimePoint m_leaseCreated;
    bool m_creatingLease = false;
    std::deque<LeaseHandler> m_leaseWaiters;
};

StoreClient::StoreClient(asio::io_context &context, const StoreClientOptions &options)
    : m_implementation(std::make_shared<Implementation>(context, options))
{
}

StoreClient::~StoreClient()
{
    m_implementation->m_client->stop();
    m_implementation->m_watchClient->stop();
}

void StoreClient::setOptions(const StoreClientOptions &options)
{
    m_implementation->m_options = options;
    m_implementation->applyEndpoint();
}

void StoreClient::call(const CallStore &call, StoreHandler handler)
{
    if (call.m_operation == StoreOperation::Get) {
        m_implementation->read(call, std::move(handler));
        return;
    }
    if (!call.m_leased) {
        m_implementation->write(call, {}, std::move(handler));
        return;
    }
    m_implementation->withLease([weak = m_implementation->weak_from_this(), call,
                                 handler = std::move(handler)](const std::string &lease) {
        const std::shared_ptr<Implementation> self = weak.lock();
        if (!self) {
            return;
        }
        if (lease.empty()) {
            StoreReply result;
            result.m_call = call.m_call;
            handler(result);
            return;
        }
        self->write(call, lease, handler);
    });
}

void StoreClient::watch(std::string_view key, std::int64_t afterRevision, std::chrono::seconds wait,
                        StoreHandler handler)
{
    ++m_implementation->m_statistics.m_watches;
    const std::string path = "/v1/watch/" + percentEncode(key)
                             + "?after=" + std::to_string(afterRevision)
                             + "&waitSeconds=" + std::to_string(wait.count());
    const TimePoint deadline = steadyNow() + wait + m_implementation->m_options.m_timeout;
    m_implementation->send(*m_implementation->m_watchClient, {"GET", path, "", deadline},
                           [handler = std::move(handler)](const ReplyContent *reply) {
                               StoreReply result = parseStoreReply(reply);
                               if (reply != nullptr
                                   && (reply->m_status == 204 || reply->m_status == 304)) {
                                   result.m_status = StoreStatus::NotFound;
                               }
                               handler(result);
                           });
}

void StoreClient::listVms(VmListHandler handler)
{
    ++m_implementation->m_statistics.m_vmLists;
    const TimePoint deadline = steadyNow() + m_implementation->m_options.m_timeout;
    m_implementation->send(
        *m_implementation->m_client, {"GET", "/v1/vms", "", deadline},
        [handler = std::move(handler)](const ReplyContent *reply) {
            const std::optional<json::object> object = parseObject(reply);
            const json::value *list = object ? object->if_contains("vms") : nullptr;
            if (list == nullptr || !list->is_array()) {
                handler(std::nullopt);
                return;
            }
            std::vector<VmEntry> entries;
            for (const json::value &item : list->get_array()) {
                const json::object *fields = item.if_object();
                const json::value *name = fields ? fields->if_contains("name") : nullptr;
                if (name == nullptr || !name->is_string()) {
                    continue;
                }
                const json::value *zone = fields->if_contains("dataCentre");
                const json::value *state = fields->if_contains("state");
                entries.push_back(
                    {std::string(name->get_string()),
                     zone != nullptr && zone->is_string() ? std::string(zone->get_string()) : "",
                     state != nullptr && state->is_string() && state->get_string() == "leaving"});
            }
            handler(entries);
        });
}

const StoreClientStatistics &StoreClient::statistics() const
{
    return m_implementation->m_statistics;
}

} // namespace arbutusgrade
