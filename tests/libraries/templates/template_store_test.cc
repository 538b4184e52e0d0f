// The rule of acceptance: only a higher, valid revision takes the place of the
// one in force.
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
  OfferVerdict verdict;
  std::uint64_t in_force_after;
};

TEST(TemplateStoreTest, AcceptsOnlyHigherValidRevisions) {
  const std::vector<Offer> offers = {
      {2, kValid, OfferVerdict::kAccepted, 2},
      {1, kValid, OfferVerdict::kNotNewer, 2},
      {2, kValid, OfferVerdict::kNotNewer, 2},
      {3, "{", OfferVerdict::kRejected, 2},
      {4, R"({"templates": {}, "modles": {}})", OfferVerdict::kRejected, 2},
      {5, kValid, OfferVerdict::kAccepted, 5},
      {3, kValid, OfferVerdict::kNotNewer, 5},
  };
  TemplateStore store;
  for (const Offer& offer : offers) {
    TemplateSet::Problems problems;
    EXPECT_EQ(store.Offer(offer.revision, offer.text, problems), offer.verdict)
        << offer.revision;
    EXPECT_EQ(store.InForce()->revision(), offer.in_force_after);
    EXPECT_EQ(problems.empty(), offer.verdict != OfferVerdict::kRejected);
  }
  EXPECT_EQ(store.rejected_revision(), 4U);
}

TEST(TemplateStoreTest, ARequestKeepsTheSetThatAdmittedIt) {
  TemplateStore store;
  TemplateSet::Problems problems;
  store.Offer(1, kValid, problems);
  const auto pinned = store.InForce();
  store.Offer(2, kValid, problems);
  EXPECT_EQ(pinned->revision(), 1U);
  EXPECT_NE(pinned->FindWorkspace("w"), nullptr);
  EXPECT_EQ(store.InForce()->revision(), 2U);
}

}  // namespace
}  // namespace balsam::templates
