// balsam-entry: serves callers and forwards their requests to sidecars.
#include "libraries/http/daemon_main.h"
#include "services/entry/entry_node.h"

int main(int argc, char** argv) {
  using balsam::entry::EntryNode;
  using balsam::entry::EntrySettings;
  return balsam::http::RunDaemon<EntrySettings, EntryNode>(
      "balsam-entry", "Takes callers' requests and relays their answers", argc,
      argv);
}
