"""A stream whose prompt crashes each replica that runs it, after its first event, comes again and again."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins"))
from engine import MODEL, Engine
from small_site import HOST, KEY, Clients, Relay, Store, call, configuration, run_case, trouble

CONTACT_S = 3.0
ZONES = ["bern-a", "bern-b", "olten"]
SHARED, POISON = "5c1e07a2", "91bd3f06"
ROUTE = {"name": "live-triage", "host": HOST, "path_prefix": "/triage/", "type": "streaming",
         "service": "triage-models", "timeout_ms": 12000, "target_latency_ms": 600, "gap_target_ms": 300,
         "attempts": 2, "priority": 1, "resumable": True, "sticky": True}


class StreamClients(Clients):
    async def ask(self, address, parts, path):
        self.count += 1
        ident = f"{self.count:016x}"
        prefix = ",".join(f"{part}:200" for part in parts)
        data = (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Marigoldladder-Request-Id: {ident}\r\n"
                f"X-Marigoldladder-Deadline-Ms: 12000\r\nApi-Key: {KEY}\r\nX-Marigoldladder-Model: {MODEL}\r\n"
                f"X-Marigoldladder-Token-Count: {200 * len(parts)},50\r\nX-Marigoldladder-Prompt-Prefix: {prefix}\r\n"
                "Content-Length: 6\r\n\r\nprompt").encode()
        self.record.add(f"client sends {ident} POST {path} with parts {prefix} to {address}")
        reply = await call(address, data, 12)
        self.results[ident] = (time.monotonic(), reply[0] if reply else None)
        self.record.add(f"client got for {ident}: {reply[0] if reply else 'no complete answer'}")
        return ident


async def main(record, folder):
    store = Store(record)
    await store.start()
    config = configuration(extra_routes=[ROUTE])
    config["services"].append({
        "name": "triage-models", "health_path": "/healthz", "max_conns": 370, "engine": {
            "models": [{"name": MODEL, "weights_mb": 65100, "load_time_s": 1.4, "adapters": 0, "adapter_size_mb": 12}],
            "weights_mb": 67000, "adapter_slots": 22, "slots": 64, "kv_capacity": 120000, "loads_per_s": 4.2}})
    await store.put("config", "main", config)
    engines = [Engine(record, store, f"i-{n}", ZONES[n % 3], poison=POISON if trouble() else None) for n in range(6)]
    beats = []

    async def beat(engine):
        while True:
            await asyncio.sleep(1.2)
            if engine.server.is_serving():
                engine.sequence += 1
                await store.put("servers", engine.name, engine.entry())

    for engine in engines:
        await engine.start()
        await store.put("servers", engine.name, engine.entry())
        beats.append(asyncio.ensure_future(beat(engine)))
    relays = [Relay(record, folder, f"frontend-{zone}-1", zone, store.address, zones=ZONES) for zone in ZONES]
    clients = StreamClients(record)
    poisoned = []
    tasks = []
    try:
        for relay in relays:
            await relay.start()
        for relay in relays:
            if not await relay.ready():
                return 2
        end = time.monotonic() + 40
        index = 0
        while time.monotonic() < end:
            relay = relays[index % 3]
            if index % 30 == 20:  # Each 3 s or so, with the same path, caller and body, at any machine.
                poisoned.append(asyncio.ensure_future(clients.ask(relay.caller, [SHARED, POISON], "/triage/bad")))
            else:
                own = f"{0x1000 + index:08x}"
                tasks.append(asyncio.ensure_future(clients.ask(relay.caller, [SHARED, own], f"/triage/{index}")))
            index += 1
            await asyncio.sleep(0.1)
        await asyncio.wait(tasks + poisoned, timeout=13)
        bad = {task.result() for task in poisoned if task.done()}
        crashes = sorted(crash for engine in engines for crash in engine.crashes)
        cut = sum(len(engine.cut) for engine in engines)
        lost = sum(1 for ident, (_, status) in clients.results.items() if ident not in bad and status != 200)
        late = []
        if len(crashes) >= 3:
            after = crashes[2][0] + CONTACT_S
            late = sorted({ident for engine in engines for at, ident in engine.arrivals if ident in bad and at > after})
        record.add(f"crashes {len(crashes)}; requests that crash, sent {len(bad)}; of these reached a replica later than "
                   f"contact_ms after the third crash: {len(late)}: {' '.join(late)}")
        record.add(f"other requests whose run was ended by these crashes: {cut}; other requests without a whole answer: {lost} "
                   f"of {len(clients.results) - len(bad)}")
        if not tasks or len([1 for i, (_, s) in clients.results.items() if s == 200]) < len(tasks) / 3:
            return 2
        return 1 if len(late) > 3 else 0
    finally:
        for task in beats + tasks + poisoned:
            task.cancel()
        for engine in engines:
            for task in engine.tasks:
                task.cancel()
        for relay in relays:
            await relay.stop()
        for server in engines + [store]:
            await server.stop()


run_case(main)
