#include "GrpcServer.h"

#include <atomic>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <grpc/support/log.h>
#include <grpcpp/grpcpp.h>

#include "control.grpc.pb.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/wire/GrpcChannel.h"

namespace rattanloft::control {

namespace {

namespace asio = boost::asio;

void
ForwardGrpcLog(gpr_log_func_args* aArgs)
{
  LogDebug("grpc", "{}", aArgs->message);
}

// Passes one Sync call to the control thread and its reply back to gRPC. Lives
// until gRPC has finished the call and no posted handler refers to it.
class SyncReactor final
  : public grpc::ServerUnaryReactor
  , public std::enable_shared_from_this<SyncReactor>
{
public:
  SyncReactor(asio::io_context& aContext,
              GrpcCallHandler& aHandler,
              uint64_t aCallId,
              wire::SyncReply* aReply)
    : m_context(aContext)
    , m_handler(aHandler)
    , m_callId(aCallId)
    , m_reply(aReply)
  {
  }

  void Start(const wire::SyncRequest& aRequest)
  {
    m_self = shared_from_this();
    asio::post(m_context, [self = m_self, request = aRequest] {
      self->m_handler.OnSync(
        self->m_callId, request, [self](wire::SyncReply aReply) {
          self->FinishOnce(grpc::Status::OK, std::move(aReply));
        });
    });
  }

  void OnCancel() override
  {
    asio::post(m_context, [self = shared_from_this()] {
      self->m_handler.OnSyncCancelled(self->m_callId);
      self->FinishOnce(grpc::Status::CANCELLED, {});
    });
  }

  void OnDone() override { m_self.reset(); }

private:
  // Called on the control thread. The reply object of gRPC is valid only until
  // the first Finish().
  void FinishOnce(const grpc::Status& aStatus, wire::SyncReply aReply)
  {
    if (!std::exchange(m_finished, true)) {
      *m_reply = std::move(aReply);
      Finish(aStatus);
    }
  }

  asio::io_context& m_context;
  GrpcCallHandler& m_handler;
  const uint64_t m_callId;
  wire::SyncReply* m_reply;
  bool m_finished = false;
  // Keeps this object alive until OnDone().
  std::shared_ptr<SyncReactor> m_self;
};

class SyncService final : public wire::ControlSync::CallbackService
{
public:
  SyncService(asio::io_context& aContext, GrpcCallHandler& aHandler)
    : m_context(aContext)
    , m_handler(aHandler)
  {
  }

  grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* /*aContext*/,
                                 const wire::SyncRequest* aRequest,
                                 wire::SyncReply* aReply) override
  {
    auto reactor = std::make_shared<SyncReactor>(
      m_context, m_handler, ++m_lastCallId, aReply);
    reactor->Start(*aRequest);
    return reactor.get();
  }

private:
  asio::io_context& m_context;
  GrpcCallHandler& m_handler;
  // Sync calls come from several gRPC threads.
  std::atomic<uint64_t> m_lastCallId = 0;
};

class RaftService final : public wire::RaftTransport::CallbackService
{
public:
  RaftService(asio::io_context& aContext, GrpcCallHandler& aHandler)
    : m_context(aContext)
    , m_handler(aHandler)
  {
  }

  // Finishes the call only when the control thread handles the batch. While
  // that thread is busy, the number of waiting batches is thus bounded by the
  // number that each peer keeps in flight.
  grpc::ServerUnaryReactor* Deliver(grpc::CallbackServerContext* aContext,
                                    const wire::RaftBatch* aBatch,
                                    wire::RaftBatchReply* /*aReply*/) override
  {
    auto* reactor = aContext->DefaultReactor();
    asio::post(m_context, [this, reactor, batch = *aBatch] {
      reactor->Finish(grpc::Status::OK);
      m_handler.OnRaftBatch(batch);
    });
    return reactor;
  }

private:
  asio::io_context& m_context;
  GrpcCallHandler& m_handler;
};

class GrpcServerImpl final : public GrpcServer
{
public:
  GrpcServerImpl(asio::io_context& aContext, GrpcCallHandler& aHandler)
    : m_syncService(aContext, aHandler)
    , m_raftService(aContext, aHandler)
  {
  }
  GrpcServerImpl(const GrpcServerImpl&) = delete;
  GrpcServerImpl& operator=(const GrpcServerImpl&) = delete;
  ~GrpcServerImpl() override { Shutdown(); }

  bool Listen(const std::string& aAddress)
  {
    grpc::ServerBuilder builder;
    wire::SetServerOptions(builder);
    builder.AddListeningPort(
      aAddress, grpc::InsecureServerCredentials(), &m_port);
    builder.RegisterService(&m_syncService);
    builder.RegisterService(&m_raftService);
    m_server = builder.BuildAndStart();
    return m_server != nullptr && m_port > 0;
  }

  uint16_t Port() const override { return static_cast<uint16_t>(m_port); }

  void Shutdown() override
  {
    if (m_server != nullptr) {
      m_server->Shutdown(std::chrono::system_clock::now() +
                         std::chrono::milliseconds(500));
      m_server->Wait();
      m_server.reset();
    }
  }

private:
  SyncService m_syncService;
  RaftService m_raftService;
  int m_port = 0;
  std::unique_ptr<grpc::Server> m_server;
};

} // namespace

tl::expected<std::unique_ptr<GrpcServer>, std::string>
GrpcServer::Make(const std::string& aAddress,
                 asio::io_context& aContext,
                 GrpcCallHandler& aHandler)
{
  gpr_set_log_function(ForwardGrpcLog);
  auto server = std::make_unique<GrpcServerImpl>(aContext, aHandler);
  if (!server->Listen(aAddress)) {
    return tl::unexpected(
      fmt::format("cannot listen on gRPC address {}", aAddress));
  }
  return server;
}

} // namespace rattanloft::control
