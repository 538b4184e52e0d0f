// The rules, most of them as character classes.
#include "libraries/http1/response_rules.h"

#include <algorithm>

namespace balsam::http1 {
namespace {

constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kFirstFinalStatus = 200;

bool IsDigit(char character) { return character >= '0' && character <= '9'; }

bool IsTokenCharacter(char character) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return IsDigit(character) || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         kSymbols.find(character) != std::string_view::npos;
}

bool IsControlCharacter(char character) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto code = static_cast<unsigned char>(character);
  return (code < kFirstPrintable && character != '\t') || code == kDelete;
}

bool IsNumber(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsDigit);
}

bool ExcludesBody(int status) {
  return status < kFirstFinalStatus || status == kNoContent;
}

bool AnnouncesBody(const FieldList& fields) {
  const std::string* length = fields.Find("Content-Length");
  return fields.Find("Transfer-Encoding") != nullptr ||
         (length != nullptr &&
          length->find_first_not_of('0') != std::string::npos);
}

}  // namespace

bool IsValidStatus(int status) {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

bool IsValidFieldName(std::string_view name) {
  return !name.empty() && std::ranges::all_of(name, IsTokenCharacter);
}

bool IsValidFieldValue(std::string_view value) {
  return std::ranges::none_of(value, IsControlCharacter);
}

bool HasAmbiguousFraming(const FieldList& fields) {
  const std::size_t lengths = fields.Count("Content-Length");
  const std::size_t codings = fields.Count("Transfer-Encoding");
  if (lengths + codings > 1) return true;
  const std::string* length = fields.Find("Content-Length");
  if (length != nullptr && !IsNumber(*length)) return true;
  const std::string* coding = fields.Find("Transfer-Encoding");
  return coding != nullptr && !EqualFieldNames(*coding, "chunked");
}

bool IsValidResponseHead(const ResponseHead& head) {
  const bool has_valid_fields =
      std::ranges::all_of(head.fields, [](const Field& field) {
        return IsValidFieldName(field.name) && IsValidFieldValue(field.value);
      });
  return IsValidStatus(head.status) && has_valid_fields &&
         !HasAmbiguousFraming(head.fields) &&
         !(ExcludesBody(head.status) && AnnouncesBody(head.fields));
}

}  // namespace balsam::http1
