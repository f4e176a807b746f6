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
        const auto found = document.find(section);
        if (found == document.end())
            return empty;
        const auto inner = found->find(std::string(list));
        return inner == found->end() ? empty : *inner;
    }

    template <typename Object>
    std::vector<proposal<Object>> readProposals(const json& list)
    {
        std::vector<proposal<Object>> proposals;
        for (const json& item : list) {
            proposal<Object>& made = proposals.emplace_back();
            fromJson(item, made.value);
            made.basedOn = item.value("basedOn", uint64_t(0));
        }
        return proposals;
    }

    /// Refuses two edits of one object in one note.
    void claimName(std::set<std::string>& names, const std::string& name, std::string_view list)
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
            claimName(names, nameOf(item.value), list);
        for (const auto& item : out.changed)
            claimName(names, nameOf(item.value), list);
        for (const withdrawal& item : out.withdrawn)
            claimName(names, item.name, list);
    }

    bool isNewerSchema(const json& document)
    {
        const auto schema = document.is_object() ? document.find("schema") : document.end();
        return schema != document.end() && schema->is_number_unsigned() && schema->get<uint64_t>() > supportedNoteSchema;
    }

    note readNote(const json& document)
    {
        note made;
        made.schema = document.at("schema");
        made.name = document.at("note");
        made.author = document.value("author", "");
        made.allowsEmptyStages = document.value("allowEmptyStages", false);
        std::apply([&](auto&... each) { (readEdits(document, each), ...); }, made.objects);
        return made;
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
