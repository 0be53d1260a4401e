// The platform's settings file (TOML), read and checked.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace robinford::protocol {

class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Endpoint {
  std::string host;
  unsigned short port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

struct Peer {
  std::string member;
  std::string zone;
  Endpoint addr;
};

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0, times = 1;
};

struct Settings {
  std::string member, zone;
  Endpoint listen, peer_listen, cloud, state;
  std::vector<Peer> peers;
  int count = 1;
  std::vector<std::string> zones;
  double clock_error_ms = 0;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 1, lease_s = 10, gang_wait_s = 30, gang_peer_s = 5, cancel_s = 30;
  // Of the state service: the smaller of its present limits and of those announced for later, since the
  // moment of the change is not told.
  double state_rps = 100, state_write_rps = 40, value_kb = 16;
  int txn_ops = 32;
  std::size_t value_bytes() const { return static_cast<std::size_t>(value_kb * 1024); }
  double cloud_rps = 1, list_lag_s = 5;
  double cpu_share = 1, memory_mb = 100;
  int max_connections = 500;

  const Team* team(const std::string& name) const;
};

Endpoint parse_endpoint(const std::string& text);
Settings parse_settings(const std::string& toml_text);
Settings load_settings(const std::string& path);

}  // namespace robinford::protocol
