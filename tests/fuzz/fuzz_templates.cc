// Fuzzes the parser of templates, including the JSON parser that settings use.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "libraries/templates/template_set.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  balsam::templates::TemplateSet::Problems problems;
  const auto set = balsam::templates::TemplateSet::Parse(
      1, std::string_view(reinterpret_cast<const char*>(data), size), problems);
  if ((set == nullptr) == problems.empty()) __builtin_trap();
  return 0;
}
