"""No rule of the pages: ordinary crashes of workers have the same idempotent request refused for good.

Five workers of a plain service answer without a length or chunks. Sixty times a second somebody asks for the same thing; from 6 s on a
worker that is at work crashes each 2.5 s, eight times. FRAMED=1: answers with a length. TROUBLE=0: no crashes. Exits with 1 if under a
quarter of the requests of the last 12 s are answered.
"""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
from small_site import *

FRAMED = os.environ.get('FRAMED', '0') == '1'
RUN_S, CALM_S, CRASHES, CRASH_PAUSE_S, DOWN_S = 40, 6, 8, 2.5, 2


class CrashingWorker(Worker):
    """A worker that can end with all its connections, and comes back under a new id at its address."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.writers, self.is_up, self.starts = set(), True, 0

    async def beat(self):
        while True:
            if self.is_up:
                await self.announce()
            await asyncio.sleep(1.0)

    async def crash(self):
        self.is_up = False
        self.record.line(f'worker {self.name} crashes with {len(self.writers)} connections')
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        self.starts += 1
        self.name = f'{self.name.split(".")[0]}.{self.starts}'
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.ip, int(self.address.rsplit(':', 1)[1]))
        self.is_up = True
        await self.announce()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, line, headers, writer):
        request_id = headers.get('attempt-id', '')
        if headers.get('target-instance') != self.name:
            writer.write(b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n')
            return await writer.drain()
        await asyncio.sleep(0.1)
        framing = 'Content-Length: 2' if FRAMED else 'Connection: close'
        writer.write(f'HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nResponse-Signature: {self.name}\r\n{framing}\r\n\r\nok'.encode())
        await writer.drain()
        if not FRAMED:
            raise ConnectionError  # the answer ends with its connection


async def main(record, trouble):
    site = Site(record)
    try:
        site.start()
        workers = [CrashingWorker(site, record, number) for number in range(5)]
        for worker in workers:
            await worker.start()
        if await put_configuration(site, configuration(1), 15) is None:
            return 2
        if not all([await until(lambda: is_ready(machine), 15) for machine in site.machines]):
            return 2
        await asyncio.sleep(BOUNDS['contact_ms'] / 1000)
        begun, number, crashes, results, tasks = time.monotonic(), 0, 0, [], []

        async def ask(number, sent):
            answer = await request(random.choice(site.machines), '/lohu930/2f', number)
            results.append((sent, answer and answer[0]))
        while (elapsed := time.monotonic() - begun) < RUN_S:
            number += 1
            tasks.append(asyncio.create_task(ask(number, elapsed)))
            busy = [worker for worker in workers if worker.is_up and worker.writers]
            if trouble and busy and crashes < CRASHES and elapsed > CALM_S + crashes * CRASH_PAUSE_S:
                crashes += 1
                tasks.append(asyncio.create_task(random.choice(busy).crash()))
            await asyncio.sleep(1 / 60)
        await asyncio.gather(*tasks)
        for second in range(0, RUN_S, 4):
            span = [status for sent, status in results if second <= sent < second + 4]
            record.line(f'from {second} s: {span.count(200)} of {len(span)} answered, the others: {sorted({str(s) for s in span if s != 200})}')
        last = [status for sent, status in results if sent >= RUN_S - 12]
        record.line(f'{crashes} crashes; {last.count(200)} of {len(last)} requests of the last 12 s are answered')
        return 1 if last.count(200) < len(last) / 4 else 0
    finally:
        site.stop()

run_case(main)
