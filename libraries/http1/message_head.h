// The head of an HTTP/1.1 message: start line and header fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsam::http1 {

struct Field {
  std::string name;
  std::string value;
};

// Compares field names, which are case-insensitive (RFC 9110, 5.1).
bool EqualFieldNames(std::string_view a, std::string_view b);

class FieldList {
 public:
  void Add(std::string_view name, std::string_view value);
  // Makes room for `count` fields in all.
  void Reserve(std::size_t count) { fields_.reserve(count); }
  // Replaces every field of this name by one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
  // Returns the value of the first field of this name; null if there is none.
  const std::string* Find(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  // Removes the hop-by-hop fields: `Connection` and the fields that it lists,
  // `Keep-Alive`, `TE`, `Trailer`, `Transfer-Encoding`, `Upgrade` and the proxy
  // fields (RFC 9110, 7.6.1). Also removes `Content-Length`, since Serialize
  // writes the framing fields anew.
  void RemoveHopByHopFields();

  std::vector<Field>::const_iterator begin() const { return fields_.begin(); }
  std::vector<Field>::const_iterator end() const { return fields_.end(); }
  std::size_t size() const { return fields_.size(); }
  // Memory that the fields occupy, in bytes: a short line takes far more than
  // its text.
  std::size_t MemoryBytes() const {
    return fields_.capacity() * sizeof(Field) + text_bytes_;
  }

 private:
  std::vector<Field> fields_;
  // Length of all names and values that were added; removed ones still count.
  std::size_t text_bytes_ = 0;
};

struct RequestHead {
  std::string method;
  // As the client sent it, with the query.
  std::string target;
  FieldList fields;

  // The target without its query.
  std::string_view Path() const;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  FieldList fields;
};

// How the end of a message's body is determined.
struct Framing {
  std::optional<std::uint64_t> content_length;
  bool chunked = false;
};

// What a response begins with.
inline constexpr std::string_view kStatusLineStart = "HTTP/1.";

// Returns the bytes of a head, up to and including the empty line.
std::string Serialize(const RequestHead& head, const Framing& framing);
std::string Serialize(const ResponseHead& head, const Framing& framing);

// Returns whether a status code is 2xx, Successful (RFC 9110, 15.3).
inline bool IsSuccess(int status) { return status / 100 == 2; }

// Returns the standard reason phrase of a status code.
std::string_view ReasonPhrase(int status);

// Returns `data` as one chunk of a chunked body; kLastChunk ends such a body.
std::string EncodeChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace balsam::http1
