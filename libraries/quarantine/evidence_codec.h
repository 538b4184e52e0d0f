// Encoding of crash evidence, which processes exchange within other messages.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/quarantine/crash_ledger.h"

namespace balsam::quarantine {

// As a part of a CBOR message. Empty evidence, which is the rule, takes one
// byte.
nlohmann::json ToJson(const Evidence& evidence);
// Throws nlohmann::json::exception if the part is invalid.
Evidence ReadEvidence(const nlohmann::json& message);

// As a message of its own, empty for empty evidence.
std::string Encode(const Evidence& evidence);
// Fails with kInvalidPeerMessage.
Result<Evidence> DecodeEvidence(std::string_view bytes);

}  // namespace balsam::quarantine
