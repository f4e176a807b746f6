/// bilberryseam-side: the process beside a target.
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
    constexpr std::string_view part = "side";
    constexpr milliseconds drainCheckPeriod { 50 };

    /// How long a planned stop waits for an entry to come back for its results.
    constexpr milliseconds resumeGrace { 5000 };

    /// All parts of the process, wired together.
    class side_process {
    public:
        explicit side_process(const settings::side_settings& settings)
            : m_settings(settings)
            , m_suspicions(m_metrics, [this](const wire::message& item) { m_server->postToAll(item); })
            , m_gate(settings, m_metrics, m_suspicions, { [this](identifier session, wire::message item) { m_server->post(session, std::move(item)); }, [this](const wire::message& item) { m_server->postToAll(item); }, [this] { return m_server->sessionCount(); } })
            , m_follower(settings.platform, m_metrics, false, { [this](const configuration::state& state) {
                                                                   m_gate.applyConfiguration(state);
                                                                   m_orders.applyConfiguration(state);
                                                               },
                                                                  [this](identifier peer, wire::message item) { m_server->post(peer, std::move(item)); } })
            , m_server(std::make_unique<wire::session_server>(settings.listen, settings.name, identifier_generator::fromSystem().next(), wire::server_limits {}, serverCalls()))
            , m_orders(settings, m_metrics, [this](std::function<void()> done) { m_follower.refresh(std::move(done)); })
            , m_operators(settings.operatorListen, m_metrics, { [this] { return m_follower.isReady() && !m_isStopping; }, [this] { return status(); } })
        {
            if (settings.platform.instanceList)
                m_instances.emplace(*settings.platform.instanceList, settings.platform.instanceListPeriod, [this](const platform::leaving_instances& leaving) { m_gate.setDraining(side::drain_reason::InstanceList, leaving.contains(m_settings.instance)); });
            m_operators.onPost("/drain", [this](std::string_view body, const auto& respond) { drain(body, true, respond); });
            m_operators.onPost("/undrain", [this](std::string_view body, const auto& respond) { drain(body, false, respond); });
            m_loop.onTerminate([this] { stop(); });
        }

        void run()
        {
            logLine(log_level::Info, part, "Started.", { { "name", m_settings.name }, { "listen", m_settings.listen.toString() } });
            m_loop.run();
            logLine(log_level::Info, part, "Stopped.");
        }

    private:
        wire::session_server::callbacks serverCalls()
        {
            wire::session_server::callbacks calls;
            calls.onMessage = [this](identifier session, wire::message& item) { take(session, item); };
            calls.onAttached = [this](identifier session) {
                m_gate.sendAllLoads(session);
                m_suspicions.sendAll([this, session](wire::message item) { m_server->post(session, std::move(item)); }, monotonicNow());
                m_follower.onPeerAttached(session);
            };
            calls.onExpired = [this](identifier session) {
                m_gate.onSessionExpired(session);
                m_follower.onPeerDisconnected(session);
            };
            calls.onViolation = [this](std::string_view rule) {
                m_metrics.count("protocol_violations_total", { { "rule", std::string(rule) } });
                logLine(log_level::Warning, part, "A peer broke the protocol.", { { "rule", std::string(rule) } });
            };
            return calls;
        }

        void take(identifier session, wire::message& item)
        {
            if (m_follower.handle(session, item) || m_suspicions.handle(item, monotonicNow()))
                return;
            if (auto* call = std::get_if<wire::start_call>(&item))
                m_gate.start(session, *call);
            else if (const auto* cancelled = std::get_if<wire::cancel_call>(&item))
                m_gate.cancel(cancelled->attempt);
        }

        void drain(std::string_view body, bool isLeaving, const execution::operator_server::responder& respond)
        {
            const nlohmann::json request = nlohmann::json::parse(body, nullptr, false);
            const std::string target = request.is_object() ? request.value("target", "") : "";
            if (target.empty()) {
                m_gate.setDraining(side::drain_reason::Operator, isLeaving);
                respond(200, { { "leaving", isLeaving } });
                return;
            }
            const bool isKnown = m_gate.setTargetDraining(target, isLeaving);
            respond(isKnown ? 200u : 404u, { { "target", target }, { "leaving", isLeaving } });
        }

        nlohmann::json status()
        {
            return { { "role", "side" }, { "name", m_settings.name }, { "instance", m_settings.instance }, { "region", m_settings.region }, { "version", BILBERRYSEAM_VERSION },
                { "configurationOffset", m_follower.current().nextOffset }, { "alarm", m_follower.alarm() }, { "sessions", m_server->sessionCount() }, { "linkBytes", m_server->byteCount() },
                { "stopping", m_isStopping }, { "targets", m_gate.status() }, { "engines", m_orders.status() } };
        }

        void stop()
        {
            if (m_isStopping)
                return;
            m_isStopping = true;
            m_stopSince = monotonicNow();
            logLine(log_level::Info, part, "Stopping once the calls in progress are done.");
            m_gate.setDraining(side::drain_reason::PlannedStop, true);
            m_drainCheck.startEvery(drainCheckPeriod, [this] {
                const bool isOverdue = monotonicNow() - m_stopSince > m_settings.limits.drainTimeout;
                const bool isDelivered = m_gate.isIdle() && m_server->isAllAcknowledged(monotonicNow(), resumeGrace);
                if (isDelivered || isOverdue)
                    m_loop.quit();
            });
        }

        main_loop m_loop;
        metrics m_metrics;
        settings::side_settings m_settings;
        execution::suspicion_exchange m_suspicions;
        side::call_dispatcher m_gate;
        execution::configuration_follower m_follower;
        std::unique_ptr<wire::session_server> m_server;
        side::model_reconciler m_orders;
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
    return daemonMain<settings::side_settings, side_process>(argc, argv, "bilberryseam-side", "the process beside a target");
}
