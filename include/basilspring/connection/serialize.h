#ifndef BASILSPRING_CONNECTION_SERIALIZE_H_
#define BASILSPRING_CONNECTION_SERIALIZE_H_

/// Every message has the same serialize member, so one macro writes it.
#define BASILSPRING_SERIALIZE(...)   \
  template <typename Archive>        \
  void serialize(Archive& archive) { \
    archive(__VA_ARGS__);            \
  }

#endif  // BASILSPRING_CONNECTION_SERIALIZE_H_
