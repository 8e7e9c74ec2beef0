#include "relay/journal.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "net/files.h"
#include "relay/errors.h"

namespace turntally::relay {
namespace {

constexpr double kMaxFileShare = 0.42;  // of the disk limit; old and new file together stay well below it
constexpr double kAcceptShare = 0.75;   // of the maximum file size; the rest is for later records
// Of the maximum file size: for messages that have ended. Out of the part for later records.
constexpr double kFinishedShare = 0.1;
constexpr size_t kReservedBytesPerMessage = 512;  // for the records of its attempts and its end
constexpr size_t kHeaderBytes = 8;                // length and checksum
constexpr std::chrono::seconds kOpenTimeout{5};

// The first byte of a record. Later versions read it, so the values never change.
enum RecordKind : char {
  kAccepted = 'A',
  kAttempt = 'T',
  kNotStarted = 'N',
  kFinalAnswer = 'O',
  kAcknowledged = 'D',
  kFact = 'F'
};

class RecordWriter {
 public:
  RecordWriter(RecordKind kind, const std::string& id) {
    payload_.push_back(kind);
    text(id);
  }
  RecordWriter& number(int64_t value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    payload_.append(raw, sizeof raw);
    return *this;
  }
  RecordWriter& text(std::string_view value) {
    number(static_cast<int64_t>(value.size()));
    payload_.append(value);
    return *this;
  }
  const std::string& payload() const { return payload_; }

 private:
  std::string payload_;
};

class RecordReader {
 public:
  explicit RecordReader(std::string_view bytes) : bytes_(bytes) {}
  char kind() { return raw(1)[0]; }
  int64_t number() {
    int64_t value = 0;
    std::memcpy(&value, raw(sizeof value).data(), sizeof value);
    return value;
  }
  bool more() const { return !bytes_.empty(); }
  std::string text() { return std::string(raw(static_cast<size_t>(number()))); }

