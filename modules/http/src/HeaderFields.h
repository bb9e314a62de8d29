#pragma once

#include <string_view>

#include <boost/beast/http/fields.hpp>

namespace rattanloft::http {

// Names what makes the length of a message ambiguous; empty if nothing does.
// Stricter than the parser, which accepts repeated equal lengths and unknown
// transfer codings: two parties that disagree on where a message ends open the
// way to request smuggling.
std::string_view
FindFramingError(const boost::beast::http::fields& aFields,
                 unsigned aHttpVersion);

// Removes the fields that concern one connection only (RFC 9110, 7.6.1).
void
RemoveHopByHopFields(boost::beast::http::fields& aFields);

size_t
CountFields(const boost::beast::http::fields& aFields);

} // namespace rattanloft::http
