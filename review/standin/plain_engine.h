// An engine of a plain service: runs requests for some milliseconds and
// answers with a body of its own.
#pragma once

#include "net.h"
#include "record.h"
#include "store.h"

namespace standin {

class PlainEngine {
 public:
  struct Options {
    std::string id;
    std::string ip = "127.0.0.1";
    std::string service;
    milliseconds work{15};
  };

  PlainEngine(Options options, Store& store, Record& record)
      : options_(std::move(options)),
        store_(store),
        record_(record),
        server_(options_.ip, [this](Socket& socket, const Message& request) {
          return Handle(socket, request);
        }) {}

  void Announce(const std::string& state) {
    record_.Line("engine " + options_.id + " is " + state);
    store_.Put("servers/" + options_.id,
               R"({"service":")" + options_.service + R"(","addr":")" +
                   server_.address() +
                   R"(","zone":"zone-a","version":"v1","slots":6,"state":")" +
                   state + R"(","coldLeftMs":0,"seq":1})");
  }
  // When each request began to run, by id.
  std::multimap<std::string, double> Runs() {
    const std::scoped_lock lock(mutex_);
    return runs_;
  }

 private:
  bool Handle(Socket& socket, const Message& request) {
    if (request.Target() == "/health") {
      return socket.Write(
          Response("200 OK", "Instance-Id: " + options_.id + "\r\n", ""));
    }
    const std::string id = request.Header("Request-Id");
    if (request.Header("Expect-Instance") != options_.id) {
      return socket.Write(Response("421 Misdirected Request",
                                   "Instance-Id: " + options_.id + "\r\n", ""));
    }
    {
      const std::scoped_lock lock(mutex_);
      runs_.emplace(id, record_.Now());
    }
    std::this_thread::sleep_for(options_.work);
    return socket.Write(
        Response("200 OK",
                 "Request-Id: " + id +
                     "\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
                 std::string(800, 'r')));
  }

  const Options options_;
  Store& store_;
  Record& record_;
  std::mutex mutex_;
  std::multimap<std::string, double> runs_;
  Server server_;
};

}  // namespace standin
