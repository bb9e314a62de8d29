#include "rattanloft/fleet/MembershipPlanner.h"

#include <algorithm>
#include <string_view>

#include <fmt/format.h>

namespace rattanloft::fleet {

namespace {

// A voter that is silent for longer is replaced if a live learner is ready: an
// instance that replaces another must vote within the catch-up time of 4 s.
constexpr Duration kMaxVoterSilence = Milliseconds(1500);
// A replica that replied within this time can take part in a change.
constexpr Duration kMaxAliveSilence = Milliseconds(600);
// Learners that are silent for longer are removed; they can join again.
constexpr Duration kMaxLearnerSilence = Seconds(20);
// Stands for the silence of a voter whose disk is known to be lost.
constexpr Duration kLostDiskSilence = Seconds(200);
// A learner may become a voter if it has applied all but this many of the
// committed entries.
constexpr uint64_t kMaxReadyLagEntries = 32;

// Decides on the next change of the membership from one view of the group.
class MembershipPlanner
{
public:
  explicit MembershipPlanner(const MembershipView& aView)
    : m_view(aView)
  {
  }

  std::optional<wire::GroupConfig> NextChange() const
  {
    if (auto config = RemoveLostLearner()) {
      return config;
    }
    if (auto config = AddLearner()) {
      return config;
    }
    const wire::GroupMember* const ready = FindReadyLearner();
    if (ready == nullptr) {
      return std::nullopt;
    }
    if (CountVoters(m_view.m_config) < m_view.m_targetVoters) {
      return WithLearnerFlag(ready->replica_id(), false);
    }
    return RemoveLostVoter();
  }

  MembershipReport Report() const
  {
    MembershipReport report;
    for (const wire::GroupMember& member : m_view.m_config.members()) {
      if (!member.learner() && LossOf(member) >= kMaxVoterSilence) {
        report.m_lostVoters.push_back(member.replica_id());
      }
    }
    if (!report.m_lostVoters.empty() && !HasQuorumWithoutOne()) {
      report.m_obstacle = ReplacementObstacle::kNoQuorum;
    } else if (!report.m_lostVoters.empty() && FindReadyLearner() == nullptr) {
      report.m_obstacle = ReplacementObstacle::kNoReadyLearner;
    }
    return report;
  }

private:
  // Time since the last reply of the replica. One that has never replied counts
  // as silent for kMaxLearnerSilence.
  Duration SilenceOf(uint64_t aReplicaId) const
  {
    if (aReplicaId == m_view.m_self) {
      return {};
    }
    const auto found = m_view.m_health.find(aReplicaId);
    return found == m_view.m_health.end() ? kMaxLearnerSilence
                                          : found->second.m_silence;
  }

  // Whether a replica with another id has joined from the address of the
  // member, which has therefore lost its disk.
  bool IsSuperseded(const wire::GroupMember& aMember) const
  {
    if (aMember.replica_id() == m_view.m_self) {
      return false;
    }
    return HasNewJoinFrom(aMember.grpc_address()) ||
           HasSuccessorAmongMembers(aMember);
  }

  // Whether a replica that is not a member yet asks to join from the address.
  bool HasNewJoinFrom(const std::string& aAddress) const
  {
    return std::ranges::any_of(m_view.m_joins, [&](const auto& aJoin) {
      return !IsMember(m_view.m_config, aJoin.first) &&
             aJoin.second.internal_address() == aAddress;
    });
  }

  // Members are listed in the order in which they joined. The configuration
  // shows a lost disk also to a leader that knows no join requests.
  bool HasSuccessorAmongMembers(const wire::GroupMember& aMember) const
  {
    const auto& members = m_view.m_config.members();
    const auto later = std::ranges::find(members,
                                         aMember.replica_id(),
                                         &wire::GroupMember::replica_id) +
                       1;
    return std::any_of(
      later, members.end(), [&](const wire::GroupMember& aLater) {
        return aLater.grpc_address() == aMember.grpc_address() &&
               RepliedAfter(aLater.replica_id(), aMember.replica_id());
      });
  }

  // Whether the later member has replied since the last reply of the earlier
  // one. A delayed request can let an old identity join after the replica that
  // took its place, but an old identity never replies again. At the start of a
  // term all silences are equal.
  bool RepliedAfter(uint64_t aLaterId, uint64_t aEarlierId) const
  {
    if (aLaterId == m_view.m_self) {
      return true;
    }
    const auto found = m_view.m_health.find(aLaterId);
    return found != m_view.m_health.end() && found->second.m_appliedIndex > 0 &&
           found->second.m_silence < SilenceOf(aEarlierId);
  }

  wire::GroupConfig WithoutMember(uint64_t aReplicaId) const
  {
    wire::GroupConfig config;
    for (const wire::GroupMember& member : m_view.m_config.members()) {
      if (member.replica_id() != aReplicaId) {
        *config.add_members() = member;
      }
    }
    return config;
  }

