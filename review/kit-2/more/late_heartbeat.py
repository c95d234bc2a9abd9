"""DRAIN: a heartbeat that is seven seconds late registers a worker again that has left."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
from small_site import *

LATE_S = float(os.environ.get('LATE_S', '7'))
SERVES_S = 20  # how long the worker serves after its DELETE was acknowledged


async def main(record, trouble):
    site = Site(record)
    try:
        site.start()
        await start_workers(site, record)
        if await put_configuration(site, configuration(1), 15) is None:
            return 2
        if not all([await until(lambda: is_ready(machine), 15) for machine in site.machines]):
            return 2
        await asyncio.sleep(BOUNDS['contact_ms'] / 1000)
        leaving = Worker(site, record, 7)
        leaving.server = await asyncio.start_server(leaving.serve, leaving.ip, 0)
        leaving.address = f'{leaving.ip}:{leaving.server.sockets[0].getsockname()[1]}'
        record.line(f'worker {leaving.name} starts and sends its first heartbeat')

        async def heartbeat():
            if trouble:
                await asyncio.sleep(LATE_S)
            answer = await leaving.announce()
            record.line(f'the heartbeat of {leaving.name} arrives: {answer and answer[0]}')
        beat = asyncio.create_task(heartbeat())
        await asyncio.sleep(0.5)
        answer = await control_call(site.control_nodes(), 'DELETE', f'/api/instances/{leaving.name}')
        acknowledged = time.monotonic()
        record.line(f'worker {leaving.name} sends DELETE: {answer and answer[0]}')
        if answer is None or answer[0] != 200:
            return 2
        late = number = 0
        seen = 0
        while time.monotonic() - acknowledged < SERVES_S:
            number += 1
            sent = time.monotonic()
            await request(site.machines[number % 3], '/lohu930/2f', number)
            if len(leaving.ran) > seen:
                seen = len(leaving.ran)
                late += sent - acknowledged > BOUNDS['drain_ms'] / 1000
            await asyncio.sleep(0.05)
        await beat
        record.line(f'{late} of {number} requests reach {leaving.name} later than drain_ms after the acknowledgement')
        return 1 if late else 0
    finally:
        site.stop()

run_case(main)
