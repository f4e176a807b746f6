#include "execution/snapshot_store.hpp"

#include <limits>

namespace bilberryseam::execution {

namespace {
    /// Records at the end of the stream in which the newest snapshot is looked for: two of the largest.
    constexpr uint32_t recordsToRead = 128;
}

snapshot_store::snapshot_store(const settings::platform_settings& platform)
    : m_platform(platform)
    , m_log(platform.log)
{
}

void snapshot_store::load(std::function<void(std::optional<configuration::assembled_snapshot>)> done)
{
    const auto takeRecords = [done](const platform::read_reply& reply) {
        std::vector<std::string> texts;
        for (const platform::stored_record& record : reply.records)
            texts.push_back(record.text);
        done(configuration::assembleSnapshot(texts));
    };
    // The first read only tells where the stream ends.
    m_reading = m_log.read(m_platform.snapshotStream, std::numeric_limits<int64_t>::max(), 1, [this, done, takeRecords](const platform::read_reply& reply) {
        if (!reply.isOk) {
            done(std::nullopt);
            return;
        }
        const uint64_t from = reply.end > recordsToRead ? reply.end - recordsToRead : 0;
        m_reading = m_log.read(m_platform.snapshotStream, from, recordsToRead, takeRecords);
    });
}

void snapshot_store::write(std::string text, uint64_t nextOffset, std::function<void(uint64_t)> done)
{
    load([this, text = std::move(text), nextOffset, done = std::move(done)](std::optional<configuration::assembled_snapshot> newest) {
        if (newest && newest->nextOffset >= nextOffset) {
            done(newest->nextOffset);
            return;
        }
        m_appending = m_log.append(m_platform.snapshotStream, configuration::splitSnapshot(text, nextOffset), [done, nextOffset](const platform::append_reply& reply) {
            done(reply.end == platform::append_end::Appended ? nextOffset : 0);
        });
    });
}
}
