#include "rattanloft/fleet/JoinRequests.h"

#include "rattanloft/fleet/MembershipPlanner.h"

namespace rattanloft::fleet {

namespace {

constexpr size_t kMaxJoinRequests = 64;

} // namespace

void
JoinRequests::Record(const wire::JoinRequest& aRequest)
{
  std::erase_if(m_requests, [&](const auto& aEarlier) {
    return aEarlier.second.internal_address() == aRequest.internal_address();
  });
  if (m_requests.size() < kMaxJoinRequests) {
    m_requests[aRequest.replica_id()] = aRequest;
  }
}

void
JoinRequests::OnLeadershipGained()
{
  m_requests.clear();
}

void
JoinRequests::OnMembersChanged(const wire::GroupConfig& aBefore,
                               const wire::GroupConfig& aAfter)
{
  for (const wire::GroupMember& member : aBefore.members()) {
    if (!IsMember(aAfter, member.replica_id())) {
      m_requests.erase(member.replica_id());
    }
  }
}

} // namespace rattanloft::fleet
