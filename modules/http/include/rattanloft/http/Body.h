#pragma once

#include <climits>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include "rattanloft/overload/MemoryCharge.h"
// NOLINTBEGIN(readability-identifier-naming): names of Beast and of std.
namespace rattanloft::http {

// The content of a request or response: one contiguous buffer that copies
// share. A buffer that is received carries its charge, so that the charge lives
// exactly as long as the bytes. Not thread-safe, not even between copies.
class Body
{
public:
  Body() = default;
  // The text is not charged.
  Body(std::string aText);
  Body& operator=(std::string aText);
  Body& operator=(std::string_view aText);
  Body& operator=(const char* aText);

  // Bytes that are appended from now on are charged to the budget, as aKind or,
  // without it, as a body of their size. Drops the content.
  void StartCharging(std::shared_ptr<overload::MemoryBudget> aBudget,
                     std::optional<overload::ChargeKind> aKind = std::nullopt);
  // Allocates room for this many bytes in all. Returns false, and changes
  // nothing, if they cannot be charged or allocated.
  [[nodiscard]] bool Reserve(size_t aBytes);
  // Returns false, and changes nothing, if the bytes cannot be charged or
  // allocated.
  [[nodiscard]] bool Append(const void* aData, size_t aBytes);
  // Frees the content for all copies and gives its charge back.
  void Discard();
  // Drops this reference to the content.
  void clear() { m_block.reset(); }

  const char* data() const { return m_block ? m_block->Data() : ""; }
  size_t size() const { return m_block ? m_block->Size() : 0; }
  bool empty() const { return size() == 0; }
  const char* begin() const { return data(); }
  const char* end() const { return data() + size(); }
  // Bytes that the content is charged with; 0 for a text that was assigned.
  size_t ChargedBytes() const;

  std::string_view View() const { return { data(), size() }; }
  operator std::string_view() const { return View(); }
  friend bool operator==(const Body& aBody, std::string_view aText)
  {
    return aBody.View() == aText;
  }
  friend std::ostream& operator<<(std::ostream& aStream, const Body& aBody)
  {
    return aStream << aBody.View();
  }

private:
  // A buffer of malloc(), since realloc() moves the pages of a large block
  // instead of copying it, or a text that was assigned.
  class Block
  {
  public:
    explicit Block(std::string aText)
      : m_text(std::move(aText))
    {
    }
    Block(std::shared_ptr<overload::MemoryBudget> aBudget,
          std::optional<overload::ChargeKind> aKind)
      : m_charge(std::move(aBudget))
      , m_kind(aKind)
    {
    }
    ~Block();
    Block(const Block&) = delete;
    Block& operator=(const Block&) = delete;

    const char* Data() const { return m_buffer ? m_buffer : m_text.data(); }
    size_t Size() const { return m_buffer ? m_size : m_text.size(); }
    size_t ChargedBytes() const { return m_charge.Bytes(); }
    bool Reserve(size_t aBytes);
    bool Append(const void* aData, size_t aBytes);
    void Discard();

  private:
    std::string m_text;
    char* m_buffer = nullptr;
    size_t m_size = 0;
    size_t m_capacity = 0;
    overload::MemoryCharge m_charge;
    std::optional<overload::ChargeKind> m_kind;
  };

  std::shared_ptr<Block> m_block;
};

// Parses a protobuf message. Returns false if the body is not one.
template<class Message>
bool
ParseMessage(const Body& aBody, Message& aMessage)
{
  return aBody.size() <= INT_MAX &&
         aMessage.ParseFromArray(aBody.data(), static_cast<int>(aBody.size()));
}

// The body type of Beast messages with a Body.
struct BodyType
{
  using value_type = Body;

  static uint64_t size(const value_type& aBody) { return aBody.size(); }

  class reader
  {
  public:
    template<bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& aBody)
      : m_body(aBody)
    {
    }
    void init(const boost::optional<uint64_t>&,
              boost::beast::error_code& aError)
    {
      aError = {};
    }
    // Fails with not_enough_memory if a buffer cannot be charged.
    template<class ConstBufferSequence>
    size_t put(const ConstBufferSequence& aBuffers,
               boost::beast::error_code& aError)
    {
      size_t byteCount = 0;
      aError = {};
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        if (!m_body.Append(buffer.data(), buffer.size())) {
          aError = make_error_code(boost::system::errc::not_enough_memory);
          break;
        }
        byteCount += buffer.size();
      }
      return byteCount;
    }
    void finish(boost::beast::error_code& aError) { aError = {}; }

  private:
    value_type& m_body;
  };

  class writer
  {
  public:
    using const_buffers_type = boost::asio::const_buffer;

    template<bool kIsRequest, class Fields>
    writer(const boost::beast::http::header<kIsRequest, Fields>&,
           const value_type& aBody)
      : m_body(aBody)
    {
    }
    void init(boost::beast::error_code& aError) { aError = {}; }
    boost::optional<std::pair<const_buffers_type, bool>> get(
      boost::beast::error_code& aError)
    {
      aError = {};
      return { { const_buffers_type(m_body.data(), m_body.size()), false } };
    }

  private:
    const value_type& m_body;
  };
};
// NOLINTEND(readability-identifier-naming)
} // namespace rattanloft::http
