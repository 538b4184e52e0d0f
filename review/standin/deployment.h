// What the cases share of a small deployment: one host, a service of model
// engines and one of a plain application, and requests to them.
#pragma once

#include <string>

namespace standin {

inline constexpr char kModelService[] = "llm";
inline constexpr char kPlainService[] = "lockers";

// Version `version` of the operator's configuration.
inline std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[)"
         R"({"name":"r-guest","host":"locker.example","prefix":"/guest/",)"
         R"("kind":"stream","timeoutMs":39000,"goalMs":1800,"priority":1,)"
         R"("service":"llm","attempts":1,"public":false,"sticky":true,)"
         R"("resumable":false,"gapGoalMs":180},)"
         R"({"name":"r-digest","host":"locker.example","prefix":"/digest/",)"
         R"("kind":"stream","timeoutMs":6000,"goalMs":1500,"priority":0,)"
         R"("service":"llm","attempts":2,"public":false,"sticky":true,)"
         R"("resumable":true,"gapGoalMs":180},)"
         R"({"name":"r-door","host":"locker.example","prefix":"/door/",)"
         R"("kind":"non_idempotent","timeoutMs":600,"goalMs":100,)"
         R"("priority":2,"service":"lockers","attempts":1,"public":false},)"
         R"({"name":"r-code","host":"locker.example","prefix":"/code/",)"
         R"("kind":"readonly","timeoutMs":600,"goalMs":100,)"
         R"("priority":2,"service":"lockers","attempts":2,"public":false}],)"
         R"("services":[{"name":"llm","healthPath":"/health","maxConns":312,)"
         R"("protocol":"h1","tls":false,"engine":{"slots":32,)"
         R"("kvCapacity":34316,"kvBytes":163840,"linkMbps":24000.0,)"
         R"("moves":true,"backups":true,"stride":4,"most":12,)"
         R"("pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,)"
         R"("models":[{"name":"m"}]}},)"
         R"({"name":"lockers","healthPath":"/health","maxConns":110,)"
         R"("protocol":"h1","tls":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[{"name":"owner","apiKeys":["key-1"],"priority":1}]})";
}

// A request for a generation of at most `tokens_out` tokens. `shared_parts`:
// the parts of its prompt that others share, with a comma after each.
inline std::string GenerationText(const std::string& path,
                                  const std::string& id, int tokens_in,
                                  int tokens_out, int deadline_ms,
                                  const std::string& shared_parts = "a1:79,") {
  // No two prompts are alike.
  const std::string body = "prompt " + id + ' ' + std::string(280, 'p');
  return "POST " + path +
         " HTTP/1.1\r\nHost: locker.example\r\nRequest-Id: " + id +
         "\r\nModel: m\r\nToken-Usage: " + std::to_string(tokens_in) + "," +
         std::to_string(tokens_out) + "\r\nPrefix-Hash: " + shared_parts + "b" +
         id + ":" + std::to_string(tokens_in / 2) +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nCredential: key-1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace standin
