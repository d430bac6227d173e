#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace arbutusgrade {

class ReplyReservation;

//! @brief Memory for the replies that the connections of a client read, and for those whose content
//! is still in use.
//!
//! When it is used up, the largest reply that is still being read is given up, so that a peer which
//! sends bytes without end does not end the replies of others.
struct ReplyBudget
{
    std::size_t m_limitBytes = 0;
    std::size_t m_usedBytes = 0;
    std::size_t m_givenUpBytes = 0; //!< Of m_usedBytes, of replies that are about to be released.
    std::vector<ReplyReservation *> m_incomplete;
    std::uint64_t m_givenUpReplies = 0; //!< Since start.
};

//! Replies up to this size take no part in a budget; the number of connections bounds them.
inline constexpr std::size_t unbudgetedReplyBytes = 8 * 1024;

//! @brief The share of one reply in a budget.
class ReplyReservation
{
public:
    //! @param giveUp called when the reply is to be given up, inside add() of any reservation of
    //! the budget; must not release a reservation.
    ReplyReservation(std::shared_ptr<ReplyBudget> budget, std::function<void()> giveUp);
    ~ReplyReservation();
    ReplyReservation(const ReplyReservation &) = delete;
    ReplyReservation &operator=(const ReplyReservation &) = delete;

    //! @brief Adds bytes, and gives up replies until the others are within the budget.
    void add(std::size_t bytes);

    //! @brief The reply has been read. It is no longer given up, and counts until it is released.
    void complete();

private:
    void giveUp();

    std::shared_ptr<ReplyBudget> m_budget;
    std::function<void()> m_giveUp;
    std::size_t m_bytes = 0;
    bool m_isGivenUp = false;
};

} // namespace arbutusgrade
