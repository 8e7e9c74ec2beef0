// Whole exchanges of several processes as a text that a person reads and approves: who said what to whom, in
// order, with what differs between runs in its place (<id1>, <address2>, …; the same value has the same place
// throughout). tests/transcripts/NAME.txt is what was approved; anything else fails, with the difference.
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
  // `folder`: of the approved ones; another than the default for tests of this class.
  explicit Transcript(std::string name, std::string folder = TRANSCRIPTS);

  // Further values to put in their place: what the pattern's one group holds. Addresses, ids of 16 hex
  // digits, revisions, times and spans of time in the log are known. Spans differ or not as they like: no
  // numbers there.
  void place(const std::string& kind, const std::string& pattern, bool numbered = true);

  void plain() { rules_.clear(); }  // nothing at all

  void title(const std::string& text);
  void note(const std::string& text);  // what happens beside the exchange
  // Lines of `what` stand below, each further in.
  void said(const std::string& from, const std::string& to, const std::string& head,
            const std::string& what = "");

  std::string text() const;
  // Empty where the text is the approved one; else why not. With TURNTALLY_APPROVE=1 it writes the text in
  // the approved one's place, and says so: a run that approves never passes.
  std::string judge() const;
  void check() const;  // the test fails with what judge() says

 private:
  std::string placed(const std::string& text);

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

// As `diff -u` writes it, with three lines around; empty where they are the same.
std::string unified(const std::string& before, const std::string& after);

// A process with standard output and error in one stream of lines; killed where it is not over yet.
class Child {
 public:
  Child(std::vector<std::string> command, const std::string& folder,
        const std::map<std::string, std::string>& environment = {});
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  int kill(int signal);                // and its end: as status()
  std::pair<int, std::string> wait();  // exit status, minus the signal that ended it; what it wrote

 private:
  pid_t process_ = -1;
  int output_ = -1;
};

}  // namespace turntally::testing
