#pragma once

#include <functional>
#include <string>

#include "ApiTypes.h"
#include "ControlCore.h"

namespace rattanloft::control {

// The operators' interface, without sockets. Owned by the control instance and
// used on its control thread. Each responder is called once.
class OperatorApi
{
public:
  using Responder = std::function<void(ApiResponse aResponse)>;

  explicit OperatorApi(ControlCore& aCore);

  void Handle(const ApiRequest& aRequest, Responder aResponder);

private:
  using Handler = void (OperatorApi::*)(const ApiRequest&, Responder);
  struct Route;
  static const Route kRoutes[];

  void GetStatus(const ApiRequest& aRequest, Responder aResponder);
  void GetHealth(const ApiRequest& aRequest, Responder aResponder);
  void GetMetrics(const ApiRequest& aRequest, Responder aResponder);
  void ListEntries(const ApiRequest& aRequest, Responder aResponder);
  void GetEntry(const ApiRequest& aRequest, Responder aResponder);
  void PutEntry(const ApiRequest& aRequest, Responder aResponder);
  void RemoveEntry(const ApiRequest& aRequest, Responder aResponder);
  void GetHistory(const ApiRequest& aRequest, Responder aResponder);
  void GetRoutes(const ApiRequest& aRequest, Responder aResponder);
  void DrainNode(const ApiRequest& aRequest, Responder aResponder);
  void ListQuarantine(const ApiRequest& aRequest, Responder aResponder);
  void ClearQuarantine(const ApiRequest& aRequest, Responder aResponder);
  void UndrainNode(const ApiRequest& aRequest, Responder aResponder);
  void SetDrain(const std::string& aNode, bool aDrain, Responder aResponder);
  void AddMember(const ApiRequest& aRequest, Responder aResponder);
  void PromoteMember(const ApiRequest& aRequest, Responder aResponder);
  void RemoveMember(const ApiRequest& aRequest, Responder aResponder);
  void Transfer(const ApiRequest& aRequest, Responder aResponder);

  void ProposeChange(wire::CatalogueChange aChange, Responder aResponder);
  ApiResponse ChangeResponse(const wire::CatalogueChange& aChange,
                             bool aRepeated) const;
  // Runs aRead on state that is current as of now.
  void ReadLinearizable(Responder aResponder,
                        std::function<ApiResponse()> aRead);
  void ProposeMembers(wire::GroupConfig aConfig, Responder aResponder);
  // 421 with the leader's address, or 503 without a leader.
  ApiResponse NotLeader() const;
  ApiResponse FromLogError(const consensus::RaftError& aError) const;

  ControlCore& m_core;
};

} // namespace rattanloft::control
