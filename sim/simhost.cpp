// Runs one Policy for each simulated relay, and talks to the simulator on standard input and output.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <vector>

#include "sim/wire.h"

namespace turntally::sim {
namespace {

constexpr size_t kChunkBytes = 1 << 20;  // input is read in chunks, so that a false length allocates little

bool read_exactly(std::string& bytes, size_t count) {
  bytes.clear();
  while (bytes.size() < count) {
    const size_t old_size = bytes.size();
    const size_t requested = std::min(kChunkBytes, count - old_size);
    bytes.resize(old_size + requested);
    const size_t received = std::fread(bytes.data() + old_size, 1, requested, stdin);
    if (received < requested) {
      bytes.resize(old_size + received);
      return false;
    }
  }
  return true;
}

class Host {
 public:
  std::string handle(Time now, std::vector<InstanceEvent> events) {
    Encoder reply;
    std::map<int, std::vector<policy::Event>> pending;  // by instance
    for (InstanceEvent& item : events) {
      if (std::holds_alternative<InstanceKill>(item.event)) {
        policies_.erase(item.instance);
        pending.erase(item.instance);
      } else if (const auto* start = std::get_if<InstanceStart>(&item.event)) {
        pending.erase(item.instance);
        run_reporting_exceptions(item.instance, reply, [&] {
          policies_.erase(item.instance);
          policies_.emplace(item.instance,
                            policy::Policy(policy::parse_settings(start->settings_text), start->seed));
        });
        pending[item.instance];
      } else {
        pending[item.instance].push_back(std::move(std::get<policy::Event>(item.event)));
      }
    }
    for (const auto& entry : pending) {
      const auto instance = entry.first;
      const std::vector<policy::Event>& instance_events = entry.second;
      const auto policy = policies_.find(instance);
      if (policy == policies_.end()) continue;
      std::vector<policy::Action> actions;
      run_reporting_exceptions(instance, reply, [&] { policy->second.step(now, instance_events, actions); });
      reply.add_actions(instance, actions);
    }
    return reply.frame();
  }

 private:
  template <typename F>
  static void run_reporting_exceptions(int instance, Encoder& reply, F&& run) {
    try {
      run();
    } catch (const std::exception& error) {
      reply.add_panic(instance, error.what());
    }
  }

  std::map<int, policy::Policy> policies_;
};

int serve() {
  Decoder decoder;
  Host host;
  std::string bytes;
  while (true) {
    if (!read_exactly(bytes, kHeaderBytes)) {
      if (bytes.empty()) return 0;
      throw WireError("frame header is cut short at byte " + std::to_string(bytes.size()));
    }
    const Header header = decode_header(bytes);
    if (!read_exactly(bytes, header.length)) {
      throw WireError("frame is cut short at byte " + std::to_string(kHeaderBytes + bytes.size()));
    }
    const std::string reply = host.handle(header.clock, decoder.decode(header, bytes));
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
      return 1;
  }
}

}  // namespace
}  // namespace turntally::sim

int main() {
  try {
    return turntally::sim::serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "turntally-simhost: %s\n", error.what());
    return 2;
  }
}
