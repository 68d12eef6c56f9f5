#include "basilspring/connection/frame.h"

#include <gtest/gtest.h>

#include "fuzz/frame_input.h"
#include "tests/connection/mutation.h"

namespace basilspring {
namespace {

template <std::size_t... kIndexes>
std::vector<Message> OneMessageOfEachType(std::index_sequence<kIndexes...> /*indexes*/) {
  return {Message(std::in_place_index<kIndexes>)...};
}

/// An empty message of each type, and some with nested containers.
std::vector<std::string> Corpus() {
  std::vector<Message> messages =
      OneMessageOfEachType(std::make_index_sequence<std::variant_size_v<Message>>());
  TaskReport task;
  task.attempt = AttemptId("j1#7.1");
  task.state = TaskState::kFinished;
  task.output = std::string(50, 'o');
  AgentReport report;
  report.worker = WorkerId("w1");
  report.tasks = {task, task};
  messages.emplace_back(report);
  CellSummary summary;
  summary.free_runs = {9, 4, 2, 1};
  summary.estimated_wait = {Duration(-5), Duration(1LL << 40)};
  summary.racks = {{1, 3, 8}, {1, 2, 8}};
  messages.emplace_back(summary);
  Start start;
  start.members = {{0, WorkerId("w1"), {"127.0.0.1", 4000}}, {1, WorkerId("w2"), {"127.0.0.2", 1}}};
  start.payload = std::string("\0binary\xff", 8);
  messages.emplace_back(start);
  SubmitJob submit;
  submit.spec.id = JobId("j1");
  submit.spec.payload = std::string(200, 'p');
  messages.emplace_back(submit);
  std::vector<std::string> corpus = {EncodeFrame({17, std::nullopt})};
  for (const Message& message : messages) corpus.push_back(EncodeFrame({3, message}));
  return corpus;
}

TEST(Frame, EachTypeOfMessageSurvivesTheRoundTrip) {
  const std::vector<std::string> corpus = Corpus();
  for (const std::string& bytes : corpus) {
    EXPECT_EQ(FrameLength(bytes), bytes.size());
    EXPECT_EQ(CheckFrameInput(bytes), FrameVerdict::kAccepted);
  }
  const Frame frame = DecodeFrame(corpus.back());
  EXPECT_EQ(frame.sequence, 3U);
  EXPECT_EQ(std::get<SubmitJob>(*frame.message).spec.payload, std::string(200, 'p'));
  EXPECT_FALSE(DecodeFrame(corpus.front()).message);
}

// Guards against a change of the wire format, which would break communication with processes of the
// other version.
TEST(Frame, HeaderAndBodyHaveTheDocumentedLayout) {
  QueryJob query;
  query.job = JobId("ab");
  query.query = 0x0102;
  EXPECT_EQ(EncodeFrame({5, query}), std::string("\x1e\0\0\0\x53\x42\x01\x05\x05\0\0\0\0\0\0\0"
                                                 "\x02\0\0\0ab\x02\x01\0\0\0\0\0\0",
                                                 30));
}

// Guards against enumeration values that are used as an index, such as a job class without a queue.
TEST(Frame, RefusesEnumerationsOutOfRange) {
  StopTask stop;
  stop.reason = static_cast<StopReason>(200);
  EXPECT_EQ(CheckFrameInput(EncodeFrame({1, stop})), FrameVerdict::kRefused);
}

// Guards against an allocation of gigabytes for an invalid count sent by a peer.
TEST(Frame, RefusesCountsThatExceedTheRemainingBytes) {
  std::string bytes = EncodeFrame({1, ConfigurationUpdate()});
  bytes.replace(bytes.size() - 4, 4, "\xff\xff\xff\x7f");
  EXPECT_EQ(CheckFrameInput(bytes), FrameVerdict::kRefused);
  EXPECT_THROW(FrameLength(std::string(16, '\xff')), Error);
  EXPECT_EQ(FrameLength("abc"), std::nullopt);
}

TEST(Frame, RefusesToEncodeMoreThanTheLimit) {
  SubmitJob submit;
  submit.spec.payload = std::string(kMaxFrameBytes, 'x');
  try {
    EncodeFrame({1, submit});
    FAIL();
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kPayloadTooLarge);
  }
}

// Guards against crashes, undefined values and bytes that decode in two ways.
TEST(Frame, MutatedFramesAreRefusedOrEncodeToThemselves) {
  Mutator mutator(20250101, Corpus());
  int accepted = 0;
  for (int i = 0; i < 60000; ++i) {
    std::string bytes = mutator.Next();
    // Most inputs get the right length, so that the decoder reaches the body.
    if (bytes.size() >= 4 && mutator.Below(8) != 0) {
      for (std::size_t k = 0; k < 4; ++k) bytes[k] = static_cast<char>(bytes.size() >> (8 * k));
    }
    const FrameVerdict verdict = CheckFrameInput(bytes);
    ASSERT_NE(verdict, FrameVerdict::kFaulty) << "input " << i;
    accepted += verdict == FrameVerdict::kAccepted ? 1 : 0;
  }
  EXPECT_GT(accepted, 1000);
}

TEST(Frame, MutatedStoreValuesAreRefusedOrEncodeToThemselves) {
  JobSpec spec;
  spec.id = JobId("j1");
  spec.payload = "payload";
  Mutator mutator(7, {EncodeJobSpec(spec), EncodeJobSpec(JobSpec())});
  for (int i = 0; i < 20000; ++i) {
    ASSERT_NE(CheckJobSpecInput(mutator.Next()), FrameVerdict::kFaulty) << "input " << i;
  }
  JobResult result;
  result.answer = MakeAnswer({"a", "", "c"});
  EXPECT_EQ(DecodeJobResult(EncodeJobResult(result)).answer.outputs, result.answer.outputs);
}

}  // namespace
}  // namespace basilspring
