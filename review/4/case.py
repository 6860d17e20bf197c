"""A control host freezes, and carries out an order of the operator when it wakes up,
although the operator has long got an acknowledgement for it and for a later order."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tools"))

import fleet as deployment

ZONE = "regina"
# The site's largest dose of node_freeze on one core machine.
FREEZE_S = 4.0
WATCH_S = 12.0


async def case(fleet, has_trouble):
    start, end = f"/v1/Evacuations.Start/{ZONE}", f"/v1/Evacuations.End/{ZONE}"
    frozen, others = fleet.controls[2], [fleet.controls[1], fleet.controls[4]]
    replica = fleet.replica_of(ZONE)
    await fleet.begin_traffic()
    await asyncio.sleep(deployment.CONTACT_S)

    status, _ = await fleet.operator_call("POST", start, others)
    if status != 200:
        raise deployment.CannotRun("the first evacuation has no ack")
    await asyncio.sleep(deployment.EVACUATION_S)

    if has_trouble:
        frozen.signal(signal.SIGSTOP)
    frozen_at = fleet.now()
    await asyncio.sleep(0.2)
    # The end of the evacuation: no answer within a second, so the same call goes to
    # another host, which acknowledges it.
    status, _ = await fleet.operator_call("POST", end, [frozen, *others])
    if status != 200:
        raise deployment.CannotRun("the end of the evacuation has no ack")
    await asyncio.sleep(0.5)
    # The zone is to be emptied again.
    status, _ = await fleet.operator_call("POST", start, others)
    if status != 200:
        raise deployment.CannotRun("the second evacuation has no ack")
    acked_at = fleet.now()
    fleet.note(f"evacuation of {ZONE} acknowledged")

    await asyncio.sleep(max(0, frozen_at + FREEZE_S - fleet.now()))
    if has_trouble:
        frozen.signal(signal.SIGCONT)
    # All machines are in touch contactMs after the freeze; the bound counts from the ack
    # and may be stretched by outerMs.
    judged_from = max(
        acked_at + deployment.EVACUATION_S + deployment.OUTER_S,
        fleet.now() + deployment.CONTACT_S,
    )
    fleet.note(f"judged from {judged_from:.3f}")
    await asyncio.sleep(judged_from + WATCH_S - fleet.now())
    late = [run for run in replica.runs if run[0] > judged_from]
    served = sum(1 for other in fleet.replicas for run in other.runs if run[0] > judged_from)
    fleet.note(f"{len(late)} of {served} requests ran in the evacuated zone")
    if served == 0:
        raise deployment.CannotRun("no request is served")
    if late:
        return f"EVAC: {len(late)} requests ran in {ZONE}, {late[0][0] - acked_at:.1f} s and more after the ack"
    return None


deployment.run(HERE, case)
