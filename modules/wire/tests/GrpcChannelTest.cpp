#include "rattanloft/wire/GrpcChannel.h"

#include <catch2/catch.hpp>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include "control.grpc.pb.h"

namespace rattanloft::wire {

namespace {

constexpr size_t kMib = size_t{ 1024 } * 1024;

// Answers each sync with a catalogue of so many bytes.
class LargeReplyService final : public ControlSync::Service
{
public:
  explicit LargeReplyService(size_t aBytes)
    : m_bytes(aBytes)
  {
  }

  grpc::Status Sync(grpc::ServerContext* /*aContext*/,
                    const SyncRequest* /*aRequest*/,
                    SyncReply* aReply) override
  {
    aReply->mutable_catalogue()->add_entries()->set_name(
      std::string(m_bytes, 'x'));
    return grpc::Status::OK;
  }

private:
  size_t m_bytes;
};

grpc::StatusCode
SyncWithReplyOf(size_t aBytes)
{
  LargeReplyService service(aBytes);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(
    "127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&service);
  const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  REQUIRE(server);
  const auto stub =
    ControlSync::NewStub(MakeChannel("127.0.0.1:" + std::to_string(port)));
  grpc::ClientContext context;
  SyncReply reply;
  const grpc::Status status = stub->Sync(&context, SyncRequest(), &reply);
  server->Shutdown();
  return status.error_code();
}

} // namespace

// Guards against a process that keeps whatever a peer declares and sends until
// its memory is used up.
TEST_CASE("A reply above the limit is refused, a large catalogue is not")
{
  CHECK(SyncWithReplyOf(32 * kMib) == grpc::StatusCode::OK);
  CHECK(SyncWithReplyOf(65 * kMib) == grpc::StatusCode::RESOURCE_EXHAUSTED);
}

} // namespace rattanloft::wire
