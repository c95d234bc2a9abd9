"""RECOVER: all processes start again with seeds that serve the control plane and have no disk."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'kit-2'))
from small_site import *

MACHINES_PER_ZONE = 17  # the deploy file's share of 0.06 puts two controllers into such a zone; the first machine has a disk


async def served_share(site, record, seconds, first):
    """Sends 8 requests a second to machines in rotation, or to any if none is; returns the share that is served."""
    sent = served = 0
    for _ in range(seconds * 2):
        ready = [m for m, r in zip(site.machines, await asyncio.gather(*map(is_ready, site.machines))) if r]
        chosen = [random.choice(ready or site.machines) for _ in range(4)]
        answers = await asyncio.gather(*(request(m, '/lohu930/x', first + sent + i) for i, m in enumerate(chosen)))
        for i, (machine, answer) in enumerate(zip(chosen, answers)):
            record.line(f'request {first + sent + i:016x} at {machine.name}: {answer and answer[0]}')
        sent, served = sent + 4, served + sum(a is not None and a[0] == 200 for a in answers)
        record.line(f'{len(ready)} of {len(site.machines)} machines ready, {served} of {sent} requests served')
        await asyncio.sleep(0.5)
    return served / sent


async def main(record, trouble):
    site = Site(record, MACHINES_PER_ZONE)
    try:
        site.start()
        await start_workers(site, record)
        if await put_configuration(site, configuration(1), 15) is None:
            return 2
        if not await until(lambda: is_ready(site.machines[-1]), 15):
            return 2
        await asyncio.sleep(3)
        before = await served_share(site, record, 4, 0)
        if trouble:
            others = [machine for machine in site.controls if not machine.has_disk]
            record.line(f'the settings name other seeds: {", ".join(m.name for m in others)}')
            site.exchange_seeds(others)
        await asyncio.sleep(6)  # longer than seed_lag_s and contact_ms
        record.line('all processes are killed')
        site.kill_all()
        await asyncio.sleep(0.5)
        site.start(bootstrap=False)
        record.line('all processes are back')
        await asyncio.sleep(BOUNDS['recovery_s'])
        after = await served_share(site, record, 8, 1000)
        record.line(f'served: {before:.2f} before, {after:.2f} from recovery_s after the machines are back')
        if before < 0.25:
            return 2
        return 1 if after < 0.25 else 0
    finally:
        site.stop()

run_case(main)
