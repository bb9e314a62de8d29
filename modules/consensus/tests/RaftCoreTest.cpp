#include "RaftCore.h"

#include <catch2/catch.hpp>

namespace rattanloft::consensus {

namespace {

constexpr TimePoint kStartTime{ 1000 };
constexpr Duration kResendDelay = Milliseconds(1000);

wire::LogEntry
MakeEntry(uint64_t aIndex, uint64_t aTerm)
{
  wire::LogEntry entry;
  entry.set_index(aIndex);
  entry.set_term(aTerm);
  return entry;
}

// Returns replica 1 of 3 in term 3, with a log that ends with an entry of
// term 2.
RaftCore
MakeCore()
{
  wire::GroupConfig config;
  for (uint64_t id = 1; id <= 3; ++id) {
    config.add_members()->set_replica_id(id);
  }
  PersistedRaftState state;
  state.m_hardState.set_term(3);
  state.m_entries = { MakeEntry(1, 1), MakeEntry(2, 2) };
  state.m_entries[0].set_kind(wire::ENTRY_KIND_CONFIG);
  state.m_entries[0].set_payload(config.SerializeAsString());
  RaftCoreOptions options;
  options.m_replicaId = 1;
  options.m_seed = 7;
  options.m_heartbeatInterval = Milliseconds(100);
  options.m_minElectionTimeout = Milliseconds(400);
  options.m_maxElectionTimeout = Milliseconds(800);
  options.m_minStartupElectionTimeout = Milliseconds(50);
  options.m_maxStartupElectionTimeout = Milliseconds(250);
  options.m_startupPeriod = Milliseconds(2000);
  options.m_retainedEntries = 100;
  options.m_retainedBytes = 1'000'000;
  options.m_resendDelay = kResendDelay;
  return { options, std::move(state), kStartTime };
}

// Returns a message from replica 2 to replica 1.
wire::RaftMessage
MakeMessage(wire::RaftMessageKind aKind, uint64_t aTerm)
{
  wire::RaftMessage message;
  message.set_kind(aKind);
  message.set_from(2);
  message.set_to(1);
  message.set_term(aTerm);
  return message;
}

// Takes the pending actions and reports them as durable.
void
PersistActions(RaftCore& aCore)
{
  aCore.TakeActions();
  aCore.OnPersisted();
}

// Returns a leader in term 4 whose first entry of that term is entry 3.
RaftCore
MakeLeaderCore()
{
  RaftCore core = MakeCore();
  const TimePoint now = kStartTime + Milliseconds(800);
  core.Tick(now);
  core.Receive(MakeMessage(wire::RAFT_MESSAGE_PRE_VOTE_REPLY, 4), now);
  PersistActions(core);
  core.Receive(MakeMessage(wire::RAFT_MESSAGE_VOTE_REPLY, 4), now);
  PersistActions(core);
  REQUIRE(core.GetRole() == Role::kLeader);
  return core;
}

wire::RaftMessage
MakeAppendReply(uint64_t aMatchIndex)
{
  wire::RaftMessage reply = MakeMessage(wire::RAFT_MESSAGE_APPEND_REPLY, 4);
  reply.set_match_index(aMatchIndex);
  return reply;
}

// Returns the rejection of an append message that has arrived before the
// entries in front of it.
wire::RaftMessage
MakeRejection(uint64_t aLogIndex, uint64_t aLastIndex)
{
  wire::RaftMessage reply = MakeAppendReply(aLastIndex);
  reply.set_rejected(true);
  reply.set_log_index(aLogIndex);
  return reply;
}

// Returns an append message of replica 2, which leads in term 4, with one entry
// of that term after aLogIndex.
wire::RaftMessage
MakeAppend(uint64_t aLogIndex, uint64_t aLogTerm)
{
  wire::RaftMessage append = MakeMessage(wire::RAFT_MESSAGE_APPEND, 4);
  append.set_log_index(aLogIndex);
  append.set_log_term(aLogTerm);
  *append.add_entries() = MakeEntry(aLogIndex + 1, 4);
  return append;
}

// Takes the pending actions and returns the number of entries that are sent to
// replica 2.
size_t
CountSentEntries(RaftCore& aCore)
{
  size_t entries = 0;
  for (const wire::RaftMessage& message :
       aCore.TakeActions().m_messagesBeforeSync) {
    entries +=
      message.to() == 2 ? static_cast<size_t>(message.entries_size()) : 0;
  }
  aCore.OnPersisted();
  return entries;
}

// Returns a leader of which replica 3 lacks all entries. The log still has
// them, but a snapshot of several chunks is smaller.
RaftCore
MakeLeaderWithLargeSnapshot(TimePoint aNow)
{
  RaftCore core = MakeLeaderCore();
  core.Receive(MakeAppendReply(3), aNow);
  PersistActions(core);
  for (int i = 0; i < 20; ++i) {
    core.AppendCommands({ std::string(20'000, 'x') });
    core.BroadcastAppends();
    PersistActions(core);
    core.Receive(MakeAppendReply(core.Entries().LastIndex()), aNow);
  }
  const auto snapshot = std::make_shared<storage::Snapshot>();
  snapshot->m_meta.set_index(core.Entries().LastIndex());
  snapshot->m_meta.set_term(4);
  snapshot->m_data = std::string(200'000, 's');
  core.SetSnapshot(snapshot);
  REQUIRE(core.Entries().BaseIndex() == 0);
  core.TakeActions();
  wire::RaftMessage rejection = MakeRejection(2, 0);
  rejection.set_from(3);
  core.Receive(rejection, aNow);
  core.TakeActions();
  wire::RaftMessage match = MakeAppendReply(0);
  match.set_from(3);
  core.Receive(match, aNow);
  return core;
}

// Takes the pending actions and returns the offsets of the snapshot chunks for
// replica 3.
std::vector<uint64_t>
TakeChunkOffsets(RaftCore& aCore)
{
  std::vector<uint64_t> offsets;
  for (const wire::RaftMessage& message :
       aCore.TakeActions().m_messagesBeforeSync) {
    if (message.to() == 3 &&
        message.kind() == wire::RAFT_MESSAGE_SNAPSHOT_CHUNK) {
      offsets.push_back(message.chunk_offset());
    }
  }
  return offsets;
}

} // namespace

// Guards against a slow link that carries the same chunk again and again.
TEST_CASE("A snapshot chunk is not sent again because a heartbeat is answered")
{
  const TimePoint now = kStartTime + Milliseconds(810);
  RaftCore core = MakeLeaderWithLargeSnapshot(now);
  REQUIRE(TakeChunkOffsets(core) == std::vector<uint64_t>{ 0 });
  wire::RaftMessage match = MakeAppendReply(0);
  match.set_from(3);
  for (int i = 1; i < 9; ++i) {
    const TimePoint replyAt = now + Milliseconds(100 * i);
    core.Tick(replyAt);
    CHECK(TakeChunkOffsets(core).empty());
    core.Receive(match, replyAt);
    CHECK(TakeChunkOffsets(core).empty());
  }
}

// Guards against reads of the configuration that send the snapshot again.
TEST_CASE("A snapshot chunk is not sent again because a read round is answered")
{
  const TimePoint now = kStartTime + Milliseconds(810);
  RaftCore core = MakeLeaderWithLargeSnapshot(now);
  TakeChunkOffsets(core);
  size_t chunks = 0;
  for (int i = 0; i < 100; ++i) {
    wire::RaftMessage match = MakeAppendReply(0);
    match.set_from(3);
    match.set_round(core.StartRound());
    core.Receive(match, now);
    chunks += TakeChunkOffsets(core).size();
  }
  CHECK(chunks == 0);
}

// Guards against a wait for the resend delay although the loss is known.
TEST_CASE("A snapshot chunk that the transport lost is sent again")
{
  const TimePoint now = kStartTime + Milliseconds(810);
  RaftCore core = MakeLeaderWithLargeSnapshot(now);
  TakeChunkOffsets(core);
  core.OnMessagesLost(3, now + Milliseconds(50));
  REQUIRE(TakeChunkOffsets(core).empty());
  core.Tick(now + Milliseconds(120));
  CHECK(TakeChunkOffsets(core) == std::vector<uint64_t>{ 0 });
}

// Guards against a transfer that starts over with each new snapshot.
TEST_CASE("A snapshot that the follower has in part is not replaced")
{
  const TimePoint now = kStartTime + Milliseconds(810);
  RaftCore core = MakeLeaderWithLargeSnapshot(now);
  const uint64_t index = core.GetSnapshot()->m_meta.index();
  TakeChunkOffsets(core);
  wire::RaftMessage part = MakeMessage(wire::RAFT_MESSAGE_SNAPSHOT_REPLY, 4);
  part.set_from(3);
  part.mutable_snapshot()->set_index(index);
  part.set_chunk_offset(64 * 1024);
  core.Receive(part, now);
  REQUIRE(TakeChunkOffsets(core) == std::vector<uint64_t>{ 64 * 1024 });
  core.AppendCommands({ std::string(20'000, 'x') });
  core.BroadcastAppends();
  PersistActions(core);
  core.Receive(MakeAppendReply(core.Entries().LastIndex()), now);
  const auto newer = std::make_shared<storage::Snapshot>();
  newer->m_meta.set_index(core.Entries().LastIndex());
  newer->m_meta.set_term(4);
  newer->m_data = std::string(200'000, 't');
  core.SetSnapshot(newer);
  core.TakeActions();
  wire::RaftMessage match = MakeAppendReply(0);
  match.set_from(3);
  core.Receive(match, now);
  for (const wire::RaftMessage& message :
       core.TakeActions().m_messagesBeforeSync) {
    if (message.kind() == wire::RAFT_MESSAGE_SNAPSHOT_CHUNK) {
      CHECK(message.snapshot().index() == index);
    }
  }
}

// Guards against a slow link that carries the same entries again and again.
TEST_CASE("Entries are not sent again because a heartbeat has overtaken them")
{
  RaftCore core = MakeLeaderCore();
  const TimePoint sentAt = kStartTime + Milliseconds(810);
  core.Receive(MakeAppendReply(3), sentAt);
  PersistActions(core);
  const std::string bulk(20'000, 'x');
  core.AppendCommands({ bulk, bulk });
  core.BroadcastAppends();
  REQUIRE(CountSentEntries(core) == 2);
  for (int i = 1; i < 9; ++i) {
    const TimePoint now = sentAt + Milliseconds(100 * i);
    core.Tick(now);
    core.Receive(MakeRejection(5, 3), now);
    CHECK(CountSentEntries(core) == 0);
  }
  const TimePoint overdueAt = sentAt + kResendDelay;
  core.Receive(MakeRejection(5, 3), overdueAt);
  core.Receive(MakeAppendReply(3), overdueAt);
  CHECK(CountSentEntries(core) == 2);
}

// Guards against a wait for the resend delay although the loss is known.
TEST_CASE("Entries that the transport lost are sent with the next heartbeat")
{
  RaftCore core = MakeLeaderCore();
  const TimePoint sentAt = kStartTime + Milliseconds(810);
  core.Receive(MakeAppendReply(3), sentAt);
  PersistActions(core);
  core.AppendCommands({ "a" });
  core.BroadcastAppends();
  REQUIRE(CountSentEntries(core) == 1);
  core.OnMessagesLost(2, sentAt + Milliseconds(10));
  REQUIRE(CountSentEntries(core) == 0);
  core.Tick(sentAt + Milliseconds(120));
  CHECK(CountSentEntries(core) == 1);
}

// Guards against bulk data in vain to a follower whose log may differ.
TEST_CASE("A probe carries few bytes")
{
  RaftCore core = MakeLeaderCore();
  core.TakeActions();
  core.AppendCommands({ std::string(20'000, 'x') });
  core.Tick(kStartTime + Milliseconds(1000));
  for (const wire::RaftMessage& message :
       core.TakeActions().m_messagesBeforeSync) {
    CHECK(message.ByteSizeLong() < 4'096);
  }
}

// Guards against entries that must be sent again since the transport has
// delivered them in another order.
TEST_CASE("Entries that arrive before earlier ones are kept")
{
  RaftCore core = MakeCore();
  core.Receive(MakeAppend(4, 4), kStartTime);
  core.Receive(MakeAppend(3, 4), kStartTime);
  REQUIRE(core.Entries().LastIndex() == 2);
  PersistActions(core);
  core.Receive(MakeAppend(2, 2), kStartTime);
  CHECK(core.Entries().LastIndex() == 5);
  CHECK(core.TakeActions().m_messagesAfterSync.back().match_index() == 5);
}

// Guards against entries of a deposed leader that are appended later.
TEST_CASE("Kept entries of an earlier term are dropped")
{
  RaftCore core = MakeCore();
  core.Receive(MakeAppend(3, 4), kStartTime);
  wire::RaftMessage append = MakeAppend(2, 2);
  append.set_term(5);
  append.mutable_entries(0)->set_term(5);
  core.Receive(append, kStartTime);
  CHECK(core.Entries().LastIndex() == 3);
}

// Guards against a replica with an empty log that has to receive all entries
// although the state is small, and so counts as lost for long.
TEST_CASE("A follower with an empty log is sent a small snapshot")
{
  RaftCore core = MakeLeaderCore();
  const TimePoint now = kStartTime + Milliseconds(810);
  core.Receive(MakeAppendReply(3), now);
  PersistActions(core);
  for (int i = 0; i < 20; ++i) {
    core.AppendCommands({ std::string(10'000, 'x') });
    core.BroadcastAppends();
    PersistActions(core);
    core.Receive(MakeAppendReply(core.Entries().LastIndex()), now);
  }
  const uint64_t last = core.Entries().LastIndex();
  REQUIRE(core.CommitIndex() == last);
  const auto snapshot = std::make_shared<storage::Snapshot>();
  snapshot->m_meta.set_index(last);
  snapshot->m_meta.set_term(4);
  snapshot->m_data = "state";
  core.SetSnapshot(snapshot);
  REQUIRE(core.Entries().BaseIndex() == 0);
  core.TakeActions();

  wire::RaftMessage rejection = MakeRejection(2, 0);
  rejection.set_from(3);
  core.Receive(rejection, now);
  core.TakeActions();
  wire::RaftMessage match = MakeAppendReply(0);
  match.set_from(3);
  core.Receive(match, now);
  size_t entries = 0;
  size_t chunks = 0;
  for (const wire::RaftMessage& message :
       core.TakeActions().m_messagesBeforeSync) {
    entries += static_cast<size_t>(message.entries_size());
    chunks += message.kind() == wire::RAFT_MESSAGE_SNAPSHOT_CHUNK ? 1 : 0;
  }
  CHECK(entries == 0);
  CHECK(chunks == 1);
}

// Guards against committing an entry of an earlier term that a majority holds,
// since a leader of a later term may still replace it.
TEST_CASE("An entry of an earlier term is not committed by counting replicas")
{
  RaftCore core = MakeLeaderCore();
  core.Receive(MakeAppendReply(2), kStartTime + Milliseconds(810));
  REQUIRE(core.CommitIndex() == 0);
  core.Receive(MakeAppendReply(3), kStartTime + Milliseconds(820));
  REQUIRE(core.CommitIndex() == 3);
}

// Guards against a leader that counts its own copy of an entry before that copy
// is durable.
TEST_CASE("A leader counts its own entries only once they are synced")
{
  RaftCore core = MakeLeaderCore();
  core.AppendCommands({ "c" });
  core.TakeActions();
  core.Receive(MakeAppendReply(4), kStartTime + Milliseconds(810));
  REQUIRE(core.CommitIndex() == 3);
  core.OnPersisted();
  REQUIRE(core.CommitIndex() == 4);
}

// Guards against the election of a leader that lacks committed entries. Tests
// of a whole group do not reach this rule, because pre-votes apply it first.
TEST_CASE("A candidate with an outdated log gets no vote")
{
  RaftCore core = MakeCore();
  wire::RaftMessage vote = MakeMessage(wire::RAFT_MESSAGE_VOTE, 5);
  vote.set_log_index(1);
  vote.set_log_term(2);
  core.Receive(vote, kStartTime);
  vote.set_log_index(9);
  vote.set_log_term(1);
  core.Receive(vote, kStartTime);
  for (const wire::RaftMessage& reply :
       core.TakeActions().m_messagesAfterSync) {
    REQUIRE(reply.rejected());
  }
}

// Guards against a snapshot combined from the chunks of two leaders, which may
// serialize the same state differently.
TEST_CASE("Snapshot chunks of different terms are not combined")
{
  RaftCore core = MakeCore();
  wire::RaftMessage chunk = MakeMessage(wire::RAFT_MESSAGE_SNAPSHOT_CHUNK, 4);
  chunk.mutable_snapshot()->set_index(9);
  chunk.mutable_snapshot()->set_term(3);
  chunk.set_chunk("abc");
  core.Receive(chunk, kStartTime);
  chunk.set_term(5);
  chunk.set_chunk_offset(3);
  chunk.set_chunk_last(true);
  core.Receive(chunk, kStartTime);
  const RaftCoreActions actions = core.TakeActions();
  REQUIRE(actions.m_snapshotToInstall == nullptr);
  REQUIRE(actions.m_messagesAfterSync.at(1).chunk_offset() == 0);
}

// Guards against a read that is confirmed by a late reply to a heartbeat round
// of an earlier term: round numbers start from 0 again when a leader restarts.
TEST_CASE("The rejection of an append of an earlier term confirms no round")
{
  RaftCore core = MakeCore();
  wire::RaftMessage append = MakeMessage(wire::RAFT_MESSAGE_APPEND, 2);
  append.set_round(1'000);
  core.Receive(append, kStartTime);
  const RaftCoreActions actions = core.TakeActions();
  REQUIRE(actions.m_messagesAfterSync.size() == 1);
  REQUIRE(actions.m_messagesAfterSync[0].rejected());
  REQUIRE(actions.m_messagesAfterSync[0].round() == 0);
}

// Guards against a read that is confirmed by replies of an earlier term.
TEST_CASE("A reply of an earlier term confirms no round")
{
  RaftCore core = MakeLeaderCore();
  const uint64_t round = core.StartRound();
  wire::RaftMessage reply = MakeMessage(wire::RAFT_MESSAGE_APPEND_REPLY, 3);
  reply.set_round(round);
  core.Receive(reply, kStartTime + Milliseconds(810));
  REQUIRE(core.ConfirmedRound() < round);
  reply.set_term(4);
  core.Receive(reply, kStartTime + Milliseconds(820));
  REQUIRE(core.ConfirmedRound() == round);
}

// Guards against an unbounded number of messages to a follower that does not
// answer.
TEST_CASE("The number of append messages in flight to a follower is bounded")
{
  RaftCore core = MakeLeaderCore();
  core.Receive(MakeAppendReply(3), kStartTime + Milliseconds(810));
  PersistActions(core);
  size_t sent = 0;
  for (int i = 0; i < 100; ++i) {
    core.AppendCommands({ "c" });
    core.BroadcastAppends();
    for (const wire::RaftMessage& message :
         core.TakeActions().m_messagesBeforeSync) {
      sent += message.to() == 2 ? 1 : 0;
    }
    core.OnPersisted();
  }
  REQUIRE(sent == kMaxInflightAppends);
}

// Guards against two leaders in one term.
TEST_CASE("A replica votes only once in a term")
{
  RaftCore core = MakeCore();
  wire::RaftMessage vote = MakeMessage(wire::RAFT_MESSAGE_VOTE, 5);
  vote.set_log_index(9);
  vote.set_log_term(4);
  core.Receive(vote, kStartTime);
  vote.set_from(3);
  core.Receive(vote, kStartTime);
  const RaftCoreActions actions = core.TakeActions();
  REQUIRE(actions.m_hardState->voted_for() == 2);
  REQUIRE_FALSE(actions.m_messagesAfterSync.at(0).rejected());
  REQUIRE(actions.m_messagesAfterSync.at(1).rejected());
}

} // namespace rattanloft::consensus
