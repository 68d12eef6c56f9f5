#include "process/settings_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <sstream>
#include <utility>

#include "basilspring/error.h"
#include "names.h"

namespace basilspring::internal {
namespace {

constexpr std::string_view kAddressFormat =
    "\"IP:PORT\" with an IP address and a port from 1 to 65535";

std::string NodeToString(const toml::node& node) {
  std::ostringstream text;
  node.visit([&text](const auto& typed) { text << toml::node_view<const toml::node>(typed); });
  return text.str();
}

std::optional<Address> ParseIpAddress(const std::string& text) {
  try {
    Address address = Address::Parse(text);
    boost::system::error_code error;
    boost::asio::ip::make_address(address.ip, error);
    if (error) return std::nullopt;
    return address;
  } catch (const Error&) {
    return std::nullopt;
  }
}

}  // namespace

void SettingsReader::AddFaultAt(const toml::node* node, std::string_view key,
                                std::string_view message) {
  const std::size_t line = node == nullptr ? 1 : node->source().begin.line;
  faults_->push_back({fmt::format("{}:{}: {}: {}", file_, line, key, message)});
}

const toml::node* SettingsReader::Find(std::string_view key, Presence presence,
                                       std::string_view allowed) {
  known_keys_.emplace(key);
  const toml::node* const node = root_.at_path(key).node();
  if (node == nullptr && presence == Presence::kRequired) {
    AddFaultAt(nullptr, key, fmt::format("is missing; allowed: {}", allowed));
  }
  return node;
}

std::optional<toml::table> ParseSettingsText(const std::string& text, const std::string& name,
                                             std::vector<SettingsFault>& faults) {
  try {
    return toml::parse(text, name);
  } catch (const toml::parse_error& error) {
    faults.push_back({fmt::format("{}:{}: syntax error: {}", name, error.source().begin.line,
                                  error.description())});
    return std::nullopt;
  }
}

std::optional<std::string> ReadSettingsFile(const std::string& path,
                                            std::vector<SettingsFault>& faults) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (file) return text.str();
  faults.push_back({fmt::format("{}:1: the file can't be read", path)});
  return std::nullopt;
}

std::optional<std::string> SettingsReader::String(std::string_view key, Presence presence) {
  const toml::node* const node = Find(key, presence, "a string");
  if (node == nullptr) return std::nullopt;
  auto value = node->value_exact<std::string>();
  if (!value.has_value()) {
    AddFaultAt(node, key,
               fmt::format("{} has the wrong type; allowed: a string", NodeToString(*node)));
  }
  return value;
}

std::optional<std::string> SettingsReader::Name(std::string_view key, Presence presence,
                                                bool allow_slash) {
  std::optional<std::string> value = String(key, presence);
  if (value.has_value() && !IsName(*value, allow_slash ? "/" : "")) {
    AddFaultAt(
        root_.at_path(key).node(), key,
        fmt::format("\"{}\" is not a name; allowed: 1 to 128 letters, digits, '-', '_' or '.'",
                    *value));
    return std::nullopt;
  }
  return value;
}

std::optional<std::int64_t> SettingsReader::Integer(std::string_view key, Presence presence,
                                                    std::int64_t minimum, std::int64_t maximum) {
  const std::string allowed = fmt::format("a whole number from {} to {}", minimum, maximum);
  const toml::node* const node = Find(key, presence, allowed);
  if (node == nullptr) return std::nullopt;
  const auto value = node->value_exact<std::int64_t>();
  if (!value.has_value()) {
    AddFaultAt(node, key,
               fmt::format("{} has the wrong type; allowed: {}", NodeToString(*node), allowed));
    return std::nullopt;
  }
  if (*value < minimum || *value > maximum) {
    AddFaultAt(node, key, fmt::format("{} is out of range; allowed: {}", *value, allowed));
    return std::nullopt;
  }
  return value;
}

