// Contract with the platform's protocol: what is sent and what is accepted.
#include "platform/wire_dialect.h"

#include <gtest/gtest.h>

#include <boost/algorithm/string/join.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace balsam::platform {
namespace {

using std::chrono::milliseconds;

http1::RequestHead ClientRequest() {
  http1::RequestHead head;
  head.method = "POST";
  head.target = "/a/b?c=d";
  head.fields.Add("Host", "h.example");
  head.fields.Add("Request-Id", "9c41");
  head.fields.Add("Model", "m");
  head.fields.Add("Token-Usage", "1460,80");
  head.fields.Add("Prefix-Hash", "5c1e:800,91bd:410");
  head.fields.Add("Length-Hint", "55");
  head.fields.Add("Deadline-Ms", "39000");
  head.fields.Add("Credential", "secret");
  head.fields.Add("Connection", "keep-alive");
  return head;
}

TEST(WireDialectTest, ParsesRequest) {
  const auto metadata = WireDialect().ParseRequest(ClientRequest());
  EXPECT_EQ(metadata.id, "9c41");
  EXPECT_EQ(metadata.host, "h.example");
  EXPECT_EQ(metadata.key, "secret");
  EXPECT_EQ(metadata.time_left, milliseconds(39000));
  EXPECT_EQ(metadata.prompt_tokens, 1460);
  EXPECT_EQ(metadata.max_output_tokens, 80);
  EXPECT_EQ(metadata.expected_output_tokens, 55);
  EXPECT_EQ(metadata.shared_parts, std::vector<std::string>{"5c1e"});
  EXPECT_FALSE(metadata.last_event.has_value());
}

TEST(WireDialectTest, IgnoresInvalidNumbers) {
  http1::RequestHead head;
  head.fields.Add("Deadline-Ms", "soon");
  head.fields.Add("Token-Usage", ",");
  head.fields.Add("Last-Event-Id", "-1");
  const auto metadata = WireDialect().ParseRequest(head);
  EXPECT_FALSE(metadata.time_left.has_value());
  EXPECT_EQ(metadata.prompt_tokens, 0);
  EXPECT_FALSE(metadata.last_event.has_value());
}

struct SharedPartsCase {
  const char* value;
  std::vector<std::string> shared_parts;
};

void PrintTo(const SharedPartsCase& value, std::ostream* out) {
  *out << value.value;
}

class SharedPartsTest : public testing::TestWithParam<SharedPartsCase> {};

TEST_P(SharedPartsTest, AreAllPartsButTheLast) {
  http1::RequestHead head;
  head.fields.Add("Prefix-Hash", GetParam().value);
  EXPECT_EQ(WireDialect().ParseRequest(head).shared_parts,
            GetParam().shared_parts);
}

INSTANTIATE_TEST_SUITE_P(
    Values, SharedPartsTest,
    testing::Values(
        SharedPartsCase{"", {}}, SharedPartsCase{"e440:250", {}},
        SharedPartsCase{"5c1e:800,91bd:410,e440:250", {"5c1e", "91bd"}},
        SharedPartsCase{"5C1E:800, 91BD:410, e440:250", {"5c1e", "91bd"}},
        SharedPartsCase{"5c1e,91bd:410", {"5c1e"}},
        SharedPartsCase{"5c1e:800,", {"5c1e"}}));

TEST(WireDialectTest, BoundsSharedParts) {
  std::string value;
  for (int i = 0; i < 1000; ++i) value += "5c1e:1,";
  http1::RequestHead head;
  head.fields.Add("Prefix-Hash", value);
  EXPECT_EQ(WireDialect().ParseRequest(head).shared_parts.size(), 32u);
}

// A negative count used to reduce the load recorded for the engine, and a huge
// one overflowed the time that the request may take.
TEST(WireDialectTest, BoundsTokenCounts) {
  constexpr std::int64_t kMaxTokens = 1'000'000'000;
  http1::RequestHead head;
  head.fields.Add("Token-Usage", "-5000,9000000000000000000");
  head.fields.Add("Length-Hint", "-1");
  const auto metadata = WireDialect().ParseRequest(head);
  EXPECT_EQ(metadata.prompt_tokens, 0);
  EXPECT_EQ(metadata.max_output_tokens, kMaxTokens);
  EXPECT_EQ(metadata.expected_output_tokens, 0);
}

TEST(WireDialectTest, BoundsTimesInEntries) {
  const auto server = TryOr(
      [] {
        return WireDialect().ParseServer(
            "i-1",
            R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready",
                "slots":1,"coldLeftMs":1e300})");
      },
      [](const Error&) { return directory::BackendServer{}; });
  EXPECT_EQ(server.cold_left, std::chrono::hours(24));
}

