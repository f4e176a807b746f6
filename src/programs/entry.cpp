/// bilberryseam-entry: accepts requests from callers and runs their stages on targets through the sides.
#include "entry/entry.hpp"
#include "execution/execution.hpp"
#include "loop/main_loop.hpp"
#include "platform/instance_list.hpp"
#include "policy/planned_stop.hpp"
#include "programs/daemon_main.hpp"
#include "settings/settings.hpp"
#include "telemetry/telemetry.hpp"

namespace bilberryseam {

namespace {
    constexpr std::string_view logComponent = "entry";
    constexpr milliseconds drainCheckPeriod { 50 };

    /// Time for writing the responses of the requests that an overdue stop has ended.
    constexpr milliseconds responseGrace { 1000 };

    /// Time that a stopping entry still accepts connections, so that the load balancer can remove it first.
    constexpr milliseconds balancerGrace { 2000 };

    /// Creates and connects the components of the process.
    class entry_process {
    public:
        explicit entry_process(const settings::entry_settings& settings)
            : m_settings(settings)
            , m_clientMemory(std::make_shared<client_memory_budget>(memoryLimits(settings.limits)))
            , m_pressure(m_clientMemory, m_metrics, logComponent)
            , m_sideLinks(settings.name, m_metrics, linkCallbacks())
            , m_suspicions(
                  m_metrics, settings.name, [this](const wire::message& message) { m_sideLinks.postToAll(message); }, {})
            , m_context { m_sideLinks, m_metrics, m_suspicions, settings.region, identifier_generator::fromSystem(), std::mt19937_64(std::random_device {}()), {}, {}, {}, settings.limits.targetInactivityTimeout }
            , m_follower(settings.platform, m_metrics, true, { [this](const configuration::state& state) { applyConfiguration(state); }, [this](identifier peer, wire::message message) { m_sideLinks.post(peer, std::move(message)); } })
            , m_callers(m_settings, m_context, m_clientMemory, m_pressure, { [this] { return m_follower.isReady() ? &m_follower.current() : nullptr; } })
            , m_operators(settings.operatorListen, m_metrics, m_clientMemory, m_pressure, { [this] { return m_follower.isReady() && !m_isStopping; }, [this] { return status(); } })
            , m_publisher(settings.platform)
        {
            if (settings.platform.instanceList)
                m_instances.emplace(*settings.platform.instanceList, settings.platform.instanceListPeriod, [this](const platform::leaving_instances& leaving) { m_sideLinks.setLeavingInstances(leaving); });
            execution::addConfigurationEndpoints(m_operators, m_follower, m_publisher);
            m_loop.onTerminate([this] { stop(); });
        }

        void run()
        {
            logLine(log_level::Info, logComponent, "Started.", { { "name", m_settings.name }, { "listen", m_settings.listen.toString() } });
            m_loop.run();
            logLine(log_level::Info, logComponent, "Stopped.");
        }

    private:
        static policy::client_memory_limits memoryLimits(const settings::entry_limits& limits)
        {
            return { limits.memory.heldBytes(), policy::bytesOfLargestRequest(http1::server_limits().maxHeaderBytes, limits.maxBodyBytes, entry::bodyCopies) };
        }

        entry::side_links::callbacks linkCallbacks()
        {
            entry::side_links::callbacks callbacks;
            callbacks.onPeerAttached = [this](identifier peer) {
                m_follower.onPeerAttached(peer);
                m_suspicions.sendAll([this, peer](wire::message message) { m_sideLinks.post(peer, std::move(message)); }, monotonicNow());
            };
            callbacks.onPeerLost = [this](identifier peer) { m_follower.onPeerDisconnected(peer); };
            callbacks.onOtherMessage = [this](identifier peer, wire::message& message) {
                if (!m_follower.handle(peer, message))
                    static_cast<void>(m_suspicions.handle(message, monotonicNow()));
            };
            callbacks.onCapacityChanged = [this] { m_callers.onCapacityChanged(); };
            return callbacks;
        }

        void applyConfiguration(const configuration::state& state)
        {
            m_context.prices.clear();
            for (const auto& [name, record] : state.of<configuration::region_price>())
                m_context.prices[{ record.value->from, record.value->to }] = record.value->perGib;
            m_sideLinks.applyConfiguration(state);
        }

        nlohmann::json status()
        {
            return { { "role", "entry" }, { "name", m_settings.name }, { "region", m_settings.region }, { "version", BILBERRYSEAM_VERSION },
                { "configurationOffset", m_follower.current().nextOffset }, { "alarm", m_follower.alarm() }, { "openRequests", m_callers.openRequests() },
                { "attempts", m_sideLinks.attemptCount() }, { "linkBytes", m_sideLinks.byteCount() }, { "stopping", m_isStopping }, { "targets", m_sideLinks.status() } };
        }

        void stop()
        {
            if (m_isStopping)
                return;
            m_isStopping = true;
            m_stopSince = monotonicNow();
            m_callers.stopKeepingConnections();
            logLine(log_level::Info, logComponent, "Stopping after the open requests have finished.", { { "open", std::to_string(m_callers.openRequests()) } });
            m_drainCheck.startEvery(drainCheckPeriod, [this] { continueStop(); });
        }

        void continueStop()
        {
            const auto elapsed = std::chrono::floor<milliseconds>(monotonicNow() - m_stopSince);
            const milliseconds limit = m_settings.limits.drainTimeout;
            const policy::stop_phase phase = policy::stopPhase(elapsed, balancerGrace, limit);
            if (phase == policy::stop_phase::Accepting)
                return;
            // A connection that was accepted last may not have been read yet, so the process does not exit in the same check.
            const bool wasListening = std::exchange(m_isListening, false);
            if (wasListening) {
                m_callers.stopListening();
                logLine(log_level::Info, logComponent, "New connections are refused.", { { "open", std::to_string(m_callers.openRequests()) } });
            }
            if (phase == policy::stop_phase::Overdue)
                endRequests();
            const bool isDone = !wasListening && m_callers.openRequests() == 0 && m_callers.closeIdleConnections();
            if (isDone || elapsed > limit + responseGrace)
                m_loop.quit();
        }

        void endRequests()
        {
            if (const size_t count = m_callers.openRequests(); count > 0)
                logLine(log_level::Warning, logComponent, "The time for the stop is over; open requests end without an answer.", { { "open", std::to_string(count) } });
            m_callers.endRequests();
        }

        main_loop m_loop;
        metrics m_metrics;
        settings::entry_settings m_settings;
        std::shared_ptr<client_memory_budget> m_clientMemory;
        execution::pressure_report m_pressure;
        entry::side_links m_sideLinks;
        execution::suspicion_exchange m_suspicions;
        entry::run_context m_context;
        execution::configuration_follower m_follower;
        entry::caller_server m_callers;
        execution::operator_server m_operators;
        execution::note_publisher m_publisher;
        std::optional<platform::instance_list> m_instances;
        timer m_drainCheck;
        bool m_isStopping = false;
        bool m_isListening = true;
        time_point m_stopSince {};
    };
}
}

int main(int argc, char** argv)
{
    using namespace bilberryseam;
    return daemonMain<settings::entry_settings, entry_process>(argc, argv, "bilberryseam-entry", "accepts requests from callers and runs their stages on targets through the sides");
}
