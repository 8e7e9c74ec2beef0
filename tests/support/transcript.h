// Records the exchanges between several processes as a text that a person reads and approves: sender,
// receiver and content, in order. Values that differ between runs are replaced by placeholders (<id1>,
// <address2>, …; the same value has the same placeholder throughout). The approved text is NAME.txt in the
// folder of transcripts (tests/cli/transcripts by default); a check of any other text fails and shows the
// difference.
#pragma once

#include <sys/types.h>

#include <map>
#include <regex>
#include <string>
#include <utility>
#include <vector>

namespace turntally::testing {

class Transcript {
 public:
  // `folder` holds the approved transcripts; only tests of this class pass another than the default.
  explicit Transcript(std::string name, std::string folder = TRANSCRIPTS);

  // Adds a rule: text that the pattern's one group matches is replaced by a placeholder of this kind. Rules
  // for addresses, ids of 16 hex digits, revisions, and times and durations of the log exist already. Two
  // durations may be equal by chance, so their placeholders are not numbered.
  void place(const std::string& kind, const std::string& pattern, bool numbered = true);

  void plain() { rules_.clear(); }  // removes all rules: nothing is replaced

  void title(const std::string& text);
  void note(const std::string& text);  // an event beside the exchange
  // Adds a message; the lines of `what` follow `head`, indented.
  void add_message(const std::string& from, const std::string& to, const std::string& head,
                   const std::string& what = "");

  std::string text() const;
  // Returns an empty string if the text is the approved one, otherwise the difference. With
  // TURNTALLY_APPROVE=1 it replaces the approved text and returns a message that says so: a run that approves
  // never passes.
  std::string compare_with_approved() const;
  void check() const;  // fails the test with the result of judge(), unless that is empty

 private:
  std::string with_placeholders(const std::string& text);

  std::string path_;
  std::string text_;
  struct Rule {
    std::string kind;
    std::regex pattern;
    bool numbered = true;
  };
  std::vector<Rule> rules_;
  std::map<std::string, std::map<std::string, size_t>> seen_;  // by kind
};

// Returns the difference as `diff -u` writes it, with three lines of context; empty if the texts are equal.
std::string unified(const std::string& before, const std::string& after);

// A child process whose standard output and error go into one stream. The destructor kills it if it still
// runs.
class Child {
 public:
  Child(std::vector<std::string> command, const std::string& folder,
        const std::map<std::string, std::string>& environment = {});
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  int kill(int signal);  // sends the signal, waits for the end and returns the status as wait() does
  std::pair<int, std::string> wait();  // exit status, or minus the signal that ended it; and its output

 private:
  pid_t process_ = -1;
  int output_ = -1;
};

}  // namespace turntally::testing