TEST(WireDialectTest, RemovesClientKeyFromBackendRequest) {
  gateway::DispatchOptions options;
  options.server_id = "i-7";
  options.workspace = "w";
  options.time_left = milliseconds(1234);
  const auto head = WireDialect().MakeBackendRequest(ClientRequest(), options);
  EXPECT_EQ(head.method, "POST");
  EXPECT_EQ(head.target, "/a/b?c=d");
  EXPECT_EQ(*head.fields.Find("Request-Id"), "9c41");
  EXPECT_EQ(*head.fields.Find("Token-Usage"), "1460,80");
  EXPECT_EQ(*head.fields.Find("Prefix-Hash"), "5c1e:800,91bd:410");
  EXPECT_EQ(*head.fields.Find("Expect-Instance"), "i-7");
  EXPECT_EQ(*head.fields.Find("Tenant"), "w");
  EXPECT_EQ(*head.fields.Find("Deadline-Ms"), "1234");
  EXPECT_EQ(head.fields.Find("Credential"), nullptr);
  EXPECT_EQ(head.fields.Find("Connection"), nullptr);
  EXPECT_EQ(head.fields.Find("Kv-From"), nullptr);
  // An engine preempts less urgent runs, even in the middle of a response, and
  // a run that has started must not be preempted. The priority only orders the
  // gateways' wait queues.
  EXPECT_EQ(head.fields.Find("Request-Priority"), nullptr);
}

class ForgedFieldTest : public testing::TestWithParam<const char*> {};

TEST_P(ForgedFieldTest, IsRemoved) {
  http1::RequestHead client = ClientRequest();
  client.fields.Add(GetParam(), "forged");
  const auto head = WireDialect().MakeBackendRequest(client, {});
  for (const auto& field : head.fields) EXPECT_NE(field.value, "forged");
}

INSTANTIATE_TEST_SUITE_P(Fields, ForgedFieldTest,
                         testing::Values("Tenant", "tenant", "Hold", "Pin-Ms",
                                         "Kv-Backup", "Kv-From", "Kv-Fetch",
                                         "Expect-Instance", "Expect-Version",
                                         "Request-Priority"));

TEST(WireDialectTest, ResumedRunNamesMemoryAndLastEvent) {
  gateway::DispatchOptions options;
  options.memory = gateway::MemorySource{{"10.0.0.1", 80}, "h-1"};
  options.last_event = 17;
  const auto head = WireDialect().MakeBackendRequest(ClientRequest(), options);
  EXPECT_EQ(*head.fields.Find("Kv-From"), "10.0.0.1:80/h-1");
  EXPECT_EQ(*head.fields.Find("Last-Event-Id"), "17");
}

TEST(WireDialectTest, WritesRetryAfterInSeconds) {
  const auto head =
      WireDialect().MakeGatewayResponse(503, "9c41", milliseconds(250));
  EXPECT_EQ(*head.fields.Find("Retry-After"), "0.250");
  EXPECT_EQ(*head.fields.Find("Request-Id"), "9c41");
  EXPECT_EQ(head.fields.Find("Response-Seal"), nullptr);
}

struct RetryAfterCase {
  const char* value;
  std::optional<milliseconds> retry_after;
};

void PrintTo(const RetryAfterCase& value, std::ostream* out) {
  *out << value.value;
}

TEST(WireDialectTest, ParsesOrIgnoresColdTime) {
  const auto cold_left = [](const char* value) {
    http1::ResponseHead head;
    head.status = 200;
    head.fields.Add("Cold-Ms", value);
    return WireDialect().ParseNotice(head).cold_left;
  };
  EXPECT_EQ(cold_left("1200"), milliseconds(1200));
  EXPECT_EQ(cold_left("-1"), milliseconds(0));
  EXPECT_EQ(cold_left("1e300"), std::chrono::hours(24));
  EXPECT_FALSE(cold_left("soon").has_value());
}

