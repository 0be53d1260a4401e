#include "protocol/settings.hpp"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

#include "constants.hpp"
#include "protocol/text_file.hpp"

namespace robinford::protocol {
namespace {

[[noreturn]] void fail(const std::string& what) { throw SettingsError("settings: " + what); }

std::string text(const toml::table& table, const char* key, const std::string& where) {
  auto value = table[key].value<std::string>();
  if (!value || value->empty()) fail(where + key + " must be a string that is not empty");
  return *value;
}

double number(const toml::table& table, const char* key, const std::string& where, double least,
              double most) {
  auto value = table[key].value<double>();
  if (!value) fail(where + key + " must be a number");
  if (!std::isfinite(*value) || *value < least || *value > most) {
    std::ostringstream out;
    out << where << key << " must lie between " << least << " and " << most;
    fail(out.str());
  }
  return *value;
}

double number_or(const toml::table& table, const char* key, const std::string& where, double least,
                 double most, double otherwise) {
  return table.contains(key) ? number(table, key, where, least, most) : otherwise;
}

const toml::table& section(const toml::table& table, const char* key, const std::string& where) {
  const toml::table* found = table[key].as_table();
  if (found == nullptr) fail("[" + where + key + "] is missing");
  return *found;
}

template <typename Each>
void each_table(const toml::table& table, const char* key, const std::string& where, Each each) {
  if (!table.contains(key)) return;
  const toml::array* list = table[key].as_array();
  if (list == nullptr) fail(where + key + " must be a list of tables");
  for (const auto& item : *list) {
    const toml::table* entry = item.as_table();
    if (entry == nullptr) fail(where + key + " must be a list of tables");
    each(*entry);
  }
}

// The state service changes to these limits without notice.
void keep_to_next_limits(Settings& s, const toml::table& next) {
  const std::string where = "deployment.state.next.";
  const auto smaller = [&](const char* key, double least, double most, double present) {
    return std::min(present, number_or(next, key, where, least, most, present));
  };
  s.state_rps = smaller("rps", 1, 1e7, s.state_rps);
  s.state_write_rps = smaller("write_rps", 1, 1e7, s.state_write_rps);
  s.value_kb = smaller("value_kb", 1, 1e4, s.value_kb);
  s.txn_ops = static_cast<int>(smaller("txn_ops", 4, 1e5, s.txn_ops));
}

}  // namespace

Endpoint parse_endpoint(const std::string& value) {
  const auto colon = value.rfind(':');
  if (colon == std::string::npos) fail("'" + value + "' is not an address of the form IP:port");
  Endpoint result;
  result.host = value.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, result.host.c_str(), &parsed) != 1)
    fail("'" + value + "' does not begin with an IPv4 number");
  const std::string port = value.substr(colon + 1);
  if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos)
    fail("'" + value + "' has no port number");
  const long parsed_port = std::stol(port);
  if (parsed_port < 1 || parsed_port > 65535) fail("'" + value + "' has a port out of range");
  result.port = static_cast<unsigned short>(parsed_port);
  return result;
}

const Team* Settings::team(const std::string& name) const {
  for (const auto& team : teams)
    if (team.name == name) return &team;
  return nullptr;
}

