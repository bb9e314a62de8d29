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
  // The request may be running at the backend server.
  kStarted,
  kAnswered,
  // The attempt ended without a known result. The request is never run again.
  kUnknown,
};

struct StoredAnswer
{
  uint32_t m_status = 0;
  std::string m_contentType;
  std::string m_body;
  // The answer was too large to be kept.
  bool m_bodyDropped = false;
};

struct Record
{
  std::string m_service;
  ShardNumber m_shard = 0;
  std::string m_key;
  // Hash of method, target and body of the request.
  uint64_t m_fingerprint = 0;
  RecordState m_state = RecordState::kStarted;
  StoredAnswer m_answer;
  // Remaining retention. A duration, so that copies on other nodes need no
  // common clock.
  Duration m_retentionLeft;
};

enum class BeginOutcome
{
  // The request is recorded as started. The caller copies the record to other
  // holders and then runs the request.
  kNew,
  kInProgress,
  kAnswered,
  kUnknown,
  // The key was used before with another payload.
  kMismatch,
  // The table has no room; nothing was recorded.
  kFull,
};

struct BeginResult
{
  BeginOutcome m_outcome;
  // Only for kAnswered. Valid until the next call.
  const StoredAnswer* m_answer = nullptr;
};

struct RecordTableOptions
{
  size_t m_maxRecords = 100'000;
  // Over all records, including room reserved for answers to come.
  size_t m_maxTotalAnswerBytes = 24 * 1024 * 1024;
  // Larger answers are not stored.
  size_t m_maxBytesPerAnswer = 4 * 1024;
  Duration m_retention = Seconds(3600);
};

// Records of requests by service and idempotency key, which let each request
// run at most once. Holds the records of shards that this node owns and copies
// for other owners alike. No record is dropped before its retention has passed,
// except by Abort. The retention counts from Begin, so it must exceed the
// longest deadline. The caller limits the length of keys. Does no I/O and reads
// no clock; owned by the traffic thread.
class RecordTable
{
public:
  explicit RecordTable(RecordTableOptions aOptions);
  ~RecordTable();
  RecordTable(const RecordTable&) = delete;
  RecordTable& operator=(const RecordTable&) = delete;

  // Records a new request as started, or returns the state of an earlier
  // request with the same key.
  BeginResult Begin(std::string_view aService,
                    ShardNumber aShard,
                    std::string_view aKey,
                    uint64_t aFingerprint,
                    TimePoint aNow);
  // Stores the answer. Its body is dropped if it is too large to be kept.
  void Complete(std::string_view aService,
                std::string_view aKey,
                StoredAnswer aAnswer,
                TimePoint aNow);
  // Records that the attempt of a started request ended without a known result.
  void MarkUnknown(std::string_view aService, std::string_view aKey);
  // Drops a started record whose request certainly did not run.
  void Abort(std::string_view aService, std::string_view aKey);

  // Returns one record for another holder, or none if it is unknown or past its
  // retention.
  std::optional<Record> Find(std::string_view aService,
                             std::string_view aKey,
                             TimePoint aNow) const;
  // Returns the records of a shard for another holder.
  std::vector<Record> Export(std::string_view aService,
                             ShardNumber aShard,
                             TimePoint aNow) const;
  // Merges a copy. A state only advances: started < unknown < answered. Returns
  // false, without storing anything, if the table is full.
  bool Import(const Record& aRecord, TimePoint aNow);
  // Makes the started records of a shard unknown, because its former owner may
  // have run their requests.
  void TakeOver(std::string_view aService, ShardNumber aShard);

  // Drops the records whose retention has passed. Takes time in proportion to
  // their number.
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
  // Whether an answer of aBytes has room. aStored, which may be null, gives up
  // its own reservation for it.
  bool AnswerFits(const StoredRecord* aStored, size_t aBytes) const;
  void StoreAnswer(StoredRecord* aStored, StoredAnswer aAnswer);
  uint64_t ShardKey(std::string_view aService, ShardNumber aShard) const;
  uint32_t ServiceNumber(std::string_view aService);

  RecordTableOptions m_options;
  Records m_records;
  // Names of the services seen; the index is the service number. Bounded by the
  // catalogue.
  std::vector<std::string> m_services;
  // First record of each shard's list, by service number (upper 32 bits) and
  // shard number.
  std::unordered_map<uint64_t, StoredRecord*> m_shardHeads;
  // Records by the second in which their retention ends, so that expiry does
  // not look at others.
  std::map<int64_t, std::vector<StoredRecord*>> m_expiryBuckets;
  size_t m_answerBytes = 0;
  // Number of records in state kStarted. Each has room for one answer reserved.
  size_t m_startedCount = 0;
};

} // namespace rattanloft::idempotency
