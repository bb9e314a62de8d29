#include <fmt/format.h>

#include "Commands.h"
#include "ControlClient.h"

namespace rattanloft::tool {

int
DrainCommand(std::span<char*> aArgs)
{
  if (aArgs.size() != 1) {
    return FailWith("drain", 2, "the name of one node is required");
  }
  auto client = MakeControlClient();
  if (!client) {
    return FailWith("drain", 2, client.error());
  }
  const auto answer =
    client->Send("POST", "/v1/drain/" + PercentEncode(aArgs[0]));
  if (!answer) {
    return FailWith("drain", 1, answer.error());
  }
  if (answer->m_status != 200) {
    return FailWith("drain", 1, ErrorText(*answer));
  }
  fmt::print("node {} is draining\n", aArgs[0]);
  return 0;
}

} // namespace rattanloft::tool
