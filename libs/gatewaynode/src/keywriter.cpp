#include "details/keywriter.h"

#include <utility>

namespace arbutusgrade {

namespace {

constexpr int maximumTries = 4;

} // namespace

void KeyWriter::write(const std::string &key, const std::string &value, const std::string &lease,
                      Handler handler)
{
    send(Write{key, value, lease, std::move(handler), maximumTries});
}

void KeyWriter::storeEraChanged()
{
    m_revisions.clear();
}

void KeyWriter::send(Write write)
{
    --write.m_triesLeft;
    const std::uint64_t expected = expectedRevision(write.m_key);
    m_store.write(write.m_key, write.m_value, write.m_lease, expected,
                  [weak = weak_from_this(), write](const MetadataResult &result) {
                      if (const std::shared_ptr<KeyWriter> self = weak.lock()) {
                          self->finish(write, result);
                      }
                  });
}

void KeyWriter::finish(Write write, const MetadataResult &result)
{
    const bool isConflict = result.m_status == MetadataStatus::Conflict;
    if (isConflict || result.m_status == MetadataStatus::Ok) {
        if (m_revisions.size() >= maximumRevisions && !m_revisions.contains(write.m_key)) {
            m_revisions.clear();
        }
        m_revisions[write.m_key] = result.m_revision;
    }
    if (isConflict && write.m_triesLeft > 0) {
        send(std::move(write));
        return;
    }
    write.m_handler(result);
}

std::uint64_t KeyWriter::expectedRevision(const std::string &key) const
{
    const std::unordered_map<std::string, std::uint64_t>::const_iterator found =
        m_revisions.find(key);
    return found != m_revisions.end() ? found->second : 0;
}

} // namespace arbutusgrade
