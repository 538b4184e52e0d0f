// A client of the system.
#pragma once

#include <memory>

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

// A connection of a client, on which it sends one request after another.
class ClientConnection {
 public:
  ClientConnection(const std::string& ip, int port) {
    const int descriptor = Socket::Connect(ip, port);
    if (descriptor >= 0) socket_ = std::make_unique<Socket>(descriptor);
  }

  bool is_open() const { return socket_ != nullptr; }
  // Number of requests that were sent here.
  int requests() const { return requests_; }

  // Sends `request` and reads the answer until `deadline`. Closes the
  // connection unless the answer leaves it open.
  Answer Ask(const std::string& request, milliseconds deadline) {
    Answer answer;
    if (socket_ == nullptr) return answer;
    ++requests_;
    const auto started = Clock::now();
    const auto end = started + deadline;
    socket_->Write(request);
    // Ends the reading below at the deadline.
    std::atomic<bool> done = false;
    std::thread guard([&] {
      while (!done && Clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
      }
      if (!done) socket_->Shutdown();
    });
    if (auto head = ReadHead(*socket_, buffer_)) {
      answer.status = head->Status();
      if (Lower(head->Header("Transfer-Encoding")) == "chunked") {
        answer.is_complete =
            ReadChunks(*socket_, buffer_,
                       [&](const std::string& chunk) { answer.body += chunk; });
      } else {
        answer.is_complete = ReadSizedBody(*socket_, buffer_, *head);
        answer.body = head->body;
      }
      answer.head = std::move(*head);
    }
    done = true;
    guard.join();
    answer.took = std::chrono::duration<double>(Clock::now() - started).count();
    const bool keeps = answer.is_complete &&
                       Lower(answer.head.Header("Connection")) != "close";
    if (!keeps) socket_.reset();
    return answer;
  }

 private:
  std::unique_ptr<Socket> socket_;
  std::string buffer_;
  int requests_ = 0;
};

// Sends one request on a connection of its own.
inline Answer Ask(const std::string& ip, int port, const std::string& request,
                  milliseconds deadline) {
  return ClientConnection(ip, port).Ask(request, deadline);
}

}  // namespace standin