Settings parse_settings(const std::string& toml_text) {
  toml::table root;
  try {
    root = toml::parse(toml_text);
  } catch (const toml::parse_error& error) {
    std::ostringstream out;
    out << error.description() << " (line " << error.source().begin.line << ")";
    fail(out.str());
  }
  Settings s;
  s.member = text(root, "member", "");
  s.zone = text(root, "location", "");
  s.listen = parse_endpoint(text(root, "listen", ""));
  s.peer_listen = parse_endpoint(text(root, "peer_bind", ""));
  std::set<std::string> names{s.member};
  each_table(root, "known", "", [&](const toml::table& entry) {
    Peer peer;
    peer.member = text(entry, "member", "known.");
    peer.zone = entry["location"].value_or(std::string{});
    peer.addr = parse_endpoint(text(entry, "addr", "known."));
    if (!names.insert(peer.member).second) fail("known.member '" + peer.member + "' stands twice");
    s.peers.push_back(std::move(peer));
  });
  const auto& endpoints = section(root, "endpoints", "");
  s.cloud = parse_endpoint(text(endpoints, "cloud", "endpoints."));
  s.state = parse_endpoint(text(endpoints, "state", "endpoints."));

  const auto& site = section(root, "deployment", "");
  s.count = static_cast<int>(
      number_or(site, "count", "deployment.", 1, 1000, static_cast<double>(s.peers.size() + 1)));
  if (const auto* zones = site["zones"].as_array()) {
    for (const auto& zone : *zones) {
      if (!zone.is_string()) fail("deployment.zones must be a list of strings");
      s.zones.push_back(*zone.value<std::string>());
    }
  }
  s.clock_error_ms = number_or(site, "clock_error_ms", "deployment.", 0, 1e7, 1000);
  std::set<std::string> team_names;
  each_table(site, "teams", "deployment.", [&](const toml::table& entry) {
    Team team;
    const std::string where = "deployment.teams.";
    team.name = text(entry, "name", where);
    team.cpus = number_or(entry, "cpus", where, 0, 1e9, 0);
    team.cpus_max = number_or(entry, "cpus_max", where, 0, 1e9, 0);
    team.gpus = number_or(entry, "gpus", where, 0, 1e9, 0);
    team.gpus_max = number_or(entry, "gpus_max", where, 0, 1e9, 0);
    // A team without quota: nothing is guaranteed to it, and no limit is set, so that what is unused may
    // serve it. Read as a limit of nothing, each of its jobs was refused for ever. A team with a limit on one
    // amount has none of the other.
    if (team.cpus_max == 0 && team.gpus_max == 0) team.cpus_max = team.gpus_max = constants::kAmountMax;
    if (!team_names.insert(team.name).second) fail("deployment.teams: '" + team.name + "' stands twice");
    s.teams.push_back(std::move(team));
  });
  if (s.teams.empty()) fail("deployment.teams names no team");
  each_table(site, "objectives", "deployment.", [&](const toml::table& entry) {
    Objective objective;
    objective.kind = entry["kind"].value_or(std::string{});
    objective.job_class = entry["class"].value_or(std::string{});
    objective.within_s = entry["within_s"].value_or(0.0);
    objective.share = entry["share"].value_or(0.0);
    objective.times = entry["times"].value_or(1.0);
    s.objectives.push_back(std::move(objective));
  });
  const auto& workers = section(site, "workers", "deployment.");
  const std::string w = "deployment.workers.";
  s.heartbeat_interval_s = number(workers, "report_s", w, 0.1, 3600);
  s.lease_s = number(workers, "lease_s", w, 0.5, 86400);
  s.gang_wait_s = number(workers, "gang_wait_s", w, 0.1, 86400);
  s.gang_peer_s = number(workers, "gang_peer_s", w, 0.1, 86400);
  s.cancel_s = number(workers, "cancel_s", w, 0.5, 86400);
  const auto& state = section(site, "state", "deployment.");
  s.state_rps = number(state, "rps", "deployment.state.", 1, 1e7);
  s.state_write_rps = number(state, "write_rps", "deployment.state.", 1, 1e7);
  s.value_kb = number(state, "value_kb", "deployment.state.", 1, 1e4);
  s.txn_ops = static_cast<int>(number(state, "txn_ops", "deployment.state.", 4, 1e5));
  if (state.contains("next")) keep_to_next_limits(s, section(state, "next", "deployment.state."));
  const auto& cloud = section(site, "cloud", "deployment.");
  s.cloud_rps = number(cloud, "rps", "deployment.cloud.", 0.01, 1e6);
  s.list_lag_s = number(cloud, "list_lag_s", "deployment.cloud.", 0, 3600);
  const auto& quota = section(site, "quota", "deployment.");
  s.cpu_share = number_or(quota, "cpu", "deployment.quota.", 0.001, 1024, 1);
  s.memory_mb = number_or(quota, "ram_mb", "deployment.quota.", 8, 1e7, 100);
  s.max_connections = static_cast<int>(number_or(quota, "sockets", "deployment.quota.", 64, 1e7, 500));
  return s;
}

Settings load_settings(const std::string& path) {
  const auto text = read_text_file(path);
  if (!text) fail("cannot read '" + path + "'");
  return parse_settings(*text);
}

}  // namespace robinford::protocol
