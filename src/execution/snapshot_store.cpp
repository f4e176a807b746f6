#include "execution/snapshot_store.hpp"

#include <algorithm>

namespace bilberryseam::execution {

namespace {
    /// Number of records at the end of the stream that are searched for the newest snapshot: enough for two of the
    /// largest size.
    constexpr uint32_t recordsToRead = 128;
}

snapshot_store::snapshot_store(const settings::platform_settings& platform)
    : m_platform(platform)
    , m_log(platform.log)
{
}

void snapshot_store::load(std::function<void(std::optional<configuration::assembled_snapshot>)> done)
{
    // The first read only determines the end of the stream.
    m_readHandle = m_log.read(m_platform.snapshotStream, 0, [this, done = std::move(done)](const platform::stream_read_result& result) {
        if (!result.isOk) {
            done(std::nullopt);
            return;
        }
        const uint64_t from = result.nextOffset > recordsToRead ? result.nextOffset - recordsToRead : 0;
        collect(std::max(result.oldestOffset, from), {}, done);
    });
}

void snapshot_store::collect(uint64_t from, std::vector<std::string> texts, std::function<void(std::optional<configuration::assembled_snapshot>)> done)
{
    m_readHandle = m_log.read(m_platform.snapshotStream, from, [this, from, texts = std::move(texts), done = std::move(done)](const platform::stream_read_result& result) mutable {
        if (!result.isOk) {
            done(std::nullopt);
            return;
        }
        for (const platform::stream_record& record : result.records)
            texts.push_back(record.text);
        const uint64_t next = std::max(from, result.oldestOffset) + result.records.size();
        if (result.records.empty() || next >= result.nextOffset)
            done(configuration::assembleSnapshot(texts));
        else
            collect(next, std::move(texts), std::move(done));
    });
}

void snapshot_store::write(std::string text, uint64_t nextOffset, std::function<void(uint64_t)> done)
{
    load([this, text = std::move(text), nextOffset, done = std::move(done)](std::optional<configuration::assembled_snapshot> existingSnapshot) {
        if (existingSnapshot && existingSnapshot->nextOffset >= nextOffset) {
            done(existingSnapshot->nextOffset);
            return;
        }
        m_appendHandle = m_log.append(m_platform.snapshotStream, configuration::splitSnapshot(text, nextOffset), [done, nextOffset](const platform::append_result& result) {
            done(result.outcome == platform::append_outcome::Appended ? nextOffset : 0);
        });
    });
}
}
