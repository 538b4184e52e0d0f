// Serves callers on one thread of an entry, with its own listening socket, HTTP
// server, links to sidecars and sessions. All calls after `Start` must be made
// on that thread.
#pragma once

#include <QHttpServer>
#include <QObject>
#include <QTimer>
#include <map>
#include <memory>

#include "services/entry/caller_session.h"

class QTcpServer;

namespace balsam::entry {

class EntryWorker : public QObject {
  Q_OBJECT

 public:
  EntryWorker(SharedState& shared, std::uint64_t seed);

  // Listens on the callers' address, which all workers share (SO_REUSEPORT).
  // Fails with kInvalidSettings. Must be called on the worker's thread.
  Result<std::uint16_t> Start(std::uint16_t port);
  // Accepts no new connections; open requests continue.
  void StopListening();
  std::uint64_t peer_bytes() const { return pool_.bytes(); }

 private:
  void HandleRequest(const QHttpServerRequest& request,
                     QHttpServerResponder&& responder);
  void HandleModels(const QHttpServerRequest& request,
                    QHttpServerResponder&& responder);
  void HandleResume(const RawCallerRequest& raw,
                    QHttpServerResponder&& responder);
  void HandleTicket(const RawCallerRequest& raw,
                    QHttpServerResponder&& responder);
  void StartSession(CallerRequest request, relay::Relay relay,
                    admission::BudgetCharge charge,
                    QHttpServerResponder&& responder);
  Result<CallerRequest> Parse(const RawCallerRequest& raw) const;
  void RejectRequest(QHttpServerResponder&& responder, const Error& error);

  SharedState& shared_;
  SidecarPool pool_;
  std::unique_ptr<QHttpServer> server_;
  // Owned by `server_`.
  QTcpServer* listener_ = nullptr;
  std::map<std::uint64_t, std::unique_ptr<CallerSession>> sessions_;
  std::uint64_t next_session_ = 1;
  QTimer* tick_timer_ = nullptr;
};

}  // namespace balsam::entry
