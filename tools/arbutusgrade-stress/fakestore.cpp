#include "fakestore.h"

namespace arbutusgrade::stress {

StoreReply applyStoreCall(FakeStore &store, const CallStore &call)
{
    ++store.m_calls;
    StoreReply reply;
    reply.m_call = call.m_call;
    const std::map<std::string, FakeStore::Entry>::iterator entry =
        store.m_entries.find(call.m_key);
    const bool exists = entry != store.m_entries.end();
    const std::int64_t current = exists ? entry->second.m_revision : 0;
    if (call.m_operation == StoreOperation::Get) {
        reply.m_status = exists ? StoreStatus::Ok : StoreStatus::NotFound;
        reply.m_revision = current;
        reply.m_value = exists ? entry->second.m_value : std::string();
        return reply;
    }
    if (current != call.m_expectedRevision) {
        reply.m_status = StoreStatus::Conflict;
        reply.m_revision = current;
        reply.m_value = exists ? entry->second.m_value : std::string();
        return reply;
    }
    ++store.m_revision;
    store.m_entries[call.m_key] = FakeStore::Entry{call.m_value, store.m_revision};
    reply.m_status = StoreStatus::Ok;
    reply.m_revision = store.m_revision;
    return reply;
}

} // namespace arbutusgrade::stress
