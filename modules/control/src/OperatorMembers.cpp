#include "OperatorApi.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "rattanloft/control/GroupText.h"

// The part of OperatorApi that changes the members of the control group.
namespace rattanloft::control {

using nlohmann::json;

void
OperatorApi::AddMember(const ApiRequest& aRequest, Responder aResponder)
{
  const json body = json::parse(aRequest.m_body, nullptr, false);
  const auto readString = [&body](const char* aName) {
    return body.is_object() && body.contains(aName) && body[aName].is_string()
             ? body[aName].get<std::string>()
             : std::string();
  };
  const auto id = ParseReplicaId(readString("replica_id"));
  if (!id) {
    aResponder(
      MakeInvalidFieldResponse("replica_id", "must be 16 hexadecimal digits"));
    return;
  }
  for (const char* field : { "grpc_address", "http_address" }) {
    if (!ParseHostPort(readString(field))) {
      aResponder(
        MakeInvalidFieldResponse(field, "must be an IP address and a port"));
      return;
    }
  }
  auto config = m_core.Status().m_config;
  for (const wire::GroupMember& member : config.members()) {
    if (member.replica_id() == *id) {
      aResponder(MakeErrorResponse(
        kStatusConflict, "exists", "the replica is a member already"));
      return;
    }
  }
  wire::GroupMember* member = config.add_members();
  member->set_replica_id(*id);
  member->set_grpc_address(readString("grpc_address"));
  member->set_http_address(readString("http_address"));
  member->set_zone(readString("zone"));
  member->set_learner(true);
  ProposeGroupConfig(std::move(config), std::move(aResponder));
}

void
OperatorApi::PromoteMember(const ApiRequest& aRequest, Responder aResponder)
{
  const auto id = ParseReplicaId(aRequest.m_path[2]);
  auto config = m_core.Status().m_config;
  for (wire::GroupMember& member : *config.mutable_members()) {
    if (member.replica_id() == id) {
      member.set_learner(false);
      ProposeGroupConfig(std::move(config), std::move(aResponder));
      return;
    }
  }
  aResponder(MakeErrorResponse(
    kStatusNotFound, "not_found", "no member has this replica id"));
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
    aResponder(MakeErrorResponse(
      kStatusNotFound, "not_found", "no member has this replica id"));
    return;
  }
  members.erase(found);
  ProposeGroupConfig(std::move(config), std::move(aResponder));
}

void
OperatorApi::ProposeGroupConfig(wire::GroupConfig aConfig, Responder aResponder)
{
  if (!m_core.IsLeader()) {
    aResponder(MakeNotLeaderResponse());
    return;
  }
  m_core.ProposeConfig(
    std::move(aConfig),
    [this,
     aResponder](const tl::expected<uint64_t, consensus::RaftError>& aIndex) {
      aResponder(aIndex ? MakeJsonResponse(
                            kStatusOk,
                            { { "status", "accepted" }, { "index", *aIndex } })
                        : MakeProposalErrorResponse(aIndex.error()));
    });
}

} // namespace rattanloft::control
