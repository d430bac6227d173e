#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/base.h"

//! @brief Request path for requests that are passed through to targets, as a core without I/O.
//!
//! Functions take the time as a parameter and are called from one thread. The engine gives its
//! orders to an output interface and is fed the results.
namespace arbutusgrade {

// Routing ----------------------------------------------------------------------------------------

//! @brief One side of a traffic split.
struct WeightedService
{
    std::string m_service;
    double m_weight = 1.0;
};

//! @brief How requests of one host and path prefix are served.
struct Route
{
    std::string m_name;
    std::string m_host;   //!< Lower case, without a port.
    std::string m_prefix; //!< Begins and ends with a slash.
    bool m_idempotent = false;
    Duration m_timeout{0};
    Duration m_latencyTarget{0};
    int m_priority = 0;                      //!< 0 is the most urgent.
    int m_attemptLimit = 1;                  //!< Targets that may run one request.
    std::vector<WeightedService> m_services; //!< Empty for a search.
    std::vector<std::string> m_shards;       //!< Services that a search asks; else empty.
    std::size_t m_topRecords = 0;            //!< Records in the answer of a search.
    double m_minimumShardShare = 1.0;        //!< Least share of shards for a success.
};

//! @brief Limits for callers.
struct CallerLimits
{
    std::uint32_t m_headerBytes = 16 * 1024;
    std::uint32_t m_bodyBytes = 256 * 1024;
    Duration m_headerTimeout{3'000'000};
    Duration m_idleTimeout{15'000'000};
};

//! @brief One version of the configuration of routes. Immutable once in force.
struct RoutingTable
{
    std::uint64_t m_version = 0;
    std::vector<Route> m_routes;
    std::unordered_map<std::string, int> m_connectionLimits; //!< By service, over all nodes.
    CallerLimits m_limits;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

//! @brief What is wrong with a table that was read; empty if it can be taken.
std::vector<Finding> checkRouting(const RoutingTable &table);

//! @brief Returns the route of the host with the longest prefix of the path, or null.
const Route *findRoute(const RoutingTable &table, std::string_view host, std::string_view path);

//! @brief Chooses a side of a split in proportion to the weights.
//!
//! Spreads by accumulated credit instead of chance, so that shares hold after few requests.
//! @param credits of the route, kept between calls; resized when the split changes.
std::size_t chooseSplit(std::span<const WeightedService> services, std::vector<double> &credits);

// Registry of targets ----------------------------------------------------------------------------

//! @brief What a target says of itself in the registry.
struct TargetEntry
{
    std::string m_id;
    std::string m_service;
    std::string m_address; //!< IP number.
    std::uint16_t m_port = 0;
    std::string m_dataCentre;
    int m_slots = 1;
    bool m_draining = false;
    Duration m_warmupLeft{0};
    std::int64_t m_started = 0; //!< Unix time in milliseconds; tells incarnations apart.
};

//! @brief An attempt at a target without an end yet.
struct OutstandingAttempt
{
    std::uint64_t m_attempt = 0;
    TimePoint m_overdueAt; //!< From then on the target looks stalled.
};

//! @brief A request whose connection ended before its reply; it may have crashed the target.
struct LostRequest
{
    std::uint64_t m_fingerprint = 0;
    TimePoint m_at;
};

//! @brief What this node knows of a target from the registry and from its own attempts.
struct Target
{
    TargetEntry m_entry;
    bool m_displaced = false; //!< Another process has its address.
    bool m_removed = false;   //!< No longer in the registry.
    TimePoint m_usableUntil;  //!< For removed targets; see TargetRegistry.
    TimePoint m_warmUntil;    //!< Slow before, as it has just started.
    std::vector<OutstandingAttempt> m_inFlight;
    double m_slowness = 1.0;     //!< Smoothed ratio of its times to the expected ones.
    double m_failureShare = 0.0; //!< Smoothed share of attempts that failed.
    TimePoint m_learnedAt;
    TimePoint m_avoidUntil;
    int m_connectFailures = 0; //!< In a row.
    bool m_down = false;       //!< Takes no connections; gets requests again after a probe.
    bool m_probing = false;
    std::vector<LostRequest> m_lost; //!< Since the last sign of life.
    TimePoint m_probeAt;             //!< For targets that are down, or that lost requests.
};

using TargetPointer = std::shared_ptr<Target>;

//! @brief Targets by service, kept in step with the registry.
struct TargetRegistry
{
    //! Entries that lapse because the store was away come back within 2 s of its return, if the
    //! target lives; the rest covers the way of the news to this node.
    static constexpr Duration returnGrace{2'300'000};

