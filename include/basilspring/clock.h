#ifndef BASILSPRING_CLOCK_H_
#define BASILSPRING_CLOCK_H_

#include <compare>
#include <cstdint>

namespace basilspring {

/// A time span in milliseconds, which may be negative.
class Duration {
 public:
  constexpr Duration() = default;
  constexpr explicit Duration(std::int64_t milliseconds) : milliseconds_(milliseconds) {}
  static constexpr Duration Seconds(std::int64_t seconds) { return Duration(seconds * 1000); }

  constexpr std::int64_t milliseconds() const { return milliseconds_; }
  constexpr auto operator<=>(const Duration&) const = default;
  constexpr Duration operator+(Duration other) const {
    return Duration(milliseconds_ + other.milliseconds_);
  }
  constexpr Duration operator-(Duration other) const {
    return Duration(milliseconds_ - other.milliseconds_);
  }
  constexpr Duration operator*(std::int64_t factor) const {
    return Duration(milliseconds_ * factor);
  }
  constexpr Duration operator/(std::int64_t divisor) const {
    return Duration(milliseconds_ / divisor);
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(milliseconds_);
  }

 private:
  std::int64_t milliseconds_ = 0;
};

/// A point in time on this host's clock, in milliseconds since boot including suspensions
/// (CLOCK_BOOTTIME). It is comparable only between processes on the same host; messages between
/// hosts carry remaining durations instead.
class TimePoint {
 public:
  constexpr TimePoint() = default;
  constexpr explicit TimePoint(std::int64_t milliseconds) : milliseconds_(milliseconds) {}

  constexpr std::int64_t milliseconds() const { return milliseconds_; }
  constexpr auto operator<=>(const TimePoint&) const = default;
  constexpr TimePoint operator+(Duration span) const {
    return TimePoint(milliseconds_ + span.milliseconds());
  }
  constexpr TimePoint operator-(Duration span) const {
    return TimePoint(milliseconds_ - span.milliseconds());
  }
  constexpr Duration operator-(TimePoint other) const {
    return Duration(milliseconds_ - other.milliseconds_);
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(milliseconds_);
  }

 private:
  std::int64_t milliseconds_ = 0;
};

/// Reads the time. Only code that performs I/O calls it; decision code takes the time as an
/// argument.
class Clock {
 public:
  static TimePoint Now();
  /// Milliseconds since the Unix epoch, for timestamps in logs and records, due times and the age
  /// of jobs that another process accepted. They may jump, so no timeout is measured by them.
  static std::int64_t WallMilliseconds();
};

}  // namespace basilspring

#endif  // BASILSPRING_CLOCK_H_
