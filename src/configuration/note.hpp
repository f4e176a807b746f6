/// Release notes: the objects that an operator adds, changes and withdraws.
#pragma once

#include "base/result.hpp"
#include "configuration/objects.hpp"

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace bilberryseam::configuration {

/// Newest note schema that this release supports.
constexpr uint32_t supportedNoteSchema = 1;

/// Maximum size of a release note, in bytes.
constexpr size_t maxNoteBytes = 1024 * 1024;

/// An added or changed object of a note.
template <typename Object>
struct proposal {
    Object value;
    /// Revision that the change is based on; must be the one in force. Unused for added objects.
    uint64_t basedOn = 0;
};

/// An object to withdraw.
struct withdrawal {
    std::string name;
    uint64_t basedOn = 0;
};

/// Edits of all objects of one type.
template <typename Object>
struct edits {
    std::vector<proposal<Object>> added;
    std::vector<proposal<Object>> changed;
    std::vector<withdrawal> withdrawn;
};

/// A release note that passed schema validation.
struct note {
    uint32_t schema = supportedNoteSchema;
    std::string name;
    std::string author;
    bool allowsEmptyStages = false;
    std::tuple<edits<service>, edits<target>, edits<pipeline>, edits<account>, edits<model>, edits<region_price>, edits<policy>> objects;

    template <typename Object>
    [[nodiscard]] const edits<Object>& of() const
    {
        return std::get<edits<Object>>(objects);
    }
};

/// @param text  The note's JSON text.
/// @param name  Name of the document, for errors.
/// @return The note, or `InvalidNote`, `LimitExceeded`, or `UnsupportedVersion` for a newer schema.
[[nodiscard]] result<note> parseNote(std::string_view text, std::string_view name = "note");

/// @return The key of an object type's list in a note.
template <typename Object>
[[nodiscard]] constexpr std::string_view listNameOf()
{
    if constexpr (std::is_same_v<Object, service>)
        return "services";
    else if constexpr (std::is_same_v<Object, target>)
        return "targets";
    else if constexpr (std::is_same_v<Object, pipeline>)
        return "pipelines";
    else if constexpr (std::is_same_v<Object, account>)
        return "accounts";
    else if constexpr (std::is_same_v<Object, model>)
        return "models";
    else if constexpr (std::is_same_v<Object, region_price>)
        return "prices";
    else
        return "policies";
}
}
