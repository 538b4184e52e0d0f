// What an attempt to connect tells about whether a server is there.
#pragma once

#include "libraries/quarantine/crash_check.h"
#include "services/gateway/outbound_connection.h"

namespace balsam::gateway {

inline quarantine::Contact ToContact(OutboundConnection::OpenResult result) {
  switch (result) {
    case OutboundConnection::OpenResult::kOpen:
      return quarantine::Contact::kAccepted;
    case OutboundConnection::OpenResult::kRefused:
      return quarantine::Contact::kRefused;
    case OutboundConnection::OpenResult::kTimedOut:
      return quarantine::Contact::kTimedOut;
    case OutboundConnection::OpenResult::kFailed:
      return quarantine::Contact::kClosed;
  }
  return quarantine::Contact::kClosed;
}

}  // namespace balsam::gateway
