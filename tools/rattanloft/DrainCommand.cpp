#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Commands.h"
#include "ControlClient.h"

DEFINE_bool(undo, false, "end the drain of the node");

namespace rattanloft::tool {

int
DrainCommand(std::span<char*> aArgs)
{
  if (aArgs.size() != 1) {
    return FailWith(
      "drain", 2, "exactly one argument, the name of a node, is required");
  }
  auto client = MakeControlClient();
  if (!client) {
    return FailWith("drain", 2, client.error());
  }
  const char* method = FLAGS_undo ? "DELETE" : "POST";
  const auto answer =
    client->Send(method, "/v1/drain/" + PercentEncode(aArgs[0]));
  if (!answer) {
    return FailWith("drain", 1, answer.error());
  }
  if (answer->m_status != 200) {
    return FailWith("drain", 1, ErrorText(*answer));
  }
  fmt::print(
    "node {} is {}\n", aArgs[0], FLAGS_undo ? "no longer drained" : "draining");
  return 0;
}

} // namespace rattanloft::tool
