// Decides which bytes are the head of a response to a request. Every reader of
// responses asks here, whatever library it reads with: libraries are lenient in
// different ways, and a head that two readers understand differently must not
// be passed on.
#pragma once

#include <string_view>

#include "libraries/http1/message_head.h"

namespace balsam::http1 {

// Whether a response may have this status code (RFC 9110, 15). 101 answers a
// request to change the protocol, which is never made.
bool IsValidStatus(int status);
// Whether the text is a token (RFC 9110, 5.6.2).
bool IsValidFieldName(std::string_view name);
// Whether the text has no control characters but tabs (RFC 9110, 5.5).
bool IsValidFieldValue(std::string_view value);
// Whether two readers may find different ends of the message's body: more than
// one length or transfer coding, a length that is not a plain number, or a
// coding other than chunked (RFC 9112, 6).
bool HasAmbiguousFraming(const FieldList& fields);
// Whether `head` keeps all of these rules, and announces no body where the
// status excludes one (RFC 9112, 6.3).
bool IsValidResponseHead(const ResponseHead& head);

}  // namespace balsam::http1
