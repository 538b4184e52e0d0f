// balsam-sidecar: runs beside one backend server and controls access to it.
#include "libraries/http/daemon_main.h"
#include "services/sidecar/sidecar_node.h"

int main(int argc, char** argv) {
  using balsam::sidecar::SidecarNode;
  using balsam::sidecar::SidecarSettings;
  return balsam::http::RunDaemon<SidecarSettings, SidecarNode>(
      "balsam-sidecar", "Runs beside one backend server and is its only client",
      argc, argv);
}
