#include "rattanloft/fleet/JoinRequests.h"

#include <catch2/catch.hpp>

#include "Builders.h"
#include "rattanloft/fleet/MembershipPlanner.h"

namespace rattanloft::fleet {

namespace {

void
AddMember(MembershipView& aView,
          uint64_t aId,
          const std::string& aAddress,
          bool aIsLearner)
{
  wire::GroupMember& member = *aView.m_config.add_members();
  member.set_replica_id(aId);
  member.set_grpc_address(aAddress);
  member.set_learner(aIsLearner);
  aView.m_health[aId] = { Milliseconds(50), 1 };
}

} // namespace

// Guards against a healthy replica that is replaced since this leader knows a
// replica that was at the same address long ago.
TEST_CASE("join requests of an earlier leadership change nothing")
{
  MembershipView view;
  view.m_self = 1;
  view.m_targetVoters = 3;
  view.m_commitIndex = 1;
  AddMember(view, 1, "1:1", false);
  AddMember(view, 2, "2:1", false);
  // Took the place of replica 3 while another replica was the leader.
  AddMember(view, 4, "3:1", false);
  AddMember(view, 5, "5:1", true);

  JoinRequests joins;
  joins.OnLeadershipGained();
  joins.Record(MakeJoin(3, "3:1"));
  joins.OnLeadershipGained();
  view.m_joins = joins.ByReplica();
  CHECK_FALSE(PlanMembership(view).has_value());
}

// Guards against a coordinator that is gone for good and is added again after
// each removal, and against a list that is full of such coordinators.
TEST_CASE("replicas that were removed are not added again by themselves")
{
  JoinRequests joins;
  for (uint64_t id = 2; id <= 201; ++id) {
    joins.Record(MakeJoin(id, std::to_string(id) + ":1"));
    REQUIRE(joins.ByReplica().contains(id));
    MembershipView before;
    AddMember(before, 1, "1:1", false);
    const wire::GroupConfig after = before.m_config;
    AddMember(before, id, std::to_string(id) + ":1", true);
    joins.OnMembersChanged(before.m_config, after);
    REQUIRE_FALSE(joins.ByReplica().contains(id));
  }
}

} // namespace rattanloft::fleet
