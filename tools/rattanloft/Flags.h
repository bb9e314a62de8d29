#pragma once

#include <gflags/gflags_declare.h>

// Flags that several sub-commands share. The table in Main.cpp lists which of
// them each sub-command accepts.

DECLARE_string(log_level);
DECLARE_string(zone);
DECLARE_string(control);
DECLARE_string(operator_name);
DECLARE_int32(timeout_ms);
DECLARE_uint32(memory_limit_mb);
DECLARE_uint32(max_open_files);
