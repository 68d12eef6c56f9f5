#include "tests/process/cell_harness.h"

#include <algorithm>

namespace basilspring::testing {

CellHarness::CellHarness() {
  core = std::make_unique<CellCore>(CellIdentity{CellId("dc/0"), RegionId("r"), DataCentreId("dc"),
                                                 Address{"127.0.0.1", 9}, Epoch(epoch_)},
                                    Timings(), now);
  Deliver(EntriesUpdated{{entry}});
  Deliver(RecordsListed{});
}

FakeAgent& CellHarness::AddWorker(const std::string& name, std::uint32_t accelerators) {
  auto agent = std::make_unique<FakeAgent>();
  agent->id = WorkerId(name);
  agent->address = {"127.0.0.1", static_cast<std::uint16_t>(100 + agents_.size())};
  agent->capacity = {Cores(64), Megabytes(65536), Accelerators(accelerators), Slots(8),
                     Connections(60)};
  return *(agents_[name] = std::move(agent));
}

void CellHarness::Run(std::int64_t milliseconds) {
  const TimePoint end = now + Duration(milliseconds);
  while (now < end) {
    now = now + Duration(50);
    if (now.milliseconds() % 2000 == 0) Heartbeats();
    Deliver(CellTick{});
  }
}

void CellHarness::Heartbeats() {
  for (auto& [name, agent] : agents_) {
    if (agent->silent) continue;
    SendUnsent(*agent);
    Heartbeat heartbeat{agent->id, RackId("rack"), agent->address, agent->epoch, ++agent->sequence};
    heartbeat.tasks = static_cast<std::uint32_t>(agent->tasks.size());
    heartbeat.accepting = true;
    FromAgent(*agent, heartbeat);
  }
}

void CellHarness::Deliver(CellEvent event) {
  events_.push_back(std::move(event));
  if (delivering_) return;
  delivering_ = true;
  while (!events_.empty()) {
    const CellEvent next = std::move(events_.front());
    events_.pop_front();
    CellOutput output;
    core->Handle(now, next, output);
    ApplyOutput(std::move(output));
  }
  delivering_ = false;
}

void CellHarness::ApplyOutput(CellOutput output) {
  superseded = superseded || output.superseded;
  for (CellLogLine& line : output.log) log.push_back(std::move(line));
  for (const CellSend& send : output.messages) {
    sent.push_back(send);
    if (const auto* const request = std::get_if<PermitRequest>(&send.message)) {
      if (!give_permits) continue;
      Permit permit{request->data_centre, request->request};
      permit.out_of_service = data_centre_out;
      permit.remaining = data_centre_out ? Duration(0) : permit_remaining;
      FromEntry(permit);
    }
    for (auto& [name, agent] : agents_) {
      if (agent->address == send.to && !agent->silent) ToAgent(*agent, send.message);
    }
  }
  for (const StoreOperation& operation : output.operations) {
    if (hold_store_operations) {
      held_operations.push_back(operation);
    } else {
      OnOperation(operation);
    }
  }
}

void CellHarness::ToAgent(FakeAgent& agent, const Message& message) {
  if (const auto* const hello = std::get_if<SchedulerHello>(&message)) {
    if (hello->epoch < agent.epoch) return;
    agent.epoch = hello->epoch;
    AgentReport report{
        agent.id, RackId("rack"), CellId("dc/0"), agent.epoch, agent.address, agent.capacity, true};
    for (const auto& [key, task] : agent.tasks) report.tasks.push_back(task);
    FromAgent(agent, report);
  } else if (const auto* const prepare = std::get_if<Prepare>(&message)) {
    if (prepare->epoch == agent.epoch && !agent.ignore_prepare) OnPrepare(agent, *prepare);
  } else if (const auto* const start = std::get_if<Start>(&message)) {
    if (start->epoch == agent.epoch && !agent.ignore_start) OnStart(agent, *start);
  } else if (const auto* const stop = std::get_if<StopTask>(&message)) {
    if (stop->epoch == agent.epoch) OnStop(agent, *stop);
  } else if (const auto* const ack = std::get_if<TaskDoneAck>(&message)) {
    agent.tasks.erase({ack->attempt, ack->rank});
  }
}

void CellHarness::OnPrepare(FakeAgent& agent, const Prepare& prepare) {
  Prepared prepared{prepare.attempt, prepare.rank, ErrorKind::kNone, now + Duration(500)};
  if (agent.refuse_prepare) {
    prepared.error = ErrorKind::kResourcesTaken;
  } else {
    TaskReport task;
    task.attempt = prepare.attempt;
    task.job = prepare.job;
    task.rank = prepare.rank;
    task.tasks = prepare.tasks;
    task.workspace = prepare.workspace;
    task.job_class = prepare.job_class;
    task.shape = prepare.shape;
    task.accelerators = prepare.accelerators;
    task.borrowed = prepare.borrowed;
    task.idempotent = prepare.idempotent;
    agent.tasks[{prepare.attempt, prepare.rank}] = task;
  }
  FromAgent(agent, prepared);
}

void CellHarness::OnStart(FakeAgent& agent, const Start& start) {
  const auto task = agent.tasks.find({start.attempt, start.rank});
  if (task == agent.tasks.end()) return;
  if (agent.start_error != ErrorKind::kNone) {
    TaskDone done{start.attempt, task->second.job, start.rank, agent.start_error,
                  agent.error_after_start};
    task->second.state = TaskState::kFinished;
    task->second.error = agent.start_error;
    FromAgent(agent, done);
    return;
  }
  task->second.state = TaskState::kRunning;
  started[task->second.job].insert(start.attempt);
  FromAgent(agent, TaskStarted{start.attempt, start.rank});
}

void CellHarness::OnStop(FakeAgent& agent, const StopTask& stop) {
  TaskStopped stopped{stop.attempt, JobId(), stop.rank};
  const auto task = agent.tasks.find({stop.attempt, stop.rank});
  if (task != agent.tasks.end()) {
    if (task->second.state == TaskState::kFinished) return;
    stopped.job = task->second.job;
    stopped.started = task->second.state == TaskState::kRunning;
    agent.tasks.erase(task);
  }
  FromAgent(agent, stopped);
}

StoreOutcome CellHarness::Claim(const ClaimRequest& claim) {
  std::string& record = requests[claim.job];
  const std::string mine = "claimed " + claim.attempt.value();
  if (record != "open" && record != mine) return StoreOutcome::kRefused;
  record = mine;
  return lose_claim_reply ? StoreOutcome::kUnknown : StoreOutcome::kDone;
}

void CellHarness::OnOperation(const StoreOperation& operation) {
  const StoreOutcome failed = store_down ? StoreOutcome::kUnavailable : StoreOutcome::kDone;
  if (const auto* const claim = std::get_if<ClaimRequest>(&operation)) {
    const StoreOutcome outcome = store_down ? failed : Claim(*claim);
    Deliver(ClaimReply{claim->job, claim->attempt, outcome, requests[claim->job] == "fenced"});
  } else if (const auto* const fence = std::get_if<FenceRequest>(&operation)) {
    std::string& record = requests[fence->job];
    StoreOutcome outcome = failed;
    if (!store_down && record.starts_with("claimed")) outcome = StoreOutcome::kRefused;
    if (outcome == StoreOutcome::kDone) record = "fenced";
    Deliver(FenceReply{fence->job, outcome});
  } else if (const auto* const write = std::get_if<ResultWrite>(&operation)) {
    ResultReply reply{write->job, failed, std::nullopt};
    if (!store_down) {
      const auto [stored, added] = answers.emplace(write->job, write->result);
      if (!added) reply = {write->job, StoreOutcome::kRefused, stored->second};
      records.erase(write->job);
    }
    Deliver(reply);
  } else if (std::holds_alternative<ListRecords>(operation)) {
    RecordsListed listed;
    for (const auto& [id, spec] : records) listed.jobs.push_back(spec);
    Deliver(listed);
  }
}

JobSpec CellHarness::Submit(const std::string& id, std::uint32_t tasks, std::uint32_t accelerators,
                            bool idempotent, JobClass job_class) {
  GangShape shape;
  shape.tasks = tasks;
  shape.accelerators = Accelerators(accelerators);
  shape.adjacent = true;
  const JobSpec spec = JobSpecBuilder()
                           .Id(JobId(id))
                           .Workspace(WorkspaceId("w"))
                           .Key(RequestKey(id))
                           .Class(job_class)
                           .Shape(shape)
                           .Idempotent(idempotent)
                           .Payload("payload of " + id)
                           .Build();
  if (spec.durable && !answers.contains(spec.id)) records[spec.id] = spec;
  if (!idempotent) requests.emplace(spec.id, "open");
  FromEntry(SubmitJob{spec});
  return spec;
}

void CellHarness::Configure(std::uint64_t revision, std::vector<ConfigNode> nodes) {
  FromEntry(ConfigurationUpdate{ConfigRevision(revision), std::move(nodes)});
}

void CellHarness::FinishTasks(const std::string& job) {
  for (auto& [name, agent] : agents_) {
    const auto tasks = agent->tasks;
    for (const auto& [key, task] : tasks) {
      if (task.job.value() != job || task.state != TaskState::kRunning) continue;
      TaskReport& own = agent->tasks.at(key);
      own.state = TaskState::kFinished;
      own.output = fmt::format("{}/{}", job, task.rank);
      agent->unsent.push_back(
          {task.attempt, task.job, task.rank, ErrorKind::kNone, true, own.output});
    }
    SendUnsent(*agent);
  }
}

void CellHarness::SendUnsent(FakeAgent& agent) {
  if (agent.silent) return;
  for (const TaskDone& done : std::exchange(agent.unsent, {})) FromAgent(agent, done);
}

void CellHarness::ReplaceScheduler(bool run_rebuild) {
  const Epoch last(epoch_);
  epoch_ += 10;
  events_.clear();
  held_operations.clear();
  core = std::make_unique<CellCore>(CellIdentity{CellId("dc/0"), RegionId("r"), DataCentreId("dc"),
                                                 Address{"127.0.0.1", 9}, Epoch(epoch_), last},
                                    Timings(), now);
  Deliver(EntriesUpdated{{entry}});
  RecordsListed listed;
  for (const auto& [id, spec] : records) listed.jobs.push_back(spec);
  Deliver(listed);
  Heartbeats();
  if (run_rebuild) Run(1100);
}

const JobResult* CellHarness::Result(const std::string& job) const {
  for (auto send = sent.rbegin(); send != sent.rend(); ++send) {
    const auto* const finished = std::get_if<JobFinished>(&send->message);
    if (finished != nullptr && finished->job.value() == job) return &finished->result;
  }
  return nullptr;
}

ErrorKind CellHarness::Outcome(const std::string& job) const {
  const JobResult* const result = Result(job);
  // kCount stands for "no result yet".
  return result == nullptr ? ErrorKind::kCount : result->error;
}

std::size_t CellHarness::Running(const std::string& job) const {
  std::size_t running = 0;
  for (const auto& [name, agent] : agents_) {
    for (const auto& [key, task] : agent->tasks) {
      running += task.job.value() == job && task.state == TaskState::kRunning ? 1 : 0;
    }
  }
  return running;
}

std::size_t CellHarness::PreparedTasks() const {
  std::size_t reserved = 0;
  for (const auto& [name, agent] : agents_) {
    for (const auto& [key, task] : agent->tasks) {
      reserved += task.state == TaskState::kPrepared ? 1 : 0;
    }
  }
  return reserved;
}

}  // namespace basilspring::testing
