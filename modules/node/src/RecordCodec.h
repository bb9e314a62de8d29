#pragma once

#include "rattanloft/idempotency/RecordTable.h"
#include "record.pb.h"

namespace rattanloft::node {

wire::IdempotencyRecord
ToWire(const idempotency::Record& aRecord);

idempotency::Record
FromWire(const wire::IdempotencyRecord& aRecord);

} // namespace rattanloft::node
