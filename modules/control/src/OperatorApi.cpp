#include "OperatorApi.h"

#include <algorithm>
#include <charconv>
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

// Status codes as the operators' interface uses them.
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kCatalogueFull = 507;

constexpr size_t kMaxHistory = 10'000;
constexpr size_t kDefaultHistory = 100;
constexpr size_t kMaxChangeId = 64;

ApiResponse
Json(int aStatus, const json& aBody)
{
  // Text that operators send may not be valid UTF-8, on which dump() throws.
  return {
    .m_status = aStatus,
    .m_body = aBody.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"
  };
}

ApiResponse
Error(int aStatus, std::string_view aCode, std::string_view aMessage)
{
  return Json(aStatus, { { "error", aCode }, { "message", aMessage } });
}

ApiResponse
BadField(std::string_view aField, std::string_view aMessage)
{
  return Json(
    kBadRequest,
    { { "error", "invalid" }, { "field", aField }, { "message", aMessage } });
}

std::optional<std::string>
Decode(std::string_view aText)
{
  std::string out;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      out += aText[i];
      continue;
    }
    uint8_t byte = 0;
    const char* begin = aText.data() + i + 1;
    if (i + 2 >= aText.size() ||
        std::from_chars(begin, begin + 2, byte, 16).ptr != begin + 2) {
      return std::nullopt;
    }
    out += static_cast<char>(byte);
    i += 2;
  }
  return out;
}

bool
ParseQuery(std::string_view aText, std::map<std::string, std::string>& aOut)
{
  while (!aText.empty()) {
    const auto end = aText.find('&');
    const std::string_view item = aText.substr(0, end);
    const auto equals = item.find('=');
    const auto name = Decode(item.substr(0, equals));
    const auto value = equals == std::string_view::npos
                         ? std::optional<std::string>("")
                         : Decode(item.substr(equals + 1));
    if (!name || !value) {
      return false;
    }
    aOut[*name] = *value;
    aText = end == std::string_view::npos ? std::string_view{}
                                          : aText.substr(end + 1);
  }
  return true;
}

std::string
QueryText(const ApiRequest& aRequest, const char* aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? "" : found->second;
}

std::optional<uint64_t>
QueryNumber(const ApiRequest& aRequest, const char* aName)
{
  const std::string text = QueryText(aRequest, aName);
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  return text.empty() || result.ec != std::errc() || result.ptr != end
           ? std::nullopt
           : std::optional(value);
}

// Fills in what every change names. The error is a response.
tl::expected<wire::CatalogueChange, ApiResponse>
ChangeFromQuery(const ApiRequest& aRequest, const Clock& aClock)
{
  for (const auto& [name, value] : aRequest.m_query) {
    if (name != "change_id" && name != "expected_revision" &&
        name != "operator") {
      return tl::unexpected(BadField(name, "unknown parameter"));
    }
  }
  const std::string id = QueryText(aRequest, "change_id");
  if (id.empty() || id.size() > kMaxChangeId) {
    return tl::unexpected(BadField("change_id", "must have 1 to 64 bytes"));
  }
  const auto revision = QueryNumber(aRequest, "expected_revision");
  if (!revision) {
    return tl::unexpected(
      BadField("expected_revision", "must be a whole number, 0 for no entry"));
  }
  wire::CatalogueChange change;
  change.set_change_id(id);
  change.set_expected_revision(*revision);
  change.set_operator_name(QueryText(aRequest, "operator"));
  change.set_proposed_at_unix_ms(aClock.UnixMs());
  return change;
}

// Whether two changes ask for the same. Times and revisions set by the cluster
// do not count.
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

const std::string&
NameOf(const wire::CatalogueChange& aChange)
{
  return aChange.has_put() ? aChange.put().name() : aChange.remove();
}

} // namespace

struct OperatorApi::Route
{
  const char* m_method;
  // Path after /v1 in segments; "*" matches any one.
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
  { "POST", { "v1", "members" }, &OperatorApi::AddMember },
  { "POST", { "v1", "members", "*", "promote" }, &OperatorApi::PromoteMember },
  { "DELETE", { "v1", "members", "*" }, &OperatorApi::RemoveMember },
  { "POST", { "v1", "transfer" }, &OperatorApi::Transfer },
};

