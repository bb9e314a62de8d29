#include "RecordCodec.h"

namespace rattanloft::node {

namespace {

using idempotency::RecordState;

wire::RecordState
StateToWire(RecordState aState)
{
  switch (aState) {
    case RecordState::kStarted:
      return wire::RECORD_STATE_STARTED;
    case RecordState::kAnswered:
      return wire::RECORD_STATE_ANSWERED;
    case RecordState::kUnknown:
      break;
  }
  return wire::RECORD_STATE_UNKNOWN;
}

RecordState
StateFromWire(wire::RecordState aState)
{
  switch (aState) {
    case wire::RECORD_STATE_STARTED:
      return RecordState::kStarted;
    case wire::RECORD_STATE_ANSWERED:
      return RecordState::kAnswered;
    default:
      // A later version may send a state that is not known here. It must not
      // allow the request to run again.
      return RecordState::kUnknown;
  }
}

} // namespace

wire::IdempotencyRecord
ToWire(const idempotency::Record& aRecord)
{
  wire::IdempotencyRecord out;
  out.set_service(aRecord.m_service);
  out.set_shard(aRecord.m_shard);
  out.set_key(aRecord.m_key);
  out.set_fingerprint(aRecord.m_fingerprint);
  out.set_state(StateToWire(aRecord.m_state));
  out.set_answer_status(aRecord.m_answer.m_status);
  out.set_answer_content_type(aRecord.m_answer.m_contentType);
  out.set_answer_body(aRecord.m_answer.m_body);
  out.set_answer_body_dropped(aRecord.m_answer.m_bodyDropped);
  out.set_retention_left_ms(aRecord.m_retentionLeft.m_ms);
  return out;
}

idempotency::Record
FromWire(const wire::IdempotencyRecord& aRecord)
{
  idempotency::Record out;
  out.m_service = aRecord.service();
  out.m_shard = aRecord.shard();
  out.m_key = aRecord.key();
  out.m_fingerprint = aRecord.fingerprint();
  out.m_state = StateFromWire(aRecord.state());
  out.m_answer.m_status = aRecord.answer_status();
  out.m_answer.m_contentType = aRecord.answer_content_type();
  out.m_answer.m_body = aRecord.answer_body();
  out.m_answer.m_bodyDropped = aRecord.answer_body_dropped();
  out.m_retentionLeft = Milliseconds(aRecord.retention_left_ms());
  return out;
}

} // namespace rattanloft::node
