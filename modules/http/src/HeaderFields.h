#pragma once

#include <string_view>

#include <boost/beast/http/fields.hpp>

namespace rattanloft::http {

// Returns what makes the length of a message ambiguous, or an empty text if
// nothing does. aHttpVersion is 10 or 11. Stricter than the parser, which
// accepts repeated equal lengths and unknown transfer codings. If two parties
// disagree on where a message ends, request smuggling becomes possible.
std::string_view
FindFramingError(const boost::beast::http::fields& aFields,
                 unsigned aHttpVersion);

// Removes the header fields that apply to a single connection and must not be
// forwarded (RFC 9110, section 7.6.1).
void
RemoveHopByHopFields(boost::beast::http::fields& aFields);

size_t
CountFields(const boost::beast::http::fields& aFields);

} // namespace rattanloft::http
