"""Fault: a control process that is killed while it first starts leaves a system that serves nothing for good."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
from small_site import *

ATTEMPTS = 20


def starts_storing(machine, process):
    """Waits until the process has written to its empty data folder; returns the names there."""
    while process.poll() is None:
        names = os.listdir(machine.data)
        if any(name.startswith('snapshot-') for name in names):
            return names
    return []


def killed_start(record):
    """Starts the machines of a new site; the first control process is killed once it has written its first file."""
    for attempt in range(ATTEMPTS):
        site = Site(record)
        first = site.cores[0]
        os.makedirs(first.data)
        process = first.start('controller', True)
        starts_storing(first, process)
        process.kill()
        process.wait()
        names = sorted(os.listdir(first.data))
        if not any(name.startswith('log-') and name.endswith('.bin') for name in names):
            record.line(f'attempt {attempt + 1}: {first.name} was killed at its first start; its folder holds {names}')
            return site
        record.line(f'attempt {attempt + 1}: the kill came after the first start had been stored')
        site.stop()
    return None


async def main(record, trouble):
    site = killed_start(record) if trouble else Site(record)
    if site is None:
        return 2
    try:
        begun = time.monotonic()
        for machine in site.machines:
            for role in machine.roles():
                if machine.running.get(role) is None:
                    machine.start(role, True)
        if trouble:
            await asyncio.sleep(0.5)
            record.line('the killed process is restarted, with the same settings')
            site.cores[0].start('controller', True)
        await start_workers(site, record)
        acknowledged = await put_configuration(site, configuration(1), 20)
        await asyncio.sleep(max(0.0, 10 - (time.monotonic() - begun)))  # clients come 10 s after the machines
        served = 0
        for number in range(60):
            answer = await request(site.machines[number % 3], '/lohu930/2f', number)
            served += answer is not None and answer[0] == 200
            record.line(f'request {number:016x}: {answer and answer[0]}')
            await asyncio.sleep(0.25)
        record.line(f'the first configuration was acknowledged after {acknowledged} s; {served} of 60 requests were served, '
                    f'up to {time.monotonic() - begun:.0f} s after the start')
        return 1 if served == 0 and acknowledged is None else 0
    finally:
        site.stop()

run_case(main)
