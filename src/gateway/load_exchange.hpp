/// Exchange of the load at targets between entries: reports to a collector of the own region, and sums from it.
#pragma once

#include "gateway/target_registry.hpp"
#include "policy/placement.hpp"
#include "policy/target_load.hpp"
#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bilberryseam::gateway {

/// Reports the own load, keeps the sums of all entries, and collects the reports of other entries if they choose this one.
class load_exchange {
public:
    struct callbacks {
        /// Sends a message to another entry; returns false if there is no connection.
        std::function<bool(std::string_view entry, wire::message message)> send;
        /// Collectors of the own region, preferred one first.
        std::function<std::vector<std::string>()> collectors;
        /// Collectors of all regions without this entry; empty if this entry is not a collector.
        std::function<std::vector<std::string>()> otherCollectors;
    };

    /// @param usesTrends  Sums are not used while they change faster than requests can arrive and end.
    load_exchange(metrics& counters, const target_registry& targets, std::string name, bool usesTrends, callbacks callbacks);

    void tick(time_point now);
    /// @param from  Name of the entry to which this one is connected, if the message came from there.
    /// @return False if the message is not about load.
    bool handle(const wire::message& message, std::string_view from, const std::function<void(wire::message)>& reply, time_point now);

    /// @return Whether the load of all entries at a service is known and consistent; if not, targets are chosen by the own calls.
    [[nodiscard]] bool isUsable(std::string_view service, time_point now) const noexcept;
    /// @return The loads of targets of one service by all entries, as far as they are known.
    [[nodiscard]] std::vector<policy::target_load> loadsOf(std::string_view service, std::span<const target_ptr> targets, time_point now) const;
    /// @return Tokens of the requests that a target holds: those of all entries, or the own ones if the others are not known.
    [[nodiscard]] uint64_t heldTokensOf(const target_state& target, uint64_t memoryTokens, time_point now);
    /// @return The share of the own sends to a service that have a prefix.
    [[nodiscard]] double prefixShare(std::string_view service, uint64_t prefixHash, time_point now) const noexcept;
    [[nodiscard]] microseconds figureAge(time_point now) const noexcept { return now - m_view.takenAt; }
    /// @return Estimate of the requests that other entries have sent to a service since the figures were taken.
    [[nodiscard]] double unseenSends(std::string_view service, time_point now) const noexcept;
    /// Counts a request that is sent, and logs it if the target was chosen by its load.
    /// @param prefixHash  Hash of the shared segments; zero if there are none.
    void recordSend(const std::string& service, uint64_t prefixHash, const std::string& request, const target_state& target, const std::optional<policy::load_choice>& choice, time_point now);
    [[nodiscard]] uint64_t ownHash() const noexcept { return m_ownHash; }

private:
    struct sent_report {
        uint64_t sequence = 0;
        std::vector<policy::load_figures> items;
    };
    /// An entry that reports to this one.
    struct reporter {
        std::function<void(wire::message)> reply;
        uint64_t sequence = 0;
        time_point reportedAt {};
        time_point answeredAt {};
        /// Its last report has no response yet.
        bool isUnanswered = false;
    };
    struct collector_state {
        /// First report that it has not responded to.
        time_point waitingSince {};
        /// It did not respond, and gets only empty reports before it does.
        bool isSilent = false;
        time_point probedAt {};
    };
    struct send_rate {
        double weight = 0;
        time_point updatedAt {};
    };
    /// What is known of a service beyond the last sum.
    struct service_state {
        send_rate rate;
        policy::recent_sends sends;
        policy::load_trend trend;
        /// The sums of the service were found consistent.
        bool isConsistent = false;
        bool isReported = false;
    };

    [[nodiscard]] std::vector<policy::load_figures> ownFigures(time_point now) const;
    [[nodiscard]] policy::load_figures figuresOf(const target_state& target, time_point now) const noexcept;
    void report(time_point now);
    /// Takes a report to the first collector that responds.
    /// @return Name of that collector; empty if there is none.
    [[nodiscard]] std::string sendReport(const sent_report& report, time_point now);
    /// Sends the sum to the entries whose report has no response yet, and to those that have nothing to report.
    void respond(time_point now);
    /// Sends the sum of the reports that came here to the other collectors.
    void publish(time_point now);
    void takeSummary(std::string_view collector, uint64_t sequence, const policy::received_load& sum, time_point now);
    void handleReport(const wire::load_report& report, const std::function<void(wire::message)>& reply, time_point now);
    void handleSummary(const wire::load_summary& summary, std::string_view from, time_point now);
    [[nodiscard]] std::vector<policy::load_figures> fromWire(const std::vector<wire::load_item>& items, uint64_t sender);
    void setCollector(const std::string& collector);
    void checkAge(time_point now);
    /// Records a sum for each service, and reports services whose sums became consistent or inconsistent.
    void updateTrends(const policy::received_load& sum, time_point now);
    /// @return Own sends to the service in a second.
    [[nodiscard]] static double rateOf(const send_rate& rate, time_point now) noexcept;

    metrics& m_counters;
    const target_registry& m_targets;
    std::string m_name;
    uint64_t m_ownHash;
    bool m_usesTrends;
    callbacks m_callbacks;
    /// The last reports, newest last: a sum names the one that it contains.
    std::deque<sent_report> m_sentReports;
    uint64_t m_nextSequence;
    time_point m_reportedAt {};
    time_point m_nextReportAt {};
    /// Entry to which the last report went.
    std::string m_collector;
    std::map<std::string, collector_state, std::less<>> m_collectors;
    policy::collected_load m_collected;
    std::map<uint64_t, reporter> m_reporters;
    policy::load_view m_view;
    std::map<std::string, service_state, std::less<>> m_services;
    bool m_wasUsable = false;
    bool m_areBoundsReported = false;
    bool m_isMemoryReported = false;
};
}
