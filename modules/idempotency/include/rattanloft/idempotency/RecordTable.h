#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rattanloft/base/Shard.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::idempotency {

enum class RecordState
{
  // May be running at the backend server.
  kStarted,
  kAnswered,
  // The attempt ended without a known result. Never run again.
  kUnknown,
};

struct StoredAnswer
{
  uint32_t m_status = 0;
  std::string m_contentType;
  std::string m_body;
  // The answer was too large to keep.
  bool m_bodyDropped = false;
};

struct Record
{
  std::string m_service;
  ShardNumber m_shard = 0;
  std::string m_key;
  // Hash of method, target and body.
  uint64_t m_fingerprint = 0;
  RecordState m_state = RecordState::kStarted;
  StoredAnswer m_answer;
  // Time left of the retention, so that copies need no common clock.
  Duration m_retentionLeft;
};

enum class BeginOutcome
{
  // Recorded as started; the caller copies it and then runs the request.
  kNew,
  kInProgress,
  kAnswered,
  kUnknown,
  // The key was used with another payload.
  kMismatch,
  // No room; nothing was recorded.
  kFull,
};

struct BeginResult
{
  BeginOutcome m_outcome;
  // For kAnswered. Valid until the next call.
  const StoredAnswer* m_answer = nullptr;
};

struct RecordTableOptions
{
  size_t m_maxRecords = 100'000;
  size_t m_maxTotalAnswerBytes = 24 * 1024 * 1024;
  // Larger answers are not stored.
  size_t m_maxBytesPerAnswer = 4 * 1024;
  Duration m_retention = Seconds(3600);
};

// At-most-once records of requests by idempotency key. Pure; owned by the
// traffic thread. Holds records that this node owns and copies for others
// alike. No record is dropped before its retention has passed, except by Abort.
// The retention counts from Begin, so it must exceed the longest deadline. The
// caller bounds the length of keys.
class RecordTable
{
public:
  explicit RecordTable(RecordTableOptions aOptions);
  ~RecordTable();
  RecordTable(const RecordTable&) = delete;
  RecordTable& operator=(const RecordTable&) = delete;

  BeginResult Begin(std::string_view aService,
                    ShardNumber aShard,
                    std::string_view aKey,
                    uint64_t aFingerprint,
                    TimePoint aNow);
  // The body is dropped if it is too large to keep.
  void Complete(std::string_view aService,
                std::string_view aKey,
                StoredAnswer aAnswer,
                TimePoint aNow);
  void MarkUnknown(std::string_view aService, std::string_view aKey);
  // Forgets a started record whose request certainly did not run.
  void Abort(std::string_view aService, std::string_view aKey);

  // One record, for another holder. None if unknown or past its retention.
  std::optional<Record> Find(std::string_view aService,
                             std::string_view aKey,
                             TimePoint aNow) const;
  // Records of a shard, for another holder.
  std::vector<Record> Export(std::string_view aService,
                             ShardNumber aShard,
                             TimePoint aNow) const;
  // Merges a copy. A state never goes back: started < unknown < answered.
  // False if the table is full; nothing was stored then.
  bool Import(const Record& aRecord, TimePoint aNow);
  // On taking over a shard: started records of its former owner become unknown.
  void TakeOver(std::string_view aService, ShardNumber aShard);

  // Takes time in proportion to the number of records that it drops.
  void Expire(TimePoint aNow);
  size_t Size() const;
  size_t AnswerBytes() const;

private:
  struct StoredRecord;
  using Records = std::unordered_map<std::string, StoredRecord>;

  static Record ToRecord(const StoredRecord& aStored,
                         std::string_view aService,
                         TimePoint aNow);
  StoredRecord* FindStored(std::string_view aService, std::string_view aKey);
  StoredRecord* Insert(std::string_view aService,
                       ShardNumber aShard,
                       std::string_view aKey,
                       TimePoint aExpiresAt);
  void Erase(StoredRecord* aStored);
  void ScheduleExpiry(StoredRecord* aStored, TimePoint aExpiresAt);
  void CancelExpiry(StoredRecord* aStored);
  void LinkToShard(StoredRecord* aStored);
  void UnlinkFromShard(StoredRecord* aStored);
  void SetState(StoredRecord* aStored, RecordState aState);
  bool AnswerFits(const StoredRecord* aStored, size_t aBytes) const;
  void StoreAnswer(StoredRecord* aStored, StoredAnswer aAnswer);
  uint64_t ShardKey(std::string_view aService, ShardNumber aShard) const;
  uint32_t ServiceNumber(std::string_view aService);

  RecordTableOptions m_options;
  Records m_records;
  // Names of the services seen. Bounded by the catalogue.
  std::vector<std::string> m_services;
  // First record of each shard's list, by service number and shard.
  std::unordered_map<uint64_t, StoredRecord*> m_shardHeads;
  // Records by the second in which their retention ends, so that expiry does
  // not look at others.
  std::map<int64_t, std::vector<StoredRecord*>> m_expiryBuckets;
  size_t m_answerBytes = 0;
  // Records in state started. Each has room for one answer reserved.
  size_t m_startedCount = 0;
};

} // namespace rattanloft::idempotency
