"""A machine of the core is replaced as planned: the new one has run for seconds when the old
one is stopped. Right after that stop two other control hosts lose their disks, as many as may
at once, and the configuration is gone: the new host had not been made a voter."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tools"))

import fleet as deployment

DOWN_S = 3.0  # The site's dose of after_ack_wipe.
# Twice the time after which a new machine counts.
BOTH_S = 2 * deployment.CATCH_UP_S
# With TROUBLE=2 the disks are lost this long after the stop.
LATER_S = 8.0


async def case(fleet, has_trouble):
    old, others = fleet.controls[4], fleet.controls[1:3]
    new = deployment.Host(fleet, "control", 6, old.zone)
    fleet.hosts.append(new)
    await fleet.begin_traffic()
    await asyncio.sleep(2 * deployment.CONTACT_S)
    await new.start()
    fleet.controls.append(new)
    await asyncio.sleep(BOTH_S)
    await fleet.put_config()
    fleet.note(f"configuration {fleet.version} acknowledged")
    old.signal(signal.SIGTERM)
    await asyncio.wait_for(old.process.wait(), deployment.GRACE_S + 1)
    fleet.controls.remove(old)
    fleet.note(f"{old.name} ended with {old.process.returncode}, {new.name} takes its place")
    if os.environ.get("TROUBLE") == "2":
        await asyncio.sleep(LATER_S)
    if has_trouble:
        await asyncio.gather(*(host.lose_disk(DOWN_S) for host in others))
    await asyncio.sleep(deployment.RECOVERY_S)
    version = await fleet.read_config()
    fleet.note(f"read back: version {version}")
    if version is None:
        return f"CONFIG: version {fleet.version} was acknowledged and can't be read back"
    if version < fleet.version:
        return f"CONFIG: version {version} is read back, {fleet.version} was acknowledged"
    return None


deployment.run(HERE, case)
