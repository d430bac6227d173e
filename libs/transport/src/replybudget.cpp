#include "details/replybudget.h"

#include <algorithm>
#include <utility>

#include "transport/transport.h"

namespace arbutusgrade {

std::shared_ptr<ReplyBudget> makeReplyBudget(std::size_t limitBytes)
{
    std::shared_ptr<ReplyBudget> budget = std::make_shared<ReplyBudget>();
    budget->m_limitBytes = limitBytes;
    return budget;
}

ReplyReservation::ReplyReservation(std::shared_ptr<ReplyBudget> budget,
                                   std::function<void()> giveUp)
    : m_budget(std::move(budget)), m_giveUp(std::move(giveUp))
{
    m_budget->m_incomplete.push_back(this);
}

ReplyReservation::~ReplyReservation()
{
    std::erase(m_budget->m_incomplete, this);
    m_budget->m_usedBytes -= m_bytes;
    m_budget->m_givenUpBytes -= m_isGivenUp ? m_bytes : 0;
}

void ReplyReservation::add(std::size_t bytes)
{
    m_bytes += bytes;
    m_budget->m_usedBytes += bytes;
    m_budget->m_givenUpBytes += m_isGivenUp ? bytes : 0;
    std::vector<ReplyReservation *> &incomplete = m_budget->m_incomplete;
    while (!incomplete.empty()
           && m_budget->m_usedBytes - m_budget->m_givenUpBytes > m_budget->m_limitBytes) {
        const std::vector<ReplyReservation *>::iterator largest =
            std::max_element(incomplete.begin(), incomplete.end(),
                             [](const ReplyReservation *left, const ReplyReservation *right) {
                                 return left->m_bytes < right->m_bytes;
                             });
        (*largest)->giveUp();
    }
}

void ReplyReservation::complete()
{
    std::erase(m_budget->m_incomplete, this);
    m_budget->m_givenUpBytes -= m_isGivenUp ? m_bytes : 0;
    m_isGivenUp = false;
}

void ReplyReservation::giveUp()
{
    std::erase(m_budget->m_incomplete, this);
    m_isGivenUp = true;
    m_budget->m_givenUpBytes += m_bytes;
    ++m_budget->m_givenUpReplies;
    m_giveUp();
}

} // namespace arbutusgrade
