#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rattanloft/http/Server.h"
#include "rattanloft/overload/MemoryBudget.h"

namespace rattanloft::http {

// Listeners by name; null for one that is not open.
using NamedServers = std::vector<std::pair<std::string_view, const Server*>>;

// Metrics of the memory budget and of the connections, one line each.
std::string
FormatOverloadMetrics(const overload::MemoryBudget& aBudget,
                      const NamedServers& aServers);

// Logs each change of the state of the budget.
void
LogMemoryStates(overload::MemoryBudget& aBudget);

} // namespace rattanloft::http
