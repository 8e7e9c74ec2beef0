// Runs the relay in the test's own process, for tests that delay its events or fill its disk.
#pragma once

#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <filesystem>
#include <future>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "relay/config.h"
#include "relay/relay.h"

namespace turntally::testing {

struct InProcessRelay {
  boost::asio::io_context io;
  std::optional<relay::Relay> relay;
  std::promise<uint16_t> port;
  std::future<void> loop_end;  // ready when the event loop has ended

  void create(const nlohmann::json& config, const std::filesystem::path& folder) {
    relay.emplace(io, relay::parse_config(config.dump(), folder.string()),
                  [this](const auto& address) { port.set_value(address.port()); });
  }
  void run() {
    loop_end = std::async(std::launch::async, [this] { io.run(); });
  }
  ~InProcessRelay() {
    io.stop();
    if (loop_end.valid()) loop_end.wait();
  }
};

struct Folder {
  std::filesystem::path path;
  Folder() {
    std::string pattern = std::filesystem::temp_directory_path() / "turntally-relay-inside-XXXXXX";
    path = ::mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

// Limits the size of files that the process writes, until it is destroyed.
class FullDisk {
 public:
  explicit FullDisk(size_t size) {
    std::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &previous_limit_);
    const rlimit limit{size, previous_limit_.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FullDisk() { ::setrlimit(RLIMIT_FSIZE, &previous_limit_); }

 private:
  rlimit previous_limit_{};
};

}  // namespace turntally::testing
