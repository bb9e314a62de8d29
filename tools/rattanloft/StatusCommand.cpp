#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Commands.h"
#include "ControlClient.h"
#include "Flags.h"

DEFINE_bool(json, false, "print the status documents of the instances as JSON");

namespace rattanloft::tool {

namespace {

using nlohmann::json;

void
PrintInstance(const std::string& aAddress, const json& aStatus)
{
  fmt::print("{}: {} {}, {}, term {}, applied {}, catalogue {}, routes {}\n",
             aAddress,
             aStatus.value("role", ""),
             aStatus.value("replica_id", ""),
             aStatus.value("control", ""),
             aStatus.value("term", uint64_t{ 0 }),
             aStatus.value("applied_index", uint64_t{ 0 }),
             aStatus.value("catalogue_revision", uint64_t{ 0 }),
             aStatus.value("route_revision", uint64_t{ 0 }));
}

void
PrintNodes(const json& aStatus)
{
  for (const json& node : aStatus.value("nodes", json::array())) {
    fmt::print("  node {}: {}, {}{}, catalogue {}, last sync {} ms ago\n",
               node.value("node_id", ""),
               node.value("lease_held", false) ? "lease" : "no lease",
               node.value("healthy", false) ? "healthy" : "not healthy",
               node.value("draining", false) ? ", draining" : "",
               node.value("catalogue_revision", uint64_t{ 0 }),
               node.value("since_last_sync_ms", int64_t{ 0 }));
  }
}

} // namespace

// The exit status is 0 if at least one control instance knows a leader and 1 if
// none does.
int
StatusCommand(std::span<char*> aArgs)
{
  if (!aArgs.empty()) {
    return FailWith("status", 2, "takes no arguments");
  }
  const auto client = MakeControlClient();
  if (!client) {
    return FailWith("status", 2, client.error());
  }
  bool answered = false;
  bool hasLeader = false;
  for (const std::string& address : client->Addresses()) {
    const auto answer = ControlClient::SendTo(
      address, "GET", "/v1/status", "", Milliseconds(FLAGS_timeout_ms));
    if (!answer || answer->m_status != 200 || !answer->m_body.is_object()) {
      fmt::print("{}: no answer\n", address);
      continue;
    }
    answered = true;
    hasLeader = hasLeader || answer->m_body.value("control", "") == "ok";
    if (FLAGS_json) {
      fmt::print("{}\n", answer->m_body.dump(2));
      continue;
    }
    PrintInstance(address, answer->m_body);
    PrintNodes(answer->m_body);
  }
  if (!hasLeader) {
    return FailWith("status",
                    1,
                    answered ? "no control quorum"
                             : "no control instance answers");
  }
  return 0;
}

} // namespace rattanloft::tool
