// Interface to the wire protocol of a deployment. The gateway uses its own
// types; a dialect encodes them as the deployment's headers and bodies and
// decodes the responses. A process uses one dialect for its lifetime. It is an
// interface rather than a template parameter, which would move the whole
// gateway into headers.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/directory/backend_directory.h"
#include "libraries/http1/message_head.h"
#include "libraries/migration/migration_state_machine.h"
#include "libraries/revisions/revisioned_map.h"
#include "libraries/routing/configuration.h"

namespace balsam::gateway {

// A client's request, decoded.
struct RequestMetadata {
  // Identifies one attempt of the client. Empty if the client sent none.
  std::string id;
  std::string host;
  // Empty if the client sent none.
  std::string key;
  // How long the client will wait from now.
  std::optional<std::chrono::milliseconds> time_left;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // Names of the prompt's parts that other requests may share, in their order:
  // all but the last, which is the request's or its session's own. Lower case.
  std::vector<std::string> shared_parts;
  // The client's estimate of the output length; accurate only at the median.
  std::optional<std::int64_t> expected_output_tokens;
  // The last event that the client received, if it resumes a stream.
  std::optional<std::uint64_t> last_event;
};

// Where the memory of a run is fetched from when it resumes elsewhere.
struct MemorySource {
  directory::Endpoint engine;
  std::string handle;
};

// What the gateway adds to a request for one backend server.
struct DispatchOptions {
  // The server that must respond; any other refuses without running the
  // request.
  std::string server_id;
  std::string workspace;
  std::optional<std::chrono::milliseconds> time_left;
  std::optional<MemorySource> memory;
  // The event after which the run resumes.
  std::optional<std::uint64_t> last_event;
};

// A backend server's response, decoded.
struct ResponseMetadata {
  // The request that the response belongs to; empty if it does not say.
  std::string request_id;
  // The response has the server's signature. A success without it is not valid.
  bool is_signed = false;
  // The response proves that the server did not run the request.
  bool proves_not_run = false;
  // The body is encoded, so it does not come from the server itself.
  bool is_encoded = false;
};

// What any response of a backend server may say about the server: streams,
// errors, health and report responses alike.
struct ServerNotice {
  // The server is leaving. This holds for its current incarnation, whatever the
  // store says.
  bool leaving = false;
  // Another server responds at the address: the one that the request was for
  // is gone.
  bool is_other_server = false;
  // How long the server wants no requests from this gateway; unset if it does
  // not say.
  std::optional<std::chrono::milliseconds> retry_after;
  // The requests a second that the server takes from all gateways together;
  // unset if it names no limit.
  std::optional<double> requests_per_second;
  // How much longer the server is cold; unset if it does not say.
  std::optional<std::chrono::milliseconds> cold_left;
};

// A call to a backend server's own interface.
struct BackendCall {
  http1::RequestHead head;
  std::string body;

  std::string ToBytes() const {
    http1::Framing framing;
    if (!body.empty()) framing.content_length = body.size();
    return http1::Serialize(head, framing) + body;
  }
};

// The response to a call that copies a run's memory to another engine.
struct CopyResponse {
  migration::CopyResult result = migration::CopyResult::kNoResponse;
  // Handle of the copy; may be set with kNoCapacity too.
  std::string handle;
  // Events that the run had produced.
  std::uint64_t events = 0;
};

// An engine's report about itself.
struct EngineReport {
  // When the incarnation that reports started, in Unix time, if it says so.
  std::optional<std::chrono::milliseconds> started_at;
  bool leaving = false;
  // How long until it is gone; unset if it does not know.
  std::optional<std::chrono::milliseconds> leaves_in;
};

class Dialect {
 public:
  virtual ~Dialect() = default;

  virtual RequestMetadata ParseRequest(
      const http1::RequestHead& head) const = 0;
  // The request as sent to a backend server, without the connection fields.
  virtual http1::RequestHead MakeBackendRequest(
      const http1::RequestHead& client,
      const DispatchOptions& options) const = 0;
  virtual ResponseMetadata ParseResponse(
      const http1::ResponseHead& head) const = 0;
  virtual ServerNotice ParseNotice(const http1::ResponseHead& head) const = 0;
  // The head of a response that the gateway itself makes.
  virtual http1::ResponseHead MakeGatewayResponse(
      int status, const std::string& request_id,
      std::optional<std::chrono::milliseconds> retry_after) const = 0;

  // Copies the run of `request_id` to `target`. With `stop` the run ends first,
  // so that it can resume elsewhere.
  virtual BackendCall MakeCopyCall(const std::string& request_id,
                                   const directory::Endpoint& target,
                                   bool stop) const = 0;
  virtual CopyResponse ParseCopyResponse(int status,
                                         const std::string& body) const = 0;
  // Stops the run of `request_id` without copying it. The response is that of a
  // copy call to a target that is unreachable.
  virtual BackendCall MakeStopCall(const std::string& request_id) const = 0;
  // Releases a copy that is not needed.
  virtual BackendCall MakeReleaseCall(const std::string& handle) const = 0;

  // Requests the health of a server. It is current, whereas a report is some
  // hundred milliseconds old.
  virtual BackendCall MakeHealthCall(const std::string& path) const = 0;
  // Whether the response says that the server is leaving or failing. A server
  // that merely has no capacity is neither.
  virtual bool IsUnhealthy(const http1::ResponseHead& response) const = 0;
  // Requests the report of an engine.
  virtual BackendCall MakeReportCall() const = 0;
  // Fails with kBackendServerError if the response is not a report.
  virtual Result<EngineReport> ParseReport(int status,
                                           const std::string& body) const = 0;

  // The functions below decode keys and values of the platform's store.
  //
  // Whether `key` holds the configuration.
  virtual bool IsConfigurationKey(const std::string& key) const = 0;
  // The id of the backend server whose entry `key` holds; nothing for other
  // keys.
  virtual std::optional<std::string> ServerIdOf(
      const std::string& key) const = 0;
  // The data centre that operators evacuate as long as `key` exists; nothing
  // for other keys.
  virtual std::optional<std::string> EvacuatedDataCenterOf(
      const std::string& key) const = 0;
  // Shares the routes that `known`, the version before, has unchanged. Fails
  // with kInvalidSettings.
  virtual Result<routing::Configuration> ParseConfiguration(
      const std::string& text, const routing::Configuration& known) const = 0;
  // Fails if the entry does not describe a usable server.
  virtual Result<directory::BackendServer> ParseServer(
      const std::string& id, const std::string& text) const = 0;
};

}  // namespace balsam::gateway
