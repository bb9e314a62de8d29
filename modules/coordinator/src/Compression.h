#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rattanloft::coordinator {

// zlib format.
std::string
Compress(std::string_view aText);
// Empty if the bytes are damaged or the text would exceed aMaxBytes.
std::optional<std::string>
Decompress(std::string_view aBytes, size_t aMaxBytes);

} // namespace rattanloft::coordinator
