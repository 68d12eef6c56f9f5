#ifndef BASILSPRING_SRC_PROCESS_SETTINGS_READER_H_
#define BASILSPRING_SRC_PROCESS_SETTINGS_READER_H_

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/connection/messages.h"
#include "basilspring/process/process_settings.h"

namespace basilspring::internal {

/// Parses TOML text. Adds a fault and returns std::nullopt if the syntax is wrong. `name` is the
/// file name in the fault.
std::optional<toml::table> ParseSettingsText(const std::string& text, const std::string& name,
                                             std::vector<SettingsFault>& faults);

/// Returns the content of a file. Adds a fault and returns std::nullopt if it can't be read.
std::optional<std::string> ReadSettingsFile(const std::string& path,
                                            std::vector<SettingsFault>& faults);

/// Whether a missing key is a fault.
enum class Presence { kRequired, kOptional };

/// Reads typed values from a parsed TOML file. Faults are collected instead of thrown, so that one
/// run reports all of them. Keys have the form "section.key". The typed getters return an empty
/// value if the key is missing or its value is invalid; they add a fault for an invalid value and
/// for a missing required key.
class SettingsReader {
 public:
  SettingsReader(const toml::table& root, std::string file, std::vector<SettingsFault>* faults)
      : root_(root), file_(std::move(file)), faults_(faults) {}

  std::optional<std::string> String(std::string_view key, Presence presence);
  /// Returns a name that may be part of a store key: letters, digits, '-', '_', '.', and '/' if
  /// `allow_slash` is set.
  std::optional<std::string> Name(std::string_view key, Presence presence,
                                  bool allow_slash = false);
  std::optional<std::int64_t> Integer(std::string_view key, Presence presence, std::int64_t minimum,
                                      std::int64_t maximum);
  /// Returns a number, which may be written as an integer.
  std::optional<double> Double(std::string_view key, Presence presence, double minimum,
                               double maximum);
  std::optional<Address> IpAddress(std::string_view key, Presence presence);
  std::vector<Address> IpAddresses(std::string_view key, Presence presence);
  /// Returns one of the choices, which are separated by '|'.
  std::optional<std::string> Choice(std::string_view key, Presence presence,
                                    std::string_view choices);

  /// Adds a fault for each section and key that no getter has asked for. Call it after all getters.
  void RejectUnknownKeys();

  /// Adds a fault that the getters don't detect, such as a contradiction between two values. The
  /// fault is reported at the line of `key`.
  void AddFault(std::string_view key, std::string_view message);

 private:
  /// Returns the node of a key, or nullptr if it is missing, and marks the key as known.
  const toml::node* Find(std::string_view key, Presence presence, std::string_view allowed);
  /// Adds a fault at the line of `node`, or at line 1 if `node` is nullptr.
  void AddFaultAt(const toml::node* node, std::string_view key, std::string_view message);

  const toml::table& root_;
  std::string file_;
  std::vector<SettingsFault>* faults_;
  /// Keys that the getters have asked for.
  std::set<std::string> known_keys_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_SETTINGS_READER_H_
