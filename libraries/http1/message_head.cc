// Header fields and the serialization of heads.
#include "libraries/http1/message_head.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <ostream>
#include <set>

namespace balsam::http1 {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "Connection",
    "Keep-Alive",
    "TE",
    "Trailer",
    "Upgrade",
    "Transfer-Encoding",
    "Proxy-Connection",
    "Proxy-Authorization",
    "Content-Length"};

void AppendFields(const FieldList& fields, const Framing& framing,
                  std::string& out) {
  for (const Field& field : fields) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
  if (framing.chunked) {
    out += "Transfer-Encoding: chunked\r\n";
  } else if (framing.content_length.has_value()) {
    out += "Content-Length: ";
    out += std::to_string(*framing.content_length);
    out += "\r\n";
  }
  out += "\r\n";
}

}  // namespace

bool EqualFieldNames(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

void FieldList::Add(std::string_view name, std::string_view value) {
  text_bytes_ += name.size() + value.size();
  fields_.push_back({std::string(name), std::string(value)});
}

void FieldList::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void FieldList::Remove(std::string_view name) {
  std::erase_if(fields_, [name](const Field& field) {
    return EqualFieldNames(field.name, name);
  });
}

const std::string* FieldList::Find(std::string_view name) const {
  const auto found = std::ranges::find_if(fields_, [name](const Field& field) {
    return EqualFieldNames(field.name, name);
  });
  return found == fields_.end() ? nullptr : &found->value;
}

std::size_t FieldList::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(fields_, [name](const Field& field) {
        return EqualFieldNames(field.name, name);
      }));
}

void FieldList::RemoveHopByHopFields() {
  // Ordered, since a client may list as many names as it sends fields.
  std::set<std::string> listed_names;
  for (const Field& field : fields_) {
    if (!EqualFieldNames(field.name, "Connection")) continue;
    for (const auto token : boost::beast::http::token_list(field.value)) {
      listed_names.insert(boost::algorithm::to_lower_copy(std::string(token)));
    }
  }
  std::erase_if(fields_, [&](const Field& field) {
    return std::ranges::any_of(kHopByHopFields,
                               [&](std::string_view name) {
                                 return EqualFieldNames(field.name, name);
                               }) ||
           (!listed_names.empty() &&
            listed_names.contains(boost::algorithm::to_lower_copy(field.name)));
  });
}

std::string_view RequestHead::Path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string Serialize(const RequestHead& head, const Framing& framing) {
  std::string out = head.method + ' ' + head.target + " HTTP/1.1\r\n";
  AppendFields(head.fields, framing, out);
  return out;
}

std::string Serialize(const ResponseHead& head, const Framing& framing) {
  const std::string_view reason =
      head.reason.empty() ? ReasonPhrase(head.status) : head.reason;
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ';
  out += reason;
  out += "\r\n";
  AppendFields(head.fields, framing, out);
  return out;
}

std::string_view ReasonPhrase(int status) {
  const auto text = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(status));
  return {text.data(), text.size()};
}

std::string EncodeChunk(std::string_view data) {
  std::array<char, 24> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  std::string out(size.data(), static_cast<std::size_t>(length));
  out += data;
  out += "\r\n";
  return out;
}

}  // namespace balsam::http1
