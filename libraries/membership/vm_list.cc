// Parses the platform's list of VMs.
#include "libraries/membership/vm_list.h"

#include <QHostAddress>
#include <algorithm>
#include <iterator>
#include <optional>
#include <ranges>
#include <utility>

#include "libraries/settings/object_reader.h"

namespace balsam::membership {
namespace {

constexpr char kSource[] = "vm_list";
constexpr char kListKey[] = "vms";
constexpr std::size_t kMaxLoggedProblems = 5;
constexpr std::size_t kMaxLoggedChars = 200;

using Problems = std::vector<settings::Problem>;

Vm ReadVm(settings::ObjectReader reader) {
  Vm vm;
  vm.id = reader.String("id");
  if (vm.id.empty()) reader.AddProblem("id", "must not be empty");
  vm.data_center = reader.String("data_center");
  vm.address = reader.String("address");
  if (QHostAddress(QString::fromStdString(vm.address)).isNull()) {
    reader.AddProblem("address", "must be an IP address");
  }
  vm.peer_port =
      static_cast<std::uint16_t>(reader.Integer("peer_port", 1, 65535));
  vm.role = static_cast<VmRole>(reader.Choice("role", {"entry", "backend"}));
  vm.state =
      static_cast<VmState>(reader.Choice("state", {"live", "leaving"}, 0));
  vm.service = reader.String("service", "");
  reader.ReportUnknownKeys();
  return vm;
}

// Reads the whole text. The result counts only if there are no problems.
std::vector<Vm> ReadVms(std::string_view text, Problems& problems) {
  std::vector<Vm> vms;
  const auto document = settings::JsonDocument::Parse(kSource, text, problems);
  if (!problems.empty()) return vms;
  settings::ObjectReader root(document, "", problems);
  std::ranges::transform(root.Objects(kListKey), std::back_inserter(vms),
                         ReadVm);
  return vms;
}

// Reads the text of one VM. Returns nothing if it is not described properly.
std::optional<Vm> ReadSingleVm(std::string_view text) {
  Problems problems;
  const auto document = settings::JsonDocument::Parse(kSource, text, problems);
  if (!problems.empty()) return std::nullopt;
  Vm vm = ReadVm(settings::ObjectReader(document, "", problems));
  return problems.empty() ? std::optional(std::move(vm)) : std::nullopt;
}

std::string ToLogLine(const settings::Problem& problem) {
  return problem.ToLine().substr(0, kMaxLoggedChars);
}

// Finds the elements of the list in a text that need not be JSON within them:
// with numbers that are too large, or nested too deeply.
class ElementScanner {
 public:
  explicit ElementScanner(std::string_view text) : text_(text) {}

  // Returns nothing if the text is not an object, complete, with the list.
  std::optional<std::vector<std::string_view>> Scan() {
    for (; at_ < text_.size(); ++at_) {
      if (!SkipComment() && !OnCharacter(text_[at_])) return std::nullopt;
    }
    const bool is_complete = depth_ == 0 && has_list_ && !in_list_;
    return is_complete ? std::optional(std::move(elements_)) : std::nullopt;
  }

 private:
  static constexpr std::string_view kSpaces = " \t\r\n";

  // Stops at the last character of a comment.
  bool SkipComment() {
    const std::string_view rest = text_.substr(at_);
    const bool is_line = rest.starts_with("//");
    if (!is_line && !rest.starts_with("/*")) return false;
    const std::size_t end =
        is_line ? rest.find('\n') : rest.find("*/", std::size_t{2});
    const std::size_t length =
        end == std::string_view::npos ? rest.size() : end + (is_line ? 1 : 2);
    at_ += length - 1;
    return true;
  }

  // Returns whether the text can go on.
  bool OnCharacter(char c) {
    if (depth_ == 0) {
      // Nothing but spaces is around the object.
      if (c == '{' && !has_object_) {
        has_object_ = true;
        ++depth_;
        return true;
      }
      return kSpaces.find(c) != std::string_view::npos;
    }
    switch (c) {
      case '"':
        return SkipString();
      case '[':
      case '{':
        if (depth_ == 1 && c == '[' && key_ == kListKey && !has_list_) {
          has_list_ = true;
          in_list_ = true;
          start_ = at_ + 1;
        }
        ++depth_;
        return true;
      case ']':
      case '}':
        --depth_;
        if (depth_ == 1 && in_list_) {
          EndElement();
          in_list_ = false;
        }
        return true;
      case ',':
        if (depth_ == 2 && in_list_) EndElement();
        return true;
      default:
        return true;
    }
  }