class RetryAfterTest : public testing::TestWithParam<RetryAfterCase> {};

TEST_P(RetryAfterTest, ParsesOrIgnoresValue) {
  http1::ResponseHead head;
  head.status = 503;
  head.fields.Add("Retry-After", GetParam().value);
  EXPECT_EQ(WireDialect().ParseNotice(head).retry_after,
            GetParam().retry_after);
}

INSTANTIATE_TEST_SUITE_P(
    Values, RetryAfterTest,
    testing::Values(
        RetryAfterCase{"2", milliseconds(2000)},
        RetryAfterCase{"0.25", milliseconds(250)},
        RetryAfterCase{"0.0001", milliseconds(1)},
        RetryAfterCase{"0", milliseconds(0)},
        RetryAfterCase{"-3", milliseconds(0)},
        RetryAfterCase{"1e300", std::chrono::minutes(10)},
        RetryAfterCase{"99999999999999999999", std::chrono::minutes(10)},
        RetryAfterCase{"", std::nullopt}, RetryAfterCase{"soon", std::nullopt},
        RetryAfterCase{"2s", std::nullopt}, RetryAfterCase{"nan", std::nullopt},
        RetryAfterCase{"inf", std::nullopt},
        RetryAfterCase{"Fri, 04 Dec 2026 09:00:00 GMT", std::nullopt}));

TEST(WireDialectTest, RetryAfterCountsOnlyInRefusals) {
  http1::ResponseHead head;
  head.status = 200;
  head.fields.Add("Retry-After", "2");
  EXPECT_FALSE(WireDialect().ParseNotice(head).retry_after.has_value());
}

TEST(WireDialectNoticeTest, ReadsLimits) {
  const auto limit_of = [](const std::string& value) {
    http1::ResponseHead head;
    head.status = 200;
    head.fields.Add("server-limit", value);
    return WireDialect().ParseNotice(head).requests_per_second;
  };
  EXPECT_EQ(limit_of("4.6"), 4.6);
  EXPECT_EQ(limit_of("0"), 0.0);
  for (const char* odd : {"", "-1", "4,6", "nan", "1e999", "4 a second"}) {
    EXPECT_FALSE(limit_of(odd).has_value()) << odd;
  }
  EXPECT_FALSE(WireDialect().ParseNotice({}).requests_per_second.has_value());
}

TEST(WireDialectTest, AnyResponseMayReportLeaving) {
  for (const int status : {200, 404, 421, 500, 503}) {
    http1::ResponseHead head;
    head.status = status;
    EXPECT_FALSE(WireDialect().ParseNotice(head).leaving);
    head.fields.Add("server-leaving", "1");
    EXPECT_TRUE(WireDialect().ParseNotice(head).leaving);
    head.fields.Set("Server-Leaving", "0");
    EXPECT_FALSE(WireDialect().ParseNotice(head).leaving);
  }
}

TEST(WireDialectTest, ParsesCopyResponse) {
  const WireDialect dialect;
  using migration::CopyResult;
  const auto copied =
      dialect.ParseCopyResponse(200, R"({"handle":"h-1","created":12})");
  EXPECT_EQ(copied.result, CopyResult::kCopied);
  EXPECT_EQ(copied.handle, "h-1");
  EXPECT_EQ(copied.events, 12U);
  EXPECT_EQ(dialect.ParseCopyResponse(200, "{}").result,
            CopyResult::kNoResponse);
  EXPECT_EQ(dialect.ParseCopyResponse(200, "no json").result,
            CopyResult::kNoResponse);
  EXPECT_EQ(dialect.ParseCopyResponse(404, "").result, CopyResult::kNoSuchRun);
  EXPECT_EQ(dialect.ParseCopyResponse(409, "").result, CopyResult::kBusy);
  const auto full = dialect.ParseCopyResponse(503, R"({"handle":"h-2"})");
  EXPECT_EQ(full.result, CopyResult::kNoCapacity);
  EXPECT_EQ(full.handle, "h-2");
}

struct EntryCase {
  const char* name;
  const char* text;
};

// Otherwise the test names would contain addresses.
void PrintTo(const EntryCase& value, std::ostream* out) { *out << value.name; }

