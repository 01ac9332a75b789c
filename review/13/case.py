"""A task that failed once avoids the only worker that has room for it."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-3"))
from lab3 import Lab, main  # noqa: E402

FINISH_S = 14  # finish_s of the site.
LASTING = "00000000000000aa"
JOB = "00000000000000bb"


def play(case, trouble):
    lab = Lab(case)
    lab.config(1, ["key-1"])
    entries = [lab.entry(1), lab.entry(2)]
    agents = [lab.agent(n, kind="ab"[n % 2], rack="r1-%d" % ((n + 1) // 2))
              for n in range(1, 7)]
    workers = [a["worker"] for a in agents]
    kind_b = [w for w in workers if w.kind == "b"]
    try:
        if not lab.wait_ready(entries):
            return None
        time.sleep(2)
        # Fills two of the three workers of kind b, a sixth of the GPUs each.
        if not lab.submit(entries, "/queue2/" + LASTING, {
                "spec": "lasts", "steps": [{
                    "count": 2, "cpu": 2000, "memMb": 1024, "gpu": 8,
                    "estMs": 1000, "longRunning": True, "requires": "b"}]}):
            return None
        until = time.monotonic() + 10
        while sum(len(w.runs) for w in kind_b) < 2:
            if time.monotonic() > until:
                return None
            time.sleep(0.1)
        time.sleep(2)
        if not lab.submit(entries, "/queue1/" + JOB, {
                "spec": "ms=8000", "steps": [{
                    "count": 1, "cpu": 2000, "memMb": 1024, "gpu": 1,
                    "estMs": 8000, "requires": "b"}]}):
            return None
        task = JOB + ".0.0.0"
        until = time.monotonic() + 10
        while not any(task in w.runs for w in kind_b):
            if time.monotonic() > until:
                return None
            time.sleep(0.1)
        time.sleep(1)
        if trouble:
            worker = next(w for w in kind_b if task in w.runs)
            lab.note("the task fails by its own fault, once; it may fail "
                     "three times")
            worker.fail(task)
        traffic_end = time.monotonic()
        state, idle_since, longest = None, None, 0.0
        while time.monotonic() < traffic_end + 45:
            time.sleep(1)
            s, b = lab.client(entries[0], "GET", "/queue1/" + JOB)
            state = b.get("state") if s == 200 else s
            if state == "done":
                break
            now = time.monotonic()
            if now < traffic_end + FINISH_S or any(task in w.runs for w in kind_b):
                idle_since = None
                continue
            idle_since = now if idle_since is None else idle_since
            longest = max(longest, now - idle_since)
        waited = time.monotonic() - traffic_end
        for w in workers:
            lab.note("%s kind %s: runs %s" % (w.id, w.kind,
                                              " ".join(sorted(w.runs)) or "nothing"))
        runs = [s for s in lab.starts if s[2] == task]
        alive = all(p.poll() is None for p in lab.processes.values())
        lab.note("result: state %s %.1f s after the end of the traffic, runs "
                 "of the task: %d; nothing of it ran for %.1f s from finish_s "
                 "after the end of the traffic; all processes run: %s"
                 % (state, waited, len(runs), longest, alive))
        # LOST: finish_s after the end of the traffic, for 3 s, the job has
        # nothing running while there is capacity for it twice over and under
        # half of the service's capacity is in use.
        return longest < 3
    finally:
        lab.end()


main(play)
