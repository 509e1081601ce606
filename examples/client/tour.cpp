// The whole client in one program: submit a batch once, watch it, list, cancel, and act on errors.
// Settings come from HOIST_SERVERS and HOIST_KEY, or from hoist.json.
#include <cstdio>
#include <kestrelhoist/client.hpp>

using namespace kestrelhoist::client;

int main() {
  auto settings = loadSettings();
  if (!settings) return std::fprintf(stderr, "%s\n", settings.error().text().c_str()), 2;
  Client client(*settings);

  // The name of the batch makes it the same job, however often this program is started.
  Job job;
  job.tasks = 2;
  job.cpus = 0.1;
  job.ramGb = 0.1;
  job.spot = true;
  SubmitOptions once;
  once.idempotencyKey = "tour";
  auto submitted = client.submit(job, once);
  if (!submitted) {
    switch (submitted.error().kind) {
      case ErrorKind::throttled:       // come back after .comeBack
      case ErrorKind::outcomeUnknown:  // the same call settles it
      case ErrorKind::unavailable:
        return std::puts("later"), 75;
      default:
        return std::fprintf(stderr, "%s\n", submitted.error().text().c_str()), 1;
    }
  }
  std::printf("%s is %s\n", submitted->id.c_str(), wordOf(submitted->phase));

  // Another description under the same name is found out.
  job.tasks = 3;
  auto other = client.submit(job, once);
  std::printf("another: %s\n", other ? "accepted" : wordOf(other.error().kind));

  // A job that is not ours is answered like one that nobody submitted.
  auto unknown = client.get("j-1");
  std::printf("j-1: %s\n", unknown ? "known" : wordOf(unknown.error().kind));

  // Each change, the end once; empty when all of them have ended.
  WatchOptions these;
  these.ids = {submitted->id};
  auto watch = client.watch(these);
  auto cancelled = client.cancel(submitted->id);
  if (!cancelled) return std::fprintf(stderr, "%s\n", cancelled.error().text().c_str()), 1;
  while (true) {
    auto event = watch.next(std::chrono::seconds(60));
    if (!event) return std::fprintf(stderr, "%s\n", event.error().text().c_str()), 1;
    if (!*event) break;
    if ((*event)->job.hasEnded()) std::printf("ended: %s\n", wordOf((*event)->job.phase));
  }

  auto page = client.list();
  std::printf("%zu jobs in all\n", page ? page->jobs.size() : 0);
  return 0;
}
