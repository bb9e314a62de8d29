#include "Flags.h"

#include <gflags/gflags.h>

DEFINE_string(log_level,
              "info",
              "lowest level that is logged: debug|info|warning|error");
DEFINE_string(zone, "", "availability zone of this instance");
DEFINE_string(control,
              "127.0.0.1:7101",
              "HTTP addresses of control instances, host:port,..., tried in "
              "turn");
DEFINE_string(operator_name,
              "",
              "name of the operator to record in the change history");
DEFINE_int32(timeout_ms,
             10000,
             "milliseconds after which the command gives up");
DEFINE_uint32(memory_limit_mb,
              0,
              "memory in MiB that the process may take; 0 means the memory of "
              "the system, at most 160");
DEFINE_uint32(max_open_files,
              0,
              "files and connections that the process may have open; 0 means "
              "the soft limit of the process, at most 4096");
