#pragma once

#include "rattanloft/idempotency/RecordTable.h"
#include "record.pb.h"

namespace rattanloft::node {

// Converts a record to its protobuf message for other nodes.
wire::IdempotencyRecord
ToWire(const idempotency::Record& aRecord);

// Converts a record that another node has sent. An unknown state is read as an
// unknown outcome.
idempotency::Record
FromWire(const wire::IdempotencyRecord& aRecord);

} // namespace rattanloft::node
