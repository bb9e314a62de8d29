#include "ControlClient.h"

#include <chrono>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <grpcpp/channel.h>

#include "control.grpc.pb.h"
#include "rattanloft/wire/GrpcChannel.h"

namespace rattanloft::node {

namespace {

// A control instance holds a Sync for at most 400 ms. The rest is for its read
// barrier and the network.
constexpr Duration kSyncTimeout = Milliseconds(900);

class GrpcControlClient final : public ControlClient
{
public:
  GrpcControlClient(boost::asio::io_context& aContext,
                    const Clock& aClock,
                    std::vector<std::string> aAddresses)
    : m_context(aContext)
    , m_clock(aClock)
    , m_addresses(std::move(aAddresses))
  {
    for (const std::string& address : m_addresses) {
      m_stubs.push_back(wire::ControlSync::NewStub(wire::MakeChannel(address)));
    }
  }

  void Sync(wire::SyncRequest aRequest, SyncCallback aCallback) override
  {
    auto call = std::make_shared<SyncCall>();
    call->m_request = std::move(aRequest);
    call->m_callback = std::move(aCallback);
    call->m_result.m_sentAt = m_clock.Now();
    call->m_context.set_deadline(std::chrono::system_clock::now() +
                                 std::chrono::milliseconds(kSyncTimeout.m_ms));
    boost::asio::io_context& context = m_context;
    m_stubs[m_currentIndex]->async()->Sync(
      &call->m_context,
      &call->m_request,
      &call->m_result.m_reply,
      [call, &context](const grpc::Status& aStatus) {
        call->m_result.m_ok = aStatus.ok();
        call->m_result.m_error = aStatus.error_message();
        boost::asio::post(
          context, [call] { call->m_callback(std::move(call->m_result)); });
      });
  }

  void UseNextInstance() override
  {
    m_currentIndex = (m_currentIndex + 1) % m_addresses.size();
  }

  const std::string& CurrentAddress() const override
  {
    return m_addresses[m_currentIndex];
  }

private:
  struct SyncCall
  {
    grpc::ClientContext m_context;
    wire::SyncRequest m_request;
    SyncResult m_result;
    SyncCallback m_callback;
  };

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  std::vector<std::string> m_addresses;
  // Index of the control instance in use.
  size_t m_currentIndex = 0;
  // One stub for each address, never destroyed: gRPC aborts if the last
  // reference to a channel is dropped on one of its own threads. Connections
  // that have gone silent are replaced by keepalive.
  std::vector<std::unique_ptr<wire::ControlSync::Stub>> m_stubs;
};

} // namespace

std::unique_ptr<ControlClient>
ControlClient::Make(boost::asio::io_context& aContext,
                    const Clock& aClock,
                    std::vector<std::string> aAddresses)
{
  return std::make_unique<GrpcControlClient>(
    aContext, aClock, std::move(aAddresses));
}

} // namespace rattanloft::node