std::optional<double> SettingsReader::Double(std::string_view key, Presence presence,
                                             double minimum, double maximum) {
  const std::string allowed = fmt::format("a number from {} to {}", minimum, maximum);
  const toml::node* const node = Find(key, presence, allowed);
  if (node == nullptr) return std::nullopt;
  // Unlike value_exact, this also accepts integers.
  const auto value = node->value<double>();
  if (!value.has_value() || !node->is_number()) {
    AddFaultAt(node, key,
               fmt::format("{} has the wrong type; allowed: {}", NodeToString(*node), allowed));
    return std::nullopt;
  }
  if (*value < minimum || *value > maximum) {
    AddFaultAt(node, key, fmt::format("{} is out of range; allowed: {}", *value, allowed));
    return std::nullopt;
  }
  return value;
}

std::optional<Address> SettingsReader::IpAddress(std::string_view key, Presence presence) {
  const std::optional<std::string> text = String(key, presence);
  if (!text.has_value()) return std::nullopt;
  std::optional<Address> address = ParseIpAddress(*text);
  if (!address.has_value()) {
    AddFaultAt(root_.at_path(key).node(), key,
               fmt::format("\"{}\" is not an address; allowed: {}", *text, kAddressFormat));
  }
  return address;
}

std::vector<Address> SettingsReader::IpAddresses(std::string_view key, Presence presence) {
  std::vector<Address> addresses;
  const toml::node* const node = Find(key, presence, "a list of addresses");
  if (node == nullptr) return addresses;
  const toml::array* const list = node->as_array();
  if (list == nullptr) {
    AddFaultAt(
        node, key,
        fmt::format("{} has the wrong type; allowed: a list of addresses", NodeToString(*node)));
    return addresses;
  }
  if (list->empty() && presence == Presence::kRequired) {
    AddFaultAt(node, key, "is empty; allowed: at least one address");
  }
  for (const toml::node& element : *list) {
    const std::optional<Address> address =
        ParseIpAddress(element.value_exact<std::string>().value_or(""));
    if (address.has_value()) {
      addresses.push_back(*address);
    } else {
      AddFaultAt(
          &element, key,
          fmt::format("{} is not an address; allowed: {}", NodeToString(element), kAddressFormat));
    }
  }
  return addresses;
}

std::optional<std::string> SettingsReader::Choice(std::string_view key, Presence presence,
                                                  std::string_view choices) {
  std::optional<std::string> value = String(key, presence);
  if (!value.has_value()) return std::nullopt;
  const std::string list = fmt::format("|{}|", choices);
  if (list.find(fmt::format("|{}|", *value)) == std::string::npos) {
    AddFaultAt(root_.at_path(key).node(), key,
               fmt::format("\"{}\" is unknown; allowed: {}", *value, choices));
    return std::nullopt;
  }
  return value;
}

void SettingsReader::RejectUnknownKeys() {
  for (const auto& [section, node] : root_) {
    const std::string section_name(section.str());
    const toml::table* const table = node.as_table();
    const auto first_known = known_keys_.lower_bound(section_name + ".");
    const bool known_section =
        first_known != known_keys_.end() && first_known->rfind(section_name + ".", 0) == 0;
    if (table == nullptr || !known_section) {
      AddFaultAt(&node, section_name, "is unknown; allowed: the sections of docs/operators.md");
      continue;
    }
    for (const auto& [key, value] : *table) {
      const std::string name = fmt::format("{}.{}", section_name, key.str());
      if (known_keys_.find(name) != known_keys_.end()) continue;
      std::string allowed;
      for (const std::string& other : known_keys_) {
        if (other.rfind(section_name + ".", 0) != 0) continue;
        allowed += (allowed.empty() ? "" : ", ") + other.substr(section_name.size() + 1);
      }
      AddFaultAt(&value, name, fmt::format("is unknown; allowed in this section: {}", allowed));
    }
  }
}

void SettingsReader::AddFault(std::string_view key, std::string_view message) {
  AddFaultAt(root_.at_path(key).node(), key, message);
}

}  // namespace basilspring::internal