class UnusableEntryTest : public testing::TestWithParam<EntryCase> {};

TEST_P(UnusableEntryTest, IsRejected) {
  const bool usable = TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(WireDialect().ParseServer("i-1", GetParam().text));
        return true;
      },
      [](const Error&) { return false; });
  EXPECT_FALSE(usable);
}

INSTANTIATE_TEST_SUITE_P(
    Entries, UnusableEntryTest,
    testing::Values(EntryCase{"Empty", ""}, EntryCase{"NotJson", "\xff\xfe"},
                    EntryCase{"NotAnObject", "[1]"},
                    EntryCase{"NoFields", "{}"},
                    EntryCase{"SlotsAreText",
                              R"({"service":"s","addr":"10.0.0.1:80","zone":"z",
                      "slots":"many","state":"ready"})"},
                    EntryCase{"AddressIsANumber",
                              R"({"service":"s","addr":7,"zone":"z","slots":1,
                      "state":"ready"})"},
                    EntryCase{"AddressIsInvalid",
                              R"({"service":"s","addr":"x","zone":"z","slots":1,
                      "state":"ready"})"},
                    EntryCase{"UnknownState",
                              R"({"service":"s","addr":"10.0.0.1:80","zone":"z",
                      "slots":1,"state":"sleeping"})"}),
    [](const auto& info) { return std::string(info.param.name); });

// An entry with these members beside sound ones, which they precede.
std::string EntryWith(const std::string& members) {
  return R"({"service":"s","addr":"10.0.0.1:80","zone":"z","slots":8,)"
         R"("state":"ready",)" +
         members + "}";
}

struct OddEntryCase {
  const char* name;
  std::string text;
};

void PrintTo(const OddEntryCase& value, std::ostream* out) {
  *out << value.name;
}

class OddEntryTest : public testing::TestWithParam<OddEntryCase> {};

// Another writer's entry with a number too large was taken for an engine with
// room for two thousand million requests, so that all of them went to it; or
// with whatever the conversion made of the number (issue 30).
TEST_P(OddEntryTest, NamesNoServer) {
  const std::string reason = TryOr(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(WireDialect().ParseServer("i-1", GetParam().text));
        return std::string();
      },
      [](const Error& error) { return error.detail; });
  EXPECT_FALSE(reason.empty());
  // It goes to the log.
  EXPECT_LT(reason.size(), 300U);
}

