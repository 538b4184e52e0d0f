// Helpers that run Qt's event loop in tests until a condition holds.
#pragma once

#include <QEventLoop>
#include <QTcpServer>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <utility>

namespace balsam::gateway {

// Ends a test that hangs; no test relies on it.
inline constexpr std::chrono::milliseconds kTestLimit{20000};

// Returns whether `holds()` became true within the time limit.
template <typename Condition>
bool RunUntil(Condition&& holds) {
  QEventLoop loop;
  QTimer look;
  QObject::connect(&look, &QTimer::timeout, &loop, [&] {
    if (holds()) loop.quit();
  });
  look.start(1);
  QTimer::singleShot(kTestLimit, &loop, &QEventLoop::quit);
  if (!holds()) loop.exec();
  return holds();
}

// Calls `start` until it succeeds. It chooses ports, which another process may
// take before they are used.
template <typename Start>
bool RetryWithOtherPorts(Start&& start) {
  constexpr int kTries = 20;
  for (int tries = 0; tries < kTries; ++tries) {
    if (start()) return true;
  }
  return false;
}

// Another process may take the port before it is used; see
// `RetryWithOtherPorts`.
inline std::uint16_t FreePort() {
  QTcpServer probe;
  probe.listen(QHostAddress::LocalHost);
  return probe.serverPort();
}

}  // namespace balsam::gateway
