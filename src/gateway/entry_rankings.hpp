/// The rankings of the entries of the deployment, by which they agree on owners without messages.
///
/// Load pattern: hundreds of entries start within seconds, and each start changes the rankings of every entry. A change of one
/// entry moves that entry in each ranking; only a change of the largest weight has the rankings computed again.
#pragma once

#include "policy/ownership.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberryseam::gateway {

/// An entry and its weight in rankings.
struct ranked_entry {
    std::string_view name;
    double weight = 1;

    bool operator==(const ranked_entry&) const = default;
};

class entry_rankings {
public:
    explicit entry_rankings(std::string ownName)
        : m_ownName(std::move(ownName))
    {
    }

    /// Replaces the set of entries.
    /// @param entries  All entries, including the own one, by name, each once.
    void setEntries(std::span<const ranked_entry> entries);

    /// @return The names in the order of `policy::rankOwners`. Valid until the entries change or another ranking is asked for.
    [[nodiscard]] const std::vector<std::string>& namesFor(std::string_view key);
    /// @return Rank of the own entry; 0 for the first. Takes less memory and time than the names.
    [[nodiscard]] size_t ownRankFor(std::string_view key);

    /// @return How often the place of an entry in a ranking was computed so far.
    [[nodiscard]] uint64_t placeCount() const noexcept { return m_placeCount; }

private:
    struct member {
        uint64_t hash = 0;
        double weight = 1;
    };
    struct ranking {
        uint64_t key = 0;
        std::vector<policy::owner_place> places;
        std::vector<std::string> names;
    };
    struct own_rank {
        uint64_t key = 0;
        policy::owner_place own;
        size_t rank = 0;
    };
    struct text_hash {
        using is_transparent = void;
        [[nodiscard]] size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
    };
    using members = std::map<std::string, member, std::less<>>;

    [[nodiscard]] policy::owner_place placeOf(const member& entry, uint64_t key);
    void add(const std::string& name, const member& entry);
    void remove(const std::string& name, const member& entry);

    std::string m_ownName;
    members m_members;
    double m_largestWeight = 0;
    std::map<std::string, ranking, std::less<>> m_rankings;
    std::unordered_map<std::string, own_rank, text_hash, std::equal_to<>> m_ownRanks;
    uint64_t m_placeCount = 0;
};
}
