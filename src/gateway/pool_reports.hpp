/// Queries of the targets of pools: what other entries have there.
#pragma once

#include "gateway/context.hpp"

#include <functional>
#include <list>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace bilberryseam::gateway {

/// Sends due queries and keeps what the targets report in `target_state::poolReport`. Used by entries that run the tasks of a
/// pool, if the settings enable it.
class pool_reports {
public:
    /// What this entry has at a target when the response to a query arrives.
    using own_use_of = std::function<policy::own_use(const target_state&)>;

    explicit pool_reports(context& context)
        : m_context(context)
    {
    }
    pool_reports(const pool_reports&) = delete;
    pool_reports& operator=(const pool_reports&) = delete;

    /// Has all targets of a pool queried, because another entry may have used it until now.
    void onTakeover(std::string_view service, std::span<const target_ptr> targets) const;
    /// Has a target queried that had less room than this entry expected.
    void onLackOfRoom(target_state& target) const;
    /// Sends the queries that are due.
    void sendDueQueries(const std::string& service, std::span<const target_ptr> targets, const policy::pool_limits& limits, const own_use_of& ownUse, time_point now);

private:
    void query(const std::string& service, const target_ptr& target, const policy::pool_limits& limits, const own_use_of& ownUse, time_point now);
    void applyReport(const std::string& service, target_state& target, const policy::pool_report& report, const policy::own_use& own, const policy::pool_limits& limits, time_point now) const;

    context& m_context;
    std::list<std::shared_ptr<http1::client_call>> m_calls;
};
}
