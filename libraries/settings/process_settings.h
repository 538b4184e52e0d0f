// Loading of settings files, and readers for the sections that all daemons
// share.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/settings/object_reader.h"

namespace balsam::settings {

struct VmIdentity {
  std::string id;
  std::string data_center;
};

// An address that the process listens on.
struct Listener {
  std::string address;
  std::uint16_t port = 0;
};

VmIdentity ReadVmIdentity(ObjectReader reader);
// Reads `address`, an IP address, and `port`, which may be 0 for any free port.
Listener ReadListener(ObjectReader& reader);
// Reads an http base URL whose host is an IP address.
std::string ReadUrl(ObjectReader& reader, const std::string& key);
// A secret of at least 16 bytes.
std::string ReadSecret(ObjectReader& reader, const std::string& key);

// Adds a problem for each listener with the same address and port as an earlier
// one.
void CheckListeners(
    ObjectReader& root,
    const std::vector<std::pair<std::string, Listener>>& listeners);

// Parses the file and passes its root object to `read`. Returns all problems;
// the settings are valid if there are none.
std::vector<Problem> LoadSettings(
    const std::string& path, const std::function<void(ObjectReader&)>& read);
// Does the same for `text`; `source` is its name in problems.
std::vector<Problem> ParseSettings(
    const std::string& source, std::string_view text,
    const std::function<void(ObjectReader&)>& read);

}  // namespace balsam::settings
