// turntally controller: run.
#include "controller/controller.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>

#include "cli/command.h"
#include "net/log.h"
#include "net/toml.h"

namespace turntally::cli {
namespace {

struct Options {
  std::string file;
  std::string level = "info";
  bool check = false;
};

// Longer than any act may take: a path that fell silent must not keep the process.
constexpr auto kLongestEnd = std::chrono::seconds(10);

int run(const Options& options) {
  net::log::set_level(options.level);
  const controller::Config config = controller::read_config(options.file);
  if (options.check) {
    std::printf("%s: %zu tasks\n", options.file.c_str(), config.tasks.size());
    return kHeld;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a full disk is an error, not a signal
  boost::asio::io_context io;
  int status = kHeld;
  controller::Controller one(io, config);
  boost::asio::steady_timer latest(io);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    one.close([&io] { io.stop(); });
    latest.expires_after(kLongestEnd);
    latest.async_wait([&](const boost::system::error_code& stopped) {
      if (stopped) return;
      std::fprintf(stderr, "turntally controller: ends with acts out; their leases lapse by themselves\n");
      status = kBroken;
      io.stop();
    });
  });
  net::log::info("begins", "holder", config.holder, "tasks", config.tasks.size());
  io.run();
  net::log::info("ends", "holder", config.holder);
  return status;
}

}  // namespace

void add_controller(CLI::App& app, int& result) {
  CLI::App* group = app.add_subcommand("controller", "Run the fleet's tasks, each under a lease.");
  group->require_subcommand(1);
  group->footer("Example: turntally controller run deploy/controller.toml");
  static Options options;
  CLI::App* run_command = group->add_subcommand("run", "Run one of the controllers, until SIGTERM.");
  run_command->add_option("CONFIG", options.file, "its configuration, in TOML")->required();
  run_command->add_flag("--check", options.check, "read the configuration only");
  run_command->add_option("--log-level", options.level, "debug, info (default), warn or error");
  run_command->footer("Example: turntally controller run deploy/controller.toml --check");
  run_command->callback([&result] { result = run(options); });
}

}  // namespace turntally::cli