bool
ParseTarget(std::string_view aTarget, ApiRequest& aOut)
{
  const auto question = aTarget.find('?');
  if (question != std::string_view::npos &&
      !ParseQuery(aTarget.substr(question + 1), aOut.m_query)) {
    return false;
  }
  std::string_view path = aTarget.substr(0, question);
  if (!path.starts_with('/')) {
    return false;
  }
  while (!path.empty()) {
    path.remove_prefix(1);
    const auto segment = Decode(path.substr(0, path.find('/')));
    if (!segment) {
      return false;
    }
    aOut.m_path.push_back(*segment);
    path = path.substr(std::min(path.find('/'), path.size()));
  }
  return true;
}

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
  aResponder(pathKnown
               ? Error(kMethodNotAllowed, "method_not_allowed", "wrong method")
               : Error(kNotFound, "not_found", "no such path"));
}

void
OperatorApi::GetStatus(const ApiRequest& /*aRequest*/, Responder aResponder)
{
  aResponder(Json(kOk, StatusToJson(m_core)));
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
    for (const auto& [name, entry] : m_core.Cluster().Entries()) {
      entries.push_back(EntryToJson(entry));
    }
    return Json(kOk,
                { { "revision", m_core.Cluster().CatalogueRevision() },
                  { "entries", std::move(entries) } });
  });
}

void
OperatorApi::GetEntry(const ApiRequest& aRequest, Responder aResponder)
{
  ReadLinearizable(std::move(aResponder), [this, name = aRequest.m_path[2]] {
    const auto& entries = m_core.Cluster().Entries();
    const auto found = entries.find(name);
    return found != entries.end()
             ? Json(kOk, EntryToJson(found->second))
             : Error(kNotFound, "not_found", "no entry of this name");
  });
}

void
OperatorApi::PutEntry(const ApiRequest& aRequest, Responder aResponder)
{
  auto change = ChangeFromQuery(aRequest, m_core.TheClock());
  if (!change) {
    aResponder(std::move(change.error()));
    return;
  }
  auto entry = EntryFromJson(std::string_view(aRequest.m_body));
  if (!entry) {
    aResponder(BadField(entry.error().m_field, entry.error().m_message));
    return;
  }
  if (entry->name().empty()) {
    entry->set_name(aRequest.m_path[2]);
  }
  if (entry->name() != aRequest.m_path[2]) {
    aResponder(BadField("name", "differs from the name in the path"));
    return;
  }
  *change->mutable_put() = std::move(*entry);
  ProposeChange(std::move(*change), std::move(aResponder));
}

void
OperatorApi::RemoveEntry(const ApiRequest& aRequest, Responder aResponder)
{
  auto change = ChangeFromQuery(aRequest, m_core.TheClock());
  if (!change) {
    aResponder(std::move(change.error()));
    return;
  }
  change->set_remove(aRequest.m_path[2]);
  ProposeChange(std::move(*change), std::move(aResponder));
}

void
OperatorApi::ProposeChange(wire::CatalogueChange aChange, Responder aResponder)
{
  if (!m_core.IsLeader()) {
    aResponder(NotLeader());
    return;
  }
  // What was applied is committed, so its result is final.
  if (m_core.Cluster().FindChange(aChange.change_id()) != nullptr) {
    aResponder(ChangeResponse(aChange, true));
    return;
  }
  wire::Command command;
  *command.mutable_change() = aChange;
  m_core.Propose(command,
                 [this, change = std::move(aChange), aResponder](
                   const tl::expected<uint64_t, consensus::LogError>& aIndex) {
                   if (!aIndex) {
                     aResponder(FromLogError(aIndex.error()));
                     return;
                   }
                   const auto* record =
                     m_core.Cluster().FindChange(change.change_id());
                   aResponder(ChangeResponse(
                     change, record != nullptr && record->index() != *aIndex));
                 });
}

