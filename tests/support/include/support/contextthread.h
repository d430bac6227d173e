#pragma once

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace arbutusgrade::support {

//! @brief Runs an io_context in a thread of its own until stop() or the end of the object.
class ContextThread
{
public:
    ContextThread()
        : m_context(1), m_work(boost::asio::make_work_guard(m_context)),
          m_thread([this] { m_context.run(); })
    {
    }

    ~ContextThread()
    {
        stop();
    }

    ContextThread(const ContextThread &) = delete;
    ContextThread &operator=(const ContextThread &) = delete;

    boost::asio::io_context &context()
    {
        return m_context;
    }

    //! @brief Returns when the thread has ended, so that its objects can be destroyed.
    void stop()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace arbutusgrade::support
