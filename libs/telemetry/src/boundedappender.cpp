#include "details/boundedappender.h"

#include <algorithm>
#include <climits>
#include <string>

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace arbutusgrade {

namespace {

constexpr std::size_t bufferLimitBytes = 256 * 1024;

// Fewer and larger writes cost less processor time; what is left goes out with the next flush.
constexpr std::size_t eagerWriteBytes = 4 * 1024;

} // namespace

BoundedAppender::BoundedAppender(int descriptor) : m_descriptor(descriptor) { }

BoundedAppender::~BoundedAppender()
{
    destructorImpl();
}

void BoundedAppender::close()
{
    flush();
    closed = true;
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    if (m_buffer.size() - m_written >= bufferLimitBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped > 0) {
        m_buffer += "{\"event\":\"log-output-blocked\",\"fields\":{\"lines\":"
                    + std::to_string(m_dropped) + "}}\n";
        m_dropped = 0;
    }
    m_buffer += event.getMessage();
    m_buffer += '\n';
    if (m_buffer.size() - m_written >= eagerWriteBytes) {
        flush();
    }
}

bool BoundedAppender::isWritable() const
{
    pollfd descriptor{m_descriptor, POLLOUT, 0};
    return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

void BoundedAppender::flush()
{
    // A pipe that polls as writable takes PIPE_BUF bytes without blocking, not more.
    while (m_written < m_buffer.size() && isWritable()) {
        const std::size_t size = std::min<std::size_t>(PIPE_BUF, m_buffer.size() - m_written);
        const ssize_t written = ::write(m_descriptor, m_buffer.data() + m_written, size);
        if (written <= 0) {
            break;
        }
        m_written += static_cast<std::size_t>(written);
    }
    if (m_written == m_buffer.size()) {
        m_buffer.clear();
        m_written = 0;
    } else if (m_written >= bufferLimitBytes) {
        m_buffer.erase(0, m_written);
        m_written = 0;
    }
}

} // namespace arbutusgrade
