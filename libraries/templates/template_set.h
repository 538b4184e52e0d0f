// One validated, immutable revision of the templates, workspaces, models,
// services and engine orders that operators publish.
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

#include "libraries/orders/engine_reconciler.h"
#include "libraries/settings/object_reader.h"

namespace balsam::templates {

// How tokens are delivered to the reader: as they arrive, or once the
// generation is complete. A generation with whole delivery can be rerun after a
// failure without the reader noticing.
enum class Delivery { kLive, kWhole };

// The parameters of one kind of generation.
struct Template {
  std::string name;
  Delivery delivery = Delivery::kLive;
  // Metrics label that groups templates of similar urgency.
  std::string service_class;
  // Higher values are served first, in the queue and at the engine.
  int priority = 0;
  // Accepted probability that an admission overflows the engine's memory.
  double overflow_risk = 0.01;
  std::chrono::milliseconds queue_deadline{5000};
  std::chrono::milliseconds run_deadline{120000};
  std::int64_t max_output_tokens = 4096;
  // Cost of a stall and of a preemption for this kind of generation. They
  // determine which running generation is preempted when memory runs short.
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
  // SHA-256 of the bearer key. The key itself is never published.
  std::array<std::uint8_t, 32> key_digest{};
  // Share of the budget relative to other workspaces.
  double weight = 1.0;
  // Tokens per second that the workspace may use while other workspaces wait.
  double tokens_per_second = 0.0;
  std::int64_t queue_limit = 64;
  // The templates that the workspace may use, with its own parameters applied.
  // The first one is the default.
  std::vector<Template> templates;

  const Template* FindTemplate(std::string_view wanted) const;
};

class TemplateSet {
 public:
  using Problems = std::vector<settings::Problem>;

  // Validates `text`. The result depends on the text alone, so that every
  // process accepts and rejects the same revisions. On failure the result is
  // null and `problems` contains the key, position and reason of each problem.
  static std::shared_ptr<const TemplateSet> Parse(std::uint64_t revision,
                                                  std::string_view text,
                                                  Problems& problems);
  // Returns the empty set with revision 0.
  static std::shared_ptr<const TemplateSet> Empty();

  std::uint64_t revision() const { return revision_; }
  const std::string& text() const { return text_; }

  const Workspace* FindWorkspace(std::string_view name) const;
  // Finds the workspace whose bearer key hashes to `digest`. The time taken
  // does not depend on how much of the digest matches.
  const Workspace* FindWorkspaceByKeyDigest(
      const std::array<std::uint8_t, 32>& digest) const;
  // The service that runs `model`, or null.
  const std::string* FindServiceOfModel(std::string_view model) const;
  bool HasService(std::string_view service) const;
  // Services with at least one method that must not run twice.
  std::vector<std::string> ServicesWithNonIdempotentMethods() const;
  // Null if the service has no such method.
  const ServiceMethod* FindMethod(std::string_view service,
                                  std::string_view method) const;

  // The state ordered for each engine, by its VM. Engines whose orders have the
  // same number change together, one `load_interval` after the other.
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
  // Digest of the bearer key -> name of its only workspace.
  std::map<std::array<std::uint8_t, 32>, std::string> workspace_of_digest_;
  std::map<std::string, std::string, std::less<>> models_;
  std::map<std::string, Methods, std::less<>> services_;
  std::map<std::string, orders::DesiredState, std::less<>> engines_;
};

}  // namespace balsam::templates
