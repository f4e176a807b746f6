/// The state that results from folding the release notes of the log.
#pragma once

#include "configuration/objects.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <unordered_map>

namespace bilberryseam::configuration {

/// An object in force, with its origin.
template <typename Object>
struct versioned {
    /// Shared, so that requests in progress keep the value they started with.
    std::shared_ptr<const Object> value;
    /// Log offset of the note that set the current value.
    uint64_t revision = 0;
    std::string note;
    std::string author;
    /// When the note was appended to the log, in milliseconds since 1970.
    int64_t appendedMs = 0;
};

template <typename Object>
using table = std::map<std::string, versioned<Object>, std::less<>>;

/// The decision on a note.
struct note_verdict {
    uint64_t offset = 0;
    bool isAccepted = false;
    /// Empty if accepted.
    std::string reason;
    /// The conflicting note that took effect first, if any.
    std::string winner;
};

/// Maximum number of stored note verdicts: one day of notes at the design size.
constexpr size_t maxStoredVerdicts = 20000;

/// Everything in force after a prefix of the log.
struct state {
    /// Offset of the next record to apply.
    uint64_t nextOffset = 0;
    /// Set when a note of a newer schema stopped the fold; `nextOffset` is that note's.
    std::string haltReason;
    std::tuple<table<service>, table<target>, table<pipeline>, table<account>, table<model>, table<region_price>, table<policy>> tables;
    std::unordered_map<std::string, note_verdict> verdicts;
    std::deque<std::string> verdictOrder;
    /// Derived: number of targets of each service.
    std::map<std::string, uint32_t, std::less<>> targetCounts;

    template <typename Object>
    [[nodiscard]] const table<Object>& of() const
    {
        return std::get<table<Object>>(tables);
    }

    template <typename Object>
    [[nodiscard]] table<Object>& of()
    {
        return std::get<table<Object>>(tables);
    }

    /// @return The object of that name, or null.
    template <typename Object>
    [[nodiscard]] std::shared_ptr<const Object> find(std::string_view name) const
    {
        const auto position = of<Object>().find(name);
        return position == of<Object>().end() ? nullptr : position->second.value;
    }
};
}
