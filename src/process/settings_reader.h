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

/// The text as TOML; adds a fault and returns nothing when it has another syntax.
std::optional<toml::table> ParseSettingsText(const std::string& text, const std::string& name,
                                             std::vector<SettingsFault>& faults);

/// The whole file; adds a fault and returns nothing when it can't be read.
std::optional<std::string> ReadSettingsFile(const std::string& path,
                                            std::vector<SettingsFault>& faults);

/// Whether a key has to be there.
enum class Presence { kRequired, kOptional };

/// Reads typed values out of a parsed TOML file. Faults are collected, and reading goes on, so that
/// one run shows all of them. Keys are written "section.key".
class SettingsReader {
 public:
  SettingsReader(const toml::table& root, std::string file, std::vector<SettingsFault>* faults)
      : root_(root), file_(std::move(file)), faults_(faults) {}

  std::optional<std::string> Text(std::string_view key, Presence presence);
  /// A name as it may stand in store keys: letters, digits, '-', '_', '.' (and '/' where allowed).
  std::optional<std::string> Name(std::string_view key, Presence presence,
                                  bool allow_slash = false);
  std::optional<std::int64_t> Number(std::string_view key, Presence presence, std::int64_t minimum,
                                     std::int64_t maximum);
  /// A number with or without a fraction.
  std::optional<double> Decimal(std::string_view key, Presence presence, double minimum,
                                double maximum);
  std::optional<Address> IpAddress(std::string_view key, Presence presence);
  std::vector<Address> IpAddresses(std::string_view key, Presence presence);
  /// One of the choices, which are separated by '|'.
  std::optional<std::string> Choice(std::string_view key, Presence presence,
                                    std::string_view choices);

  /// Adds a fault for each section and key that was not read by then.
  void RejectUnknownKeys();

  /// Adds a fault that is not about one value alone; the line is that of the key.
  void Contradiction(std::string_view key, std::string_view message);

 private:
  const toml::node* Find(std::string_view key, Presence presence, std::string_view allowed);
  void Fault(const toml::node* node, std::string_view key, std::string_view message);

  const toml::table& root_;
  std::string file_;
  std::vector<SettingsFault>* faults_;
  std::set<std::string> known_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_SETTINGS_READER_H_
