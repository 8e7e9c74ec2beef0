// lab: real processes of the program on loopback, stand-ins of all they talk with, and faults between them.
// This one: what a scenario file says. Times are seconds and rates are per second, unless a name says
// otherwise.
#pragma once

#include <string>
#include <vector>

#include "net/toml.h"

namespace turntally::lab {

using net::Range;

struct MessageClass {
  std::string name;
  std::string semantics;  // safe, keyed, unsafe
  std::string key_scope;
  double key_ttl_s = 15;
  double target_s = 3;
  double give_up_s = 24;
  double late_worth = 0.3;
  double share = 1;  // of the messages
};

// Receivers of one kind. A range is drawn once for each receiver.
struct ReceiverKind {
  std::string name;
  int count = 1;
  Range endpoints{1, 1};
  std::string limit;      // none, rate (token bucket), window (a count in each span)
  Range headroom{1, 1};   // the limit over the calls that it gets in the mean
  double least = 2;       // the lowest limit
  Range spare{1.2, 1.2};  // capacity over the limit
  Range service_ms{100, 300};
  double service_cv = 0.4;
  Range depth_s{0.3, 1};  // what its queue holds, in seconds of capacity
  Range window_ms{1000, 2000};
  Range tells_wait{1, 1};  // share of its refusals that tell how long to wait
  Range wait_ms{200, 1000};
  bool refused_count = false;  // refused calls use the limit up
  int connections = 64;        // at one endpoint; more are refused
  int batch = 1;
  double item_cost = 0.1;    // a further message in a call, in messages
  double handshake_ms = 20;  // what a new connection costs its first call
  Range report_ms{140, 890};
};

enum class FaultKind {
  kKill,           // SIGKILL; back after for_s, with its folder unless folder = "lost"
  kTerm,           // SIGTERM, SIGKILL 3.7 s later; back after for_s
  kStop,           // SIGSTOP, SIGCONT after for_s
  kUpgrade,        // a new process takes over under load
  kDisk,           // no more room in the state folder
  kCut,            // a link says nothing, one way or both
  kLoss,           // a share of what is sent is late by a retransmission
  kDelay,          // all that is sent is late
  kReset,          // a share of the connections is reset when the next bytes come
  kDown,           // endpoints refuse connections; they come back cold
  kSilent,         // endpoints take calls and answer none; they come back cold
  kFailing,        // endpoints fail a share of their calls
  kSlow,           // endpoints take longer
  kLower,          // receivers lower their limits
  kDrain,          // endpoints are listed as leaving, then as gone
  kDiscoveryDown,  // calls for lists fail and watches end
  kWatchSilent,    // a relay's open watch says nothing more and stays open; a new one may be opened
};

// The names in files, in the order of FaultKind.
const std::vector<std::string>& fault_names();

struct Fault {
  FaultKind kind = FaultKind::kKill;
  double at_s = 0;
  double for_s = 0;
  double each_s = 0;         // pause between one relay (or endpoint) and the next
  double share = 1;          // of the relays, or of the receivers, that it meets
  std::string zone;          // only relays (cut: links) of that zone
  std::string links;         // of link faults: receivers, discovery, clients, all
  std::string way = "both";  // cut: both, to, from (seen from the relay)
  double size = 0;           // loss, reset, failing: share; delay: ms; slow, lower: factor
  bool folder_lost = false;
};

struct Drawn {
  double per_minute = 0;  // further faults, drawn from the seed
  std::vector<std::string> kinds;
};

struct Scenario {
  std::string name;
  std::string about;

  int relays = 3;
  std::vector<std::string> zones{"a"};
  double memory_mb = 128;
  int sockets = 512;
  double disk_mb = 3;
  Range slots_room{1.9, 2.3};  // calls out at once, over what the load keeps busy
  Range hold_s{5.6, 10};       // messages held, in seconds of the load
  int max_attempts = 8;
  double ready_within_s = 30;

  double seconds = 20;
  double rate = 50;
  double wave_s = 0;      // period of a sine; 0: steady
  double wave_depth = 0;  // its height, as a share of the rate
  double clumps = 0;      // share of the messages that come in clumps for one receiver
  Range clump_s{1, 3};    // a clump, in seconds of the receiver's limit
  double zipf = 1;        // how unevenly receivers are asked for
  double uneven = 0;      // how unevenly relays are used: the largest has 1 + uneven times the mean
  double hot_share = 0;   // further share of all messages that one receiver draws
  Range hot_s{0, 0};
  Range body_bytes{200, 1000};
  std::vector<std::string> tenants;

  double patience_ms = 400;        // how long clients wait for an answer
  int again = 1;                   // how often a refused message is handed in again
  Range again_ms{300, 2000};       // after what pause, where the relay told none
  Range lost_again_ms{710, 2000};  // and after a relay died or did not answer
  double notice_s = 1;             // how late the front sees that a relay is gone, or back

  double discovery_call_ms = 5;
  double discovery_give_up_s = 2;
  Range discovery_late_s{0, 1};
  std::string discovery_form = "line";  // how a list is written: on a line, indented over many, indented with
                                        // blank lines between, or in pieces that break anywhere
  int registry_members = 0;             // of a registry that the relays follow; 0: they follow discovery

  double extra_bytes = 0.02;  // share of the good answers that bring more than belongs to them

  double cold_s = 12;
  double start_capacity = 0.29;
  double fall_multiple = 1.5;
  double fall_s = 2;

  std::vector<MessageClass> classes;
  std::vector<ReceiverKind> kinds;
  std::vector<Fault> faults;
  Drawn drawn;
};

// Both throw net::InvalidInput.
Scenario read_scenario(const std::string& path);
Scenario parse_scenario(const std::string& name, const std::string& toml);

}  // namespace turntally::lab