  // Stops at the closing quote.
  bool SkipString() {
    const std::size_t begin = at_ + 1;
    for (++at_; at_ < text_.size() && text_[at_] != '"'; ++at_) {
      if (text_[at_] == '\\') ++at_;
    }
    if (at_ >= text_.size()) return false;
    if (depth_ == 1) key_ = text_.substr(begin, at_ - begin);
    return true;
  }

  void EndElement() {
    const std::string_view element = text_.substr(start_, at_ - start_);
    const std::size_t first = element.find_first_not_of(kSpaces);
    if (first != std::string_view::npos) elements_.push_back(element);
    start_ = at_ + 1;
  }

  std::string_view text_;
  std::size_t at_ = 0;
  std::size_t depth_ = 0;
  // The last string of the object itself.
  std::string_view key_;
  bool has_object_ = false;
  bool has_list_ = false;
  bool in_list_ = false;
  // Where the element begins.
  std::size_t start_ = 0;
  std::vector<std::string_view> elements_;
};

// Removes the VMs whose id another one has, too, with other properties. Which
// of them it belongs to is not known. `vms` is sorted by id.
void RemoveAmbiguous(std::vector<Vm>& vms, std::vector<std::string>& problems) {
  const auto repeated = std::ranges::unique(vms);
  vms.erase(repeated.begin(), repeated.end());
  for (auto at = std::ranges::adjacent_find(vms, {}, &Vm::id); at != vms.end();
       at = std::ranges::adjacent_find(vms, {}, &Vm::id)) {
    const auto same = std::ranges::equal_range(vms, at->id, {}, &Vm::id);
    problems.push_back("duplicate VM id \"" + at->id + "\" in the list");
    vms.erase(same.begin(), same.end());
  }
}

}  // namespace

Result<VmList> VmList::Parse(std::uint64_t revision, std::string_view text) {
  Problems problems;
  std::vector<Vm> vms = ReadVms(text, problems);
  if (!problems.empty()) {
    const auto elements = ElementScanner(text).Scan();
    if (!elements.has_value()) {
      return Fail(ResultCode::kInvalidVmList, ToLogLine(problems.front()));
    }
    vms.clear();
    for (const std::string_view element : *elements) {
      if (auto vm = ReadSingleVm(element)) vms.push_back(*std::move(vm));
    }
    // Rather the text is not understood than that most VMs are gone.
    if (2 * vms.size() < elements->size()) {
      return Fail(ResultCode::kInvalidVmList, ToLogLine(problems.front()));
    }
  }
  VmList list = FromVms(revision, std::move(vms));
  std::ranges::transform(problems | std::views::take(kMaxLoggedProblems),
                         std::back_inserter(list.problems_), ToLogLine);
  RemoveAmbiguous(list.vms_, list.problems_);
  list.text_ = text;
  return list;
}

VmList VmList::FromVms(std::uint64_t revision, std::vector<Vm> vms) {
  VmList list;
  list.revision_ = revision;
  list.vms_ = std::move(vms);
  std::ranges::sort(list.vms_, {}, &Vm::id);
  return list;
}

const Vm* VmList::Find(std::string_view id) const {
  const auto found = std::ranges::lower_bound(
      vms_, id, {}, [](const Vm& vm) { return std::string_view(vm.id); });
  return found != vms_.end() && found->id == id ? &*found : nullptr;
}

std::vector<std::string> VmList::BackendVmsOf(std::string_view service,
                                              bool live_only) const {
  std::vector<std::string> ids;
  std::ranges::for_each(vms_, [&](const Vm& vm) {
    const bool matches = vm.role == VmRole::kBackend && vm.service == service &&
                         (!live_only || vm.state == VmState::kLive);
    if (matches) ids.push_back(vm.id);
  });
  return ids;
}

std::vector<std::string> VmList::EntryVms() const {
  std::vector<std::string> ids;
  std::ranges::for_each(vms_, [&](const Vm& vm) {
    if (vm.role == VmRole::kEntry) ids.push_back(vm.id);
  });
  return ids;
}

}  // namespace balsam::membership