    //! A target that was not draining serves on for a while after its removal, and a short outage
    //! of the store may pass unnoticed here, so a removal by itself takes effect after this time.
    static constexpr Duration removalGrace{2'000'000};

    std::unordered_map<std::string, TargetPointer> m_targets; //!< By id.
    std::unordered_map<std::string, std::vector<TargetPointer>> m_byService;
    bool m_storeAway = false;
    TimePoint m_graceUntil; //!< Removals before this time take effect at this time.
};

enum class EntryChange { Added, Changed, Restarted, Draining, Stale };

//! @brief Takes an entry that was read. An entry of an earlier incarnation is stale and ignored.
EntryChange applyEntry(TargetRegistry &registry, TimePoint now, const TargetEntry &entry);

//! @brief Takes the removal of an entry, or one that can no longer be read.
//! @return false if there was no such target.
bool removeEntry(TargetRegistry &registry, TimePoint now, std::string_view id);

//! @brief Removes the targets that a complete reading did not contain.
//! @return the ids removed.
std::vector<std::string> removeMissing(TargetRegistry &registry, TimePoint now,
                                       std::span<const std::string> present);

void noteStoreAway(TargetRegistry &registry);
void noteStoreBack(TargetRegistry &registry, TimePoint now);

//! @brief True if new requests may be sent to the target; one that is down counts as well.
bool acceptsRequests(const Target &target, TimePoint now);

//! @brief Forgets removed targets without attempts; call now and then.
void forgetRemoved(TargetRegistry &registry, TimePoint now);

// Choice of a target -----------------------------------------------------------------------------

//! @brief What the choice of a target depends on besides the targets.
struct TargetCriteria
{
    std::string_view m_dataCentre;          //!< Of this node.
    std::span<const std::string> m_exclude; //!< Ids that had an attempt of this request.
    int m_inFlightLimit = 1;                //!< For this node at each target.
    bool m_healthyOnly = false;             //!< For hedges: no target that looks stalled.
};

//! @brief Chooses the target with the least expected time, or null if none has room.
//!
//! Answers a calm load with pauses: targets that hold a request for several times its usual time
//! count as stalled and come last.
TargetPointer selectTarget(std::span<const TargetPointer> targets, TimePoint now,
                           const TargetCriteria &criteria);

//! @brief True if an attempt at the target is overdue.
bool isStalled(const Target &target, TimePoint now);

//! @brief Takes an attempt that ended off the list of those in flight.
void endOutstanding(Target &target, std::uint64_t attempt);

//! @brief Learns the time that a target took, relative to the expected time.
void learnDuration(Target &target, TimePoint now, Duration taken, Duration expected);

//! @brief True if some target of the list accepts requests and is not down.
bool isAvailable(std::span<const TargetPointer> targets, TimePoint now);

//! @brief Learns that the target took a connection.
void learnReachable(Target &target, TimePoint now);

enum class TargetFailure { Failed, Silent, Full, ConnectFailed, Displaced };
void learnFailure(Target &target, TimePoint now, TargetFailure failure);

// Budget of extra arrivals -----------------------------------------------------------------------

//! @brief Limits of the extra arrivals at a service, over all nodes.
struct BudgetLimits
{
    double m_ratio = 0.2;
    double m_slack = 0;
    Duration m_window{10'000'000};
    int m_nodes = 1; //!< Nodes that share the slack.
};

//! @brief Arrivals of this node at one service in a sliding window.
struct ArrivalBudget
{
    static constexpr std::size_t bucketCount = 21; //!< Covers a window and the bucket in progress.

