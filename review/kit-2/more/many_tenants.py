"""CONFIG: an acknowledged configuration with many tenants is never in force."""
import os, string, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
from small_site import *

TENANTS = 5000
USUAL_TENANTS = 850  # what the users expect in two years


def with_tenants(version, count):
    draw = random.Random(7)
    key = lambda: ''.join(draw.choices(string.ascii_lowercase + string.digits, k=20))
    document = configuration(version)
    document['tenants'] += [{'name': f'tena{number:04d}', 'api_keys': [key()], 'priority': 1} for number in range(count)]
    return document


async def main(record, trouble):
    site = Site(record)
    try:
        site.start()
        workers = await start_workers(site, record)
        if await put_configuration(site, configuration(1), 15) is None:
            return 2
        if not all([await until(lambda: is_ready(machine), 15) for machine in site.machines]):
            return 2
        await asyncio.sleep(BOUNDS['contact_ms'] / 1000)  # all machines are in touch now
        document = with_tenants(2, TENANTS if trouble else USUAL_TENANTS)
        size = len(json.dumps(document, separators=(',', ':')))
        record.line(f'configuration 2 holds {len(document["tenants"])} tenants in {size} bytes')
        if await put_configuration(site, document, 5) is None:
            return 0  # refused, so it need not be in force
        await asyncio.sleep(BOUNDS['config_apply_ms'] / 1000)
        refused = served = 0
        for number in range(40):
            key, machine = document['tenants'][-1 - number]['api_keys'][0], site.machines[number % 3]
            headers = (('Host', 'ficu95.example'), ('Attempt-Id', f'{number:016x}'), ('Deadline-Ms', '2500'), ('Authorization', f'Bearer {key}'))
            answer = await call(f'{machine.ip}:{site.ports[0]}', 'GET', '/lohu930/2f', b'', headers, 3)
            record.line(f'request {number:016x} at {machine.name} with a key of version 2: {answer and answer[0]}')
            refused += answer is not None and answer[0] in (401, 403, 404)
            served += answer is not None and answer[0] == 200
            await asyncio.sleep(0.25)
        newest = await control_call(site.control_nodes(), 'GET', '/api/config')
        record.line(f'read back: {newest and newest[0]}, version {newest and json.loads(newest[2])["version"]}')
        record.line(f'{refused} of 40 requests refused as only version 1 allows, {served} served, up to {2 + 40 * 0.25:.0f} s after the acknowledgement')
        # Not judged: what else no longer reaches the machines.
        leaving = workers[0]
        leaving.state, before = 'draining', len(leaving.ran)
        answer = await leaving.announce()
        record.line(f'(not judged) {leaving.name} says that it leaves: {answer and answer[0]}')
        await asyncio.sleep(BOUNDS['drain_ms'] / 1000)
        before = len(leaving.ran)
        for number in range(30):
            await request(site.machines[number % 3], '/lohu930/2f', 100 + number)
        record.line(f'(not judged) {len(leaving.ran) - before} of 30 requests reach it later than drain_ms after the acknowledgement')
        site.machines[0].restart('router')
        record.line(f'(not judged) a router that starts again is ready within 8 s: {await until(lambda: is_ready(site.machines[0]), 8)}')
        return 1 if refused else 0
    finally:
        site.stop()

run_case(main)
