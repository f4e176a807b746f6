#include "configuration/note.hpp"

#include "base/json_schema.hpp"
#include "configuration/note_schema.hpp"

#include <set>

namespace bilberryseam::configuration {

namespace {
    using nlohmann::json;

    const json& listOf(const json& document, const char* section, std::string_view list)
    {
        static const json empty = json::array();
        const auto sectionPosition = document.find(section);
        if (sectionPosition == document.end())
            return empty;
        const auto listPosition = sectionPosition->find(std::string(list));
        return listPosition == sectionPosition->end() ? empty : *listPosition;
    }

    template <typename Object>
    std::vector<proposal<Object>> readProposals(const json& list)
    {
        std::vector<proposal<Object>> proposals;
        for (const json& item : list) {
            proposal<Object>& out = proposals.emplace_back();
            fromJson(item, out.value);
            out.basedOn = item.value("basedOn", uint64_t(0));
        }
        return proposals;
    }

    /// Rejects two edits of one object in one note.
    void requireUniqueName(std::set<std::string>& names, const std::string& name, std::string_view list)
    {
        if (!names.insert(name).second)
            throw error(error_kind::InvalidNote, "\"" + name + "\" is named twice.", "Name each object once in a note.", list);
    }

    template <typename Object>
    void readEdits(const json& document, edits<Object>& out)
    {
        constexpr std::string_view list = listNameOf<Object>();
        out.added = readProposals<Object>(listOf(document, "added", list));
        out.changed = readProposals<Object>(listOf(document, "changed", list));
        for (const json& item : listOf(document, "withdrawn", list))
            out.withdrawn.push_back({ item.at("name"), item.at("basedOn") });
        std::set<std::string> names;
        for (const auto& item : out.added)
            requireUniqueName(names, nameOf(item.value), list);
        for (const auto& item : out.changed)
            requireUniqueName(names, nameOf(item.value), list);
        for (const withdrawal& item : out.withdrawn)
            requireUniqueName(names, item.name, list);
    }

    bool isNewerSchema(const json& document)
    {
        const auto schema = document.is_object() ? document.find("schema") : document.end();
        return schema != document.end() && schema->is_number_unsigned() && schema->get<uint64_t>() > supportedNoteSchema;
    }

    note readNote(const json& document)
    {
        note out;
        out.schema = document.at("schema");
        out.name = document.at("note");
        out.author = document.value("author", "");
        out.allowsEmptyStages = document.value("allowEmptyStages", false);
        std::apply([&](auto&... each) { (readEdits(document, each), ...); }, out.objects);
        return out;
    }
}

result<note> parseNote(std::string_view text, std::string_view name)
{
    static const json_schema schema(detail::noteSchema);
    if (text.size() > maxNoteBytes)
        return error(error_kind::LimitExceeded, "The note is larger than 1 MiB.", "Split it into several notes.", name);
    const result<json> document = parseJson(text, name, error_kind::InvalidNote);
    if (!document)
        return document.error();
    if (isNewerSchema(document.value()))
        return error(error_kind::UnsupportedVersion, "The note has a newer schema than this release reads.", "Upgrade every daemon, then continue.", name);
    if (const result<void> checked = schema.validate(document.value(), name, error_kind::InvalidNote); !checked)
        return checked.error();
    try {
        return readNote(document.value());
    } catch (const error& problem) {
        return error(error_kind::InvalidNote, problem.what(), "", name);
    } catch (const json::exception&) {
        return error(error_kind::InvalidNote, "A value is out of range.", "See docs/CONFIGURATION.md for the range of each key.", name);
    }
}
}
