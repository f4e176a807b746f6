/// Links of an entry to the sides: known targets, their load, and the attempts in flight.
#pragma once

#include "configuration/state.hpp"
#include "entry/attempt.hpp"
#include "policy/routing.hpp"
#include "telemetry/metrics.hpp"
#include "wire/session.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace bilberryseam::entry {

/// Configuration and observed state of a target.
struct known_target {
    std::shared_ptr<const configuration::target> config;
    /// Stable hash of the target's name.
    uint64_t hash = 0;
    wire::target_load load;
    uint32_t inFlight = 0;
    bool isRemoved = false;
    bool isInstanceLeaving = false;
    /// Whether the side at the configured address has reported the target's load.
    bool hasLoadReport = false;
    /// Moving average of the run time of this entry's calls at the target, in seconds; zero before the first.
    double meanRunSeconds = 0;
    time_point lastRunAt {};
};

/// Owns the sessions with all sides and the attempts sent over them.
class side_links {
public:
    struct callbacks {
        std::function<void(identifier peer)> onPeerAttached;
        /// The peer lost the session, or its link was removed.
        std::function<void(identifier peer)> onPeerLost;
        /// A message other than an attempt event or a target load.
        std::function<void(identifier peer, wire::message&)> onOtherMessage;
        /// The load or the availability of a target changed.
        std::function<void()> onCapacityChanged;
    };

    side_links(std::string ownName, metrics& metrics, callbacks callbacks);
    ~side_links();

    /// Connects to the sides of all configured targets and removes links to sides without targets.
    void applyConfiguration(const configuration::state& state);

    /// Sets the instances that the platform reports as leaving; their targets get no new calls.
    void setLeavingInstances(const std::set<std::string, std::less<>>& leaving);

    /// @return The targets of a service, ordered by name.
    [[nodiscard]] std::span<known_target* const> targetsOf(std::string_view service) const;

    /// @return Whether a call may be dispatched to the target now.
    [[nodiscard]] bool isUsable(const known_target& target) const;

    /// @return Whether the service has a target that is unusable only because its link is down and does not refuse connections.
    [[nodiscard]] bool hasSilentTarget(std::string_view service) const;

    /// Sends a call to the side of the target. `handler` receives its events.
    void dispatch(known_target& target, wire::start_call call, attempt_handler handler);

    /// Cancels an attempt; its handler is not called again.
    void cancel(identifier attempt);

    /// @return Whether the link of the attempt has been down for so long that its outcome is in doubt.
    [[nodiscard]] bool isStalled(identifier attempt) const;

    void post(identifier peer, wire::message message);
    void postToAll(const wire::message& message);

    [[nodiscard]] nlohmann::json status() const;
    /// @return Bytes sent and received on all current links.
    [[nodiscard]] uint64_t byteCount() const noexcept;
    [[nodiscard]] size_t attemptCount() const noexcept { return m_attempts.size(); }

private:
    struct link;
    struct pending_attempt;

    [[nodiscard]] static bool isInService(const known_target& target) noexcept;
    link& linkTo(const ip_endpoint& side);
    void handleMessage(link& sender, wire::message& message);
    void deliver(link& sender, identifier attempt, identifier request, attempt_event event, bool isFinal);
    void handleOutput(link& sender, wire::call_output& output);
    void handleLoad(const link& sender, wire::target_load& load);
    void handleSessionLost(link& link);
    void reportStall(link& link);
    void tick();
    void recordViolation(std::string_view rule);

    std::string m_ownName;
    metrics& m_metrics;
    callbacks m_callbacks;
    identifier_generator m_identifiers;
    std::map<ip_endpoint, std::unique_ptr<link>> m_links;
    std::unordered_map<identifier, link*> m_peers;
    std::map<std::string, std::unique_ptr<known_target>, std::less<>> m_targets;
    std::map<std::string, std::vector<known_target*>, std::less<>> m_targetsByService;
    std::unordered_map<identifier, pending_attempt> m_attempts;
    std::set<std::string, std::less<>> m_leavingInstances;
    timer m_tickTimer;
};
}
