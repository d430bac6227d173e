#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "administration/administration.h"
#include "standins/httpserver.h"

namespace arbutusgrade {

//! @brief What becomes of a change that reaches a FakeNode.
enum class ChangeFate {
    Applied,
    AppliedWithoutAnswer, //!< The connection is closed instead of an answer.
    LostBeforeApplied,    //!< The connection is closed, and nothing is applied.
    UnknownThenApplied,   //!< The answer is that the effect is not known.
    Refused,              //!< The store cannot be reached; nothing is applied.
};

//! @brief A node that serves the administration API from memory, in a thread of its own.
class FakeNode
{
public:
    explicit FakeNode(ConfigurationView view);
    ~FakeNode();
    FakeNode(const FakeNode &) = delete;
    FakeNode &operator=(const FakeNode &) = delete;

    std::uint16_t port() const;
    void setFate(ChangeFate fate);
    void setNodes(NodeList nodes);

    //! @brief Method and path of each call, in order.
    std::vector<std::string> calls() const;
    ConfigurationView view() const;

private:
    void serve(const standins::HttpRequest &request, const standins::Responder &respond);
    standins::HttpResponse change(const standins::HttpRequest &request);
    standins::HttpResponse drain(const standins::HttpRequest &request);
    standins::HttpResponse changeState(const std::string &changeId) const;

    mutable std::mutex m_mutex;
    ConfigurationView m_view;
    NodeList m_nodes;
    ChangeFate m_fate = ChangeFate::Applied;
    std::vector<std::string> m_calls;
    boost::asio::io_context m_context;
    standins::HttpServer m_server;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace arbutusgrade
