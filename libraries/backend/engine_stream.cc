// Server-sent events, and the completion events in them.
#include "libraries/backend/engine_stream.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "libraries/decoding/bounded_json.h"

namespace balsam::backend {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxEventBytes = 1U << 20;
constexpr std::string_view kDone = "[DONE]";
// Fields of server-sent events that carry nothing for us.
constexpr std::array<std::string_view, 3> kOtherFields = {"event", "id",
                                                          "retry"};

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const auto begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kSpace) + 1 - begin);
}

const json* FindMember(const json& object, const char* name) {
  const auto member = object.find(name);
  const bool is_set = member != object.end() && !member->is_null();
  return is_set ? &*member : nullptr;
}

// What a choice of a completion or chat completion event contains.
struct ChoiceContent {
  // Unset if the event has no place for a text.
  std::optional<std::string> text;
  // The event says something else than a token.
  bool is_notice = false;
};

ChoiceContent ContentOf(const json& choice) {
  ChoiceContent content;
  content.is_notice = FindMember(choice, "finish_reason") != nullptr;
  const json* delta = FindMember(choice, "delta");
  const bool is_chat = delta != nullptr && delta->is_object();
  const json* text =
      is_chat ? FindMember(*delta, "content") : FindMember(choice, "text");
  content.is_notice |= is_chat && delta->contains("role");
  if (text != nullptr && text->is_string()) {
    content.text = text->get<std::string>();
  } else if (text == nullptr && is_chat) {
    content.is_notice |= delta->empty() || delta->contains("content");
  }
  return content;
}

}  // namespace

EngineStream::Batch EngineStream::Read(std::string_view bytes) {
  Batch batch;
  // What follows the end belongs to no stream.
  if (HasEnded()) return batch;
  line_ += bytes;
  std::size_t start = 0;
  for (auto end = line_.find('\n'); end != std::string::npos && !HasEnded();
       end = line_.find('\n', start)) {
    ReadLine(std::string_view(line_).substr(start, end - start), batch);
    start = end + 1;
  }
  line_.erase(0, start);
  if (!HasEnded() && line_.size() + data_.size() > kMaxEventBytes) {
    fault_ = "an event is too long";
  }
  return batch;
}

void EngineStream::ReadLine(std::string_view line, Batch& batch) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty()) {
    ReadEvent(batch);
    return;
  }
  const auto colon = line.find(':');
  // A line that begins with a colon is a comment.
  if (colon == 0) return;
  const std::string_view field = line.substr(0, colon);
  if (field == "data") {
    std::string_view value =
        colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    data_.append(value).push_back('\n');
    return;
  }
  if (std::ranges::find(kOtherFields, field) != kOtherFields.end()) return;
  // The standard ignores other fields. Here it is more likely that the field of
  // a token was damaged.
  fault_ = "a line is no field of an event";
}

void EngineStream::ReadEvent(Batch& batch) {
  const std::string event_data = std::exchange(data_, {});
  const std::string_view data = Trim(event_data);
  if (data.empty()) return;
  if (data == kDone && compared_ < repeated_.size()) {
    fault_ = "the stream ended before tokens that it had";
    return;
  }
  if (data == kDone) {
    done_ = true;
    return;
  }
  const json event = decoding::ParseJson(data);
  if (!event.is_object()) {
    fault_ = "an event is not a JSON object";
    return;
  }
  if (event.contains("preempted")) {
    ++batch.preemptions;
    return;
  }
  if (FindMember(event, "error") != nullptr) {
    failed_ = true;
    return;
  }
  const json* choices = FindMember(event, "choices");
  if (choices == nullptr || !choices->is_array()) {
    fault_ = "an event has no choices";
    return;
  }
  // Such as an event of the usage.
  if (choices->empty()) return;
  const json& choice = choices->front();
  // Each request asks for one choice. Others would be mixed into its text.
  const json* index =
      choice.is_object() ? FindMember(choice, "index") : nullptr;
  const bool is_only_choice = choices->size() == 1 && choice.is_object() &&
                              (index == nullptr || *index == 0);
  if (!is_only_choice) {
    fault_ = "an event is of another choice";
    return;
  }
  ChoiceContent content = ContentOf(choice);
  if (!content.text.has_value() && !content.is_notice) {
    fault_ = "an event has no text";
    return;
  }
  // An empty text is a token unless the event says something else: the engine
  // counts it, and would be resumed from the wrong token.
  if (content.text.value_or("").empty() && content.is_notice) return;
  AddToken(*std::move(content.text), batch);
}

void EngineStream::AddToken(std::string text, Batch& batch) {
  if (compared_ == repeated_.size()) {
    batch.tokens.push_back(std::move(text));
  } else if (text == repeated_[compared_]) {
    ++compared_;
  } else {
    fault_ = "the stream does not go on where it broke";
  }
}

}  // namespace balsam::backend