INSTANTIATE_TEST_SUITE_P(
    Entries, OddEntryTest,
    testing::Values(
        OddEntryCase{"Null", "null"},
        OddEntryCase{"HugeSlots", EntryWith(R"("slots":1e20)")},
        OddEntryCase{"OverflowingSlots", EntryWith(R"("slots":1e400)")},
        OddEntryCase{"MostSlots", EntryWith(R"("slots":2147483647)")},
        OddEntryCase{"WrappedSlots", EntryWith(R"("slots":4294967297)")},
        OddEntryCase{"SlotsBeyond64Bits",
                     EntryWith(R"("slots":99999999999999999999)")},
        OddEntryCase{"NegativeSlots", EntryWith(R"("slots":-1)")},
        OddEntryCase{"FractionalSlots", EntryWith(R"("slots":2.5)")},
        OddEntryCase{"BooleanSlots", EntryWith(R"("slots":true)")},
        OddEntryCase{"NullSlots", EntryWith(R"("slots":null)")},
        OddEntryCase{"PortZero", EntryWith(R"("addr":"10.0.0.1:0")")},
        OddEntryCase{"NegativePort", EntryWith(R"("addr":"10.0.0.1:-80")")},
        OddEntryCase{"PortJustBeyondRange",
                     EntryWith(R"("addr":"10.0.0.1:65536")")},
        OddEntryCase{"PortBeyondRange",
                     EntryWith(R"("addr":"10.0.0.1:99999")")},
        OddEntryCase{"PortBeyond64Bits",
                     EntryWith(R"("addr":"10.0.0.1:99999999999999999999")")},
        OddEntryCase{"PortAfterSpace", EntryWith(R"("addr":"10.0.0.1: 80")")},
        OddEntryCase{"PortBeforeSpace", EntryWith(R"("addr":"10.0.0.1:80 ")")},
        OddEntryCase{"EmptyPort", EntryWith(R"("addr":"10.0.0.1:")")},
        OddEntryCase{"NoPort", EntryWith(R"("addr":"10.0.0.1")")},
        OddEntryCase{"NoAddress", EntryWith(R"("addr":":80")")},
        OddEntryCase{"UnspecifiedAddress", EntryWith(R"("addr":"0.0.0.0:80")")},
        OddEntryCase{"BroadcastAddress",
                     EntryWith(R"("addr":"255.255.255.255:80")")},
        OddEntryCase{"MulticastAddress", EntryWith(R"("addr":"224.0.0.1:80")")},
        OddEntryCase{"NestedAddress",
                     EntryWith(R"("addr":)" + std::string(30, '[') +
                               std::string(30, ']'))},
        OddEntryCase{"NestedExtra",
                     EntryWith(R"("x":)" + std::string(100'000, '[') +
                               std::string(100'000, ']'))},
        OddEntryCase{"NestedObjects",
                     [] {
                       std::string text;
                       for (int i = 0; i < 100'000; ++i) text += R"({"a":)";
                       return EntryWith(R"("x":)" + text);
                     }()},
        OddEntryCase{"LongState", EntryWith(R"("state":")" +
                                            std::string(1 << 20, 'x') + '"')},
        OddEntryCase{"InvalidUtf8", EntryWith("\"x\":\"\xff\"")},
        OddEntryCase{"LoneSurrogate", EntryWith(R"("x":"\udc80")")}),
    [](const auto& info) { return std::string(info.param.name); });

// The id goes into a header field of each request to the engine: with the end
// of a line in it, the field could carry a request of its own.
class OddServerIdTest : public testing::TestWithParam<const char*> {};

TEST_P(OddServerIdTest, NamesNoServer) {
  const auto usable = [](const std::string& id) {
    return TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(
              WireDialect().ParseServer(id, EntryWith(R"("seq":1)")));
          return true;
        },
        [](const Error&) { return false; });
  };
  EXPECT_TRUE(usable("i-1"));
  EXPECT_FALSE(usable(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Ids, OddServerIdTest,
                         testing::Values("", "i 1", "i\r\nTenant: w", "i\n",
                                         "i\t1", "i\x7f", "i\xc3\xa9"));

TEST(WireDialectTest, ParsesServerEntry) {
  const auto server = TryOr(
      [&]() -> Result<directory::BackendServer> {
        return WireDialect().ParseServer(
            "i-1",
            R"({"service":"s","addr":"10.128.0.9:8080","zone":"z","version":"v1",
                "slots":32,"state":"draining","coldLeftMs":120,"seq":4,
                "born":1700000000000})");
      },
      [](const Error& error) {
        ADD_FAILURE() << error.detail;
        return directory::BackendServer{};
      });
  EXPECT_EQ(server.endpoint, (directory::Endpoint{"10.128.0.9", 8080}));
  EXPECT_TRUE(server.leaving);
  EXPECT_EQ(server.slots, 32);
  EXPECT_EQ(server.cold_left, milliseconds(120));
  EXPECT_EQ(server.started_at, milliseconds(1700000000000));
}

TEST(WireDialectTest, ParsesConfiguration) {
  const auto configuration = TryOr(
      [&]() -> Result<routing::Configuration> {
        return WireDialect().ParseConfiguration(R"({"version":7,"routes":[
          {"name":"r","host":"h","prefix":"/p/","kind":"stream",
           "timeoutMs":39000,"goalMs":1800,"priority":1,
           "split":[{"service":"e","weight":90},{"service":"w","weight":10}],
           "attempts":1,"public":false,"sticky":true,"resumable":false,
           "gapGoalMs":180}],
          "services":[{"name":"e","healthPath":"/health","maxConns":312,"coldPerS":2.5,
            "engine":{"slots":32,"kvCapacity":34316,"moves":true,
                      "backups":true}},
            {"name":"w","healthPath":"/health","maxConns":110,"coldPerS":0}],
          "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
                    "headerTimeoutMs":3000,"idleTimeoutMs":15000},
          "tenants":[{"name":"t","apiKeys":["k"],"priority":1}]})",
                                                {});
      },
      [](const Error& error) {
        ADD_FAILURE() << error.detail;
        return routing::Configuration{};
      });
  ASSERT_EQ(configuration.routes.size(), 1U);
  const routing::Route& route = *configuration.routes[0].route;
  EXPECT_EQ(route.kind, routing::RequestKind::kStream);
  EXPECT_FALSE(route.MayRepeat());
  EXPECT_EQ(route.services.size(), 2U);
  EXPECT_EQ(route.event_gap_objective, milliseconds(180));
  ASSERT_TRUE(configuration.services[0].engine.has_value());
  EXPECT_TRUE(configuration.services[0].engine->can_migrate);
  EXPECT_FALSE(configuration.services[1].engine.has_value());
  EXPECT_EQ(configuration.services[0].cold_requests_per_second, 2.5);
  EXPECT_FALSE(configuration.services[1].cold_requests_per_second.has_value());
  EXPECT_EQ(configuration.limits.idle_timeout, milliseconds(15000));
  EXPECT_EQ(configuration.workspaces[0].priority, 1);
}

