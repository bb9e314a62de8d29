#include <algorithm>
#include <fstream>
#include <iterator>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Commands.h"
#include "ControlClient.h"
#include "Flags.h"
#include "rattanloft/base/Random.h"

DEFINE_int64(expected_revision,
             -1,
             "revision that the change of one entry is based on; -1 reads the "
             "current revision first");
DEFINE_string(change_id,
              "",
              "id of the change of one entry; random by default");
DEFINE_int32(max, 100, "maximum number of changes that history lists");

namespace rattanloft::tool {

namespace {

using nlohmann::json;

constexpr std::string_view kCommandName = "catalogue";

int
PrintAnswer(const tl::expected<ControlResponse, std::string>& aAnswer)
{
  if (!aAnswer) {
    return FailWith(kCommandName, 1, aAnswer.error());
  }
  if (aAnswer->m_status != 200) {
    return FailWith(kCommandName, 1, ErrorText(*aAnswer));
  }
  fmt::print("{}\n", aAnswer->m_body.dump(2));
  return 0;
}

// Returns the revision to base a change on; 0 if the entry does not exist.
tl::expected<uint64_t, std::string>
BaseRevision(ControlClient& aClient, const std::string& aPath)
{
  if (FLAGS_expected_revision >= 0) {
    return static_cast<uint64_t>(FLAGS_expected_revision);
  }
  const auto answer = aClient.Send("GET", aPath);
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  if (answer->m_status == 404) {
    return 0;
  }
  if (answer->m_status != 200 || !answer->m_body.is_object()) {
    return tl::unexpected(ErrorText(*answer));
  }
  return answer->m_body.value("revision", uint64_t{ 0 });
}

int
SendChange(ControlClient& aClient,
           std::string_view aMethod,
           const std::string& aEntry,
           const std::string& aBody)
{
  const std::string path = "/v1/catalogue/" + PercentEncode(aEntry);
  const auto revision = BaseRevision(aClient, path);
  if (!revision) {
    return FailWith(
      kCommandName, 1, fmt::format("{}: {}", aEntry, revision.error()));
  }
  const std::string id = FLAGS_change_id.empty()
                           ? fmt::format("{:016x}", RandomId())
                           : FLAGS_change_id;
  const auto answer =
    aClient.Send(aMethod,
                 fmt::format("{}?change_id={}&expected_revision={}&operator={}",
                             path,
                             PercentEncode(id),
                             *revision,
                             PercentEncode(FLAGS_operator_name)),
                 aBody);
  if (!answer || (answer->m_status == 503 &&
                  answer->m_body.value("error", "") == "unknown")) {
    return FailWith(kCommandName,
                    1,
                    fmt::format("{}: outcome unknown ({}); repeat with "
                                "--change_id={} --expected_revision={}",
                                aEntry,
                                answer ? ErrorText(*answer) : answer.error(),
                                id,
                                *revision));
  }
  if (answer->m_status == 409) {
    return FailWith(
      kCommandName,
      1,
      fmt::format("{}: conflict, expected revision {}, current revision {}: {}",
                  aEntry,
                  *revision,
                  answer->m_body.value("revision", uint64_t{ 0 }),
                  answer->m_body.value("message", "")));
  }
  if (answer->m_status != 200) {
    return FailWith(
      kCommandName, 1, fmt::format("{}: {}", aEntry, ErrorText(*answer)));
  }
  fmt::print("{}: accepted at revision {}\n",
             aEntry,
             answer->m_body.value("revision", uint64_t{ 0 }));
  return 0;
}

int
ApplyFile(ControlClient& aClient, const char* aFile)
{
  std::ifstream file(aFile);
  if (!file) {
    return FailWith(kCommandName, 2, fmt::format("cannot read {}", aFile));
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  json document = json::parse(text, nullptr, false);
  if (document.is_object()) {
    document = json::array({ document });
  }
  if (!document.is_array()) {
    return FailWith(
      kCommandName,
      2,
      fmt::format("{}: must hold a JSON object (one entry) or an array of them",
                  aFile));
  }
  if (document.size() > 1 &&
      (FLAGS_expected_revision >= 0 || !FLAGS_change_id.empty())) {
    return FailWith(kCommandName,
                    2,
                    "--expected_revision and --change_id can only be used with "
                    "a single entry");
  }
  int status = 0;
  for (const json& entry : document) {
    if (!entry.is_object() || !entry.contains("name") ||
        !entry["name"].is_string()) {
      return FailWith(kCommandName,
                      2,
                      "every entry must be a JSON object with a string 'name'");
    }
    status = std::max(
      status,
      SendChange(
        aClient, "PUT", entry["name"].get<std::string>(), entry.dump()));
  }
  return status;
}

} // namespace

int
CatalogueCommand(std::span<char*> aArgs)
{
  auto client = MakeControlClient();
  if (!client) {
    return FailWith(kCommandName, 2, client.error());
  }
  const std::string_view action = aArgs.empty() ? "" : aArgs[0];
  if (action == "list" && aArgs.size() == 1) {
    return PrintAnswer(client->Send("GET", "/v1/catalogue"));
  }
  if (action == "history" && aArgs.size() == 1) {
    return PrintAnswer(
      client->Send("GET", fmt::format("/v1/history?max={}", FLAGS_max)));
  }
  if (action == "get" && aArgs.size() == 2) {
    return PrintAnswer(
      client->Send("GET", "/v1/catalogue/" + PercentEncode(aArgs[1])));
  }
  if (action == "apply" && aArgs.size() == 2) {
    return ApplyFile(*client, aArgs[1]);
  }
  if (action == "remove" && aArgs.size() == 2) {
    return SendChange(*client, "DELETE", aArgs[1], "");
  }
  return FailWith(
    kCommandName,
    2,
    "expected: list | get NAME | apply FILE | remove NAME | history");
}

} // namespace rattanloft::tool
