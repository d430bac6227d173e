#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"
#include "settings/settings.h"

//! @brief Spreading and change of the configuration document as a deterministic core.
//!
//! Events in, actions out; no input or output and no clock. Functions are called from one thread.
namespace arbutusgrade {

//! @brief Key of the document in the store.
inline constexpr std::string_view configurationKey = "configuration";

//! @brief Largest value that the store takes.
inline constexpr std::size_t configurationLimitBytes = 1'000'000;

//! @brief Changes kept in the document; a lost reply can be settled while so many follow at most.
inline constexpr std::size_t configurationHistoryLimit = 16;

//! @brief One accepted change.
//!
//! A writer does not know the revision that the store will give to its write. The stored entry
//! therefore names the revision that it replaced. The revision of the newest entry is that of the
//! document, and that of any other entry is the one that the next newer entry replaced.
struct ConfigurationChange
{
    std::int64_t m_replaced = 0;
    std::int64_t m_revision = 0; //!< Resolved when the document is read; not stored.
    std::string m_changeId;
    std::string m_author;
    std::string m_timestamp;
    std::string m_summary;
};

//! @brief The document as operators wrote it.
struct ConfigurationDocument
{
    std::string m_changeId;
    std::string m_author;
    std::string m_timestamp;
    std::string m_base;
    std::map<std::string, std::string> m_overlays; //!< YAML by site.
    std::vector<std::string> m_draining; //!< Targets drained by operators, over what the YAML says.
    std::vector<ConfigurationChange> m_changes; //!< Newest first.
};

//! @brief Reads the JSON text of a document that the store holds under the revision.
Checked<ConfigurationDocument> parseConfigurationDocument(std::string_view text,
                                                          std::int64_t revision);

//! @brief Writes the JSON text of a document.
std::string formatConfigurationDocument(const ConfigurationDocument &document);

//! @brief Lines in which two documents differ, by file, with "-" and "+" as in diff. Bounded.
std::string describeDifference(const ConfigurationDocument &from, const ConfigurationDocument &to);

//! @brief The entry of a change id, or null if the document does not hold it.
const ConfigurationChange *findChange(const ConfigurationDocument &document,
                                      std::string_view changeId);

//! @brief Replaces parseSettings in runs that need no real settings.
using SettingsParser =
    std::function<Checked<Settings>(const SettingsSource &base, const SettingsSource &overlay)>;

//! @brief Faults in single decisions, for proving that runs notice them. None in production.
enum class ConfigurationMutant {
    None,
    AdoptAnyRevision,
    LostReplyMeansFailure,
    ViewArbitrates,
    ReadyOnRevisionZero,
};

struct ConfigurationOptions
{
    std::string m_node;
    std::string m_dataCentre; //!< Site whose overlay is applied.
    std::uint64_t m_seed = 1;
    std::string m_baseText; //!< File given on the command line; in force only as revision 0.
    std::string m_overlayText;
    SettingsParser m_parse = parseSettings;
    ConfigurationMutant m_mutant = ConfigurationMutant::None;
    int m_watchers = 2;                  //!< Nodes that watch the store, by data centre.
    Duration m_watchWait{4'000'000};     //!< Shorter than m_silenceLimit, so it is not missed.
    Duration m_silenceLimit{10'000'000}; //!< Without news of the store, a node polls itself.
    Duration m_pollSpacing{500'000};     //!< Mean time between polls of a data centre.
    Duration m_callTimeout{2'000'000};   //!< For one store call, beyond the wait of a watch.
    Duration m_pullTimeout{2'000'000};   //!< For one pull from a peer.
    Duration m_bootPeerGrace{1'000'000}; //!< Wait for a peer once the store answered.
    Duration m_writeTimeout{8'000'000};  //!< After it, an unsettled write is unknown.
    Duration m_pauseLimit{2'000'000};    //!< A longer gap between calls is a pause.
    double m_storeCallsPerSecond = 1.0;  //!< Bound for reads and watches of this node.
    double m_storeCallBurst = 5.0;
};

enum class ConfigurationCallKind { Read, Watch, CompareAndSwap };

//! @brief Call the store on the configuration key.
struct CallConfigurationStore
{
    std::uint64_t m_call = 0;
    ConfigurationCallKind m_kind = ConfigurationCallKind::Read;
    std::string m_value;         //!< CompareAndSwap.
    std::int64_t m_revision = 0; //!< CompareAndSwap: expected; Watch: answer when higher.
    Duration m_wait{0};          //!< Watch.
    TimePoint m_deadline;
};

enum class ConfigurationCallStatus {
    Ok,
    NotFound,
    Unchanged,   //!< Watch: nothing newer within the wait.
    Conflict,    //!< CompareAndSwap: value and revision are the current ones.
    NotSent,     //!< No byte reached the store.
    Unavailable, //!< Lost, late or refused; a write may have taken effect.
};

struct ConfigurationStoreReply
{
    std::uint64_t m_call = 0;
    ConfigurationCallStatus m_status = ConfigurationCallStatus::Unavailable;
    std::string m_value;
    std::int64_t m_revision = 0; //!< Unchanged: the current revision, or -1 if not told.
};

//! @brief Pull the document from a peer over TCP; answered by handleConfigurationPull.
struct PullConfiguration
{
    std::uint64_t m_pull = 0;
    std::string m_peer;
};

//! @brief Put a revision in force.
struct PutSettingsInForce
{
    std::int64_t m_revision = 0;
    std::shared_ptr<const Settings> m_settings;
};

enum class ConfigurationAlarmKind { StoreOlder, StoreDiffers, DocumentInvalid, FilesInvalid };

std::string_view configurationAlarmName(ConfigurationAlarmKind kind) noexcept;

//! @brief Tell the operators; raised once for each cause until it is over.
struct RaiseConfigurationAlarm
{
    ConfigurationAlarmKind m_kind = ConfigurationAlarmKind::StoreOlder;
    std::string m_detail;
};

//! @brief A change that an operator asks for.
struct ConfigurationWrite
{
    std::uint64_t m_request = 0; //!< Handle of the shell.
    std::string m_changeId;
    std::string m_author;
    std::string m_timestamp;
    std::string m_summary;
    std::int64_t m_expectedRevision = 0;
    std::string m_base;
    std::map<std::string, std::string> m_overlays;
    std::optional<std::vector<std::string>>
        m_draining; //!< Kept from the replaced document if not set.
};

enum class WriteResult {
    Accepted,
    Conflict,
    Invalid,
    NotApplied, //!< The store could not be used, and nothing was written.
    Unknown,    //!< The write may have taken effect, and the store does not tell.
};

//! @brief Answer to a write; exactly one for each.
struct AnswerWrite
{
    std::uint64_t m_request = 0;
    WriteResult m_result = WriteResult::Unknown;
    std::int64_t m_revision = 0; //!< Accepted: of the change; Conflict: the current one.
    std::string m_changeId;      //!< Conflict: of the change that came first.
    std::string m_author;
    std::string m_difference;
    std::vector<Finding> m_findings;
    std::string m_error;
};

enum class ChangeState { Accepted, Absent, Unknown };

//! @brief Answer to a look-up of a change id; exactly one for each.
struct AnswerChange
{
    std::uint64_t m_request = 0;
    ChangeState m_state = ChangeState::Unknown;
    std::int64_t m_revision = 0;
};

using ConfigurationAction =
    std::variant<CallConfigurationStore, PullConfiguration, PutSettingsInForce,
                 RaiseConfigurationAlarm, AnswerWrite, AnswerChange>;
using ConfigurationActions = std::vector<ConfigurationAction>;

//! @brief A node as membership sees it.
struct ConfigurationMember
{
    std::string m_name;
    std::string m_dataCentre;
};

//! @brief Counts since start, exported as metrics.
struct ConfigurationStatistics
{
    std::uint64_t m_reads = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_pulls = 0;
    std::uint64_t m_adopted = 0;
    std::uint64_t m_alarms = 0;
};

//! @brief State of a write between its start and its answer; private to the library.
struct PendingWrite
{
    ConfigurationWrite m_write;
    std::string m_text;       //!< What was sent; the same on each try.
    bool m_sent = false;      //!< A compare-and-swap left, and its effect is not known.
    bool m_reading = false;   //!< The call in flight is a read.
    std::uint64_t m_call = 0; //!< 0: waits for the next try.
    int m_tries = 0;
    TimePoint m_retryAt = farFuture;
    TimePoint m_deadline;
};

//! @brief State of a look-up of a change id; private to the library.
struct LookUp
{
    std::uint64_t m_request = 0;
    std::string m_changeId;
    TimePoint m_deadline;
};

//! @brief State of the configuration at one node. Read only, except through the functions below.
struct ConfigurationCore
{
    ConfigurationOptions m_options;
    RandomGenerator m_random;
    InvariantCounters m_invariants;
    ConfigurationStatistics m_statistics;

