#ifndef BASILSPRING_CONNECTION_SERIALIZE_H_
#define BASILSPRING_CONNECTION_SERIALIZE_H_

/// Defines the member function `serialize` that cereal calls, with the given fields in the given
/// order. The order of the fields is the wire format.
#define BASILSPRING_SERIALIZE(...)   \
  template <typename Archive>        \
  void serialize(Archive& archive) { \
    archive(__VA_ARGS__);            \
  }

#endif  // BASILSPRING_CONNECTION_SERIALIZE_H_
