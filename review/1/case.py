"""A control host loses its disk, comes back empty, and loses its disk once more while the
leader makes it a voter again. No voter can be replaced for the next minute. Much later two
other control hosts lose their disks, as many as may at once, and the configuration is gone."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tools"))

import fleet as deployment

DOWN_S = 3.0  # The site's dose of after_ack_wipe.
# Times from a start of the flaky machine's process until it loses power again. The leader
# looks for new voters every 300 ms, so not each of them falls into the change of voters.
UP_S = (0.4, 0.45, 0.5, 0.55)


async def case(fleet, has_trouble):
    flaky, others = fleet.controls[3], fleet.controls[1:3]
    await fleet.begin_traffic()
    await asyncio.sleep(2 * deployment.CONTACT_S)
    if has_trouble:
        await flaky.lose_disk(DOWN_S)
    for up_s in UP_S if has_trouble and os.environ.get("TROUBLE") != "2" else ():
        await asyncio.sleep(up_s)
        await flaky.lose_disk(DOWN_S)
    # The machine counts as lost until catchUpS after it is back.
    await asyncio.sleep(deployment.CATCH_UP_S + deployment.CONTACT_S)
    await fleet.put_config()
    fleet.note(f"configuration {fleet.version} acknowledged")
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
