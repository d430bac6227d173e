#pragma once

#include <cstdint>
#include <string>

#include <log4cplus/appender.h>

namespace arbutusgrade {

//! @brief Appender that never blocks: lines are kept in a bounded buffer and written while the
//! descriptor takes them. Lines that do not fit are counted, and the count is written later.
class BoundedAppender : public log4cplus::Appender
{
public:
    explicit BoundedAppender(int descriptor);
    ~BoundedAppender() override;

    void close() override;

    //! @brief Writes what the descriptor takes now.
    void flush();

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    bool isWritable() const;

    int m_descriptor;
    std::string m_buffer;
    std::size_t m_written = 0; //!< Bytes of the buffer that are out.
    std::uint64_t m_dropped = 0;
};

} // namespace arbutusgrade
