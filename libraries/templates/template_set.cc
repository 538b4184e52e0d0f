// Parsing and validation of one published revision.
#include "libraries/templates/template_set.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include "libraries/base/constant_time.h"

namespace balsam::templates {
namespace {

using settings::ObjectReader;
using std::chrono::milliseconds;

constexpr std::size_t kMaxTextBytes = 1U << 20;
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMaxOrder = 1'000'000'000'000;
constexpr milliseconds kMaxDeadline = std::chrono::hours(1);
constexpr int kMaxPriority = 100;
constexpr double kMaxWeight = 1000.0;
constexpr double kMaxTokensPerSecond = 1e7;

// Returns `defaults`, overridden by the parameters that `reader` contains.
Template ReadParameters(ObjectReader& reader, Template defaults) {
  Template result = std::move(defaults);
  result.delivery = static_cast<Delivery>(
      reader.Choice("delivery", {"live", "whole"},
                    static_cast<std::size_t>(result.delivery)));
  result.service_class = reader.String("class", result.service_class);
  result.priority = static_cast<int>(
      reader.Integer("priority", 0, kMaxPriority, result.priority));
  result.overflow_risk =
      reader.Number("overflow_risk", 1e-9, 0.5, result.overflow_risk);
  result.queue_deadline = reader.Duration("queue_deadline", milliseconds(1),
                                          kMaxDeadline, result.queue_deadline);
  result.run_deadline = reader.Duration("run_deadline", milliseconds(1),
                                        kMaxDeadline, result.run_deadline);
  result.max_output_tokens = reader.Integer("max_output_tokens", 1, kMaxTokens,
                                            result.max_output_tokens);
  result.stall_weight =
      reader.Number("stall_weight", 0.0, kMaxWeight, result.stall_weight);
  result.preemption_weight = reader.Number("preemption_weight", 0.0, kMaxWeight,
                                           result.preemption_weight);
  reader.ReportUnknownKeys();
  return result;
}

std::map<std::string, Template> ReadTemplates(ObjectReader reader) {
  std::map<std::string, Template> templates;
  for (auto& [name, member] : reader.Members()) {
    Template defaults;
    defaults.name = name;
    defaults.service_class = "default";
    templates.emplace(name, ReadParameters(member, std::move(defaults)));
  }
  return templates;
}

std::optional<std::array<std::uint8_t, 32>> ParseDigest(
    const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::array<std::uint8_t, 32> digest{};
  if (text.size() != 2 * digest.size()) return std::nullopt;
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const char* at = text.data() + 2 * i;
    const auto [end, error] =
        std::from_chars(at, at + 2, digest[i], kHexadecimal);
    if (error != std::errc() || end != at + 2) return std::nullopt;
  }
  return digest;
}

std::string_view AsStringView(const std::array<std::uint8_t, 32>& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

}  // namespace

const Template* Workspace::FindTemplate(std::string_view wanted) const {
  if (wanted.empty()) return templates.empty() ? nullptr : &templates.front();
  const auto found = std::ranges::find(templates, wanted, &Template::name);
  return found == templates.end() ? nullptr : &*found;
}

std::shared_ptr<const TemplateSet> TemplateSet::Parse(std::uint64_t revision,
                                                      std::string_view text,
                                                      Problems& problems) {
  const std::string source = "templates@" + std::to_string(revision);
  if (text.size() > kMaxTextBytes) {
    problems.push_back({source, {}, "", "the document is larger than 1 MiB"});
    return nullptr;
  }
  const auto document = settings::JsonDocument::Parse(source, text, problems);
  if (!problems.empty()) return nullptr;
  auto set = std::make_shared<TemplateSet>();
  set->revision_ = revision;
  set->text_ = text;
  ObjectReader root(document, "", problems);
  const auto templates = ReadTemplates(root.Object("templates"));
  set->ReadModels(root.Object("models"));
  set->ReadServices(root.Object("services", false));
  set->ReadWorkspaces(root.Object("workspaces"), templates);
  const milliseconds load_interval = root.Duration(
      "load_interval", milliseconds(1), kMaxDeadline, milliseconds(1000));
  set->ReadEngines(root.Object("engines", false), load_interval);
  root.ReportUnknownKeys();
  return problems.empty() ? set : nullptr;
}

std::shared_ptr<const TemplateSet> TemplateSet::Empty() {
  static const auto kEmpty = std::make_shared<const TemplateSet>();
  return kEmpty;
}

void TemplateSet::ReadModels(ObjectReader reader) {
  for (auto& [name, member] : reader.Members()) {
    models_.emplace(name, member.String("service"));
    member.ReportUnknownKeys();
  }
}

void TemplateSet::ReadServices(ObjectReader reader) {
  for (auto& [name, member] : reader.Members()) {
    Methods methods;
    for (auto& [method, method_reader] : member.Object("methods").Members()) {
      methods.emplace(
          method, ServiceMethod{method_reader.Boolean("idempotent"),
                                method_reader.Duration(
                                    "deadline", milliseconds(1), kMaxDeadline,
                                    milliseconds(5000))});
      method_reader.ReportUnknownKeys();
    }
    member.ReportUnknownKeys();
    services_.emplace(name, std::move(methods));
  }
}

void TemplateSet::ReadEngines(ObjectReader reader, milliseconds load_interval) {
  std::map<std::int64_t, std::int64_t> engines_per_order;
  for (auto& [vm, member] : reader.Members()) {
    const std::int64_t number = member.Integer("order", 1, kMaxOrder);
    orders::DesiredState desired;
    desired.revision = static_cast<std::uint64_t>(number);
    desired.state.model = member.String("model");
    desired.state.adapter = member.String("adapter", "");
    desired.state.version = member.String("version");
    desired.state.role = member.String("role", "any");
    desired.load_delay = load_interval * engines_per_order[number]++;
    member.ReportUnknownKeys();
    engines_.emplace(vm, std::move(desired));
  }
}

void TemplateSet::ReadWorkspaces(
    ObjectReader reader, const std::map<std::string, Template>& templates) {
  for (auto& [name, member] : reader.Members()) {
    Workspace workspace;
    workspace.name = name;
    workspace.weight = member.Number("weight", 0.001, kMaxWeight, 1.0);
    workspace.tokens_per_second =
        member.Number("tokens_per_second", 1.0, kMaxTokensPerSecond);
    workspace.queue_limit = member.Integer("queue_limit", 1, 100000, 64);
    const auto digest = ParseDigest(member.String("key_sha256"));
    if (digest.has_value()) {
      workspace.key_digest = *digest;
      if (!workspace_of_digest_.emplace(*digest, name).second) {
        member.AddProblem("key_sha256",
                          "is already the key of another workspace");
      }
    } else {
      member.AddProblem("key_sha256", "must be 64 hexadecimal digits");
    }
    ObjectReader parameters = member.Object("parameters", false);
    for (const std::string& wanted : member.Strings("templates")) {
      const auto found = templates.find(wanted);
      if (found == templates.end()) {
        member.AddProblem("templates",
                          "template \"" + wanted + "\" does not exist");
        continue;
      }
      ObjectReader overrides = parameters.Object(wanted, false);
      workspace.templates.push_back(ReadParameters(overrides, found->second));
    }
    parameters.ReportUnknownKeys();
    member.ReportUnknownKeys();
    workspaces_.emplace(name, std::move(workspace));
  }
}

const Workspace* TemplateSet::FindWorkspace(std::string_view name) const {
  const auto found = workspaces_.find(name);
  return found == workspaces_.end() ? nullptr : &found->second;
}

const Workspace* TemplateSet::FindWorkspaceByKeyDigest(
    const std::array<std::uint8_t, 32>& digest) const {
  // The lookup compares digests, which do not reveal a key. The final
  // comparison takes constant time nevertheless.
  const auto found = workspace_of_digest_.find(digest);
  if (found == workspace_of_digest_.end()) return nullptr;
  const Workspace* workspace = FindWorkspace(found->second);
  const bool equal = EqualInConstantTime(AsStringView(workspace->key_digest),
                                         AsStringView(digest));
  return equal ? workspace : nullptr;
}

const std::string* TemplateSet::FindServiceOfModel(
    std::string_view model) const {
  const auto found = models_.find(model);
  return found == models_.end() ? nullptr : &found->second;
}

bool TemplateSet::HasService(std::string_view service) const {
  return services_.contains(service);
}

std::vector<std::string> TemplateSet::ServicesWithNonIdempotentMethods() const {
  std::vector<std::string> names;
  std::ranges::for_each(services_, [&names](const auto& service) {
    const bool has_non_idempotent = std::ranges::any_of(
        service.second,
        [](const auto& method) { return !method.second.idempotent; });
    if (has_non_idempotent) names.push_back(service.first);
  });
  return names;
}

const ServiceMethod* TemplateSet::FindMethod(std::string_view service,
                                             std::string_view method) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return nullptr;
  const auto found_method = found->second.find(method);
  return found_method == found->second.end() ? nullptr : &found_method->second;
}

}  // namespace balsam::templates
