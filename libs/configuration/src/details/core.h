#pragma once

#include "configuration/configuration.h"

//! @brief Steps shared by adoption and writes.
namespace arbutusgrade::configurationdetails {

//! @brief Parses the settings of one site; the overlay may be absent.
Checked<Settings> parseSite(const ConfigurationCore &core, const std::string &base,
                            const std::map<std::string, std::string> &overlays,
                            const std::string &site);

//! @brief Puts the document in force if its revision is higher and it passes the checks.
bool adoptDocument(ConfigurationCore &core, std::int64_t revision, const std::string &text,
                   ConfigurationActions &actions);

//! @brief Takes a document that the store holds: adopts it, or raises an alarm if it is older.
void takeStoreDocument(ConfigurationCore &core, TimePoint now, std::int64_t revision,
                       const std::string &text, ConfigurationActions &actions);

//! @brief Takes the answer of the store that it holds no document.
void takeStoreNone(ConfigurationCore &core, TimePoint now, ConfigurationActions &actions);

void raiseAlarm(ConfigurationCore &core, ConfigurationAlarmKind kind, const std::string &detail,
                ConfigurationActions &actions);

//! @brief Emits a store call, counts it and returns its number.
std::uint64_t callStore(ConfigurationCore &core, TimePoint now, CallConfigurationStore call,
                        ConfigurationActions &actions);

//! @brief Time before the next try after a number of failures in a row, with jitter.
Duration retryDelay(RandomGenerator &random, int failures, Duration longest);

//! @brief Takes a reply that belongs to a write or a look-up.
void handleWriteReply(ConfigurationCore &core, TimePoint now, const ConfigurationStoreReply &reply,
                      ConfigurationActions &actions);

//! @brief Runs the timers of writes.
void advanceWrites(ConfigurationCore &core, TimePoint now, ConfigurationActions &actions);

} // namespace arbutusgrade::configurationdetails
