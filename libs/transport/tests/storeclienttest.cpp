#include <string>

#include <gtest/gtest.h>

#include "loopback.h"
#include "transport/transport.h"

namespace arbutusgrade {

namespace {

class StoreClientTest : public testing::Test
{
protected:
    StoreClientTest()
        : m_store(m_context,
                  [this](RawServer::Peer &peer, const std::string &text) {
                      m_requests.push_back(text.substr(0, text.find(" HTTP/")));
                      if (m_script) {
                          m_script(peer, text);
                      }
                  }),
          m_client(m_context, StoreClientOptions{"127.0.0.1", m_store.port(), Duration(300'000), 2})
    {
    }

    StoreReply call(const CallStore &action)
    {
        std::optional<StoreReply> result;
        m_client.call(action, [&](const StoreReply &reply) { result = reply; });
        runUntil(m_context, [&] { return result.has_value(); });
        return result.value_or(StoreReply{});
    }

    CallStore leasedCreate(std::string key)
    {
        CallStore action;
        action.m_call = 7;
        action.m_operation = StoreOperation::CompareAndSwap;
        action.m_key = std::move(key);
        action.m_value = "v";
        action.m_leased = true;
        action.m_deadline = steadyNow() + Duration(1'000'000);
        return action;
    }

    asio::io_context m_context;
    std::vector<std::string> m_requests;
    std::function<void(RawServer::Peer &, const std::string &)> m_script;
    RawServer m_store;
    StoreClient m_client;
};

} // namespace

// Guards against keys that change on their way, and a lease for each claim instead of each hour.
TEST_F(StoreClientTest, CreatesClaimsUnderOneLease)
{
    m_script = [](RawServer::Peer &peer, const std::string &text) {
        peer.reply(200, text.starts_with("POST") ? R"({"lease":"L1"})"
                                                 : R"({"value":"v","revision":12})");
    };
    const StoreReply first = call(leasedCreate("claims/g/a b?c"));
    EXPECT_EQ(first.m_status, StoreStatus::Ok);
    EXPECT_EQ(first.m_revision, 12);
    EXPECT_EQ(first.m_call, 7U);
    call(leasedCreate("claims/g/2"));
    ASSERT_EQ(m_requests.size(), 3U);
    EXPECT_EQ(m_requests[0], "POST /v1/leases?ttlSeconds=90000");
    EXPECT_EQ(m_requests[1], "PUT /v1/keys/claims/g/a%20b%3Fc?expected=0&lease=L1");
    EXPECT_EQ(m_client.statistics().m_leases, 1U);
    EXPECT_EQ(m_client.statistics().m_writes, 2U);
}

// Guards against a conflict without its value, and against "not found" taken for an outage.
TEST_F(StoreClientTest, MapsConflictAndNotFound)
{
    m_script = [](RawServer::Peer &peer, const std::string &text) {
        peer.reply(text.starts_with("PUT") ? 412 : 404, R"({"value":"theirs","revision":3})");
    };
    CallStore write = leasedCreate("k");
    write.m_leased = false;
    const StoreReply conflict = call(write);
    EXPECT_EQ(conflict.m_status, StoreStatus::Conflict);
    EXPECT_EQ(conflict.m_value, "theirs");
    EXPECT_EQ(conflict.m_revision, 3);
    write.m_operation = StoreOperation::Get;
    EXPECT_EQ(call(write).m_status, StoreStatus::NotFound);
}

// Guards against a caller that waits for ever on a store that takes the call and never answers,
// and against a lease that is kept although the store lost it.
TEST_F(StoreClientTest, SilentStoreIsUnavailableAndLostLeaseIsReplaced)
{
    EXPECT_EQ(call(leasedCreate("k")).m_status, StoreStatus::Unavailable);
    EXPECT_EQ(m_client.statistics().m_unavailable, 1U);
    EXPECT_FALSE(m_client.statistics().m_lastContact.has_value());
    m_script = [this](RawServer::Peer &peer, const std::string &text) {
        const bool refuse = text.starts_with("PUT") && m_client.statistics().m_writes == 1;
        peer.reply(refuse ? 404 : 200, R"({"lease":5,"value":"v","revision":1})");
    };
    EXPECT_EQ(call(leasedCreate("k")).m_status, StoreStatus::Unavailable);
    EXPECT_EQ(call(leasedCreate("k")).m_status, StoreStatus::Ok);
    EXPECT_EQ(m_client.statistics().m_leases, 3U);
}

// Guards against VMs in another state than leaving that count as leaving.
TEST_F(StoreClientTest, ListsVms)
{
    m_script = [](RawServer::Peer &peer, const std::string &) {
        peer.reply(200, R"({"vms":[{"name":"a","dataCentre":"d","state":"live"},)"
                        R"({"name":"b","dataCentre":"d","state":"leaving"},{"broken":1}]})");
    };
    std::optional<std::vector<VmEntry>> entries;
    m_client.listVms([&](const std::optional<std::vector<VmEntry>> &list) { entries = list; });
    ASSERT_TRUE(runUntil(m_context, [&] { return entries.has_value(); }));
    ASSERT_EQ(entries->size(), 2U);
    EXPECT_FALSE(entries->at(0).m_leaving);
    EXPECT_TRUE(entries->at(1).m_leaving);
}

// Guards against a reply of the store that is cut off and taken for an empty list, a missing key,
// an empty value or a lease.
TEST_F(StoreClientTest, CutReplyIsNoAnswer)
{
    const std::string list = R"({"vms":[]})";
    const std::string value = R"({"value":"","revision":3,"lease":"L1"})";
    const std::vector<std::string> replies{
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + list,
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + list,
        "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n" + value,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n26\r\n" + value + "\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n" + value,
        "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 412 Conflict\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 204 No Content\r\n\r\n"};
    CallStore get = leasedCreate("k");
    get.m_operation = StoreOperation::Get;
    get.m_leased = false;
    for (const std::string &reply : replies) {
        for (std::size_t cut = 0; cut < reply.size(); ++cut) {
            SCOPED_TRACE(reply.substr(0, cut));
            m_script = [&reply, cut](RawServer::Peer &peer, const std::string & /*request*/) {
                boost::system::error_code ignored;
                asio::write(peer.m_socket, asio::buffer(reply, cut), ignored);
                if (cut % 2 == 1) {
                    peer.m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
                }
                peer.close();
            };
            EXPECT_EQ(call(get).m_status, StoreStatus::Unavailable);
            EXPECT_EQ(call(leasedCreate("k")).m_status, StoreStatus::Unavailable);
            std::optional<StoreReply> change;
            m_client.watch("k", 1, std::chrono::seconds(1),
                           [&change](const StoreReply &result) { change = result; });
            std::optional<bool> listed;
            m_client.listVms([&listed](const std::optional<std::vector<VmEntry>> &entries) {
                listed = entries.has_value();
            });
            ASSERT_TRUE(runUntil(m_context, [&] { return listed && change; }));
            EXPECT_FALSE(*listed);
            EXPECT_EQ(change->m_status, StoreStatus::Unavailable);
        }
    }
    EXPECT_EQ(m_client.statistics().m_writes, 0U);
}

} // namespace arbutusgrade
