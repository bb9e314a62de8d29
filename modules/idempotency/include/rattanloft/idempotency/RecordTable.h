#pragma once

#include <cstdint>
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
  size_t m_maxAnswerBytes = 24 * 1024 * 1024;
  // Larger answers are not stored.
  size_t m_maxOneAnswerBytes = 4 * 1024;
  Duration m_retention = Seconds(3600);
};

// At-most-once records of requests by idempotency key. Pure; owned by the
// traffic thread. Holds records that this node owns and copies for others
// alike. No record is dropped before its retention has passed, except by Abort.
class RecordTable
{
public:
  explicit RecordTable(RecordTableOptions aOptions);

  BeginResult Begin(std::string_view aService,
                    ShardNumber aShard,
                    std::string_view aKey,
                    uint64_t aFingerprint,
                    TimePoint aNow);
  void Complete(std::string_view aService,
                std::string_view aKey,
                StoredAnswer aAnswer,
                TimePoint aNow);
  void MarkUnknown(std::string_view aService, std::string_view aKey);
  // Forgets a started record whose request certainly did not run.
  void Abort(std::string_view aService, std::string_view aKey);

  // Records of a shard, for another holder.
  std::vector<Record> Export(std::string_view aService,
                             ShardNumber aShard,
                             TimePoint aNow) const;
  // Merges a copy. A state never goes back: started < unknown < answered.
  // False if the table is full; nothing was stored then.
  bool Import(const Record& aRecord, TimePoint aNow);
  // On taking over a shard: started records of its former owner become unknown.
  void TakeOver(std::string_view aService, ShardNumber aShard);

  void Expire(TimePoint aNow);
  size_t Size() const;
  size_t AnswerBytes() const;

private:
  struct Stored;
  RecordTableOptions m_options;
  std::unordered_map<std::string, Stored> m_records;
  size_t m_answerBytes = 0;
};

} // namespace rattanloft::idempotency
