// Declarations shared by the subcommands of turntally, the operators' program.
#pragma once

#include <CLI/CLI.hpp>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "registry/client.h"

namespace turntally::cli {

// Exit statuses of the program.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;   // a check or a run failed
constexpr int kExitMisuse = 2;   // the command line or its input is invalid
constexpr int kExitRefused = 3;  // a valid request was refused in the present state
constexpr int kExitUnknown = 4;  // the outcome is unknown: the request may have been carried out

// Options of every command that calls a registry.
struct RegistryOptions {
  std::string at;  // comma-separated HTTP addresses of members
  bool json = false;

  void add_to(CLI::App& command);
  // Returns the addresses in `at`. Throws net::InvalidInput if one is invalid or there is none.
  std::vector<std::string> addresses() const;
  registry::Client client() const;
  // Returns whether print() writes a table: standard output is a terminal and --json is not given.
  bool prints_table() const;
  // Prints `rows`, whose first row is the heading, as a table on a terminal; prints `value` as JSON
  // otherwise.
  void print(const nlohmann::json& value, const std::vector<std::vector<std::string>>& rows) const;
};

// Each function adds its subcommands to `app`. The subcommand that runs stores its exit status in `status`.
void add_controller(CLI::App& app, int& status);
void add_lab(CLI::App& app, int& status);
void add_registry(CLI::App& app, int& status);
void add_targets(CLI::App& app, int& status);

}  // namespace turntally::cli
