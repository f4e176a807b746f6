/// bilberryseam-side: runs next to the targets of an instance and dispatches calls from entries to them.
#include "side/side.hpp"
#include "execution/execution.hpp"
#include "loop/main_loop.hpp"
#include "platform/instance_list.hpp"
#include "programs/daemon_main.hpp"
#include "settings/settings.hpp"
#include "telemetry/telemetry.hpp"
#include "wire/wire.hpp"

namespace bilberryseam {

namespace {
    constexpr std::string_view logComponent = "side";
    constexpr milliseconds drainCheckPeriod { 50 };

    /// Time that a planned stop waits for a disconnected entry to resume its session and fetch its results.
    constexpr milliseconds resumeGrace { 5000 };

    /// Creates and connects the components of the process.
    class side_process {
    public:
        explicit side_process(const settings::side_settings& settings)
            : m_settings(settings)
            , m_clientMemory(std::make_shared<client_memory_budget>(memoryLimits(settings.limits)))
            , m_pressure(m_clientMemory, m_metrics, logComponent)
            , m_suspicions(
                  m_metrics, settings.name, [this](const wire::message& message) { m_server->postToAll(message); }, [this] { m_dispatcher.refuseQuarantined(); })
            , m_dispatcher(settings, m_metrics, m_suspicions, { [this](identifier session, wire::message message) { m_server->post(session, std::move(message)); }, [this](const wire::message& message) { m_server->postToAll(message); }, [this] { return m_server->sessionCount(); } })
            , m_follower(settings.platform, m_metrics, false, { [this](const configuration::state& state) {
                                                                   m_dispatcher.applyConfiguration(state);
                                                                   m_reconciler.applyConfiguration(state);
                                                               },
                                                                  [this](identifier peer, wire::message message) { m_server->post(peer, std::move(message)); } })
            , m_server(std::make_unique<wire::session_server>(settings.listen, settings.name, identifier_generator::fromSystem().next(), wire::server_limits {}, serverCallbacks(), m_clientMemory))
            , m_reconciler(settings, m_metrics, [this](std::function<void()> done) { m_follower.refresh(std::move(done)); })
            , m_operators(settings.operatorListen, m_metrics, m_clientMemory, m_pressure, { [this] { return m_follower.isReady() && !m_isStopping; }, [this] { return status(); } })
        {
            if (settings.platform.instanceList)
                m_instances.emplace(*settings.platform.instanceList, settings.platform.instanceListPeriod, [this](const platform::leaving_instances& leaving) { m_dispatcher.setDraining(side::drain_reason::InstanceList, leaving.contains(m_settings.instance)); });
            m_operators.onPost("/drain", [this](std::string_view body, const auto& respond) { drain(body, true, respond); });
            m_operators.onPost("/undrain", [this](std::string_view body, const auto& respond) { drain(body, false, respond); });
            m_loop.onTerminate([this] { stop(); });
        }

        void run()
        {
            logLine(log_level::Info, logComponent, "Started.", { { "name", m_settings.name }, { "listen", m_settings.listen.toString() } });
            m_loop.run();
            logLine(log_level::Info, logComponent, "Stopped.");
        }

    private:
        static policy::client_memory_limits memoryLimits(const settings::side_limits& limits)
        {
            return { limits.memory.heldBytes(), wire::maxWebsocketMessageBytes };
        }

        wire::session_server::callbacks serverCallbacks()
        {
            wire::session_server::callbacks callbacks;
            callbacks.onMessage = [this](identifier session, wire::message& message) { handleMessage(session, message); };
            callbacks.onAttached = [this](identifier session, bool) {
                m_dispatcher.sendAllLoads(session);
                m_suspicions.sendAll([this, session](wire::message message) { m_server->post(session, std::move(message)); }, monotonicNow());
                m_follower.onPeerAttached(session);
            };
            callbacks.onExpired = [this](identifier session) {
                m_dispatcher.onSessionExpired(session);
                m_follower.onPeerDisconnected(session);
            };
            callbacks.onViolation = [this](std::string_view rule) {
                m_metrics.count("protocol_violations_total", { { "rule", std::string(rule) } });
                m_pressure.recordViolation(rule);
            };
            return callbacks;
        }

        void handleMessage(identifier session, wire::message& message)
        {
            if (m_follower.handle(session, message) || m_suspicions.handle(message, monotonicNow()))
                return;
            if (auto* call = std::get_if<wire::start_call>(&message))
                m_dispatcher.start(session, *call);
            else if (const auto* cancellation = std::get_if<wire::cancel_call>(&message))
                m_dispatcher.cancel(cancellation->attempt);
        }

        void drain(std::string_view body, bool isLeaving, const execution::operator_server::responder& respond)
        {
            const nlohmann::json request = nlohmann::json::parse(body, nullptr, false);
            const std::string target = request.is_object() ? request.value("target", "") : "";
            if (target.empty()) {
                m_dispatcher.setDraining(side::drain_reason::Operator, isLeaving);
                respond(200, { { "leaving", isLeaving } });
                return;
            }
            const bool isKnown = m_dispatcher.setTargetDraining(target, isLeaving);
            respond(isKnown ? 200u : 404u, { { "target", target }, { "leaving", isLeaving } });
        }

        nlohmann::json status()
        {
            return { { "role", "side" }, { "name", m_settings.name }, { "instance", m_settings.instance }, { "region", m_settings.region }, { "version", BILBERRYSEAM_VERSION },
                { "configurationOffset", m_follower.current().nextOffset }, { "alarm", m_follower.alarm() }, { "sessions", m_server->sessionCount() }, { "linkBytes", m_server->byteCount() },
                { "stopping", m_isStopping }, { "targets", m_dispatcher.status() }, { "engines", m_reconciler.status() } };
        }

        void stop()
        {
            if (m_isStopping)
                return;
            m_isStopping = true;
            m_stopSince = monotonicNow();
            logLine(log_level::Info, logComponent, "Stopping after the running calls have finished.");
            m_dispatcher.setDraining(side::drain_reason::PlannedStop, true);
            m_drainCheck.startEvery(drainCheckPeriod, [this] {
                const bool isOverdue = monotonicNow() - m_stopSince > m_settings.limits.drainTimeout;
                const bool isDelivered = m_dispatcher.isIdle() && m_server->isAllAcknowledged(monotonicNow(), resumeGrace);
                if (isDelivered || isOverdue)
                    m_loop.quit();
            });
        }

        main_loop m_loop;
        metrics m_metrics;
        settings::side_settings m_settings;
        std::shared_ptr<client_memory_budget> m_clientMemory;
        execution::pressure_report m_pressure;
        execution::suspicion_exchange m_suspicions;
        side::call_dispatcher m_dispatcher;
        execution::configuration_follower m_follower;
        std::unique_ptr<wire::session_server> m_server;
        side::model_reconciler m_reconciler;
        execution::operator_server m_operators;
        std::optional<platform::instance_list> m_instances;
        timer m_drainCheck;
        bool m_isStopping = false;
        time_point m_stopSince {};
    };
}
}

int main(int argc, char** argv)
{
    using namespace bilberryseam;
    return daemonMain<settings::side_settings, side_process>(argc, argv, "bilberryseam-side", "dispatches calls from entries to the targets next to it");
}
