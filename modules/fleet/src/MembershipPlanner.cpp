#include "rattanloft/fleet/MembershipPlanner.h"

#include <algorithm>

namespace rattanloft::fleet {

namespace {

// A voter that is silent for longer is replaced if a live learner is ready: an
// instance that replaces another must vote within the catch-up time of 4 s.
constexpr Duration kVoterSilence = Milliseconds(1500);
// A replica that answered within this time can take part in a change.
constexpr Duration kAlive = Milliseconds(600);
// Learners that are silent for longer are forgotten; they can join again.
constexpr Duration kLearnerSilence = Seconds(20);
// A learner this close to the commit index may vote.
constexpr uint64_t kReadyLag = 32;

class Planner
{
public:
  explicit Planner(const MembershipView& aView)
    : m_view(aView)
  {
  }

  std::optional<wire::GroupConfig> Next() const
  {
    if (auto config = DropLearner()) {
      return config;
    }
    if (auto config = AddLearner()) {
      return config;
    }
    const wire::GroupMember* const ready = ReadyLearner();
    if (ready == nullptr) {
      return std::nullopt;
    }
    if (CountVoters(m_view.m_config) < m_view.m_targetVoters) {
      return WithRole(ready->replica_id(), false);
    }
    return ReplaceVoter();
  }

private:
  Duration Silence(uint64_t aReplica) const
  {
    if (aReplica == m_view.m_self) {
      return {};
    }
    const auto found = m_view.m_health.find(aReplica);
    return found == m_view.m_health.end() ? kLearnerSilence
                                          : found->second.m_silence;
  }

  // A newer identity has joined from the same address.
  bool IsSuperseded(const wire::GroupMember& aMember) const
  {
    return std::ranges::any_of(m_view.m_joins, [&](const auto& aJoin) {
      return aJoin.first != aMember.replica_id() &&
             aJoin.second.internal_address() == aMember.grpc_address();
    });
  }

  bool IsMember(uint64_t aReplica) const
  {
    return std::ranges::any_of(m_view.m_config.members(),
                               [&](const wire::GroupMember& aMember) {
                                 return aMember.replica_id() == aReplica;
                               });
  }

  wire::GroupConfig Without(uint64_t aReplica) const
  {
    wire::GroupConfig config;
    for (const wire::GroupMember& member : m_view.m_config.members()) {
      if (member.replica_id() != aReplica) {
        *config.add_members() = member;
      }
    }
    return config;
  }

  wire::GroupConfig WithRole(uint64_t aReplica, bool aLearner) const
  {
    wire::GroupConfig config = m_view.m_config;
    for (wire::GroupMember& member : *config.mutable_members()) {
      if (member.replica_id() == aReplica) {
        member.set_learner(aLearner);
      }
    }
    return config;
  }

  std::optional<wire::GroupConfig> DropLearner() const
  {
    for (const wire::GroupMember& member : m_view.m_config.members()) {
      const bool gone = Silence(member.replica_id()) >= kLearnerSilence &&
                        m_view.m_health.contains(member.replica_id());
      if (member.learner() && (gone || IsSuperseded(member))) {
        return Without(member.replica_id());
      }
    }
    return std::nullopt;
  }

  std::optional<wire::GroupConfig> AddLearner() const
  {
    for (const auto& [id, join] : m_view.m_joins) {
      if (IsMember(id)) {
        continue;
      }
      wire::GroupConfig config = m_view.m_config;
      wire::GroupMember* const member = config.add_members();
      member->set_replica_id(id);
      member->set_grpc_address(join.internal_address());
      member->set_http_address(join.control_address());
      member->set_zone(join.zone());
      member->set_learner(true);
      return config;
    }
    return std::nullopt;
  }

  const wire::GroupMember* ReadyLearner() const
  {
    for (const wire::GroupMember& member : m_view.m_config.members()) {
      const auto health = m_view.m_health.find(member.replica_id());
      if (member.learner() && health != m_view.m_health.end() &&
          health->second.m_silence <= kAlive &&
          health->second.m_appliedIndex > 0 &&
          health->second.m_appliedIndex + kReadyLag >= m_view.m_commitIndex) {
        return &member;
      }
    }
    return nullptr;
  }

  // Removes a voter that lost its disk or else the one that is silent for
  // longest. The group must be able to decide without it.
  std::optional<wire::GroupConfig> ReplaceVoter() const
  {
    const wire::GroupMember* worst = nullptr;
    Duration worstSilence;
    size_t alive = 0;
    for (const wire::GroupMember& member : m_view.m_config.members()) {
      if (member.learner()) {
        continue;
      }
      const bool superseded = IsSuperseded(member);
      const Duration silence =
        superseded ? kLearnerSilence * 10 : Silence(member.replica_id());
      alive += silence <= kAlive ? 1 : 0;
      if (silence >= kVoterSilence && silence > worstSilence) {
        worst = &member;
        worstSilence = silence;
      }
    }
    const size_t left = CountVoters(m_view.m_config) - 1;
    if (worst == nullptr || alive < left / 2 + 1) {
      return std::nullopt;
    }
    return Without(worst->replica_id());
  }

  const MembershipView& m_view;
};

} // namespace

size_t
CountVoters(const wire::GroupConfig& aConfig)
{
  return static_cast<size_t>(std::ranges::count_if(
    aConfig.members(),
    [](const wire::GroupMember& aMember) { return !aMember.learner(); }));
}

std::optional<wire::GroupConfig>
PlanMembership(const MembershipView& aView)
{
  return Planner(aView).Next();
}

} // namespace rattanloft::fleet