    bool m_ready = false;
    std::int64_t m_revision = 0;         //!< In force; 0 before any and for the files.
    std::string m_text;                  //!< Document in force; empty at revision 0.
    ConfigurationDocument m_document;    //!< As m_text; the files at revision 0.
    std::int64_t m_rejectedRevision = 0; //!< Newest revision that did not pass the checks.
    std::optional<TimePoint>
        m_storeContact; //!< Newest answer of the store known in the data centre.
    bool m_storeSaidNone = false;
    std::optional<TimePoint> m_storeAnswered; //!< First answer of the store to this node.
    std::string m_bootText; //!< Answer of the store that waits for a peer's answer.
    std::int64_t m_bootRevision = 0;
    bool m_peerAnswered = false;

    std::vector<ConfigurationMember> m_members; //!< Live members, without this node.
    bool m_watcher = false;
    std::uint64_t m_watchCall = 0; //!< 0: none waiting.
    std::uint64_t m_readCall = 0;
    TimePoint m_callDeadline = farFuture;
    TimePoint m_nextCall{};   //!< Earliest next watch or read.
    bool m_readFirst = false; //!< A watcher reads before it watches again.
    int m_failures = 0;       //!< Of the store in a row.
    std::uint64_t m_pullCall = 0;
    TimePoint m_pullDeadline = farFuture;
    TimePoint m_nextBootPull{};

