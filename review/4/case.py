"""After the final fault the model workers crash once: nothing is served any more once they are back."""

import asyncio
import secrets
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    ZONES,
    CannotRunError,
    Deployment,
    Worker,
    make_message,
    read_message,
    run_case,
)

RECOVER_S = 12.0
WORKERS = 3
#: Seconds that a stream takes, and seconds for which crashed workers are down.
STREAM_S, DOWN_S = 2.5, 3.0
#: Clients, and seconds between two requests of one.
CLIENTS, PAUSE_S = 9, 0.5
BEFORE_S, AFTER_S = 6.0, 10.0
#: The part that all prompts begin with, as those of a kind of request do; another one follows that
#: only some share.
SHARED = "5c1e07a2:900"
SUBJECTS = 12
KEY = "9dnn2ctnfzs989anu6ws"

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "chat", "host": "chat.example", "pathPrefix": "/chat/", "kind": "streaming",
            "timeoutMs": 8000, "targetLatencyMs": 3600, "priority": 0, "service": "model",
            "maxAttempts": 2, "public": False, "sticky": True, "resumable": True, "gapAimMs": 500,
        },
    ],
    "services": [
        {
            "name": "model", "healthPath": "/health", "maxConns": 360, "protocol": "h1",
            "tls": False,
            "engine": {"slots": 64, "kvCapacityTokens": 343821, "kvTokenBytes": 131072,
                       "linkMbps": 130000.0, "moves": False, "backups": False, "stride": 3,
                       "most": 12, "pinMs": 0.0, "holdMs": 0.0, "handleS": 5.0,
                       "models": [{"name": "m"}]},
        },
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
    "tenants": [{"name": "florists", "apiKeys": [KEY], "priority": 1}],
}


async def serve_model(worker, method, path, headers, body, reader, writer):
    """Answer with a stream of ten events."""
    if path == "/api/report":
        return False
    if "request-id" not in headers:
        return 400, {"Not-Run": "1"}, b""
    worker.runs.append(headers["request-id"])
    first = int(headers.get("last-event-id", 0)) + 1
    for number in range(first, 11):
        await asyncio.sleep(STREAM_S / 10)
        if number == first:
            writer.write(
                f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: "
                f"{headers['request-id']}\r\nResponse-Stamp: {worker.id}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
        event = f"id: {number}\ndata: x\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return None


class Clients:
    """Clients that ask one after the other; each request counts once."""

    def __init__(self, deployment):
        self.deployment, self.record = deployment, deployment.record
        #: When each request was sent, and its status; 0 without a whole answer.
        self.outcomes = []
        self.is_over = False

    async def run(self, number):
        while not self.is_over:
            entry = self.deployment.entries[number % len(self.deployment.entries)]
            number += 1
            sent_at = self.record.now()
            request_id = self.deployment.make_request_id()
            head = {
                "Host": "chat.example", "Request-Id": request_id, "Deadline-Ms": "8000",
                "Credential": KEY, "Model": "m", "Token-Counts": "5800,30",
                "Prefix-Hash": (
                    f"{SHARED},91bd3f{number % SUBJECTS:02x}:3800,{secrets.token_hex(4)}:1100"
                ),
            }
            status, wait, writer = 0, "", None
            try:
                async with asyncio.timeout(8.5):
                    reader, writer = await asyncio.open_connection(*entry)
                    body = secrets.token_hex(40).encode()
                    writer.write(make_message("POST /chat/1 HTTP/1.1", head, body))
                    first, got, _ = await read_message(reader)
                    status, wait = int(first.split()[1]), got.get("retry-after", "")
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                status = 0
            finally:
                if writer is not None:
                    writer.transport.abort()
            self.outcomes.append((sent_at, status))
            more = f", Retry-After {wait}" if wait else ""
            self.record.write(f"client: {request_id} sent {sent_at:.2f} s -> {status}{more}")
            await asyncio.sleep(PAUSE_S)

    def find_share(self, since, until):
        """Return the share of the requests sent in a span that was served, and their number."""
        statuses = [status for sent_at, status in self.outcomes if since <= sent_at < until]
        return sum(status == 200 for status in statuses) / max(1, len(statuses)), len(statuses)


async def start_workers(deployment):
    workers = []
    for number in range(WORKERS):
        worker = Worker(deployment, "model", deployment.make_ip(), serve_model, slots=64,
                        zone=ZONES[number], models=[{"name": "m", "version": 1, "adapters": []}])
        await worker.start()
        workers.append(worker)
    return workers


async def main(record, is_troubled):
    with Deployment(record, cores=3, fronts=3) as deployment:
        deployment.start()
        await asyncio.sleep(1.5)
        deployment.settle()
        if await deployment.configure(CONFIG) != 200:
            raise CannotRunError("the configuration was not taken")
        workers = await start_workers(deployment)
        await deployment.wait_ready()
        await asyncio.sleep(3)
        clients = Clients(deployment)
        began = record.now()
        tasks = [asyncio.create_task(clients.run(number)) for number in range(CLIENTS)]
        await asyncio.sleep(BEFORE_S)
        record.write("the final fault: all processes are killed")
        fault_at = record.now()
        machines = (*deployment.cores, *deployment.fronts)
        for machine in machines:
            machine.kill()
        await asyncio.sleep(0.6)
        for machine in machines:
            machine.start()
        back_at = record.now()
        for worker in workers:
            worker.runs.clear()
        while not all(worker.runs for worker in workers):
            await asyncio.sleep(0.02)
            if record.now() > back_at + RECOVER_S:
                raise CannotRunError("service did not resume")
        record.write(f"served again {record.now() - back_at:.1f} s after the machines are back")
        await asyncio.sleep(0.5)
        if is_troubled:
            for worker in workers:
                worker.crash()
            await asyncio.sleep(DOWN_S)
            await start_workers(deployment)
            record.write("the workers have successors")
        await asyncio.sleep(max(0.0, back_at + RECOVER_S + AFTER_S - record.now()))
        clients.is_over = True
        await asyncio.gather(*tasks)
        before, _ = clients.find_share(began, fault_at - STREAM_S - 1)
        after, count = clients.find_share(back_at + RECOVER_S, back_at + RECOVER_S + AFTER_S)
        record.write(f"served before the final fault: {before:.2f}")
        record.write(f"served of {count} sent more than recoverS after it: {after:.2f}")
        if before < 0.25 or not count:
            raise CannotRunError("too little was served before the final fault")
        return BROKEN if after < 0.25 else HELD


if __name__ == "__main__":
    run_case(main, HERE / "record.txt")