    struct Bucket
    {
        std::int64_t m_number = -1;
        std::uint32_t m_first = 0;
        std::uint32_t m_extra = 0;
    };
    std::array<Bucket, bucketCount> m_buckets{};
};

void countFirstArrival(ArrivalBudget &budget, const BudgetLimits &limits, TimePoint now);
void countExtraArrival(ArrivalBudget &budget, const BudgetLimits &limits, TimePoint now);

//! @brief True if one more extra arrival keeps this node within its part of the limits.
//! @param started when this process started. The extra arrivals of the process before it are not
//! known, so a new process uses half of its part for one window.
bool allowsExtraArrival(const ArrivalBudget &budget, const BudgetLimits &limits, TimePoint now,
                        TimePoint started);

// Records ----------------------------------------------------------------------------------------

inline constexpr std::size_t recordBytes = 16;

//! @brief Returns the greatest records of all parts, greatest first, compared byte by byte. Equal
//! records all count; a remainder shorter than a record is none.
std::string mergeRecords(std::span<const std::string_view> parts, std::size_t count);

// Requests that crash targets --------------------------------------------------------------------

//! @brief Crashes of targets by request, so that a request that crashes targets is stopped.
struct CrashTable
{
    static constexpr int crashLimit = 3;
    static constexpr Duration memory{300'000'000};

    struct Entry
    {
        int m_own = 0;                                 //!< Seen by this node.
        std::unordered_map<std::string, int> m_others; //!< Seen by other nodes, by name.
        TimePoint m_expires;
    };
    std::unordered_map<std::uint64_t, Entry> m_entries; //!< By fingerprint of the request.
};

//! @brief Counts a crash seen by this node. @return the crashes that this node has seen.
int countCrash(CrashTable &table, TimePoint now, std::uint64_t fingerprint);

//! @brief Takes the count of another node; it never falls.
void learnCrashes(CrashTable &table, TimePoint now, std::uint64_t fingerprint,
                  std::string_view node, int crashes);

bool isQuarantined(const CrashTable &table, TimePoint now, std::uint64_t fingerprint);

// Engine -----------------------------------------------------------------------------------------

//! @brief A request of a caller, checked and ready to be passed on.
struct ForwardRequest
{
    std::uint64_t m_caller = 0; //!< Names the exchange; unique, never reused.
    std::string m_requestId;
    std::string m_method;
    std::string m_host;
    std::string m_path; //!< Without the query.
    std::string m_head; //!< Request line and headers, without those that differ by attempt.
    std::string m_body;
    std::optional<Duration> m_timeLeft; //!< How long the caller still waits.
    std::uint64_t m_fingerprint = 0;    //!< Equal for repeats of the same request.
};

using ForwardRequestPointer = std::shared_ptr<const ForwardRequest>;

//! @brief A target's whole response, with the headers that matter already read.
struct TargetReply
{
    int m_status = 0;
    std::string m_body;
    std::string m_receipt;                 //!< Proof that the target ran the request; else empty.
    std::optional<std::string> m_echoedId; //!< Request id as the target repeats it.
    bool m_notExecuted = false;            //!< The target says that it did not run the request.
    HttpHeaders m_headers;                 //!< To be passed back to the caller.
};

//! @brief Order to send a request to a target.
struct ForwardOrder
{
    std::uint64_t m_attempt = 0;
    TargetPointer m_target;
    ForwardRequestPointer m_request;
    Duration m_timeLeft{0};
    bool m_idempotent = true;
};

enum class AnswerKind {
    Relayed,     //!< The reply of a target.
    Merged,      //!< Records of several shards.
    NoRoute,     //!< The configuration has no route for it.
    Refused,     //!< Not run, and never will be.
    Failed,      //!< It may have run; no usable reply.
    TimedOut,    //!< It may have run; the time is over.
    Quarantined, //!< It crashes targets; it is not sent any more.
};

//! @brief The final answer to a caller; exactly one for each request whose caller stays.
struct ForwardAnswer
{
    std::uint64_t m_caller = 0;
    AnswerKind m_kind = AnswerKind::Failed;
    int m_status = 502;
    TargetReply m_reply;                 //!< Relayed only.
    std::vector<std::string> m_receipts; //!< Merged only: of the parts that are in.
    std::size_t m_missingShards = 0;     //!< Merged only.
    std::string m_records;               //!< Merged only.
    std::optional<Duration> m_retryAfter;
    std::string_view m_reason; //!< A constant, for example "no-target".
};

//! @brief One decision on a request, for the log. Views end with the call.
struct ForwardDecision
{
    std::string_view m_event;  //!< For example "retry" or "answer".
    std::string_view m_reason; //!< Why, for example "reset" or "late".
    std::string_view m_requestId;
    std::string_view m_route;
    std::string_view m_service;
    std::string_view m_target;
    std::uint64_t m_version = 0; //!< Of the configuration that holds for the request.
    Duration m_age{0};           //!< Since the request arrived.
    int m_status = 0;            //!< Of the answer or reply; 0 if there is none.
    std::size_t m_missing = 0;   //!< Shards that are not in.
    bool m_ordinary = false;     //!< A success; the log may leave most of these out.
};

//! @brief Where the engine's orders go. Implementations do not call the engine back at once.
class ForwardOutput
{
public:
    ForwardOutput() = default;
    virtual ~ForwardOutput() = default;
    ForwardOutput(const ForwardOutput &) = delete;
    ForwardOutput &operator=(const ForwardOutput &) = delete;