  wire::GroupConfig WithLearnerFlag(uint64_t aReplicaId, bool aIsLearner) const
  {
    wire::GroupConfig config = m_view.m_config;
    for (wire::GroupMember& member : *config.mutable_members()) {
      if (member.replica_id() == aReplicaId) {
        member.set_learner(aIsLearner);
      }
    }
    return config;
  }

  std::optional<wire::GroupConfig> RemoveLostLearner() const
  {
    for (const wire::GroupMember& member : m_view.m_config.members()) {
      const bool gone = SilenceOf(member.replica_id()) >= kMaxLearnerSilence &&
                        m_view.m_health.contains(member.replica_id());
      if (member.learner() && (gone || IsSuperseded(member))) {
        return WithoutMember(member.replica_id());
      }
    }
    return std::nullopt;
  }

  std::optional<wire::GroupConfig> AddLearner() const
  {
    for (const auto& [id, join] : m_view.m_joins) {
      if (IsMember(m_view.m_config, id)) {
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

  const wire::GroupMember* FindReadyLearner() const
  {
    for (const wire::GroupMember& member : m_view.m_config.members()) {
      const auto health = m_view.m_health.find(member.replica_id());
      if (member.learner() && health != m_view.m_health.end() &&
          health->second.m_silence <= kMaxAliveSilence &&
          health->second.m_appliedIndex > 0 &&
          health->second.m_appliedIndex + kMaxReadyLagEntries >=
            m_view.m_commitIndex) {
        return &member;
      }
    }
    return nullptr;
  }

  // Time since the last reply of a voter; kLostDiskSilence if its disk is lost.
  Duration LossOf(const wire::GroupMember& aVoter) const
  {
    return IsSuperseded(aVoter) ? kLostDiskSilence
                                : SilenceOf(aVoter.replica_id());
  }

  // Whether the live voters can decide if one that is not alive is removed.
  bool HasQuorumWithoutOne() const
  {
    const auto alive = std::ranges::count_if(
      m_view.m_config.members(), [&](const wire::GroupMember& aMember) {
        return !aMember.learner() && LossOf(aMember) <= kMaxAliveSilence;
      });
    const size_t remaining = CountVoters(m_view.m_config) - 1;
    return static_cast<size_t>(alive) >= remaining / 2 + 1;
  }

  // Removes a voter that lost its disk, or else the one that has been silent
  // for longest. The group must be able to decide without it.
  std::optional<wire::GroupConfig> RemoveLostVoter() const
  {
    const wire::GroupMember* longestSilent = nullptr;
    Duration longestSilence;
    for (const wire::GroupMember& member : m_view.m_config.members()) {
      const Duration silence = member.learner() ? Duration{} : LossOf(member);
      if (silence >= kMaxVoterSilence && silence > longestSilence) {
        longestSilent = &member;
        longestSilence = silence;
      }
    }
    if (longestSilent == nullptr || !HasQuorumWithoutOne()) {
      return std::nullopt;
    }
    return WithoutMember(longestSilent->replica_id());
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

bool
IsVoter(const wire::GroupConfig& aConfig, uint64_t aReplicaId)
{
  return std::ranges::any_of(
    aConfig.members(), [&](const wire::GroupMember& aMember) {
      return aMember.replica_id() == aReplicaId && !aMember.learner();
    });
}

bool
IsMember(const wire::GroupConfig& aConfig, uint64_t aReplicaId)
{
  return std::ranges::any_of(aConfig.members(),
                             [&](const wire::GroupMember& aMember) {
                               return aMember.replica_id() == aReplicaId;
                             });
}

std::optional<wire::GroupConfig>
PlanMembership(const MembershipView& aView)
{
  return MembershipPlanner(aView).NextChange();
}

MembershipReport
ReportMembership(const MembershipView& aView)
{
  return MembershipPlanner(aView).Report();
}

std::string
DescribeMemberChange(const wire::GroupConfig& aBefore,
                     const wire::GroupConfig& aAfter)
{
  std::string text;
  const auto append = [&text](std::string_view aKey, uint64_t aReplicaId) {
    text +=
      fmt::format("{}{}={:016x}", text.empty() ? "" : " ", aKey, aReplicaId);
  };
  for (const wire::GroupMember& member : aAfter.members()) {
    const uint64_t id = member.replica_id();
    if (!IsMember(aBefore, id)) {
      append("added", id);
    } else if (!member.learner() && !IsVoter(aBefore, id)) {
      append("promoted", id);
    }
  }
  for (const wire::GroupMember& member : aBefore.members()) {
    if (!IsMember(aAfter, member.replica_id())) {
      append("removed", member.replica_id());
    }
  }
  return text;
}

} // namespace rattanloft::fleet
