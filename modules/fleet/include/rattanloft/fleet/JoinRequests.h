#pragma once

#include <cstdint>
#include <map>

#include "fleet.pb.h"
#include "raft.pb.h"

namespace rattanloft::fleet {

// The join requests that a coordinator has received since it began to lead. A
// replica sends them until it is a member, and again after it was removed.
// Pure.
class JoinRequests
{
public:
  // Replaces an earlier request from the same address: a coordinator that joins
  // with a new replica id has lost its disk. Drops the request if there are too
  // many.
  void Record(const wire::JoinRequest& aRequest);
  // What was recorded under an earlier leadership says nothing about the
  // replicas that have joined other leaders since.
  void OnLeadershipGained();
  // A member that is removed must ask again, or a replica that is gone for good
  // would be added again and again.
  void OnMembersChanged(const wire::GroupConfig& aBefore,
                        const wire::GroupConfig& aAfter);

  // By replica id.
  const std::map<uint64_t, wire::JoinRequest>& ByReplica() const
  {
    return m_requests;
  }

private:
  std::map<uint64_t, wire::JoinRequest> m_requests;
};

} // namespace rattanloft::fleet
