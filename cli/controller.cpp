// The subcommand turntally controller run: runs a controller process until SIGTERM or SIGINT.
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
  std::string config_file;
  std::string log_level = "info";
  bool check_only = false;
};

// Longest time that a shutdown waits for running acts. It is longer than any act may take; it ends the
// process even if a peer never answers.
constexpr auto kShutdownTimeout = std::chrono::seconds(10);

int run(const Options& options) {
  net::log::set_level(options.log_level);
  const controller::Config config = controller::read_config(options.config_file);
  if (options.check_only) {
    std::printf("%s: %zu tasks\n", options.config_file.c_str(), config.tasks.size());
    return kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a write beyond a file size limit fails instead of ending the process
  boost::asio::io_context io;
  int status = kExitOk;
  controller::Controller controller(io, config);
  boost::asio::steady_timer shutdown_timer(io);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    controller.close([&io] { io.stop(); });
    shutdown_timer.expires_after(kShutdownTimeout);
    shutdown_timer.async_wait([&](const boost::system::error_code& cancelled) {
      if (cancelled) return;
      std::fprintf(stderr,
                   "turntally controller: stopped while acts were still running; their leases will expire\n");
      status = kExitFailed;
      io.stop();
    });
  });
  net::log::info("begins", "holder", config.holder, "tasks", config.tasks.size());
  io.run();
  net::log::info("ends", "holder", config.holder);
  return status;
}

}  // namespace

void add_controller(CLI::App& app, int& status) {
  CLI::App* controller_command =
      app.add_subcommand("controller", "Run fleet-wide tasks, each under a lease.");
  controller_command->require_subcommand(1);
  controller_command->footer("Example: turntally controller run deploy/controller.toml");
  static Options options;
  CLI::App* run_command =
      controller_command->add_subcommand("run", "Run a controller until SIGTERM or SIGINT.");
  run_command->add_option("CONFIG", options.config_file, "configuration file in TOML")->required();
  run_command->add_flag("--check", options.check_only, "check the configuration file and exit");
  run_command->add_option("--log-level", options.log_level,
                          "log level: debug, info (default), warn or error");
  run_command->footer("Example: turntally controller run deploy/controller.toml --check");
  run_command->callback([&status] { status = run(options); });
}

}  // namespace turntally::cli
