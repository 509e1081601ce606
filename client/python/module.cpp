// The native module of the Python package, which wraps the C++ client. Each error kind becomes an
// exception class. Blocking calls release Python's global interpreter lock.
#include <pybind11/chrono.h>
#include <pybind11/functional.h>
#include <pybind11/pybind11.h>
#include <pybind11/stl.h>

#include "kestrelhoist/client.hpp"

namespace py = pybind11;
using namespace kestrelhoist::client;

namespace {

// Returns the exception class of each error kind. The initialization of the module fills the map.
std::map<ErrorKind, py::object>& exceptionClasses() {
  static auto* all = new std::map<ErrorKind, py::object>();
  return *all;
}

[[noreturn]] void raise(const Error& e) {
  py::object type = exceptionClasses().at(e.kind);
  py::object error = type(e.text());
  error.attr("kind") = wordOf(e.kind);
  error.attr("tried") = e.tried;
  error.attr("where") = e.where;
  error.attr("tries") = e.tries;
  error.attr("status") = e.status;
  error.attr("come_back_s") = static_cast<double>(e.comeBack.count()) / 1000.0;
  error.attr("why") = e.why;
  error.attr("request_id") = e.requestId;
  error.attr("job_id") = e.jobId;
  PyErr_SetObject(type.ptr(), error.ptr());
  throw py::error_already_set();
}

template <class T>
T valueOf(Result<T> r) {
  if (!r) raise(r.error());
  return std::move(*r);
}

template <class F>
auto withoutGil(F&& f) {
  py::gil_scoped_release others;
  return f();
}

std::chrono::milliseconds ms(double seconds) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

CallOptions callOptions(double timeoutS) {
  CallOptions o;
  o.deadline = ms(timeoutS);
  return o;
}

// A blocking call checks for Python signals, such as Ctrl-C, at this interval.
constexpr std::chrono::milliseconds kSignalCheckInterval{200};

// Iterates over the events of a watch. The iteration stops when all selected jobs have ended.
struct Events {
  Watch watch;
  JobEvent next() {
    while (true) {
      auto event = withoutGil([&] { return watch.next(kSignalCheckInterval); });
      if (event && !*event) throw py::stop_iteration();
      if (event) return **event;
      if (event.error().kind != ErrorKind::deadlinePassed) raise(event.error());
      if (PyErr_CheckSignals() != 0) throw py::error_already_set();
    }
  }
};

// The client object of Python. It stays open until close() or the end of its `with` block.
class PyClient {
 public:
  explicit PyClient(Settings s) : client_(std::make_unique<Client>(std::move(s))) {}
  Client& get() {
    if (!client_) throw py::value_error("the client is closed");
    return *client_;
  }
  void close() {
    auto going = std::move(client_);
    py::gil_scoped_release others;
    going.reset();
  }

 private:
  std::unique_ptr<Client> client_;
};

template <class E>
E wordOrThrow(std::optional<E> (*from)(const std::string&), const std::string& word) {
  auto e = from(word);
  if (!e) throw py::value_error("invalid value: " + word);
  return *e;
}

}  // namespace