std::optional<routing::Configuration> ParseText(
    const std::string& text, const routing::Configuration& known) {
  return TryOr(
      [&]() -> Result<std::optional<routing::Configuration>> {
        BOOST_LEAF_AUTO(configuration,
                        WireDialect().ParseConfiguration(text, known));
        return std::optional(std::move(configuration));
      },
      [](const Error&) { return std::optional<routing::Configuration>(); });
}

std::string RouteItem(int number, int timeout_ms) {
  return R"({"name":"r-)" + std::to_string(number) +
         R"(","host":"h","prefix":"/p[,)" + std::to_string(number) +
         R"(\"/","kind":"readonly","service":"s","timeoutMs":)" +
         std::to_string(timeout_ms) + "}";
}

std::string ConfigurationOf(int version,
                            const std::vector<std::string>& routes) {
  return "{ \"version\" : " + std::to_string(version) +
         R"(, "about":"routes", "routes" : [ )" +
         boost::algorithm::join(routes, " , ") +
         R"( ], "services":[{"name":"s"}]})";
}

// Guards against a new version that costs each route again: a gateway with a
// tenth of a core answered nobody for half a second (review/10).
TEST(WireDialectTest, UnchangedRoutesAreShared) {
  const auto before =
      ParseText(ConfigurationOf(1, {RouteItem(0, 10), RouteItem(1, 10),
                                    RouteItem(2, 10), RouteItem(3, 10)}),
                {});
  ASSERT_TRUE(before.has_value());
  ASSERT_EQ(before->routes.size(), 4U);
  EXPECT_EQ(before->routes[1].route->prefix, "/p[,1\"/");
  // One is gone, one has changed, one is new.
  const auto after =
      ParseText(ConfigurationOf(2, {RouteItem(1, 10), RouteItem(2, 20),
                                    RouteItem(9, 10), RouteItem(3, 10)}),
                *before);
  ASSERT_TRUE(after.has_value());
  EXPECT_EQ(after->version, 2U);
  ASSERT_EQ(after->routes.size(), 4U);
  EXPECT_EQ(after->routes[0].route, before->routes[1].route);
  EXPECT_NE(after->routes[1].route, before->routes[2].route);
  EXPECT_EQ(after->routes[1].route->timeout, milliseconds(20));
  EXPECT_EQ(after->routes[2].route->name, "r-9");
  EXPECT_EQ(after->routes[3].route, before->routes[3].route);
}

// What is read in parts must be refused like the whole.
TEST(WireDialectTest, ConfigurationThatIsNotJsonIsRefused) {
  const std::string route = RouteItem(0, 10);
  ASSERT_TRUE(ParseText(ConfigurationOf(1, {route}), {}).has_value());
  ASSERT_TRUE(ParseText(ConfigurationOf(1, {}), {}).has_value());
  const std::vector<std::string> invalid = {
      route + ",", "," + route,     route + ",," + route, route + route,
      route + "]", "[" + route,     route + "}",          "{" + route,
      "7",         route + ",null", "{\"name\":\"r",      route + ",[]"};
  for (const std::string& routes : invalid) {
    EXPECT_FALSE(ParseText(ConfigurationOf(1, {routes}), {}).has_value())
        << routes;
  }
  const std::string text = ConfigurationOf(1, {route});
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_FALSE(ParseText(text.substr(0, length), {}).has_value()) << length;
  }
}