    double m_tokens = 0.0;
    TimePoint m_tokensAt{};
    TimePoint m_lastAdvance{};
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, PendingWrite> m_writes; //!< By request.
    std::map<std::uint64_t, LookUp> m_lookUps;      //!< By call.
    TimePoint m_answerBy = farFuture;               //!< Writes and look-ups are answered by then.
    std::map<ConfigurationAlarmKind, std::string> m_alarms; //!< Raised and not over.
};

//! @brief Starts the boot of a node; the first advanceTime makes the first calls.
ConfigurationCore createConfigurationCore(TimePoint now, const ConfigurationOptions &options);

//! @brief Takes the live members of all data centres; chooses the watchers.
void updateMembers(ConfigurationCore &core, TimePoint now,
                   const std::vector<ConfigurationMember> &members, ConfigurationActions &actions);

//! @brief Takes the revision that a live peer has in force, as its messages state it.
void observePeerRevision(ConfigurationCore &core, TimePoint now, std::string_view peer,
                         std::int64_t revision, ConfigurationActions &actions);

//! @brief Takes the age of the last answer of the store as told by a node of the data centre.
void observeStoreContact(ConfigurationCore &core, TimePoint now, Duration age);

//! @brief Takes the answer to a PullConfiguration; empty text with revision 0 where a peer has no
//! document, none if the peer did not answer.
void handleConfigurationPull(ConfigurationCore &core, TimePoint now, std::uint64_t pull,
                             std::optional<std::int64_t> revision, std::string_view text,
                             ConfigurationActions &actions);

//! @brief Takes the result of a store call.
void handleStoreReply(ConfigurationCore &core, TimePoint now, const ConfigurationStoreReply &reply,
                      ConfigurationActions &actions);

//! @brief Answers all writes and look-ups by this time, because the process ends after it. What is
//! not settled by then is unknown.
void limitAnswers(ConfigurationCore &core, TimePoint answerBy);

//! @brief Starts a write; answered by exactly one AnswerWrite, possibly at once.
void submitWrite(ConfigurationCore &core, TimePoint now, const ConfigurationWrite &write,
                 ConfigurationActions &actions);

//! @brief Looks up a change id; answered by exactly one AnswerChange, possibly at once.
void lookUpChange(ConfigurationCore &core, TimePoint now, std::uint64_t request,
                  std::string_view changeId, ConfigurationActions &actions);

//! @brief Runs all timers that are due. Detects pauses by the gap since the last call.
void advanceTime(ConfigurationCore &core, TimePoint now, ConfigurationActions &actions);

//! @brief Time of the next timer, or farFuture.
TimePoint nextWakeUp(const ConfigurationCore &core);

//! @brief Why the node is not ready; empty if it is.
std::string readinessReason(const ConfigurationCore &core);

} // namespace arbutusgrade