    virtual void send(const ForwardOrder &order) = 0;
    //! @brief Ends an attempt in flight, or rejects the connection of the one whose end is being
    //! reported; no result of it is expected.
    virtual void abandon(std::uint64_t attempt) = 0;
    //! @brief Opens a connection to a target that is down, to see whether it takes one.
    virtual void probe(const TargetPointer &target) = 0;
    virtual void answer(const ForwardAnswer &answer) = 0;
    virtual void record(const ForwardDecision &decision) = 0;
    //! @brief Tells the other nodes how many crashes of targets by a request this node has seen.
    virtual void shareCrashes(std::uint64_t fingerprint, int crashes) = 0;
};

//! @brief Facts about this node that the engine does not find out by itself.
struct ForwardOptions
{
    std::string m_dataCentre;
    BudgetLimits m_budget;
};

struct ForwardStatistics
{
    std::uint64_t m_requests = 0;
    std::array<std::uint64_t, 7> m_answers{}; //!< By AnswerKind.
    std::uint64_t m_successes = 0;
    std::uint64_t m_partial = 0; //!< Successes of searches with shards missing.
    std::uint64_t m_attempts = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_budgetDenied = 0;
    std::uint64_t m_mismatches = 0; //!< Replies that belong to another request.
    std::uint64_t m_callersGone = 0;
    std::uint64_t m_probes = 0;
    std::size_t m_inFlight = 0; //!< Requests without an answer now.
};

//! @brief Serves requests: chooses targets, hedges, retries, merges, refuses.
class ForwardEngine
{
public:
    ForwardEngine(const ForwardOptions &options, TimePoint now, ForwardOutput &output);
    ~ForwardEngine();
    ForwardEngine(const ForwardEngine &) = delete;
    ForwardEngine &operator=(const ForwardEngine &) = delete;

    //! @brief Puts a configuration in force for requests that arrive later. One with a version that
    //! is not above the one in force is refused.
    bool adoptRouting(RoutingTablePointer table);
    const RoutingTablePointer &routing() const;

    //! @brief Targets; changed by the functions on TargetRegistry, then told here.
    TargetRegistry &registry();
    void registryChanged(TimePoint now);

    CrashTable &crashes();

    //! @brief Number of nodes that share limits at the targets.
    void setNodeCount(int nodes);

    void submit(TimePoint now, const ForwardRequestPointer &request);
    void callerGone(TimePoint now, std::uint64_t caller);
    void attemptEnded(TimePoint now, std::uint64_t attempt, ForwardEnd end, TargetReply reply);
    void probeEnded(TimePoint now, const TargetPointer &target, bool connected);

    //! @brief True if no target of another data centre can be reached, and requests were refused
    //! for it just now: callers are served better by nodes elsewhere.
    bool isCutOff(TimePoint now) const;

    //! @brief Does what is due; call at nextTimer and after events.
    void advance(TimePoint now);
    TimePoint nextTimer() const;

    const ForwardStatistics &statistics() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace arbutusgrade
