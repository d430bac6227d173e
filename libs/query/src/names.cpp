#include "query/query.h"

namespace arbutusgrade {

std::string_view outcomeName(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Complete:
        return "complete";
    case Outcome::Partial:
        return "partial";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::OutcomeUnknown:
        return "outcome-unknown";
    case Outcome::Failed:
        break;
    }
    return "failed";
}

std::string_view reasonName(Reason reason) noexcept
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::Deadline:
        return "deadline";
    case Reason::NoReplica:
        return "no-replica";
    case Reason::SnapshotGone:
        return "snapshot-gone";
    case Reason::Overload:
        return "overload";
    case Reason::TargetError:
        return "target-error";
    case Reason::Quarantined:
        return "quarantined";
    case Reason::StoreUnavailable:
        return "store-unavailable";
    case Reason::RequestIdReused:
        return "request-id-reused";
    case Reason::InProgress:
        return "in-progress";
    case Reason::UnknownKind:
        return "unknown-kind";
    case Reason::UnknownService:
        return "unknown-service";
    case Reason::ShuttingDown:
        return "shutting-down";
    case Reason::QuotaExceeded:
        break;
    }
    return "quota-exceeded";
}

} // namespace arbutusgrade
