#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rattanloft::coordinator {

// Compresses a text to the zlib format, for speed rather than size.
std::string
Compress(std::string_view aText);
// Returns the text of bytes that Compress() returned; empty if the bytes are
// damaged or the text is longer than aMaxBytes.
std::optional<std::string>
Decompress(std::string_view aBytes, size_t aMaxBytes);

} // namespace rattanloft::coordinator
