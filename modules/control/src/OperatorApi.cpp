#include "OperatorApi.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "CatalogueJson.h"
#include "StatusReport.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/control/GroupText.h"

namespace rattanloft::control {

namespace {

using nlohmann::json;

// Records of the change history in one response.
constexpr size_t kMaxHistoryRecords = 10'000;
constexpr size_t kDefaultHistoryRecords = 100;
constexpr size_t kMaxChangeIdBytes = 64;

// Creates a change from the query parameters that all changes share. The error
// is the response to send.
tl::expected<wire::CatalogueChange, ApiResponse>
MakeChangeFromQuery(const ApiRequest& aRequest, const Clock& aClock)
{
  for (const auto& [name, value] : aRequest.m_query) {
    if (name != "change_id" && name != "expected_revision" &&
        name != "operator") {
      return tl::unexpected(
        MakeInvalidFieldResponse(name, "unknown parameter"));
    }
  }
  const std::string id = GetQueryText(aRequest, "change_id");
  if (id.empty() || id.size() > kMaxChangeIdBytes) {
    return tl::unexpected(
      MakeInvalidFieldResponse("change_id", "must have 1 to 64 bytes"));
  }
  const auto revision = GetQueryNumber(aRequest, "expected_revision");
  if (!revision) {
    return tl::unexpected(MakeInvalidFieldResponse(
      "expected_revision", "must be a whole number, 0 for no entry"));
  }
  wire::CatalogueChange change;
  change.set_change_id(id);
  change.set_expected_revision(*revision);
  change.set_operator_name(GetQueryText(aRequest, "operator"));
  change.set_proposed_at_unix_ms(aClock.UnixMs());
  return change;
}

// Whether two changes request the same operation. Ignores the time, the
// operator and the revision that the cluster assigns.
bool
SameOperation(wire::CatalogueChange aLeft, wire::CatalogueChange aRight)
{
  for (wire::CatalogueChange* change : { &aLeft, &aRight }) {
    change->clear_proposed_at_unix_ms();
    change->clear_operator_name();
    if (change->has_put()) {
      change->mutable_put()->clear_revision();
    }
  }
  return aLeft.SerializeAsString() == aRight.SerializeAsString();
}

// aMessage comes from the cluster state and has the form "field: reason".
ApiResponse
MakeInvalidChangeResponse(std::string_view aMessage)
{
  const auto colon = aMessage.find(": ");
  return colon == std::string_view::npos
           ? MakeInvalidFieldResponse("", aMessage)
           : MakeInvalidFieldResponse(aMessage.substr(0, colon),
                                      aMessage.substr(colon + 2));
}

// Returns the name of the entry that the change puts or removes.
const std::string&
EntryName(const wire::CatalogueChange& aChange)
{
  return aChange.has_put() ? aChange.put().name() : aChange.remove();
}

} // namespace

// Maps a method and path of the API to its handler.
struct OperatorApi::Route
{
  const char* m_method;
  // Path segments; "*" matches any segment that is not empty.
  std::vector<std::string_view> m_path;
  Handler m_handler;
};

const OperatorApi::Route OperatorApi::kRoutes[] = {
  { "GET", { "healthz" }, &OperatorApi::GetHealth },
  { "GET", { "metrics" }, &OperatorApi::GetMetrics },
  { "GET", { "v1", "status" }, &OperatorApi::GetStatus },
  { "GET", { "v1", "catalogue" }, &OperatorApi::ListEntries },
  { "GET", { "v1", "catalogue", "*" }, &OperatorApi::GetEntry },
  { "PUT", { "v1", "catalogue", "*" }, &OperatorApi::PutEntry },
  { "DELETE", { "v1", "catalogue", "*" }, &OperatorApi::RemoveEntry },
  { "GET", { "v1", "history" }, &OperatorApi::GetHistory },
  { "GET", { "v1", "routes" }, &OperatorApi::GetRoutes },
  { "POST", { "v1", "drain", "*" }, &OperatorApi::DrainNode },
  { "DELETE", { "v1", "drain", "*" }, &OperatorApi::UndrainNode },
  { "GET", { "v1", "quarantine" }, &OperatorApi::ListQuarantine },
  { "DELETE", { "v1", "quarantine", "*" }, &OperatorApi::ClearQuarantine },
  { "POST", { "v1", "members" }, &OperatorApi::AddMember },
  { "POST", { "v1", "members", "*", "promote" }, &OperatorApi::PromoteMember },
  { "DELETE", { "v1", "members", "*" }, &OperatorApi::RemoveMember },
  { "POST", { "v1", "transfer" }, &OperatorApi::StartLeadershipTransfer },
};

OperatorApi::OperatorApi(ControlCore& aCore)
  : m_core(aCore)
{
}

void
OperatorApi::Handle(const ApiRequest& aRequest, Responder aResponder)
{
  bool pathKnown = false;
  for (const Route& route : kRoutes) {
    const bool matches = std::ranges::equal(
      route.m_path,
      aRequest.m_path,
      [](std::string_view aPattern, const std::string& aPart) {
        return aPattern == "*" ? !aPart.empty() : aPattern == aPart;
      });
    pathKnown = pathKnown || matches;
    if (matches && aRequest.m_method == route.m_method) {
      (this->*route.m_handler)(aRequest, std::move(aResponder));
      return;
    }
  }
  aResponder(
    pathKnown
      ? MakeErrorResponse(
          kStatusMethodNotAllowed, "method_not_allowed", "wrong method")
      : MakeErrorResponse(kStatusNotFound, "not_found", "no such path"));
}

void
OperatorApi::GetStatus(const ApiRequest& /*aRequest*/, Responder aResponder)
{
  aResponder(MakeJsonResponse(kStatusOk, StatusToJson(m_core)));
}

void
OperatorApi::GetHealth(const ApiRequest& /*aRequest*/, Responder aResponder)
{
  aResponder({ .m_contentType = "text/plain", .m_body = "ok\n" });
}

void
OperatorApi::GetMetrics(const ApiRequest& /*aRequest*/, Responder aResponder)
{
  aResponder({ .m_contentType = "text/plain; version=0.0.4",
               .m_body = MetricsText(m_core) });
}

void
OperatorApi::ListEntries(const ApiRequest& /*aRequest*/, Responder aResponder)
{
  ReadLinearizable(std::move(aResponder), [this] {
    json entries = json::array();
    for (const auto& [name, entry] : m_core.Cluster().CatalogueEntries()) {
      entries.push_back(EntryToJson(entry));
    }
    return MakeJsonResponse(
      kStatusOk,
      { { "revision", m_core.Cluster().CatalogueRevision() },
        { "entries", std::move(entries) } });
  });
}

void
OperatorApi::GetEntry(const ApiRequest& aRequest, Responder aResponder)
{
  ReadLinearizable(std::move(aResponder), [this, name = aRequest.m_path[2]] {
    const auto& entries = m_core.Cluster().CatalogueEntries();
    const auto found = entries.find(name);
    return found != entries.end()
             ? MakeJsonResponse(kStatusOk, EntryToJson(found->second))
             : MakeErrorResponse(
                 kStatusNotFound, "not_found", "no entry of this name");
  });
}

void
OperatorApi::PutEntry(const ApiRequest& aRequest, Responder aResponder)
{
  auto change = MakeChangeFromQuery(aRequest, m_core.GetClock());
  if (!change) {
    aResponder(std::move(change.error()));
    return;
  }
  auto entry = EntryFromJson(std::string_view(aRequest.m_body));
  if (!entry) {
    aResponder(
      MakeInvalidFieldResponse(entry.error().m_field, entry.error().m_message));
    return;
  }
  if (entry->name().empty()) {
    entry->set_name(aRequest.m_path[2]);
  }
  if (entry->name() != aRequest.m_path[2]) {
    aResponder(
      MakeInvalidFieldResponse("name", "differs from the name in the path"));
    return;
  }
  *change->mutable_put() = std::move(*entry);
  ProposeCatalogueChange(std::move(*change), std::move(aResponder));
}

void
OperatorApi::RemoveEntry(const ApiRequest& aRequest, Responder aResponder)
{
  auto change = MakeChangeFromQuery(aRequest, m_core.GetClock());
  if (!change) {
    aResponder(std::move(change.error()));
    return;
  }
  change->set_remove(aRequest.m_path[2]);
  ProposeCatalogueChange(std::move(*change), std::move(aResponder));
}

void
OperatorApi::ProposeCatalogueChange(wire::CatalogueChange aChange,
                                    Responder aResponder)
{
  if (!m_core.IsLeader()) {
    aResponder(MakeNotLeaderResponse());
    return;
  }
  // A change with this id that is already applied is committed, so its result
  // is final.
  if (m_core.Cluster().FindChange(aChange.change_id()) != nullptr) {
    aResponder(MakeChangeResponse(aChange, true));
    return;
  }
  wire::Command command;
  *command.mutable_change() = aChange;
  m_core.Propose(command,
                 [this, change = std::move(aChange), aResponder](
                   const tl::expected<uint64_t, consensus::RaftError>& aIndex) {
                   if (!aIndex) {
                     aResponder(MakeProposalErrorResponse(aIndex.error()));
                     return;
                   }
                   const auto* record =
                     m_core.Cluster().FindChange(change.change_id());
                   aResponder(MakeChangeResponse(
                     change, record != nullptr && record->index() != *aIndex));
                 });
}

ApiResponse
OperatorApi::MakeChangeResponse(const wire::CatalogueChange& aChange,
                                bool aRepeated) const
{
  const auto* record = m_core.Cluster().FindChange(aChange.change_id());
  if (record == nullptr) {
    return MakeErrorResponse(
      kStatusUnavailable, "unknown", "the outcome is no longer recorded");
  }
  // The record of an invalid change does not contain the change itself.
  const bool comparable =
    record->result().status() != wire::CHANGE_STATUS_INVALID;
  if (aRepeated && comparable && !SameOperation(record->change(), aChange)) {
    return MakeErrorResponse(kStatusConflict,
                             "change_id_reused",
                             "another change was made under this change id");
  }
  const wire::ChangeResult& result = record->result();
  LogInfo("catalogue",
          "change {} of {} by '{}': {} at revision {}{}",
          aChange.change_id(),
          EntryName(aChange),
          aChange.operator_name(),
          wire::ChangeStatus_Name(result.status()),
          result.revision(),
          aRepeated ? " (repeated)" : "");
  json body = { { "change_id", aChange.change_id() },
                { "name", EntryName(aChange) },
                { "revision", result.revision() },
                { "repeated", aRepeated } };
  switch (result.status()) {
    case wire::CHANGE_STATUS_ACCEPTED:
      body["status"] = "accepted";
      return MakeJsonResponse(kStatusOk, body);
    case wire::CHANGE_STATUS_REVISION_MISMATCH: {
      const auto& entries = m_core.Cluster().CatalogueEntries();
      const auto found = entries.find(EntryName(aChange));
      body["error"] = "revision_mismatch";
      body["message"] = "another change came first";
      body["entry"] =
        found != entries.end() ? EntryToJson(found->second) : json();
      return MakeJsonResponse(kStatusConflict, body);
    }
    case wire::CHANGE_STATUS_CATALOGUE_FULL:
      return MakeErrorResponse(
        kStatusInsufficientStorage, "catalogue_full", result.message());
    default:
      return MakeInvalidChangeResponse(result.message());
  }
}

void
OperatorApi::GetHistory(const ApiRequest& aRequest, Responder aResponder)
{
  const auto max = aRequest.m_query.contains("max")
                     ? GetQueryNumber(aRequest, "max")
                     : std::optional<uint64_t>(kDefaultHistoryRecords);
  if (!max || *max > kMaxHistoryRecords) {
    aResponder(
      MakeInvalidFieldResponse("max", "must be a whole number up to 10000"));
    return;
  }
  ReadLinearizable(std::move(aResponder), [this, max = *max] {
    json changes = json::array();
    for (const auto& record : m_core.Cluster().History(max)) {
      changes.push_back(HistoryRecordToJson(record));
    }
    return MakeJsonResponse(kStatusOk, { { "changes", std::move(changes) } });
  });
}

void
OperatorApi::GetRoutes(const ApiRequest& aRequest, Responder aResponder)
{
  ReadLinearizable(
    std::move(aResponder), [this, service = GetQueryText(aRequest, "service")] {
      json routes = RoutesToJson(m_core.Cluster(), service);
      return routes.is_null() ? MakeErrorResponse(kStatusNotFound,
                                                  "not_found",
                                                  "the service has no shards")
                              : MakeJsonResponse(kStatusOk, routes);
    });
}

void
OperatorApi::DrainNode(const ApiRequest& aRequest, Responder aResponder)
{
  SetDrain(aRequest.m_path[2], true, std::move(aResponder));
}

void
OperatorApi::UndrainNode(const ApiRequest& aRequest, Responder aResponder)
{
  SetDrain(aRequest.m_path[2], false, std::move(aResponder));
}

void
OperatorApi::SetDrain(const std::string& aNode,
                      bool aDrain,
                      Responder aResponder)
{
  if (!m_core.IsLeader()) {
    aResponder(MakeNotLeaderResponse());
    return;
  }
  for (const auto& [number, backend] : m_core.Cluster().Backends()) {
    if (backend.node_id() != aNode ||
        backend.state() == wire::BACKEND_STATE_GONE) {
      continue;
    }
    wire::Command command;
    command.mutable_set_operator_drain()->set_backend(number);
    command.mutable_set_operator_drain()->set_drain(aDrain);
    LogInfo("control",
            "drain of node {}, backend {}{}",
            aNode,
            number,
            aDrain ? "" : " undone");
    const char* status = aDrain ? "draining" : "undrained";
    m_core.Propose(
      command,
      [this, number = number, status, aResponder](
        const tl::expected<uint64_t, consensus::RaftError>& aIndex) {
        aResponder(
          aIndex ? MakeJsonResponse(
                     kStatusOk, { { "status", status }, { "backend", number } })
                 : MakeProposalErrorResponse(aIndex.error()));
      });
    return;
  }
  aResponder(MakeErrorResponse(
    kStatusNotFound, "not_found", "the node has no backend server"));
}

void
OperatorApi::ListQuarantine(const ApiRequest& /*aRequest*/,
                            Responder aResponder)
{
  if (!m_core.IsLeader()) {
    aResponder(MakeNotLeaderResponse());
    return;
  }
  json entries = json::array();
  for (const wire::QuarantineEntry& entry : m_core.Quarantine()) {
    const bool blocked = entry.state() == wire::QUARANTINE_STATE_BLOCKED;
    entries.push_back({ { "fingerprint", FormatReplicaId(entry.fingerprint()) },
                        { "service", entry.service() },
                        { "state", blocked ? "blocked" : "suspect" },
                        { "left_ms", entry.left_ms() } });
  }
  aResponder(
    MakeJsonResponse(kStatusOk, { { "entries", std::move(entries) } }));
}

void
OperatorApi::ClearQuarantine(const ApiRequest& aRequest, Responder aResponder)
{
  if (!m_core.IsLeader()) {
    aResponder(MakeNotLeaderResponse());
    return;
  }
  const auto fingerprint = ParseReplicaId(aRequest.m_path[2]);
  if (!fingerprint) {
    aResponder(
      MakeInvalidFieldResponse("fingerprint", "must be 16 hexadecimal digits"));
    return;
  }
  if (!m_core.ClearQuarantine(*fingerprint)) {
    aResponder(MakeErrorResponse(
      kStatusNotFound, "not_found", "no such suspect or block"));
    return;
  }
  LogInfo("control", "cleared request {}", aRequest.m_path[2]);
  aResponder(MakeJsonResponse(kStatusOk, { { "status", "cleared" } }));
}

void
OperatorApi::StartLeadershipTransfer(const ApiRequest& /*aRequest*/,
                                     Responder aResponder)
{
  if (!m_core.IsLeader()) {
    aResponder(MakeNotLeaderResponse());
    return;
  }
  m_core.TransferLeadership();
  aResponder(MakeJsonResponse(kStatusOk, { { "status", "started" } }));
}

void
OperatorApi::ReadLinearizable(Responder aResponder,
                              std::function<ApiResponse()> aRead)
{
  if (!m_core.IsLeader()) {
    aResponder(MakeNotLeaderResponse());
    return;
  }
  m_core.ReadBarrier(
    [this, aResponder, read = std::move(aRead)](
      const tl::expected<void, consensus::RaftError>& aResult) {
      // A failed read has no effect, so the client may simply try again.
      aResponder(aResult ? read() : MakeNotLeaderResponse());
    });
}

ApiResponse
OperatorApi::MakeNotLeaderResponse() const
{
  const auto status = m_core.Status();
  for (const wire::GroupMember& member : status.m_config.members()) {
    if (member.replica_id() == status.m_leaderId &&
        status.m_leaderId != status.m_replicaId) {
      return MakeJsonResponse(
        kStatusMisdirected,
        { { "error", "not_leader" },
          { "leader_id", FormatReplicaId(member.replica_id()) },
          { "leader_http_address", member.http_address() } });
    }
  }
  return MakeErrorResponse(
    kStatusUnavailable, "no_leader", "no control quorum; nothing was done");
}

ApiResponse
OperatorApi::MakeProposalErrorResponse(const consensus::RaftError& aError) const
{
  switch (aError.m_code) {
    case consensus::RaftErrorCode::kNotLeader:
      return MakeNotLeaderResponse();
    case consensus::RaftErrorCode::kLeadershipLost:
      return MakeErrorResponse(
        kStatusUnavailable,
        "unknown",
        "leadership was lost; it is unknown whether the change was "
        "made; send it again with the same change id");
    case consensus::RaftErrorCode::kInvalidArgument:
      return MakeErrorResponse(kStatusBadRequest, "invalid", aError.m_message);
    case consensus::RaftErrorCode::kBusy:
    case consensus::RaftErrorCode::kStorageFailure:
      break;
  }
  return MakeErrorResponse(
    kStatusUnavailable,
    "not_accepted",
    fmt::format("{}; nothing was done", aError.m_message));
}

} // namespace rattanloft::control