// The parser takes the last of equal names, and reads escapes in names.
TEST(WireDialectTest, RoutesUnderOddNamesAreRead) {
  const std::string route = RouteItem(1, 10);
  for (const std::string& members : {R"("routes":[],"routes":[)" + route + "]",
                                     R"("rou\u0074es":[)" + route + "]"}) {
    const auto configuration = ParseText(
        R"({"version":7,"services":[{"name":"s"}],)" + members + "}", {});
    ASSERT_TRUE(configuration.has_value()) << members;
    ASSERT_EQ(configuration->routes.size(), 1U) << members;
    EXPECT_EQ(configuration->routes[0].route->name, "r-1");
  }
}

std::optional<routing::Configuration> ConfigurationWith(
    const std::string& version, const std::string& route_members,
    const std::string& limits) {
  return TryOr(
      [&]() -> Result<std::optional<routing::Configuration>> {
        BOOST_LEAF_AUTO(
            configuration,
            WireDialect().ParseConfiguration(
                R"({"version":)" + version +
                    R"(,"routes":[{"name":"r","host":"h","prefix":"/",)" +
                    R"("kind":"stream","service":"s")" + route_members +
                    R"(}],"services":[{"name":"s","engine":{"slots":1e300,)" +
                    R"("kvCapacity":-1e300}}],"limits":{)" + limits + "}}",
                {}));
        return std::optional(std::move(configuration));
      },
      [](const Error&) { return std::optional<routing::Configuration>(); });
}

// A version that wrapped around to a huge one would stay in force for ever.
TEST(WireDialectTest, ConfigurationWithOddVersionIsRefused) {
  EXPECT_TRUE(ConfigurationWith("7", "", "").has_value());
  for (const char* version :
       {"-1", "1e300", "1e400", "1.5", "99999999999999999999", "\"7\"", "null",
        "true", "[7]"}) {
    EXPECT_FALSE(ConfigurationWith(version, "", "").has_value()) << version;
  }
  EXPECT_FALSE(ConfigurationWith(std::string(500'000, '['), "", ""));
}

// No request would be accepted.
TEST(WireDialectTest, ConfigurationWithoutRoomForHeadersIsRefused) {
  for (const char* limit : {"0", "-1", "-1e300"}) {
    EXPECT_FALSE(
        ConfigurationWith("7", "", R"("maxHeaderBytes":)" + std::string(limit))
            .has_value())
        << limit;
  }
}

TEST(WireDialectTest, BoundsNumbersInConfiguration) {
  const auto configuration = ConfigurationWith(
      "7",
      R"(,"priority":1e300,"attempts":1e300,"timeoutMs":1e300,)"
      R"("split":[{"service":"s","weight":1e300},{"service":"s","weight":-5}])",
      R"("maxHeaderBytes":1e300,"maxBodyBytes":1e300)");
  ASSERT_TRUE(configuration.has_value());
  const routing::Route& route = *configuration->routes[0].route;
  EXPECT_EQ(route.priority, 1000);
  EXPECT_EQ(route.max_attempts, 1000);
  EXPECT_EQ(route.timeout, std::chrono::hours(24));
  EXPECT_EQ(route.services[0].weight, 1e6);
  EXPECT_EQ(route.services[1].weight, 0.0);
  EXPECT_EQ(configuration->limits.max_header_bytes, 1U << 20);
  EXPECT_EQ(configuration->limits.max_body_bytes, 1U << 30);
  EXPECT_EQ(configuration->services[0].engine->slots, 4096);
  EXPECT_EQ(configuration->services[0].engine->memory_tokens, 0);
}

// The tenant's name goes into a header field of requests, and the health path
// into the head of a call.
TEST(WireDialectTest, ConfigurationWithLineEndsIsRefused) {
  const auto is_accepted = [](const std::string& tenant,
                              const std::string& path) {
    return TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(WireDialect().ParseConfiguration(
              R"({"version":7,"routes":[],"services":[{"name":"s",)"
              R"("healthPath":")" +
                  path + R"("}],"tenants":[{"name":")" + tenant + R"("}]})",
              {}));
          return true;
        },
        [](const Error&) { return false; });
  };
  EXPECT_TRUE(is_accepted("t 1 \xc3\xa9", "/health"));
  EXPECT_FALSE(is_accepted(R"(t\r\nHold: 1)", "/health"));
  EXPECT_FALSE(is_accepted(R"(t\u0000)", "/health"));
  EXPECT_FALSE(is_accepted("t", R"(/health HTTP/1.1\r\nHost: x)"));
}