ApiResponse
OperatorApi::ChangeResponse(const wire::CatalogueChange& aChange,
                            bool aRepeated) const
{
  const auto* record = m_core.Cluster().FindChange(aChange.change_id());
  if (record == nullptr) {
    return Error(kUnavailable, "unknown", "the outcome is no longer recorded");
  }
  if (aRepeated && !SameOperation(record->change(), aChange)) {
    return Error(kConflict,
                 "change_id_reused",
                 "another change was made under this change id");
  }
  const wire::ChangeResult& result = record->result();
  LogInfo("catalogue",
          "change {} of {} by '{}': {} at revision {}{}",
          aChange.change_id(),
          NameOf(aChange),
          aChange.operator_name(),
          wire::ChangeStatus_Name(result.status()),
          result.revision(),
          aRepeated ? " (sent again)" : "");
  json body = { { "change_id", aChange.change_id() },
                { "name", NameOf(aChange) },
                { "revision", result.revision() },
                { "repeated", aRepeated } };
  switch (result.status()) {
    case wire::CHANGE_STATUS_ACCEPTED:
      body["status"] = "accepted";
      return Json(kOk, body);
    case wire::CHANGE_STATUS_REVISION_MISMATCH: {
      const auto& entries = m_core.Cluster().Entries();
      const auto found = entries.find(NameOf(aChange));
      body["error"] = "revision_mismatch";
      body["message"] = "another change came first";
      body["entry"] =
        found != entries.end() ? EntryToJson(found->second) : json();
      return Json(kConflict, body);
    }
    case wire::CHANGE_STATUS_CATALOGUE_FULL:
      return Error(kCatalogueFull, "catalogue_full", result.message());
    default:
      return Error(kBadRequest, "invalid", result.message());
  }
}

void
OperatorApi::GetHistory(const ApiRequest& aRequest, Responder aResponder)
{
  const auto max = aRequest.m_query.contains("max")
                     ? QueryNumber(aRequest, "max")
                     : std::optional<uint64_t>(kDefaultHistory);
  if (!max || *max > kMaxHistory) {
    aResponder(BadField("max", "must be a whole number up to 10000"));
    return;
  }
  ReadLinearizable(std::move(aResponder), [this, max = *max] {
    json changes = json::array();
    for (const auto& record : m_core.Cluster().History(max)) {
      changes.push_back(HistoryToJson(record));
    }
    return Json(kOk, { { "changes", std::move(changes) } });
  });
}

void
OperatorApi::GetRoutes(const ApiRequest& aRequest, Responder aResponder)
{
  ReadLinearizable(
    std::move(aResponder), [this, service = QueryText(aRequest, "service")] {
      json routes = RoutesToJson(m_core.Cluster(), service);
      return routes.is_null()
               ? Error(kNotFound, "not_found", "the service has no shards")
               : Json(kOk, routes);
    });
}

void
OperatorApi::DrainNode(const ApiRequest& aRequest, Responder aResponder)
{
  const std::string& node = aRequest.m_path[2];
  if (!m_core.IsLeader()) {
    aResponder(NotLeader());
    return;
  }
  for (const auto& [number, backend] : m_core.Cluster().Backends()) {
    if (backend.node_id() != node ||
        backend.state() == wire::BACKEND_STATE_GONE) {
      continue;
    }
    wire::Command command;
    command.mutable_set_backend_state()->set_backend(number);
    command.mutable_set_backend_state()->set_state(
      wire::BACKEND_STATE_DRAINING);
    LogInfo("control", "drain of node {}, backend {}", node, number);
    m_core.Propose(
      command,
      [this, number = number, aResponder](
        const tl::expected<uint64_t, consensus::LogError>& aIndex) {
        aResponder(
          aIndex
            ? Json(kOk, { { "status", "draining" }, { "backend", number } })
            : FromLogError(aIndex.error()));
      });
    return;
  }
  aResponder(Error(kNotFound, "not_found", "the node has no backend server"));
}

void
OperatorApi::AddMember(const ApiRequest& aRequest, Responder aResponder)
{
  const json body = json::parse(aRequest.m_body, nullptr, false);
  const auto text = [&body](const char* aName) {
    return body.is_object() && body.contains(aName) && body[aName].is_string()
             ? body[aName].get<std::string>()
             : std::string();
  };
  const auto id = ParseReplicaId(text("replica_id"));
  if (!id) {
    aResponder(BadField("replica_id", "must be 16 hexadecimal digits"));
    return;
  }
  for (const char* field : { "grpc_address", "http_address" }) {
    if (!ParseHostPort(text(field))) {
      aResponder(BadField(field, "must be an IP address and a port"));
      return;
    }
  }
  auto config = m_core.Status().m_config;
  for (const wire::GroupMember& member : config.members()) {
    if (member.replica_id() == *id) {
      aResponder(Error(kConflict, "exists", "the replica is a member already"));
      return;
    }
  }
  wire::GroupMember* member = config.add_members();
  member->set_replica_id(*id);
  member->set_grpc_address(text("grpc_address"));
  member->set_http_address(text("http_address"));
  member->set_zone(text("zone"));
  member->set_learner(true);
  ProposeMembers(std::move(config), std::move(aResponder));
}

