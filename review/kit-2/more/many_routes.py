"""Acks: a configuration that has grown by many routes is never acknowledged."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
from small_site import *

STEP = 350  # the dose of big_config in elvan-bidrag.toml
STEPS = 6


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
        broken = False
        for step in range(1, STEPS + 1):
            document = configuration(1 + step, STEP * step if trouble else 0)
            if not trouble:
                document['routes'][0]['timeout_ms'] += step
            routes = len(document['routes'])
            bound = BOUNDS['ack_ms'] / 1000 + 0.003 * routes
            record.line(f'configuration {document["version"]} holds {routes} routes in {len(json.dumps(document, separators=(",", ":")))} bytes; bound {bound:.1f} s')
            took = await put_configuration(site, document, 2 * bound)
            record.line(f'acknowledged after {took} s')
            broken |= took is None or took > bound
            await asyncio.sleep(1)
        return 1 if broken else 0
    finally:
        site.stop()

run_case(main)
