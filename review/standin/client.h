// A client that sends one request on a connection of its own.
#pragma once

#include "net.h"
#include "record.h"

namespace standin {

struct Answer {
  // Zero without one.
  int status = 0;
  // The response has its whole body.
  bool is_complete = false;
  Message head;
  std::string body;
  double took = 0;
};

// Sends `request` to the front address and reads the answer until `deadline`.
inline Answer Ask(const std::string& ip, int port, const std::string& request,
                  milliseconds deadline) {
  Answer answer;
  const auto started = Clock::now();
  const auto end = started + deadline;
  const int descriptor = Socket::Connect(ip, port);
  if (descriptor < 0) return answer;
  Socket socket(descriptor);
  socket.Write(request);
  // Ends the reading below at the deadline.
  std::atomic<bool> done = false;
  std::thread guard([&] {
    while (!done && Clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    if (!done) socket.Shutdown();
  });
  std::string buffer;
  if (auto head = ReadHead(socket, buffer)) {
    answer.status = head->Status();
    if (Lower(head->Header("Transfer-Encoding")) == "chunked") {
      answer.is_complete =
          ReadChunks(socket, buffer, [&](const std::string& chunk) {
            answer.body += chunk;
          });
    } else {
      answer.is_complete = ReadSizedBody(socket, buffer, *head);
      answer.body = head->body;
    }
    answer.head = std::move(*head);
  }
  done = true;
  guard.join();
  answer.took = std::chrono::duration<double>(Clock::now() - started).count();
  return answer;
}

}  // namespace standin