// The handle goes into the target and a field of later requests.
TEST(WireDialectTest, CopyResponseWithOddHandleHasNone) {
  const WireDialect dialect;
  using migration::CopyResult;
  EXPECT_EQ(dialect.ParseCopyResponse(200, R"({"handle":7})").handle, "7");
  for (const std::string& handle :
       {std::string(R"("h\r\nTenant: w")"), std::string(R"("h 1")"),
        std::string(R"("")"), std::string("null"), std::string("1e300"),
        std::string("[7]"), '"' + std::string(100'000, 'h') + '"'}) {
    const auto response =
        dialect.ParseCopyResponse(200, R"({"handle":)" + handle + "}");
    EXPECT_EQ(response.result, CopyResult::kNoResponse) << handle.substr(0, 40);
    EXPECT_EQ(response.handle, "") << handle.substr(0, 40);
  }
}

// The process ended: the handle was written out again, one call for each level,
// until the stack was exhausted (issue 30).
TEST(WireDialectTest, CopyResponseWithNestedHandleHasNone) {
  constexpr std::size_t kDepth = 1 << 20;
  const auto response = WireDialect().ParseCopyResponse(
      200, R"({"handle":)" + std::string(kDepth, '[') +
               std::string(kDepth, ']') + "}");
  EXPECT_EQ(response.handle, "");
}

// The process ended: a client's id that is not UTF-8 cannot be written as JSON,
// which threw an exception that nobody caught, when its run was migrated.
TEST(WireDialectTest, CopiesRunOfAnyRequestId) {
  const auto call =
      WireDialect().MakeCopyCall("r-\xff\xc3", {"10.0.0.1", 80}, false);
  EXPECT_NE(call.body.find("10.0.0.1:80"), std::string::npos);
}

// A time beyond 64 bits was converted without a bound, which is undefined.
TEST(WireDialectTest, BoundsLeavingTimeInReport) {
  const auto leaves_in = [](const char* text) {
    return TryOr([&] { return WireDialect().ParseReport(200, text); },
                 [](const Error&) { return gateway::EngineReport{}; })
        .leaves_in;
  };
  EXPECT_EQ(leaves_in(R"({"leaves_ms":1e300})"), std::chrono::hours(24));
  EXPECT_EQ(leaves_in(R"({"leaves_ms":-1e300})"), milliseconds(0));
  EXPECT_EQ(leaves_in(R"({"leaves_ms":99999999999999999999})"),
            std::chrono::hours(24));
}

// Sums with the largest time overflow.
TEST(WireDialectTest, BoundsDeadline) {
  http1::RequestHead head;
  head.fields.Add("Deadline-Ms", "9223372036854775807");
  EXPECT_EQ(WireDialect().ParseRequest(head).time_left, std::chrono::hours(24));
}

TEST(WireDialectTest, FullServerIsNotUnhealthy) {
  http1::ResponseHead head;
  head.status = 503;
  EXPECT_TRUE(WireDialect().IsUnhealthy(head));
  head.fields.Add("Not-Run", "1");
  EXPECT_FALSE(WireDialect().IsUnhealthy(head));
  head.status = 200;
  EXPECT_FALSE(WireDialect().IsUnhealthy(head));
}

TEST(WireDialectTest, ParsesLeavingFromReport) {
  const auto read = [](const char* text) {
    return TryOr([&] { return WireDialect().ParseReport(200, text); },
                 [](const Error&) { return gateway::EngineReport{}; });
  };
  EXPECT_FALSE(read(R"({"state":"ready","running":2})").leaving);
  EXPECT_TRUE(read(R"({"state":"draining"})").leaving);
  EXPECT_EQ(read(R"({"state":"ready","leaves_ms":900})").leaves_in,
            milliseconds(900));
  EXPECT_FALSE(read("garbage").leaving);
}

}  // namespace
}  // namespace balsam::platform
