#include "configuration/snapshot.hpp"

#include "base/hash.hpp"
#include "base/json_schema.hpp"
#include "base/json_text.hpp"
#include "configuration/note.hpp"

namespace bilberryseam::configuration {

namespace {
    using nlohmann::json;

    constexpr uint32_t snapshotVersion = 1;

    template <typename Object>
    json tableToJson(const table<Object>& objects)
    {
        json list = json::array();
        for (const auto& [name, record] : objects)
            list.push_back({ { "value", toJson(*record.value) }, { "revision", record.revision }, { "note", record.note }, { "author", record.author }, { "appendedMs", record.appendedMs } });
        return list;
    }

    template <typename Object>
    void tableFromJson(const json& list, table<Object>& out)
    {
        for (const json& item : list) {
            Object value;
            fromJson(item.at("value"), value);
            const std::string name = nameOf(value);
            out[name] = { std::make_shared<const Object>(std::move(value)), item.at("revision"), item.at("note"), item.at("author"), item.at("appendedMs") };
        }
    }

    json verdictsToJson(const state& current)
    {
        json list = json::array();
        for (const std::string& name : current.verdictOrder) {
            const note_verdict& verdict = current.verdicts.at(name);
            list.push_back(json::array({ name, verdict.offset, verdict.isAccepted, verdict.reason, verdict.winner }));
        }
        return list;
    }

    void verdictsFromJson(const json& list, state& out)
    {
        for (const json& item : list) {
            out.verdictOrder.push_back(item.at(0));
            out.verdicts[item.at(0)] = { item.at(1), item.at(2), item.at(3), item.at(4) };
        }
    }

    json tablesToJson(const state& current)
    {
        json tables;
        const auto add = [&]<typename Object>(const table<Object>& objects) { tables[std::string(listNameOf<Object>())] = tableToJson(objects); };
        std::apply([&](const auto&... each) { (add(each), ...); }, current.tables);
        return tables;
    }

    state stateFromJson(const json& body)
    {
        state out;
        out.nextOffset = body.at("nextOffset");
        const auto read = [&]<typename Object>(table<Object>& objects) { tableFromJson(body.at("tables").at(std::string(listNameOf<Object>())), objects); };
        std::apply([&](auto&... each) { (read(each), ...); }, out.tables);
        verdictsFromJson(body.at("verdicts"), out);
        for (const auto& [name, record] : out.of<target>())
            ++out.targetCounts[record.value->service];
        return out;
    }
}

std::string writeSnapshot(const state& current)
{
    const json body { { "nextOffset", current.nextOffset }, { "tables", tablesToJson(current) }, { "verdicts", verdictsToJson(current) } };
    const std::string text = body.dump();
    return json { { "version", snapshotVersion }, { "hash", hashOf(text) }, { "body", text } }.dump();
}

result<state> readSnapshot(std::string_view text)
{
    const result<json> document = parseJson(text, "snapshot", error_kind::InvalidMessage);
    if (!document)
        return document.error();
    try {
        if (document.value().at("version").get<uint32_t>() > snapshotVersion)
            return error(error_kind::UnsupportedVersion, "The snapshot is of a newer release.", "Upgrade this daemon.", "snapshot");
        const std::string body = document.value().at("body");
        if (hashOf(body) != document.value().at("hash").get<uint64_t>())
            return error(error_kind::InvalidMessage, "The snapshot's hash is wrong.", "Take another snapshot or a peer's state.", "snapshot");
        return stateFromJson(json::parse(body));
    } catch (const json::exception& problem) {
        return error(error_kind::InvalidMessage, "The snapshot is malformed.", "Take another snapshot or a peer's state.", "snapshot");
    } catch (const error& problem) {
        return problem;
    }
}

std::vector<std::string> splitSnapshot(std::string_view text, uint64_t nextOffset)
{
    const size_t parts = (text.size() + snapshotPartBytes - 1) / snapshotPartBytes;
    std::vector<std::string> records;
    for (size_t part = 0; part < parts; ++part) {
        const std::string_view chunk = text.substr(part * snapshotPartBytes, snapshotPartBytes);
        records.push_back(dumpText(json { { "snapshot", hashOf(text) }, { "nextOffset", nextOffset }, { "part", part }, { "parts", parts }, { "text", chunk } }));
    }
    return records;
}

std::optional<assembled_snapshot> assembleSnapshot(std::span<const std::string> records)
{
    struct partial_snapshot {
        uint64_t nextOffset = 0;
        std::map<size_t, std::string> parts;
        size_t expectedParts = 0;
    };
    std::map<uint64_t, partial_snapshot> partials;
    std::optional<assembled_snapshot> newest;
    for (const std::string& record : records) {
        try {
            const json document = json::parse(record);
            partial_snapshot& partial = partials[document.at("snapshot").get<uint64_t>()];
            partial.nextOffset = document.at("nextOffset");
            partial.expectedParts = document.at("parts");
            partial.parts[document.at("part").get<size_t>()] = document.at("text");
        } catch (const json::exception&) {
            continue;
        }
    }
    for (const auto& [hash, partial] : partials) {
        const bool isNewer = !newest || partial.nextOffset > newest->nextOffset;
        if (partial.parts.size() != partial.expectedParts || !isNewer)
            continue;
        newest = assembled_snapshot { partial.nextOffset, "" };
        for (const auto& [part, text] : partial.parts)
            newest->text += text;
    }
    return newest;
}
}
