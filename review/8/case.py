"""A start order that a worker did not answer is repeated by the agent long after
the worker has said that it is leaving."""

import asyncio
import json
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
import lab as review  # noqa: E402

AGENTS = 11
DISTURB_AT = 9.0
UNANSWERED_S = 2.9   # The starts of one task get no answer for this long,
LATE_S = 6.0         # and are carried out so much later.
ORDERS_S = 5.5       # Time over which the share of such orders is counted.
KILL_AFTER_S = 0.5   # After the agent's acknowledgement.
RESTART_AFTER_S = 3.5
LEAVE_AFTER_S = 5.0  # After the acknowledgement: drainMs and a little longer.
END_AT = 30.0


async def submit_jobs(lab):
    n = 0
    while lab.now() < 20:
        asyncio.ensure_future(lab.submit("%016x" % (0xa0 + n), {
            "spec": json.dumps({"ms": 600}),
            "steps": [{"count": 10, "cpu": 15000, "memMb": 64, "gpu": 1,
                       "estMs": 600}]}))
        n += 1
        await asyncio.sleep(0.4)


def drain_first_started(lab):
    """The first worker that gets a start order from now on drains, and leaves
    the starts of that task unanswered for some seconds."""
    chosen = []

    def on_start(worker, order):
        if chosen:
            return
        task = order["task"]
        chosen.append(worker)
        lab.record("worker %s gets %s and leaves its starts unanswered for "
                   "%.1f s; it drains" % (worker.name, task, UNANSWERED_S))
        worker.late_s[task] = LATE_S
        loop = asyncio.get_running_loop()
        loop.call_later(UNANSWERED_S, answer_again, worker)
        worker.state = "draining"
        asyncio.ensure_future(worker.heartbeat())
        before = sum(w.orders for w in lab.workers)
        loop.call_later(ORDERS_S, count, before)

    def answer_again(worker):
        lab.record("worker %s answers again" % worker.name)
        worker.late_s.clear()

    def count(before):
        lab.record("all workers got %d orders in %.1f s"
                   % (sum(w.orders for w in lab.workers) - before, ORDERS_S))

    for w in lab.workers:
        w.on_start = on_start
    return chosen


async def drain_calmly(lab):
    """The same without a disruption: a worker drains, and answers."""
    worker = random.choice(lab.workers)
    worker.state = "draining"
    await worker.heartbeat()
    return worker


async def disturb(lab):
    chosen = drain_first_started(lab)
    while not chosen or chosen[0].drain_acked is None:
        await asyncio.sleep(0.01)
    await asyncio.sleep(KILL_AFTER_S)
    led = lab.leader()
    lab.record("node_kill of the leader %s" % led)
    lab.entry(led).signal(signal.SIGKILL)

    async def restart():
        await asyncio.sleep(RESTART_AFTER_S)
        lab.record("%s starts again" % led)
        lab.entry(led).start()
    asyncio.ensure_future(restart())
    return chosen[0]


async def case(lab):
    for n in range(3):
        await lab.add_entry("front-%d" % n, "zone-%d" % n)
    for n in range(AGENTS):
        await lab.add_agent("side-%d" % n, "zone-%d" % (n % 3), "r%d" % (n // 3))
    lab.configure()
    lab.start()
    await asyncio.sleep(5)
    if not lab.all_started():
        return None
    asyncio.ensure_future(submit_jobs(lab))
    await asyncio.sleep(max(0, DISTURB_AT - lab.now()))
    worker = await (disturb(lab) if review.TROUBLE else drain_calmly(lab))
    late = []
    start = worker.start

    def watch(body):
        known = body["task"] in worker.runs
        answer = start(body)
        after = 1000 * (time.monotonic() - worker.drain_acked)
        if body["task"] in worker.runs and not known \
                and after > review.BOUNDS["drainMs"]:
            lab.record("DRAIN: %s starts on %s %d ms after the agent "
                       "acknowledged that it is draining"
                       % (body["task"], worker.name, after))
            late.append(body["task"])
        return answer
    worker.start = watch
    left = worker.drain_acked + LEAVE_AFTER_S - time.monotonic()
    await asyncio.sleep(max(0, left))
    await worker.leave()
    await asyncio.sleep(max(0, END_AT - lab.now()))
    lab.record("%d jobs were accepted, %d refused"
               % (len(lab.accepted), len(lab.refused)))
    if len(lab.accepted) < 5:
        return None
    return not late


if __name__ == "__main__":
    sys.exit(review.main(case, HERE))
