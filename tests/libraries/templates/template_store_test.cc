// Only a valid revision with a higher number replaces the current one.
#include "libraries/templates/template_store.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace balsam::templates {
namespace {

constexpr char kValid[] = R"({
  "templates": {"guest": {"class": "live", "delivery": "live"}},
  "models": {"m": {"service": "pool"}},
  "workspaces": {"w": {"key_sha256":
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "tokens_per_second": 10, "templates": ["guest"]}}
})";

struct Offer {
  std::uint64_t revision;
  std::string text;
  OfferResult result;
  std::uint64_t current_after;
};

TEST(TemplateStoreTest, AcceptsOnlyHigherValidRevisions) {
  const std::vector<Offer> offers = {
      {2, kValid, OfferResult::kAccepted, 2},
      {1, kValid, OfferResult::kNotNewer, 2},
      {2, kValid, OfferResult::kNotNewer, 2},
      {3, "{", OfferResult::kRejected, 2},
      {4, R"({"templates": {}, "modles": {}})", OfferResult::kRejected, 2},
      {5, kValid, OfferResult::kAccepted, 5},
      {3, kValid, OfferResult::kNotNewer, 5},
  };
  TemplateStore store;
  for (const Offer& offer : offers) {
    TemplateSet::Problems problems;
    EXPECT_EQ(store.Offer(offer.revision, offer.text, problems), offer.result)
        << offer.revision;
    EXPECT_EQ(store.Current()->revision(), offer.current_after);
    EXPECT_EQ(problems.empty(), offer.result != OfferResult::kRejected);
  }
  EXPECT_EQ(store.rejected_revision(), 4U);
}

TEST(TemplateStoreTest, ARequestKeepsTheSetThatAdmittedIt) {
  TemplateStore store;
  TemplateSet::Problems problems;
  store.Offer(1, kValid, problems);
  const auto held = store.Current();
  store.Offer(2, kValid, problems);
  EXPECT_EQ(held->revision(), 1U);
  EXPECT_NE(held->FindWorkspace("w"), nullptr);
  EXPECT_EQ(store.Current()->revision(), 2U);
}

}  // namespace
}  // namespace balsam::templates
