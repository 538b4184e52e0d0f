// The parts of a settings file that every daemon has, and the loading of the
// file itself.
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
// Reads `address`, an IP number, and `port`, which may be 0 for any free one.
Listener ReadListener(ObjectReader& reader);
// Reads a base URL of the http scheme whose host is an IP number.
std::string ReadUrl(ObjectReader& reader, const std::string& key);
// A secret of at least 16 bytes.
std::string ReadSecret(ObjectReader& reader, const std::string& key);

// Adds a problem for each listener that shares its address with an earlier one.
void CheckListeners(
    ObjectReader& root,
    const std::vector<std::pair<std::string, Listener>>& listeners);

// Reads the file and hands its root to `read`. Returns every problem found; no
// problems means that the settings hold.
std::vector<Problem> LoadSettings(
    const std::string& path, const std::function<void(ObjectReader&)>& read);
// The same for a text that is at hand; `source` names it in problems.
std::vector<Problem> ParseSettings(
    const std::string& source, std::string_view text,
    const std::function<void(ObjectReader&)>& read);

}  // namespace balsam::settings
