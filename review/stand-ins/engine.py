"""A stand-in of a model replica: streams of events, orders, reports, and a crash on a certain prompt part."""

import asyncio
import json
import socket
import time

from small_site import Replica, answer_bytes

MODEL = "base"


class Engine(Replica):
    """Runs streams. A run whose prompt has the part `poison` crashes the replica after its first event.

    A crash resets all connections and closes the port. The replica is back after `down_s` under a new id.
    """

    def __init__(self, record, store, name, zone, events=10, gap_s=0.1, poison=None, down_s=3.0, slots=64):
        super().__init__(record, name, "triage-models", zone, slots=slots)
        self.store, self.events, self.gap_s, self.poison, self.down_s = store, events, gap_s, poison, down_s
        self.starts = 1
        self.base_name = name
        self.crashes = []  # (monotonic time, request id)
        self.running = {}  # request id -> events sent
        self.cut = []  # Requests that a crash of another one ended.
        self.tasks = set()

    def models(self):
        return [{"name": MODEL, "version": 1, "adapters": []}]

    def entry(self):
        return {**super().entry(), "phase": "both", "models": self.models()}

    async def handle(self, message, writer):
        line, headers, _ = message
        expected = headers.get("x-marigoldladder-expect-instance")
        target = line.split(" ")[1]
        if target == "/report" and expected in (None, self.name):
            report = {"phase": "both", "models": self.models(), "busy": False, "sequence": 0, "queued": 0,
                      "active": len(self.running), "kv_used": 0, "kv_total": 120000, "handles": 0,
                      "state": self.state, "born": self.born, "pending": [],
                      "available": {"in_memory": [MODEL], "on_disk": [MODEL]}}
            writer.write(answer_bytes(200, json.dumps(report).encode(), [("Content-Type", "application/json")]))
            await writer.drain()
            return True
        if target in ("/healthz", "/order") or expected not in (None, self.name):
            return await super().handle(message, writer)
        return await self.stream(headers, writer)

    async def stream(self, headers, writer):
        ident = headers.get("x-marigoldladder-request-id", "")
        parts = [part.split(":")[0] for part in headers.get("x-marigoldladder-prompt-prefix", "").split(",")]
        first = int(headers.get("last-event-id") or 0) + 1
        self.arrivals.append((time.monotonic(), ident))
        self.record.add(f"replica {self.name} runs {ident} from event {first}")
        self.running[ident] = 0
        await asyncio.sleep(0.03)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"X-Marigoldladder-Request-Id: {ident}",
                f"X-Marigoldladder-Server-Stamp: {self.name}.{ident}", "X-Marigoldladder-Weight-Versions: 1",
                f"X-Marigoldladder-Instance-Id: {self.name}", "Transfer-Encoding: chunked", "Keep-Alive: timeout=10"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        try:
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: {ident} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                self.running[ident] = number
                await asyncio.sleep(self.gap_s)
                if self.poison and self.poison in parts:
                    await self.crash(ident)
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running.pop(ident, None)
        return True

    async def crash(self, cause):
        self.crashes.append((time.monotonic(), cause))
        others = [ident for ident in self.running if ident != cause]
        self.cut += others
        self.record.add(f"replica {self.name} crashes under {cause}; ends the runs of {len(others)} others")
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()
        self.tasks.add(asyncio.ensure_future(self.come_back()))

    async def come_back(self):
        await asyncio.sleep(self.down_s)
        old = self.name
        self.starts += 1
        self.name = f"{self.base_name}-{self.starts}"
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start()  # At the port that it had.
        self.record.add(f"replica {self.name} is back")
        if old in self.store.objects.get("servers", {}):
            await self.store.remove("servers", old)
        await self.store.put("servers", self.name, self.entry())
