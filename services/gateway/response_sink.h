// Destination of the response to one client request.
#pragma once

#include <string>
#include <string_view>

#include "libraries/http1/message_head.h"

namespace balsam::gateway {

class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  // Sends a complete response.
  virtual void SendComplete(http1::ResponseHead head, std::string body) = 0;
  // Starts a response of unknown length.
  virtual void BeginBody(http1::ResponseHead head) = 0;
  virtual void WriteBody(std::string_view bytes) = 0;
  virtual void EndBody() = 0;
  // Ends the connection so that the client detects the incomplete response.
  virtual void BreakOff() = 0;
  // The client reads too slowly for more to be written now.
  virtual bool IsFull() const = 0;
};

}  // namespace balsam::gateway
