#pragma once

#include <gflags/gflags_declare.h>

// Flags shared by several sub-commands. The table in Main.cpp says which
// sub-command accepts which of them.

DECLARE_string(log_level);
DECLARE_string(zone);
DECLARE_string(control);
DECLARE_string(operator_name);
DECLARE_int32(timeout_ms);
