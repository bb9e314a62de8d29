#include "rattanloft/http/OverloadReport.h"

#include <fmt/format.h>

#include "rattanloft/base/Log.h"

namespace rattanloft::http {

std::string
FormatOverloadMetrics(const overload::MemoryBudget& aBudget,
                      const NamedServers& aServers)
{
  ServerCounters total;
  std::string connections;
  for (const auto& [name, server] : aServers) {
    if (server == nullptr) {
      continue;
    }
    const ServerCounters& counters = server->Counters();
    total.m_requestsReclaimed += counters.m_requestsReclaimed;
    total.m_bodiesRefused += counters.m_bodiesRefused;
    total.m_connectionsReclaimed += counters.m_connectionsReclaimed;
    total.m_clientsLeft += counters.m_clientsLeft;
    total.m_closesUnnoticed += counters.m_closesUnnoticed;
    connections += fmt::format("rattanloft_connections{{listener=\"{}\"}} {}\n",
                               name,
                               server->ConnectionCount());
  }
  return fmt::format("rattanloft_memory_budget_bytes {}\n"
                     "rattanloft_memory_charged_bytes {}\n"
                     "rattanloft_memory_state {}\n"
                     "rattanloft_requests_reclaimed {}\n"
                     "rattanloft_bodies_refused {}\n"
                     "rattanloft_connections_reclaimed {}\n"
                     "rattanloft_clients_left {}\n"
                     "rattanloft_closes_unnoticed {}\n",
                     aBudget.LimitBytes(),
                     aBudget.ChargedBytes(),
                     static_cast<int>(aBudget.State()),
                     total.m_requestsReclaimed,
                     total.m_bodiesRefused,
                     total.m_connectionsReclaimed,
                     total.m_clientsLeft,
                     total.m_closesUnnoticed) +
         connections;
}

void
LogMemoryStates(overload::MemoryBudget& aBudget)
{
  aBudget.SetStateCallback([&aBudget](overload::MemoryState aState) {
    LogInfo("overload",
            "event=memory-state state={} charged={} limit={} refused={}",
            overload::MemoryStateName(aState),
            aBudget.ChargedBytes(),
            aBudget.LimitBytes(),
            aBudget.RefusedCount());
  });
}

} // namespace rattanloft::http