 private:
  std::string_view raw(size_t count) {
    if (count > bytes_.size()) throw std::runtime_error("journal record is truncated");
    const auto result = bytes_.substr(0, count);
    bytes_.remove_prefix(count);
    return result;
  }
  std::string_view bytes_;
};

uint32_t checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string framed(std::string_view payload) {
  const uint32_t header[2] = {static_cast<uint32_t>(payload.size()), checksum(payload)};
  char raw[kHeaderBytes];
  std::memcpy(raw, header, kHeaderBytes);
  return std::string(raw, kHeaderBytes).append(payload);
}

JournaledMessage read_accepted(const std::string& id, RecordReader& in) {
  JournaledMessage entry;
  entry.message.id = id;
  entry.message.message_class = in.text();
  entry.message.idempotency_key = in.text();
  entry.message.destination = static_cast<int>(in.number());
  entry.deadline = in.number();
  entry.message.body = in.text();
  if (in.more()) entry.message.tenant = in.text();  // older records lack these fields
  if (in.more()) entry.terms_number = in.number();
  if (in.more()) entry.message.ordering_key = static_cast<uint64_t>(in.number());
  return entry;
}

void read_attempt(JournaledMessage& entry, RecordReader& in) {
  const int number = static_cast<int>(in.number());
  const Time sent = in.number();
  if (number >= entry.attempts) ++entry.calls_begun;  // recorded again if the call needs a new connection
  entry.attempts = number + 1;
  RecordedAttempt& attempt = entry.possibly_run[number] = {sent, static_cast<int>(in.number()), ""};
  if (in.more()) attempt.zone_name = in.text();  // missing in older records
}

FinalAnswer read_final_answer(const std::string& id, RecordReader& in) {
  const bool returned = in.number() != 0;
  return FinalAnswer{id, returned, in.number()};
}

// How a message ended, in its record of kAcknowledged.
enum FinishedState : int64_t { kDelivered = 0, kFailed = 1, kReturned = 2 };

std::string finished_payload(const std::string& id, const std::optional<FinalAnswer>& answer, Time ended_at) {
  const FinishedState state = !answer ? kDelivered : answer->returned ? kReturned : kFailed;
  return RecordWriter(kAcknowledged, id)
      .number(state)
      .number(answer ? answer->retry_after : 0)
      .number(ended_at)
      .payload();
}

FinishedRecord read_finished(const std::string& id, RecordReader& in) {
  FinishedRecord record{id, {}, 0};
  if (!in.more()) return record;  // older records have the id alone
  const int64_t state = in.number();
  const Time retry_after = in.number();
  record.ended_at = in.number();
  if (state != kDelivered) record.answer = FinalAnswer{id, state == kReturned, retry_after};
  return record;
}

bool write_all(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

// Reads a journal's records one by one, up to the first damaged one. Holds one record and a piece of the
// file.
class RecordFileReader {
 public:
  RecordFileReader(int file, const std::filesystem::path& path) : file_(file), path_(path) {
    struct stat status {};
    if (::fstat(file, &status) != 0) fail();
    file_bytes_ = static_cast<size_t>(status.st_size);
  }

  size_t file_bytes() const { return file_bytes_; }
  // Returns the end of the last record that was returned.
  size_t records_end() const { return records_end_; }

  // Returns the next record, valid until the next call; nothing at the end or at a damaged record.
  std::optional<std::string_view> next() {
    if (!fill(kHeaderBytes)) return {};
    uint32_t header[2];
    std::memcpy(header, unread_.data() + begin_, kHeaderBytes);
    const size_t payload_bytes = header[0];
    if (payload_bytes == 0 || !fill(kHeaderBytes + payload_bytes)) return {};
    const std::string_view payload = std::string_view(unread_).substr(begin_ + kHeaderBytes, payload_bytes);
    if (checksum(payload) != header[1]) return {};
    begin_ += kHeaderBytes + payload_bytes;
    records_end_ += kHeaderBytes + payload_bytes;
    return payload;
  }

 private:
  // Reads on until `count` bytes are unread. Returns false if the file has fewer.
  bool fill(size_t count) {
    if (unread_.size() - begin_ >= count) return true;
    if (count > file_bytes_ - records_end_) return false;
    unread_.erase(0, std::exchange(begin_, 0));
    while (unread_.size() < count) {
      const size_t old_size = unread_.size();
      unread_.resize(std::max(count, old_size + kPieceBytes));
      const ssize_t read = ::pread(file_, unread_.data() + old_size, unread_.size() - old_size,
                                   static_cast<off_t>(records_end_ + old_size));
      unread_.resize(old_size + static_cast<size_t>(std::max<ssize_t>(read, 0)));
      if (read < 0 && errno != EINTR) fail();
      if (read == 0) return false;
    }
    return true;
  }

  // A part of the file must not be taken for the whole.
  [[noreturn]] void fail() const {
    throw StateUnusable("cannot read " + path_.string() + ": " + std::strerror(errno));
  }

  static constexpr size_t kPieceBytes = size_t{64} * 1024;

  int file_;
  const std::filesystem::path& path_;
  size_t file_bytes_ = 0;
  size_t records_end_ = 0;
  std::string unread_;  // a piece of the file, from records_end_ - begin_ on
  size_t begin_ = 0;    // of the bytes in unread_ that have not been returned
};

}  // namespace

Journal::Journal(const std::filesystem::path& folder, size_t disk_bytes)
    : path_(folder / "journal"),
      compacted_path_(folder / "journal.new"),
      max_file_bytes_(static_cast<size_t>(kMaxFileShare * static_cast<double>(disk_bytes))) {
  std::error_code ignored;
  std::filesystem::remove(compacted_path_, ignored);
  file_ = net::open_file(path_, O_RDWR | O_CREAT | O_APPEND, kOpenTimeout);
  if (file_ < 0) throw StateUnusable("cannot open " + path_.string() + ": " + std::strerror(errno));
  replay();
}

Journal::~Journal() { ::close(file_); }

void Journal::release_memory() {
  live_records_.clear();
  places_.clear();
  finished_records_.clear();
  finished_bytes_ = 0;
  recovered_ = {};
  live_bytes_ = fact_bytes_;
}

// Reads the file's records up to the first damaged one. A process that is killed during a write leaves a torn
// record at the end; all records before it are complete.
void Journal::replay() {
  RecordFileReader reader(file_, path_);
  std::map<uint64_t, JournaledMessage> unfinished;
  while (const auto record = reader.next()) apply_record(*record, unfinished);
  file_bytes_ = reader.records_end();
  // The next replay would not find records behind a torn one. If that cannot be cut off, the next write
  // compacts the file first.
  incomplete_ = file_bytes_ < reader.file_bytes() && ::ftruncate(file_, static_cast<off_t>(file_bytes_)) != 0;
  for (auto& [place, entry] : unfinished) recovered_.push_back(std::move(entry));
}

void Journal::apply_record(std::string_view record, std::map<uint64_t, JournaledMessage>& unfinished) {
  RecordReader in(record);
  const char kind = in.kind();
  const std::string id = in.text();
  if (kind == kFact) return set_fact(id, in.text());
  if (kind == kAcknowledged) {
    recovered_finished_.push_back(read_finished(id, in));
    keep_finished_record(framed(record));
    if (recovered_finished_.size() > 2 * finished_records_.size() + 1) {
      // Only those whose records are kept are of use.
      const auto excess = static_cast<std::ptrdiff_t>(recovered_finished_.size() - finished_records_.size());
      recovered_finished_.erase(recovered_finished_.begin(), recovered_finished_.begin() + excess);
    }
  }
  if (kind == kAccepted) {
    const auto earlier = places_.find(id);
    if (earlier != places_.end()) unfinished.erase(earlier->second);
    places_[id] = ++last_place_;
    unfinished[last_place_] = read_accepted(id, in);
  }
  const auto place = places_.find(id);
  if (place == places_.end()) return;
  JournaledMessage& entry = unfinished[place->second];
  std::string& records = live_records_[place->second];
  if (kind == kAcknowledged) {
    live_bytes_ -= records.size() + kReservedBytesPerMessage;
    live_records_.erase(place->second);
    unfinished.erase(place->second);
    places_.erase(place);
    return;
  }
  if (kind == kAttempt) read_attempt(entry, in);
  if (kind == kNotStarted) entry.possibly_run.erase(static_cast<int>(in.number()));
  if (kind == kFinalAnswer) entry.unacknowledged_answer = read_final_answer(id, in);
  if (records.empty()) live_bytes_ += kReservedBytesPerMessage;
  records += framed(record);
  live_bytes_ += kHeaderBytes + record.size();
}

void Journal::set_fact(const std::string& name, const std::string& value) {
  const auto old = facts_.find(name);
  if (old != facts_.end()) {
    const size_t old_bytes = framed(RecordWriter(kFact, name).text(old->second).payload()).size();
    live_bytes_ -= old_bytes;
    fact_bytes_ -= old_bytes;
    facts_.erase(old);
  }
  if (value.empty()) return;
  const size_t bytes = framed(RecordWriter(kFact, name).text(value).payload()).size();
  live_bytes_ += bytes;
  fact_bytes_ += bytes;
  facts_[name] = value;
}

void Journal::record_facts(const std::vector<Fact>& facts) {
  std::string records;
  for (const auto& [name, value] : facts) {
    const auto old = facts_.find(name);
    if (value == (old == facts_.end() ? "" : old->second)) continue;
    set_fact(name, value);
    records += framed(RecordWriter(kFact, name).text(value).payload());
  }
  // All facts are in memory before the first is written, so that a compaction never writes a part of them.
  if (!records.empty()) write(records);
}

bool Journal::record_synced_fact(const std::string& name, const std::string& value) {
  const auto old = facts_.find(kSyncedFactPrefix + name);
  if (old == facts_.end() || old->second != value) {
    unsynced_ = true;
    record_fact(kSyncedFactPrefix + name, value);
  }
  if (!write_pending()) return false;
  if (unsynced_ && !sync()) {
    incomplete_ = true;  // a later sync of this file may succeed although data is lost: compact
    return false;
  }
  unsynced_ = false;
  return true;
}

// Syncs the file, and the folder because the file's name may be new in it.
bool Journal::sync() {
  if (::fdatasync(file_) != 0) return false;
  const int folder = ::open(path_.parent_path().c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return false;
  const bool synced = ::fsync(folder) == 0;
  ::close(folder);
  return synced;
}

bool Journal::record_accepted(const SubmittedMessage& message, Time deadline, int64_t terms_number) {
  RecordWriter record(kAccepted, message.id);
  record.text(message.message_class)
      .text(message.idempotency_key)
      .number(message.destination)
      .number(deadline)
      .text(message.body.view())
      .text(message.tenant)
      .number(terms_number)
      .number(static_cast<int64_t>(message.ordering_key));
  const size_t bytes = kHeaderBytes + record.payload().size() + kReservedBytesPerMessage;
  if (static_cast<double>(live_bytes_ + bytes) > kAcceptShare * static_cast<double>(max_file_bytes_))
    return false;
  places_[message.id] = ++last_place_;
  if (append(message.id, record.payload())) {
    live_bytes_ += kReservedBytesPerMessage;
    return true;
  }
  live_bytes_ -= live_records_[last_place_].size();
  live_records_.erase(last_place_);
  places_.erase(message.id);
  return false;
}

bool Journal::record_attempt(const std::string& id, int number, Time sent, int zone,
                             const std::string& zone_name) {
  const auto place = places_.find(id);
  if (place == places_.end()) return false;
  RecordWriter record(kAttempt, id);
  record.number(number).number(sent).number(zone);
  if (!zone_name.empty()) record.text(zone_name);
  const std::string& payload = record.payload();
  if (append(id, payload)) return true;
  std::string& records =
      live_records_[place->second];  // the call does not start: a compaction must not write it
  const size_t record_bytes = kHeaderBytes + payload.size();
  records.resize(records.size() - record_bytes);
  live_bytes_ -= record_bytes;
  return false;
}

void Journal::record_not_started(const std::string& id, int number) {
  append(id, RecordWriter(kNotStarted, id).number(number).payload());
}

bool Journal::record_final_answer(const FinalAnswer& answer) {
  return append(
      answer.id,
      RecordWriter(kFinalAnswer, answer.id).number(answer.returned).number(answer.retry_after).payload());
}

void Journal::record_acknowledged(const std::string& id, const std::optional<FinalAnswer>& answer,
                                  Time ended_at) {
  const auto place = places_.find(id);
  if (place == places_.end()) return;
  live_bytes_ -= live_records_[place->second].size() + kReservedBytesPerMessage;
  live_records_.erase(place->second);
  places_.erase(place);
  const std::string record = framed(finished_payload(id, answer, ended_at));
  keep_finished_record(record);
  write(record);
}

void Journal::keep_finished_record(std::string record) {
  finished_bytes_ += record.size();
  finished_records_.push_back(std::move(record));
  while (static_cast<double>(finished_bytes_) > kFinishedShare * static_cast<double>(max_file_bytes_)) {
    finished_bytes_ -= finished_records_.front().size();
    finished_records_.pop_front();
  }
}

bool Journal::append(const std::string& id, const std::string& payload) {
  const auto place = places_.find(id);
  if (place == places_.end()) return false;
  const std::string bytes = framed(payload);
  live_records_[place->second] += bytes;
  live_bytes_ += bytes.size();
  return write(bytes);
}

// Appends bytes that the live records already reflect, so a compaction covers them and whatever could not be
// written before. After a failure the file stays incomplete until a compaction succeeds.
bool Journal::write(std::string_view bytes) {
  if (incomplete_) return compact();
  if (file_bytes_ + bytes.size() > max_file_bytes_ && compact()) return true;
  incomplete_ = true;
  if (file_bytes_ + bytes.size() > max_file_bytes_) return false;
  if (write_all(file_, bytes)) {
    incomplete_ = false;
    file_bytes_ += bytes.size();
    return true;
  }
  // A partial record would hide all records behind it from the next replay.
  if (::ftruncate(file_, static_cast<off_t>(file_bytes_)) != 0) return compact();
  return false;
}

bool Journal::compact() {
  const int compacted_file =
      ::open(compacted_path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (compacted_file < 0) return false;
  // Synced facts must not leave the disk with the old file.
  const auto synced = facts_.lower_bound(kSyncedFactPrefix);
  const bool has_synced = synced != facts_.end() && synced->first.starts_with(kSyncedFactPrefix);
  const auto written = write_live_records(compacted_file);
  if (!written || (has_synced && ::fdatasync(compacted_file) != 0) ||
      ::rename(compacted_path_.c_str(), path_.c_str()) != 0) {
    ::close(compacted_file);
    ::unlink(compacted_path_.c_str());
    return false;
  }
  ::close(file_);
  file_ = compacted_file;
  file_bytes_ = *written;
  incomplete_ = false;
  return true;
}

// Writes the facts and the records of the live messages in pieces, and returns their size; nothing if they
// are too many for a file or a write fails.
std::optional<size_t> Journal::write_live_records(int file) const {
  constexpr size_t kPieceBytes = size_t{64} * 1024;
  std::string piece;
  size_t written = 0;
  const auto add = [&](std::string_view bytes) {
    piece += bytes;
    written += bytes.size();
    if (written > max_file_bytes_) return false;
    return piece.size() < kPieceBytes || write_all(file, std::exchange(piece, {}));
  };
  for (const auto& [name, value] : facts_) {
    if (!add(framed(RecordWriter(kFact, name).text(value).payload()))) return {};
  }
  // Open messages need the room more. Their records come behind, as an id may have been taken on anew.
  if (live_bytes_ + finished_bytes_ <= max_file_bytes_) {
    for (const std::string& record : finished_records_) {
      if (!add(record)) return {};
    }
  }
  for (const auto& [place, records] : live_records_) {
    if (!add(records)) return {};
  }
  return write_all(file, piece) ? std::optional(written) : std::nullopt;
}

}  // namespace turntally::relay
