#include "relay/durable_clock.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace turntally::relay {
namespace {

constexpr char kBootIdFile[] = "/proc/sys/kernel/random/boot_id";
constexpr char kBootKey[] = "boot";
constexpr char kOffsetKey[] = "offset";

}  // namespace

DurableClock::Reading DurableClock::read_machine() {
  Reading reading;
  std::ifstream file(kBootIdFile);
  std::getline(file, reading.boot_id);
  reading.steady = net::steady_now();
  reading.wall = net::wall_now();
  return reading;
}

DurableClock::DurableClock(const Reading& machine, const std::string& stored)
    : boot_id_(machine.boot_id), offset_(machine.wall - machine.steady) {
  const auto previous = nlohmann::json::parse(stored, nullptr, false);
  if (boot_id_.empty() || !previous.is_object() || previous.value(kBootKey, "") != boot_id_) return;
  offset_ = previous.value(kOffsetKey, offset_);
}

std::string DurableClock::text() const {
  if (boot_id_.empty()) return "";
  return nlohmann::json{{kBootKey, boot_id_}, {kOffsetKey, offset_}}.dump();
}

}  // namespace turntally::relay
