#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace rattanloft::http {

// Finds lines that begin with a blank in a header that is passed on in parts.
class FoldedLineFinder
{
public:
  // Returns whether such a line begins in the next part.
  bool Find(std::string_view aPart)
  {
    for (const char character : aPart) {
      if (m_lastCharacter == '\n' && (character == ' ' || character == '\t')) {
        return true;
      }
      m_lastCharacter = character;
    }
    return false;
  }

private:
  char m_lastCharacter = 0;
};

// Like async_read_header() of Beast, but with a limit on the whole header.
// header_limit() of the parser applies to the start line and to the fields, and
// only to bytes that are not parsed yet, so that a peer that sends the fields
// one by one is never above it. Fails with header_limit if the header is
// incomplete after twice aMaxBytes. aMaxBytes is also set as header_limit().
// aAdmit(bytes, lines) is called with what was received so far before it is
// parsed; if it returns false, the result is not_enough_memory.
// A folded line of a response fails with bad_field. The parser would append it
// to the value of the field before it, also if it is a field whose name begins
// with a blank, such as the length of the body. RFC 9112, section 5.2, allows a
// proxy to refuse it.
template<bool kIsRequest, typename Admit>
boost::asio::awaitable<boost::beast::error_code>
ReadHeader(boost::asio::ip::tcp::socket& aSocket,
           boost::beast::flat_buffer& aBuffer,
           boost::beast::http::basic_parser<kIsRequest>& aParser,
           uint32_t aMaxBytes,
           Admit aAdmit)
{
  namespace asio = boost::asio;
  namespace beast = boost::beast;
  using beast::http::error;
  constexpr size_t kMaxReadBytes = 64 * 1024;
  aParser.header_limit(aMaxBytes);
  const size_t maxTotalBytes = size_t{ 2 } * aMaxBytes;
  size_t parsedBytes = 0;
  size_t lineCount = 0;
  FoldedLineFinder foldedLines;
  while (true) {
    beast::error_code result = error::need_more;
    if (aBuffer.size() > 0) {
      const auto* const input = static_cast<const char*>(aBuffer.data().data());
      lineCount += std::count(input, input + aBuffer.size(), '\n');
      if (!aAdmit(parsedBytes + aBuffer.size(), lineCount)) {
        co_return make_error_code(boost::system::errc::not_enough_memory);
      }
      const size_t usedBytes = aParser.put(aBuffer.data(), result);
      if (!kIsRequest && foldedLines.Find({ input, usedBytes })) {
        co_return error::bad_field;
      }
      aBuffer.consume(usedBytes);
      parsedBytes += usedBytes;
    }
    if (result != error::need_more) {
      co_return result;
    }
    if (parsedBytes + aBuffer.size() >= maxTotalBytes) {
      co_return error::header_limit;
    }
    const size_t readSize = beast::read_size(aBuffer, kMaxReadBytes);
    if (readSize == 0) {
      co_return error::buffer_overflow;
    }
    auto [readError, byteCount] = co_await aSocket.async_read_some(
      aBuffer.prepare(readSize), asio::as_tuple(asio::use_awaitable));
    aBuffer.commit(byteCount);
    if (readError == asio::error::eof) {
      co_return aParser.got_some() ? error::partial_message
                                   : error::end_of_stream;
    }
    if (readError) {
      co_return readError;
    }
  }
}

} // namespace rattanloft::http