void
OperatorApi::PromoteMember(const ApiRequest& aRequest, Responder aResponder)
{
  const auto id = ParseReplicaId(aRequest.m_path[2]);
  auto config = m_core.Status().m_config;
  for (wire::GroupMember& member : *config.mutable_members()) {
    if (member.replica_id() == id) {
      member.set_learner(false);
      ProposeMembers(std::move(config), std::move(aResponder));
      return;
    }
  }
  aResponder(Error(kNotFound, "not_found", "no member has this replica id"));
}

void
OperatorApi::RemoveMember(const ApiRequest& aRequest, Responder aResponder)
{
  const auto id = ParseReplicaId(aRequest.m_path[2]);
  auto config = m_core.Status().m_config;
  auto& members = *config.mutable_members();
  const auto found = std::ranges::find_if(
    members, [&](const auto& aMember) { return aMember.replica_id() == id; });
  if (found == members.end()) {
    aResponder(Error(kNotFound, "not_found", "no member has this replica id"));
    return;
  }
  members.erase(found);
  ProposeMembers(std::move(config), std::move(aResponder));
}

void
OperatorApi::ProposeMembers(wire::GroupConfig aConfig, Responder aResponder)
{
  if (!m_core.IsLeader()) {
    aResponder(NotLeader());
    return;
  }
  m_core.ProposeConfig(
    std::move(aConfig),
    [this,
     aResponder](const tl::expected<uint64_t, consensus::LogError>& aIndex) {
      aResponder(
        aIndex ? Json(kOk, { { "status", "accepted" }, { "index", *aIndex } })
               : FromLogError(aIndex.error()));
    });
}

void
OperatorApi::Transfer(const ApiRequest& /*aRequest*/, Responder aResponder)
{
  if (!m_core.IsLeader()) {
    aResponder(NotLeader());
    return;
  }
  m_core.TransferLeadership();
  aResponder(Json(kOk, { { "status", "started" } }));
}

void
OperatorApi::ReadLinearizable(Responder aResponder,
                              std::function<ApiResponse()> aRead)
{
  if (!m_core.IsLeader()) {
    aResponder(NotLeader());
    return;
  }
  m_core.ReadBarrier([this, aResponder, read = std::move(aRead)](
                       const tl::expected<void, consensus::LogError>& aOk) {
    // A failed read has no effect, so the client may simply ask again.
    aResponder(aOk ? read() : NotLeader());
  });
}

ApiResponse
OperatorApi::NotLeader() const
{
  const auto status = m_core.Status();
  for (const wire::GroupMember& member : status.m_config.members()) {
    if (member.replica_id() == status.m_leaderId &&
        status.m_leaderId != status.m_replicaId) {
      return Json(kMisdirected,
                  { { "error", "not_leader" },
                    { "leader_id", FormatReplicaId(member.replica_id()) },
                    { "leader_http_address", member.http_address() } });
    }
  }
  return Error(
    kUnavailable, "no_leader", "no control quorum; nothing was done");
}

ApiResponse
OperatorApi::FromLogError(const consensus::LogError& aError) const
{
  switch (aError.m_code) {
    case consensus::LogErrorCode::kNotLeader:
      return NotLeader();
    case consensus::LogErrorCode::kLeadershipLost:
      return Error(kUnavailable,
                   "unknown",
                   "leadership was lost; it is unknown whether the change was "
                   "made; send it again with the same change id");
    case consensus::LogErrorCode::kInvalid:
      return Error(kBadRequest, "invalid", aError.m_message);
    case consensus::LogErrorCode::kBusy:
    case consensus::LogErrorCode::kStorage:
      break;
  }
  return Error(kUnavailable,
               "not_accepted",
               fmt::format("{}; nothing was done", aError.m_message));
}

} // namespace rattanloft::control
