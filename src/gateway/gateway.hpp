/// An entry of a platform's deployment: accepts requests from callers and has targets execute them.
#pragma once

#include "execution/pressure_report.hpp"
#include "gateway/configuration_exchange.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/request_run.hpp"
#include "gateway/stream_directory.hpp"
#include "gateway/topic_relay.hpp"
#include "loop/main_loop.hpp"
#include "platform/topic_follower.hpp"
#include "policy/idle_limit.hpp"

#include <deque>
#include <list>
#include <memory>
#include <optional>

namespace bilberryseam::gateway {

namespace detail {
    /// Delay after which callers may retry if the gateway holds too many connections or bytes.
    constexpr milliseconds retryWhenFull { 1000 };
}

/// Why a request is refused before any part of it runs.
struct acceptance_refusal {
    unsigned status = 0;
    std::string_view reason;
    std::optional<milliseconds> retryAfter;
    /// The prompt segment on which targets crashed, if that is the reason; the request may run as its trial.
    std::optional<uint64_t> segment;
};

/// Owns and connects all components of the process.
class gateway {
public:
    /// @throws error (`Unavailable`) if an address cannot be bound.
    explicit gateway(const settings::gateway_settings& settings);

    /// Runs until the process is asked to terminate and its callers have received their responses, or the time for it has passed.
    void run();

    /// Applies changed settings. Changed listening addresses take effect only after a restart.
    void reload(const settings::gateway_settings& settings);

    [[nodiscard]] main_loop& loop() noexcept { return m_loop; }

private:
    // Known state: configuration and target list.
    platform::follow_callbacks configurationCallbacks();
    platform::follow_callbacks targetCallbacks();
    void applyConfiguration(std::string_view text);
    /// Applies what other entries have sent, and checks whether all of them were asked.
    void confirmConfiguration(time_point now);
    void applyTarget(const platform::keyed_record& record);
    void recordRead(std::string_view topic, bool& isUnreachable, time_point sentAt);
    void recordFailedRead(std::string_view topic, bool& isUnreachable, std::string_view reason);
    [[nodiscard]] http1::server_limits serverLimits() const;
    /// Applies the settings and the configuration to the memory that clients may have the gateway hold.
    void updateClientMemory();
    /// @return True while API keys may be trusted: no removal of a key can have been missed for longer than the bound.
    [[nodiscard]] bool areKeysFresh(time_point now) const;
    /// @return True while the configuration may be served to all callers.
    [[nodiscard]] bool isConfigurationFresh(time_point now) const;
    [[nodiscard]] bool isReady(time_point now) const;

    // Requests.
    void handleRequest(std::shared_ptr<http1::exchange> exchange);
    void start(accepted_request request, time_point now);

    // Acceptance; in request_acceptance.cpp.
    /// Completes the request from the configuration, or refuses it.
    /// @return False if it was refused.
    [[nodiscard]] bool accept(accepted_request& request, time_point now);
    /// Counts the tasks of the request among what its client has the gateway hold.
    /// @return False if there is no memory for them.
    [[nodiscard]] bool holdTasks(const accepted_request& request) const;
    /// Completes the request from the configuration; changes nothing else.
    /// @param target  Request target, as the caller sends it.
    /// @return Why the request is refused before any part of it runs; nothing if it may run.
    [[nodiscard]] std::optional<acceptance_refusal> refusalOf(accepted_request& request, std::string_view target, time_point now) const;
    [[nodiscard]] std::optional<acceptance_refusal> findRoute(accepted_request& request, std::string_view target, time_point now) const;
    [[nodiscard]] std::optional<acceptance_refusal> identifyAccount(accepted_request& request, time_point now) const;
    /// @return The refusal of a request whose route or key is not in the configuration in force. If a newer configuration may
    /// contain it, the caller is asked to retry.
    [[nodiscard]] acceptance_refusal refusalOfUnknown(unsigned status, std::string_view reason, time_point now) const;
    /// @return The refusal if targets crashed on the request.
    [[nodiscard]] std::optional<acceptance_refusal> refusalByCrashes(accepted_request& request, std::string_view target, time_point now) const;
    /// @return The service that runs the request.
    [[nodiscard]] static std::string serviceOf(const accepted_request& request);

    /// Responds to an operator's query where a request would be sent now; in gateway_explanation.cpp.
    void explain(const std::shared_ptr<http1::exchange>& exchange);

    void onVerdict(time_point firstCrashAt);
    void refuse(http1::exchange& exchange, std::string_view id, unsigned status, std::string_view reason, std::optional<milliseconds> retryAfter = {});
    void recordUnfinished(const http1::unfinished_connection& connection);
    void handleOperatorRequest(const std::shared_ptr<http1::exchange>& exchange);
    /// @return Share of the limit of a target that this entry may use.
    [[nodiscard]] double limitShareOf(const target_state& target, time_point now);
    /// @return The position of this entry among those that may send to a cold target.
    [[nodiscard]] policy::cold_membership coldMembershipOf(const target_state& target, time_point now);
    /// Limits requests to the targets that are cold by what is known now.
    void limitColdTargets(time_point now);
    /// Has the target list read again if the process was frozen.
    void checkForFreeze(time_point now);
    /// Records the versions of the services with resumable streams in the store, from time to time.
    void checkVersions(time_point now);
    /// Reads the target list more often while requests wait for a record.
    void readAwaitedRecords(time_point now);
    void checkVersionsOf(const std::string& service, time_point now);
    void tick();
    void stop();
    /// Performs the steps of a planned stop that are due.
    void continueStop(time_point now);
    /// Ends all requests, as the process has no more time for them.
    void endOpenRequests();

    main_loop m_loop;
    context m_context;
    task_scheduler m_scheduler;
    std::optional<entry_directory> m_directory;
    std::optional<pool_router> m_pools;
    configuration_exchange m_configurations;
    std::optional<crash_watch> m_crashes;
    std::optional<recovery_watch> m_recovery;
    std::optional<stream_directory> m_streams;
    std::optional<topic_relay> m_relay;
    std::optional<load_exchange> m_loads;
    std::list<std::shared_ptr<request_run>> m_openRuns;
    std::vector<std::shared_ptr<request_run>> m_finishedRuns;
    execution::pressure_report m_pressure;
    std::optional<http1::server> m_callers;
    std::optional<http1::server> m_operators;
    std::optional<platform::topic_follower> m_configurationFollower;
    std::optional<platform::topic_follower> m_targetFollower;
    policy::idle_limits m_idleLimits;
    bool m_isConfigurationUnreachable = false;
    /// What was read of the operator's topic may be older than what the store had before its return.
    bool m_isConfigurationReadDue = false;
    /// Start of the last successful read of the operator's topic, also if that is an older copy.
    time_point m_configurationReadAt {};
    bool m_isTargetListUnreachable = false;
    bool m_hasTargets = false;
    /// Texts from other entries. They are applied by the next tick, as a configuration may end the connection that brought it.
    std::vector<std::string> m_receivedConfigurations;
    /// The other entries were asked for a newer configuration, so that the one in force may be used.
    bool m_isConfigurationConfirmed = false;
    time_point m_nextVersionCheckAt {};
    time_point m_nextAwaitedReadAt {};
    time_point m_wokeAt {};
    timer m_tick;
    bool m_isStopping = false;
    time_point m_stopRequestedAt {};
    bool m_hasStoppedListening = false;
    /// Times of the explanations in the last second.
    std::deque<time_point> m_explainedAt;
};
}
