#pragma once

#include <functional>
#include <string>

#include "ApiTypes.h"
#include "ControlCore.h"

namespace rattanloft::control {

// The HTTP API for operators, without the HTTP server. Owned by the control
// instance and used on its control thread. Each responder is called once,
// possibly after the call returns.
class OperatorApi
{
public:
  using Responder = std::function<void(ApiResponse aResponse)>;

  // aCore must outlive the API.
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
  void StartLeadershipTransfer(const ApiRequest& aRequest,
                               Responder aResponder);

  // Proposes a change unless one with the same change id is already applied;
  // responds with the recorded outcome in both cases.
  void ProposeCatalogueChange(wire::CatalogueChange aChange,
                              Responder aResponder);
  // Responds with the recorded outcome of a change. aRepeated tells that the
  // change was applied before, at an earlier request.
  ApiResponse MakeChangeResponse(const wire::CatalogueChange& aChange,
                                 bool aRepeated) const;
  // Responds with the result of aRead, which runs once the state is known to
  // include everything that was committed before this call.
  void ReadLinearizable(Responder aResponder,
                        std::function<ApiResponse()> aRead);
  void ProposeGroupConfig(wire::GroupConfig aConfig, Responder aResponder);
  // Status 421 with the address of the leader, or status 503 if no leader is
  // known.
  ApiResponse MakeNotLeaderResponse() const;
  // Response for a command or a membership change that the log did not apply.
  ApiResponse MakeProposalErrorResponse(
    const consensus::RaftError& aError) const;

  ControlCore& m_core;
};

} // namespace rattanloft::control
