// Settings of a gateway as the platform writes them.
#include "platform/node_settings.h"

#include <gtest/gtest.h>

#include <QTemporaryFile>
#include <optional>
#include <string>

namespace balsam::platform {
namespace {

std::string SettingsWith(const std::string& fields) {
  return R"({"node": "front-a-1", "ip": "10.1.0.19", "zone": "a", )" + fields +
         R"("listen": {"front": "10.1.0.19:8740", "ready": "10.1.0.19:8749",
                       "control": "10.1.0.19:8748"},
            "portRange": [7200, 7215], "seeds": [],
            "platform": {"addr": "10.200.1.7:8742"},
            "bounds": {"graceS": 8}})";
}

std::optional<gateway::GatewaySettings> Load(const std::string& text) {
  QTemporaryFile file;
  if (!file.open()) return std::nullopt;
  file.write(text.data(), static_cast<qint64>(text.size()));
  file.close();
  return TryOr(
      [&]() -> Result<std::optional<gateway::GatewaySettings>> {
        BOOST_LEAF_AUTO(settings,
                        LoadNodeSettings(file.fileName().toStdString()));
        return std::optional(settings);
      },
      [](const Error&) { return std::optional<gateway::GatewaySettings>(); });
}

TEST(NodeSettingsTest, CountsDataCenters) {
  const auto settings =
      Load(SettingsWith(R"("zones": {"a": "r", "b": "r", "c": "r"}, )"));
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings->data_center, "a");
  EXPECT_EQ(settings->data_centers, 3U);
}

TEST(NodeSettingsTest, TakesOneDataCenterIfNoneAreListed) {
  for (const char* zones : {"", R"("zones": {}, )", R"("zones": 3, )"}) {
    const auto settings = Load(SettingsWith(zones));
    ASSERT_TRUE(settings.has_value()) << zones;
    EXPECT_EQ(settings->data_centers, 1U) << zones;
  }
}

TEST(NodeSettingsTest, ReadsTheLimitsOfTheMachine) {
  const auto settings =
      Load(SettingsWith(R"("limits": {"memoryMb": 88, "maxFds": 4100, )"
                        R"("linkMbps": 10.0}, )"));
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings->link_bytes_per_second, 1'250'000.0);
  EXPECT_EQ(settings->memory_bytes, std::size_t{88} << 20);
  EXPECT_EQ(settings->sockets, 3900U);
}

TEST(NodeSettingsTest, KeepsTheDefaultsForLimitsThatCannotBe) {
  const gateway::GatewaySettings defaults;
  for (const char* limits :
       {"", R"("limits": 3, )", R"("limits": {"memoryMb": 0, "maxFds": 200}, )",
        R"("limits": {"memoryMb": -1, "maxFds": "many"}, )",
        R"("limits": {"memoryMb": 18446744073709551615}, )",
        R"("limits": {"linkMbps": 0}, )", R"("limits": {"linkMbps": -1}, )",
        R"("limits": {"linkMbps": "fast"}, )"}) {
    const auto settings = Load(SettingsWith(limits));
    ASSERT_TRUE(settings.has_value()) << limits;
    EXPECT_EQ(settings->memory_bytes, defaults.memory_bytes) << limits;
    EXPECT_EQ(settings->sockets, defaults.sockets) << limits;
    EXPECT_EQ(settings->link_bytes_per_second, defaults.link_bytes_per_second)
        << limits;
  }
}

}  // namespace
}  // namespace balsam::platform
