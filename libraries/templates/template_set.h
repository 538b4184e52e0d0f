// The templates and workspace parameters that operators publish, as one
// validated, immutable revision.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/orders/order_book.h"
#include "libraries/settings/object_reader.h"

namespace balsam::templates {

// How tokens reach the reader: as they come, or only once all are there. A
// whole generation that is lost can be run again unseen.
enum class Delivery { kLive, kWhole };

// The parameters that govern one kind of generation.
struct Template {
  std::string name;
  Delivery delivery = Delivery::kLive;
  // The metrics label that groups templates of like urgency.
  std::string service_class;
  // Higher goes first, in the queue and at the engine.
  int priority = 0;
  // The accepted chance that an admission overflows the engine's memory.
  double overflow_risk = 0.01;
  std::chrono::milliseconds queue_deadline{5000};
  std::chrono::milliseconds run_deadline{120000};
  std::int64_t max_output_tokens = 4096;
  // What being stalled, and being preempted, cost this kind of generation;
  // they choose which running generation gives way when memory is short.
  double stall_weight = 1.0;
  double preemption_weight = 1.0;
};

// One method of a plain service, such as "POST /release".
struct ServiceMethod {
  bool idempotent = false;
  std::chrono::milliseconds deadline{5000};
};

struct Workspace {
  std::string name;
  // SHA-256 of the bearer key; the key itself is published nowhere.
  std::array<std::uint8_t, 32> key_digest{};
  // Share of the budget relative to other workspaces.
  double weight = 1.0;
  // Tokens a second that the workspace may use while others want theirs.
  double tokens_per_second = 0.0;
  std::int64_t queue_limit = 64;
  // The templates that it may use, its own parameters applied; the first one
  // is its default.
  std::vector<Template> templates;

  const Template* FindTemplate(std::string_view wanted) const;
};

class TemplateSet {
 public:
  using Problems = std::vector<settings::Problem>;

  // Validates `text`. What is accepted depends on the text alone, so every
  // process accepts and rejects alike. On failure the result is null and
  // `problems` names each key, its position and the reason.
  static std::shared_ptr<const TemplateSet> Parse(std::uint64_t revision,
                                                  std::string_view text,
                                                  Problems& problems);
  // Revision 0, with nothing in it.
  static std::shared_ptr<const TemplateSet> Empty();

  std::uint64_t revision() const { return revision_; }
  const std::string& text() const { return text_; }

  const Workspace* FindWorkspace(std::string_view name) const;
  // Finds the workspace whose bearer key hashes to `digest`, in a time that
  // does not depend on how much of the digest fits.
  const Workspace* WorkspaceOfKey(
      const std::array<std::uint8_t, 32>& digest) const;
  // The service that runs `model`, or null.
  const std::string* ServiceOfModel(std::string_view model) const;
  bool HasService(std::string_view service) const;
  // Services with a method that must not be repeated.
  std::vector<std::string> ServicesWithKeys() const;
  // Null if the service has no such method.
  const ServiceMethod* FindMethod(std::string_view service,
                                  std::string_view method) const;

  // What each engine is to have loaded, by its VM. Engines whose orders bear
  // one number change together, `load_interval` after each other.
  const std::map<std::string, orders::DesiredState, std::less<>>& engines()
      const {
    return engines_;
  }

  const std::map<std::string, Workspace, std::less<>>& workspaces() const {
    return workspaces_;
  }
  const std::map<std::string, std::string, std::less<>>& models() const {
    return models_;
  }

 private:
  using Methods = std::map<std::string, ServiceMethod, std::less<>>;

  void ReadModels(settings::ObjectReader reader);
  void ReadServices(settings::ObjectReader reader);
  void ReadEngines(settings::ObjectReader reader,
                   std::chrono::milliseconds load_interval);
  void ReadWorkspaces(settings::ObjectReader reader,
                      const std::map<std::string, Template>& templates);

  std::uint64_t revision_ = 0;
  std::string text_;
  std::map<std::string, Workspace, std::less<>> workspaces_;
  // Digest of the key -> name of the workspace; one key names one workspace.
  std::map<std::array<std::uint8_t, 32>, std::string> workspace_of_digest_;
  std::map<std::string, std::string, std::less<>> models_;
  std::map<std::string, Methods, std::less<>> services_;
  std::map<std::string, orders::DesiredState, std::less<>> engines_;
};

}  // namespace balsam::templates