PYBIND11_MODULE(_client, m) {
  m.doc() = "Submits, watches, cancels and queries jobs of the kestrelhoist service.";

  py::object base = py::reinterpret_steal<py::object>(PyErr_NewExceptionWithDoc(
      "kestrelhoist.Error",
      "A failed call. Attributes: kind, tried, where, tries, status, come_back_s, "
      "why, request_id, job_id.",
      PyExc_Exception, nullptr));
  m.attr("Error") = base;
  auto kind = [&](ErrorKind k, const char* name, const char* doc) {
    std::string full = std::string("kestrelhoist.") + name;
    py::object type = py::reinterpret_steal<py::object>(
        PyErr_NewExceptionWithDoc(full.c_str(), doc, base.ptr(), nullptr));
    m.attr(name) = type;
    exceptionClasses()[k] = type;
  };
  kind(ErrorKind::malformed, "Malformed", "The request is malformed. Do not repeat it.");
  kind(ErrorKind::neverRuns, "NeverRuns", "No machine type or team limit allows the job to run.");
  kind(ErrorKind::notPermitted, "NotPermitted",
       "The key is missing, invalid or lacks the necessary right.");
  kind(ErrorKind::unknown, "Unknown", "The member has no such job.");
  kind(ErrorKind::conflict, "Conflict",
       "The id belongs to a job with another description, or the cursor has expired.");
  kind(ErrorKind::throttled, "Throttled",
       "The client exceeds a rate limit. Retry after come_back_s seconds.");
  kind(ErrorKind::unavailable, "Unavailable",
       "No controller could process the request. The service changed nothing.");
  kind(ErrorKind::deadlinePassed, "DeadlinePassed", "The call timed out.");
  kind(ErrorKind::outcomeUnknown, "OutcomeUnknown",
       "The service may have made the change. Repeat the call with the same id to find out.");
  kind(ErrorKind::protocolViolated, "ProtocolViolated", "A response violates the protocol.");
  kind(ErrorKind::cancelled, "Cancelled", "The caller cancelled the call.");
  kind(ErrorKind::unusable, "Unusable", "The settings of the client are invalid.");

  py::class_<JobState>(m, "JobState", "The state of a job in the service's last response.")
      .def_readonly("id", &JobState::id)
      .def_property_readonly("phase", [](const JobState& s) { return wordOf(s.phase); })
      .def_readonly("tasks", &JobState::tasks)
      .def_readonly("done", &JobState::done)
      .def_readonly("running", &JobState::running)
      .def_readonly("job_class", &JobState::jobClass)
      .def_readonly("accepted_at_ms", &JobState::acceptedAtMs)
      .def_readonly("service_name", &JobState::serviceName)
      .def_readonly("digest", &JobState::digest)
      .def_property_readonly("ended", &JobState::hasEnded)
      .def("__eq__", [](const JobState& a, const JobState& b) { return a == b; })
      .def("__repr__", [](const JobState& s) {
        return "<JobState " + s.id + " " + wordOf(s.phase) + " " + std::to_string(s.done) + "/" +
               std::to_string(s.tasks) + ">";
      });
  py::class_<JobEvent>(m, "JobEvent", "A change of a job that a watch reports.")
      .def_readonly("job", &JobEvent::job)
      .def_readonly("cursor", &JobEvent::cursor);
  py::class_<JobPage>(m, "JobPage", "One page of a list of jobs.")
      .def_readonly("jobs", &JobPage::jobs)
      .def_readonly("cursor", &JobPage::cursor)
      .def_readonly("more", &JobPage::more);
  py::class_<Identity>(m, "Identity", "The owner and the rights of a key.")
      .def_readonly("key", &Identity::key)
      .def_readonly("team", &Identity::team)
      .def_readonly("member", &Identity::member)
      .def_readonly("rights", &Identity::rights);
  py::class_<Job>(m, "Job", "The description of a job. The amounts of resources are per task.")
      .def(py::init([](const std::string& jobClass, const std::string& team,
                       const std::string& shape, const std::string& priority, std::uint32_t tasks,
                       double cpus, double gpus, double ramGb, const std::string& image,
                       double imageGb, std::vector<std::string> types, const std::string& zone,
                       bool oneZone, bool spread, bool spot, double estimateS, double checkpointS,
                       double saveS, std::optional<double> deadlineS) {
             Job j;
             j.jobClass = jobClass;
             j.team = team;
             j.shape = wordOrThrow(shapeFrom, shape);
             j.priority = wordOrThrow(priorityFrom, priority);
             j.tasks = tasks;
             j.cpus = cpus;
             j.gpus = gpus;
             j.ramGb = ramGb;
             j.image = image;
             j.imageGb = imageGb;
             j.types = std::move(types);
             j.zone = zone;
             j.oneZone = oneZone;
             j.spread = spread;
             j.spot = spot;
             j.estimateS = estimateS;
             j.checkpointS = checkpointS;
             j.saveS = saveS;
             j.deadlineS = deadlineS;
             return j;
           }),
           py::kw_only(), py::arg("job_class") = "job", py::arg("team") = "",
           py::arg("shape") = "array", py::arg("priority") = "best_effort", py::arg("tasks") = 1,
           py::arg("cpus") = 1.0, py::arg("gpus") = 0.0, py::arg("ram_gb") = 1.0,
           py::arg("image") = "default", py::arg("image_gb") = 0.0,
           py::arg("types") = std::vector<std::string>{}, py::arg("zone") = "",
           py::arg("one_zone") = false, py::arg("spread") = false, py::arg("spot") = false,
           py::arg("estimate_s") = 0.0, py::arg("checkpoint_s") = 0.0, py::arg("save_s") = 0.0,
           py::arg("deadline_s") = py::none());

  py::class_<Events>(m, "Events", "An iterator over the events of a watch.")
      .def("__iter__", [](Events& e) -> Events& { return e; })
      .def("__next__", &Events::next);

  py::class_<PyClient>(m, "Client", "A client of the service. The end of a `with` block closes it.")
      .def(py::init([](std::vector<std::string> servers, const std::string& key,
                       const std::string& team, const std::string& authority,
                       const std::string& serverName, const std::string& config) {
             Settings s;
             if (servers.empty()) {
               s = valueOf(loadSettings(config));
             } else {
               s.servers = std::move(servers);
             }
             if (!key.empty()) s.key = key;
             if (!team.empty()) s.team = team;
             if (!authority.empty()) {
               s.tls = true;
               s.authority = authority;
             }
             if (!serverName.empty()) s.serverName = serverName;
             s.agent = "python";
             return std::make_unique<PyClient>(std::move(s));
           }),
           py::arg("servers") = std::vector<std::string>{}, py::kw_only(), py::arg("key") = "",
           py::arg("team") = "", py::arg("authority") = "", py::arg("server_name") = "",
           py::arg("config") = "")
      .def("__enter__", [](PyClient& c) -> PyClient& { return c; })
      .def("__exit__", [](PyClient& c, const py::args&) { c.close(); })
      .def("close", &PyClient::close, "Closes the client. Its open calls raise Cancelled.")
      .def(
          "submit",
          [](PyClient& c, const Job& job, const std::string& key, const std::string& id,
             double timeout) {
            SubmitOptions o{key, id, callOptions(timeout)};
            return valueOf(withoutGil([&] { return c.get().submit(job, o); }));
          },
          py::arg("job"), py::kw_only(), py::arg("idempotency_key") = "", py::arg("id") = "",
          py::arg("timeout") = 60.0,
          "Submits a job exactly once. The same idempotency key always refers to the same job.")
      .def(
          "get",
          [](PyClient& c, const std::string& id, double timeout) {
            return valueOf(withoutGil([&] { return c.get().get(id, callOptions(timeout)); }));
          },
          py::arg("id"), py::kw_only(), py::arg("timeout") = 60.0,
          "Returns the state of a job. Raises Unknown if the member has no such job.")
      .def(
          "cancel",
          [](PyClient& c, const std::string& id, double timeout) {
            return valueOf(withoutGil([&] { return c.get().cancel(id, callOptions(timeout)); }));
          },
          py::arg("id"), py::kw_only(), py::arg("timeout") = 60.0,
          "Cancels a job. Returns its state, which is done if the job completed first.")
      .def(
          "wait",
          [](PyClient& c, const std::string& id, double timeout) {
            Client& client = c.get();
            WatchOptions o;
            o.ids = {id};
            Events events{client.watch(o)};
            auto until = std::chrono::steady_clock::now() + ms(timeout);
            while (std::chrono::steady_clock::now() < until) {
              auto event = withoutGil([&] { return events.watch.next(kSignalCheckInterval); });
              if (event && *event && (*event)->job.hasEnded()) return (*event)->job;
              if (!event && event.error().kind != ErrorKind::deadlinePassed) raise(event.error());
              if (PyErr_CheckSignals() != 0) throw py::error_already_set();
            }
            Error late;
            late.kind = ErrorKind::deadlinePassed;
            late.tried = "wait for " + id;
            late.why = "it has not ended in the time given";
            raise(late);
          },
          py::arg("id"), py::kw_only(), py::arg("timeout") = 60.0,
          "Waits until a job has ended, also across restarts of controllers. Raises DeadlinePassed "
          "if the job does not end in time.")
      .def(
          "list",
          [](PyClient& c, const std::string& phase, const std::string& jobClass,
             const std::string& since, std::size_t limit, double timeout) {
            JobQuery q;
            if (!phase.empty()) q.phase = wordOrThrow(phaseFrom, phase);
            q.jobClass = jobClass;
            q.since = since;
            q.limit = limit;
            return valueOf(withoutGil([&] { return c.get().list(q, callOptions(timeout)); }));
          },
          py::kw_only(), py::arg("phase") = "", py::arg("job_class") = "", py::arg("since") = "",
          py::arg("limit") = 100, py::arg("timeout") = 60.0,
          "Returns one page of the member's jobs in the order of their last changes.")
      .def(
          "watch",
          [](PyClient& c, std::vector<std::string> ids, const std::string& since) {
            WatchOptions o;
            o.ids = std::move(ids);
            o.since = since;
            return std::make_unique<Events>(Events{c.get().watch(o)});
          },
          py::arg("ids") = std::vector<std::string>{}, py::kw_only(), py::arg("since") = "",
          py::keep_alive<0, 1>(),
          "Returns an iterator over the changes of the given jobs, which stops when they have "
          "ended. "
          "Without ids it never stops and covers all jobs of the member.")
      .def(
          "who_am_i",
          [](PyClient& c) { return valueOf(withoutGil([&] { return c.get().whoAmI(); })); },
          "Returns the owner and the rights of the client's key.")
      .def(
          "id_for",
          [](PyClient& c, const std::string& key) {
            return valueOf(withoutGil([&] { return c.get().idFor(key); }));
          },
          py::arg("idempotency_key"), "Returns the id of the job with this idempotency key.");
}
