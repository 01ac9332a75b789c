"""A new leader's claim is stored, the answer to it is lost, and the leader
learns of it from another entry first."""

import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
import lab as review  # noqa: E402

AGENTS = 6
JOBS = 30
AWAY_AT = 14.0
AWAY_S = 4.5         # The leader and the third entry are turned away so long.
CLAIMANT_AWAY_S = 3.0  # The entry that claims is turned away for this long.
OTHER_AFTER_S = 0.15   # By then the third entry has read the new record.
ASK_AT = 50.0        # All disruptions have ended 25 s before or more.
FINISH_S = review.BOUNDS["finish_s"]


async def submit_jobs(lab):
    for n in range(JOBS):
        job = "%016x" % (0xa0 + n)
        spec = json.dumps({"ms": 1500 if n % 3 else 12000})
        asyncio.ensure_future(lab.submit(job, {
            "spec": spec, "steps": [{"count": 2, "cpu": 1000, "memMb": 64,
                                     "gpu": 1, "estMs": 2000}]}))
        await asyncio.sleep(0.33)


async def disturb(lab):
    """The store turns the three entries away for some seconds: 3 of 9
    machines. The first is the leader, which then asks the others to take over.
    The second is the one that claims leadership: its claim is carried out, and
    gets no answer. The third is turned away just after it has read the new
    record."""
    await asyncio.sleep(max(0, AWAY_AT - lab.now()))
    led = lab.leader()
    others = [e.name for e in lab.entries if e.name != led]
    loop = asyncio.get_running_loop()

    def turn_away(name, how, for_s):
        lab.record("the store turns %s away (%s)" % (name, how))
        lab.store.away[name] = how
        loop.call_later(for_s, serve_again, name)

    def serve_again(name):
        lab.record("the store serves %s again" % name)
        lab.store.away.pop(name, None)

    def on_append(machine, topic, records):
        if topic != "keyed.leaders" or machine not in others:
            return None
        lab.store.on_append = None
        other = next(n for n in others if n != machine)
        lab.record("the store carries out the claim of %s" % machine)
        turn_away(machine, "silent", CLAIMANT_AWAY_S)
        loop.call_later(OTHER_AFTER_S, turn_away, other, "busy", AWAY_S)
        return "lose"

    lab.store.on_append = on_append
    turn_away(led, "busy", AWAY_S)


async def show_cause(lab):
    """For the record only: kills the process that counts as the leader, and
    asks again."""
    led = lab.leader()
    lab.record("for the record: SIGKILL of %s, then the jobs are asked for "
               "again" % led)
    lab.entry(led).signal(signal.SIGKILL)
    await asyncio.sleep(8)
    jobs = list(lab.accepted)
    found = await asyncio.gather(*(lab.state(j) for j in jobs))
    lab.record("8 s later %d of %d jobs have a state"
               % (sum(1 for s in found if s), len(jobs)))


async def case(lab):
    for n in range(3):
        await lab.add_entry("front-%d" % n, "zone-%d" % n)
    for n in range(AGENTS):
        await lab.add_agent("side-%d" % n, "zone-%d" % (n % 3), "r%d" % (n % 3))
    lab.configure()
    lab.start()
    await asyncio.sleep(5)
    if not lab.all_started():
        return None
    if review.TROUBLE:
        lab.tasks.append(asyncio.ensure_future(disturb(lab)))
    await submit_jobs(lab)
    await asyncio.sleep(max(0, ASK_AT - lab.now()))
    lab.record("%d jobs were accepted, %d refused; leader record: %s"
               % (len(lab.accepted), len(lab.refused), lab.leader()))
    if len(lab.accepted) < 5:
        return None
    # LOST: finish_s after the end of the traffic jobs are asked for. Each is
    # asked for again until an answer comes, for finish_s more.
    states = {}
    until = lab.now() + FINISH_S
    while lab.now() < until and len(states) < len(lab.accepted):
        missing = [j for j in lab.accepted if j not in states]
        found = await asyncio.gather(*(lab.state(j) for j in missing))
        states.update({j: s for j, s in zip(missing, found) if s})
        await asyncio.sleep(0.5)
    for job in lab.accepted:
        lab.record("state of %s: %s" % (job, states.get(job, "no answer")))
    held = all(states.get(j) == "done" for j in lab.accepted)
    if not held:
        await show_cause(lab)
    for e in lab.entries:
        for line in e.log().splitlines():
            if any(w in line for w in ("event=leader", "event=claim",
                                       "event=takeover", "event=store")):
                lab.record("log: " + line[:200])
    return held


if __name__ == "__main__":
    sys.exit(review.main(case, HERE))
