// One caller's request in an entry: executes the steps that the relay decides
// on, using the caller's connection and the links to sidecars.
#pragma once

#include <QObject>
#include <QPointer>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libraries/relay/relay.h"
#include "services/entry/response_writer.h"
#include "services/entry/sidecar_pool.h"

namespace balsam::entry {

class CallerSession : public QObject {
  Q_OBJECT

 public:
  CallerSession(CallerRequest request, relay::Relay relay,
                std::unique_ptr<ResponseWriter> writer,
                admission::BudgetCharge charge, SharedState& shared,
                SidecarPool& pool, QObject* parent = nullptr);
  ~CallerSession() override;

  void Start();
  // Called periodically; checks deadlines and sends keep-alives.
  void Tick(BootTime now);
  bool finished() const { return finished_; }

  // Called once, when the session has finished and can be deleted.
  std::function<void()> on_finished;

 private:
  void ExecuteSteps(const relay::Steps& steps);
  void PlaceRequest(const relay::StartAttempt& step);
  void ScheduleResume(const relay::Resume& step);
  void SendResume(const relay::Resume& step);
  void DeliverTokens(const relay::Deliver& step);
  void FinishWithOutcome(const Outcome& outcome);
  void Send(const std::string& vm, const char* path,
            const peer::Message& message);
  void OnMessage(const std::string& vm, const peer::Message& message);
  void OnStreamEnd(peer::StreamEnd end);
  void DropStream();
  void CheckReaderStall(BootTime now);
  void ObserveTokens(BootTime now);
  // A backend server has run the request for long enough to show that it does
  // not crash it.
  void ProveHarmless();
  void Finish();

  CallerRequest request_;
  relay::Relay relay_;
  std::unique_ptr<ResponseWriter> writer_;
  admission::BudgetCharge charge_;
  SharedState& shared_;
  SidecarPool& pool_;
  telemetry::RequestInstruments& instruments_;

  std::string vm_;
  // The pool may close a link that has no open stream.
  QPointer<peer::PeerLink> peer_link_;
  peer::LinkStream stream_ = 0;
  bool finished_reply_received_ = false;
  bool finished_ = false;
  bool paused_ = false;
  QTimer resume_timer_;
  BootTime started_;
  BootTime last_write_;
  // When tokens of this attempt first arrived. It says nothing of the next one.
  std::optional<BootTime> first_token_;
  std::optional<BootTime> last_token_;
  bool proved_harmless_ = false;
  std::optional<BootTime> paused_since_;
  std::chrono::nanoseconds stall_{0};
};

}  // namespace balsam::entry
