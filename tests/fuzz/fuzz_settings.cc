// Fuzzes the parser of settings files.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "services/entry/entry_settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  balsam::entry::EntrySettings settings;
  const auto problems = balsam::settings::ParseSettings(
      "fuzz", std::string_view(reinterpret_cast<const char*>(data), size),
      [&](balsam::settings::ObjectReader& root) {
        balsam::entry::EntrySettings::Read(root, settings);
      });
  for (const auto& problem : problems) {
    if (problem.ToLine().find('\n') != std::string::npos) __builtin_trap();
  }
  return 0;
}
