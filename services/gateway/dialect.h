// The boundary to the deployment's wire protocol. The gateway states what it
// wants to say in its own types; a dialect writes it with the deployment's
// header names and bodies, and reads what comes back. One dialect serves a
// process from its start, so it is an interface and not a template parameter,
// which would move the whole gateway into headers.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/directory/backend_directory.h"
#include "libraries/http1/message_head.h"
#include "libraries/migration/move_machine.h"
#include "libraries/revisions/revisioned_map.h"
#include "libraries/routing/configuration.h"

namespace balsam::gateway {

// What a client's request says, decoded.
struct RequestFacts {
  // Names one attempt of the client. Empty if the client sent none.
  std::string id;
  std::string host;
  // Empty if the client sent none.
  std::string key;
  // How long the client waits from now.
  std::optional<std::chrono::milliseconds> time_left;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The client's estimate of the output; accurate at the median only.
  std::optional<std::int64_t> expected_output_tokens;
  // The last event that the client has seen, if it resumes a stream.
  std::optional<std::uint64_t> last_event;
};

// Where a run's memory is taken from when it goes on elsewhere.
struct MemorySource {
  directory::Endpoint engine;
  std::string handle;
};

// What the gateway adds to a request for one backend server.
struct DispatchOrder {
  // The server that must answer; any other refuses without running it.
  std::string server_id;
  std::string workspace;
  std::optional<std::chrono::milliseconds> time_left;
  std::optional<MemorySource> memory;
  // The event after which the run goes on.
  std::optional<std::uint64_t> last_event;
};

// What a backend server's answer says, decoded.
struct AnswerFacts {
  // The request that it answers; empty if it does not say.
  std::string request_id;
  // Carries the server's signature, without which a success is none.
  bool is_sealed = false;
  // Proves that the server did not run the request.
  bool proves_not_run = false;
  // The body is encoded, so it is not the server's own.
  bool is_encoded = false;
};

// What any answer of a backend server may say besides, whatever was asked:
// streams, failures, health and reports alike.
struct ServerNotice {
  // It leaves. Holds for this incarnation, whatever the store says.
  bool leaving = false;
  // It wants no request from this gateway for so long; unset if it does not
  // say.
  std::optional<std::chrono::milliseconds> rest;
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

// The answer to a call that copies a run's memory to another engine.
struct CopyAnswer {
  migration::CopyResult result = migration::CopyResult::kNoResponse;
  // Names the copy; may be set with kNoCapacity too.
  std::string handle;
  // Events that the run had made.
  std::uint64_t events = 0;
};

// What an engine reports of itself when it is asked.
struct EngineReport {
  bool leaving = false;
  // When it will be gone; unset if it does not know.
  std::optional<std::chrono::milliseconds> leaves_in;
};

class Dialect {
 public:
  virtual ~Dialect() = default;

  virtual RequestFacts ReadRequest(const http1::RequestHead& head) const = 0;
  // The request as a backend server gets it; connection fields are gone.
  virtual http1::RequestHead ToBackend(const http1::RequestHead& client,
                                       const DispatchOrder& order) const = 0;
  virtual AnswerFacts ReadAnswer(const http1::ResponseHead& head) const = 0;
  virtual ServerNotice ReadNotice(const http1::ResponseHead& head) const = 0;
  // The head of an answer of the gateway's own.
  virtual http1::ResponseHead OwnAnswer(
      int status, const std::string& request_id,
      std::optional<std::chrono::milliseconds> retry_after) const = 0;

  // Copies the run of `request_id` to `target`; with `stop` the run ends
  // first, and goes on elsewhere.
  virtual BackendCall CopyRun(const std::string& request_id,
                              const directory::Endpoint& target,
                              bool stop) const = 0;
  virtual CopyAnswer ReadCopyAnswer(int status,
                                    const std::string& body) const = 0;
  // Frees a copy that is not wanted.
  virtual BackendCall DropCopy(const std::string& handle) const = 0;

  // Asks a server whether it is well; its answer is fresh, where a report is
  // some hundred milliseconds old.
  virtual BackendCall AskHealth(const std::string& path) const = 0;
  // Whether the answer says that the server leaves or fails; a server that is
  // merely full says nothing of either.
  virtual bool IsUnwell(const http1::ResponseHead& answer) const = 0;
  // Asks an engine for its report.
  virtual BackendCall AskReport() const = 0;
  // Fails with kBackendServerError if the answer is no report.
  virtual Result<EngineReport> ReadReport(int status,
                                          const std::string& body) const = 0;

  // Keys of the platform's store, decoded.
  // Whether `key` holds the configuration.
  virtual bool IsConfigurationKey(const std::string& key) const = 0;
  // The backend server's id that `key` holds the entry of; nothing otherwise.
  virtual std::optional<std::string> ServerIdOf(
      const std::string& key) const = 0;
  virtual Result<routing::Configuration> ReadConfiguration(
      const std::string& text) const = 0;
  // Fails for an entry that names no server that can be used.
  virtual Result<directory::BackendServer> ReadServer(
      const std::string& id, const std::string& text) const = 0;
};

}  // namespace balsam::gateway
