/// Gateway processes that are killed, stopped and paused for a time.
#pragma once

#include "support/deployment_fixture.hpp"

#include <csignal>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace bilberryseam::tests {

/// Actions that end faults, such as the restart of a process.
class undo_actions {
public:
    void schedule(milliseconds delay, std::function<void()> action)
    {
        m_timers.push_back(std::make_unique<timer>());
        m_timers.back()->startOnce(delay, std::move(action));
    }

    /// Drops the actions that have not run.
    void clear() { m_timers.clear(); }

private:
    std::vector<std::unique_ptr<timer>> m_timers;
};

class gateway_faults {
public:
    /// Called when a gateway is disturbed, with the time until which the disturbance lasts as far as it is known.
    using disturbance_callback = std::function<void(size_t gateway, time_point until)>;

    gateway_faults(deployment_fixture& deployment, undo_actions& undo, disturbance_callback onDisturbed = {})
        : m_deployment(deployment)
        , m_undo(undo)
        , m_onDisturbed(std::move(onDisturbed))
    {
    }

    /// Sends SIGKILL or SIGTERM to a gateway, and starts it again after a time once it has exited.
    /// @return False if it is stopped already.
    bool stop(size_t gateway, int signal, milliseconds duration)
    {
        if (!m_stopped.insert(gateway).second)
            return false;
        report(gateway, monotonicNow());
        m_deployment.signal(gateway, signal);
        m_undo.schedule(duration, [this, gateway] { restart(gateway); });
        return true;
    }

    /// Stops the process of a gateway with SIGSTOP for a time.
    void pause(size_t gateway, milliseconds duration)
    {
        if (m_stopped.contains(gateway) || !m_paused.insert(gateway).second)
            return;
        m_deployment.signal(gateway, SIGSTOP);
        report(gateway, monotonicNow() + duration);
        m_undo.schedule(duration, [this, gateway] { resume(gateway); });
    }

    [[nodiscard]] bool isStopped(size_t gateway) const { return m_stopped.contains(gateway); }
    [[nodiscard]] bool isPaused(size_t gateway) const { return m_paused.contains(gateway); }

    /// @return The gateway or, if it is stopped, another one that is not; itself if all are stopped.
    [[nodiscard]] size_t running(size_t gateway, size_t gatewayCount) const
    {
        for (size_t i = 0; i < gatewayCount && m_stopped.contains(gateway); ++i)
            gateway = (gateway + 1) % gatewayCount;
        return gateway;
    }

    /// @return The logs of all processes of all gateways so far.
    [[nodiscard]] std::string logs(size_t gatewayCount) const
    {
        std::string text = m_endedLogs;
        for (size_t i = 0; i < gatewayCount; ++i)
            text += m_deployment.logOf(i);
        return text;
    }

    /// Resumes and restarts all gateways, after the undo actions were dropped.
    void restoreAll()
    {
        for (const size_t gateway : std::set(m_paused))
            resume(gateway);
        for (const size_t gateway : m_stopped) {
            m_deployment.waitUntil([&] { return m_deployment.hasExited(gateway); }, "a stopped gateway to exit");
            report(gateway, monotonicNow());
            startAgain(gateway);
        }
        m_stopped.clear();
    }

private:
    void restart(size_t gateway)
    {
        if (!m_stopped.contains(gateway))
            return;
        report(gateway, monotonicNow());
        if (!m_deployment.hasExited(gateway)) {
            m_undo.schedule(milliseconds(100), [this, gateway] { restart(gateway); });
            return;
        }
        startAgain(gateway);
        m_stopped.erase(gateway);
    }

    /// A new process of a gateway replaces its log.
    void startAgain(size_t gateway)
    {
        m_endedLogs += m_deployment.logOf(gateway);
        m_deployment.restartGateway(gateway);
    }

    void resume(size_t gateway)
    {
        report(gateway, monotonicNow());
        m_deployment.signal(gateway, SIGCONT);
        m_paused.erase(gateway);
    }

    void report(size_t gateway, time_point until) const
    {
        if (m_onDisturbed)
            m_onDisturbed(gateway, until);
    }

    deployment_fixture& m_deployment;
    undo_actions& m_undo;
    disturbance_callback m_onDisturbed;
    std::string m_endedLogs;
    std::set<size_t> m_stopped;
    std::set<size_t> m_paused;
};
}
