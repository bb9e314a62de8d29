#include "OperatorApi.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "rattanloft/control/GroupText.h"

// The part of the operators' interface that changes the group.
namespace rattanloft::control {

using nlohmann::json;

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
     aResponder](const tl::expected<uint64_t, consensus::RaftError>& aIndex) {
      aResponder(
        aIndex ? Json(kOk, { { "status", "accepted" }, { "index", *aIndex } })
               : FromLogError(aIndex.error()));
    });
}

} // namespace rattanloft::control
